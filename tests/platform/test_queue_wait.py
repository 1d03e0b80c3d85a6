"""How long a connection waited to be accepted, told by the kernel."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from saffronstack.platform.queue_wait import read_queue_wait_s

WAIT_S = 0.06
COARSE_S = 0.01  # the kernel counts in milliseconds or in ticks of four


@pytest.mark.parametrize("request_bytes", [b"", b"x"])
def test_it_is_the_time_from_the_handshake_or_the_last_byte(request_bytes: bytes) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        before_s = time.monotonic()
        with socket.create_connection(listener.getsockname()) as client:
            client.sendall(request_bytes)
            sent_s = time.monotonic()
            threading.Event().wait(WAIT_S)
            accepted, _ = listener.accept()
            with accepted:
                least_s = time.monotonic() - sent_s
                waited_s = read_queue_wait_s(accepted)
                most_s = time.monotonic() - before_s
    assert least_s - COARSE_S <= waited_s <= most_s + COARSE_S


def test_a_connection_that_has_ended_has_not_waited() -> None:
    with socket.socket() as sock:
        sock.close()
        assert read_queue_wait_s(sock) == 0.0
