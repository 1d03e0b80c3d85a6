"""Passing a listening socket from one process to another."""

from __future__ import annotations

import os
import socket

from saffronstack.daemon.listener_handover import ListenerHandover, request_listener


def test_connections_in_the_queue_outlive_the_process_that_listened() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    handover = ListenerHandover("fleet/d1/x/g1/r1", listener)
    client = socket.create_connection(listener.getsockname(), timeout=10.0)
    client.sendall(b"hello")  # the connection is in the accept queue
    assert request_listener("fleet/d1/x/g1/other", os.getpid()) is None
    assert request_listener("fleet/d1/x/g1/r1", 1) is None
    received = request_listener("fleet/d1/x/g1/r1", os.getpid())
    assert received is not None
    assert received.getsockname() == listener.getsockname()
    listener.close()
    received.settimeout(10.0)
    connection, _ = received.accept()
    assert connection.recv(10) == b"hello"
    handover.stop()
    for sock in (client, connection, received):
        sock.close()
