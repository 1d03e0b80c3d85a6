"""Stopping the HTTP server of a fleet while clients send requests.

Every request that a handler has started gets a response; a request without a response was never started.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from functools import partial

import pytest

from saffronstack.fleet.http_server import HttpServer
from saffronstack.http1.messages import RequestHead
from saffronstack.runtime.threads import start_thread
from tests.support.stack import eventually

REQUEST = b"POST /work HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
ANSWER_BODY = b'"done"'
CLIENTS = 16
TIMEOUT_S = 10.0


class SlowHandler:
    """Blocks each request until the test sets `may_answer`."""

    def __init__(self) -> None:
        self.started = threading.Semaphore(0)
        self.may_answer = threading.Event()

    def __call__(self, head: RequestHead, body: bytes) -> tuple[int, bytes]:
        self.started.release()
        assert self.may_answer.wait(TIMEOUT_S)
        return 200, ANSWER_BODY


class CountingHandler:
    """Counts requests and responds immediately."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.count = 0

    def __call__(self, head: RequestHead, body: bytes) -> tuple[int, bytes]:
        with self._lock:
            self.count += 1
        return 200, ANSWER_BODY


def start_server(handler: SlowHandler | CountingHandler, drain_timeout_s: float = TIMEOUT_S) -> HttpServer:
    server = HttpServer("test", "127.0.0.1", 0, handler, time.monotonic, drain_timeout_s)
    server.start()
    return server


def connect(address: tuple[str, int]) -> socket.socket:
    return socket.create_connection(address, TIMEOUT_S)


def refuses_connections(address: tuple[str, int]) -> bool:
    try:
        connect(address).close()
    except ConnectionError:
        return True
    return False


def read_to_end(connection: socket.socket) -> bytes:
    received = b""
    with connection:
        while data := connection.recv(4096):
            received += data
    return received


@pytest.fixture
def slow() -> Iterator[SlowHandler]:
    handler = SlowHandler()
    yield handler
    handler.may_answer.set()


def test_a_request_that_is_handled_during_a_stop_is_answered_and_its_connection_closed(
    slow: SlowHandler,
) -> None:
    server = start_server(slow)
    address = server.address
    connection = connect(address)
    connection.sendall(REQUEST)
    assert slow.started.acquire(timeout=TIMEOUT_S)
    stopping = start_thread("stop", server.stop)
    eventually(lambda: refuses_connections(address))
    slow.may_answer.set()
    answer = read_to_end(connection)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(ANSWER_BODY)
    assert b"connection: close" in answer.lower()
    stopping.join(TIMEOUT_S)
    assert server.connections == 0


def test_an_idle_connection_does_not_delay_the_stop() -> None:
    server = start_server(CountingHandler())
    idle = connect(server.address)
    idle.sendall(REQUEST)
    assert idle.recv(4096).endswith(ANSWER_BODY)
    started_s = time.monotonic()
    server.stop()
    assert time.monotonic() - started_s < TIMEOUT_S
    assert read_to_end(idle) == b""


def test_a_handler_that_does_not_return_delays_the_stop_for_a_bounded_time(slow: SlowHandler) -> None:
    server = start_server(slow, drain_timeout_s=0.1)
    connection = connect(server.address)
    connection.sendall(REQUEST)
    assert slow.started.acquire(timeout=TIMEOUT_S)
    server.stop()
    assert read_to_end(connection) == b""


def test_every_started_request_of_clients_in_closed_loops_is_answered_during_a_stop() -> None:
    handler = CountingHandler()
    server = start_server(handler)
    answered = [0] * CLIENTS
    is_busy = threading.Barrier(CLIENTS + 1)

    def call_until_closed(number: int) -> None:
        with connect(server.address) as connection:
            while True:
                try:
                    connection.sendall(REQUEST)
                    answer = connection.recv(4096)
                except ConnectionError:
                    return
                if not answer:
                    return
                assert answer.endswith(ANSWER_BODY)
                answered[number] += 1
                if answered[number] == 1:
                    is_busy.wait(TIMEOUT_S)

    clients = [start_thread("client", partial(call_until_closed, number)) for number in range(CLIENTS)]
    is_busy.wait(TIMEOUT_S)
    server.stop()
    for client in clients:
        client.join(TIMEOUT_S)
    assert sum(answered) == handler.count
