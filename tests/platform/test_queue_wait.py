"""How long a connection waited in the accept queue, by the kernel's figures."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from saffronstack.platform.queue_wait import read_queue_wait_s

ACCEPT_DELAY_S = 0.06  # time for which the test leaves the connection in the accept queue
TOLERANCE_S = 0.01  # the kernel counts in milliseconds or in ticks of 4 ms


@pytest.mark.parametrize("request_bytes", [b"", b"x"])
def test_the_wait_starts_at_the_handshake_or_at_the_last_byte(request_bytes: bytes) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        before_s = time.monotonic()
        with socket.create_connection(listener.getsockname()) as client:
            client.sendall(request_bytes)
            sent_s = time.monotonic()
            threading.Event().wait(ACCEPT_DELAY_S)
            accepted, _ = listener.accept()
            with accepted:
                min_wait_s = time.monotonic() - sent_s
                waited_s = read_queue_wait_s(accepted)
                max_wait_s = time.monotonic() - before_s
    assert min_wait_s - TOLERANCE_S <= waited_s <= max_wait_s + TOLERANCE_S


def test_a_closed_socket_has_a_wait_of_zero() -> None:
    with socket.socket() as sock:
        sock.close()
        assert read_queue_wait_s(sock) == 0.0
