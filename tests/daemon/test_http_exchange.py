"""Requests to another process: the errors tell whether a request may have had an effect."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import pytest

from saffronstack.daemon.errors import NoResponseError, NotSentError
from saffronstack.daemon.http_exchange import exchange
from saffronstack.http1 import writer
from saffronstack.runtime.threads import start_thread

REQUEST = writer.request("GET", "/status", [])
TIMEOUT_S = 10.0


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


def address_of(listener: socket.socket) -> str:
    return f"127.0.0.1:{listener.getsockname()[1]}"


def respond_once(listener: socket.socket, response: bytes) -> None:
    """Send these bytes in response to the request of the next connection, then close it; on a thread."""

    def respond() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(response)

    start_thread("respond-once", respond)


def test_a_response_is_returned_with_head_and_body(listener: socket.socket) -> None:
    respond_once(listener, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    head, body = exchange(address_of(listener), REQUEST, time.monotonic() + TIMEOUT_S, time.monotonic)
    assert head.status == 200
    assert body == b"{}"


def test_a_request_to_a_process_that_does_not_listen_was_not_sent() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        with pytest.raises(NotSentError):
            exchange(address_of(unused), REQUEST, time.monotonic() + TIMEOUT_S, time.monotonic)


def test_a_request_to_no_address_was_not_sent() -> None:
    with pytest.raises(NotSentError):
        exchange("", REQUEST, time.monotonic() + TIMEOUT_S, time.monotonic)


@pytest.mark.parametrize(
    "response", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{", b"no HTTP\r\n\r\n"]
)
def test_a_request_without_a_complete_response_may_have_had_an_effect(
    listener: socket.socket, response: bytes
) -> None:
    respond_once(listener, response)
    with pytest.raises(NoResponseError):
        exchange(address_of(listener), REQUEST, time.monotonic() + TIMEOUT_S, time.monotonic)
