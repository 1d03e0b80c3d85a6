"""Tests that the HTTP server answers requests that arrive while it closes connections.

A request is lost if it arrives after the server's last read of an idle connection and before the close. The
tests force this order by pausing the server's thread.
"""

from __future__ import annotations

import enum
import socket
import threading
from collections.abc import Callable

import pytest

from saffronstack.invoke import server
from saffronstack.net.stream import READ_SIZE, Stream
from saffronstack.runtime.threads import start_thread
from tests.support.stack import AMPLE_DEADLINE_S, Stack, eventually, read_all, running_gateway

TIMEOUT_S = 20.0
BODY = b'{"isbn": "1"}'
HEAD = (
    b"POST /2015-03-31/functions/identify-copy/invocations HTTP/1.1\r\nHost: gateway\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
)
REQUEST = HEAD + BODY


class PausePoint(enum.Enum):
    """Where the thread of a connection is paused."""

    AFTER_READ = enum.auto()  # after a read of the idle connection that returned no bytes
    BEFORE_FINAL_READ = enum.auto()  # before the last read ahead of closing the connection


class ThreadPause:
    """Pauses the thread of an idle connection at a pause point until the test has sent a request."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, pause_point: PausePoint) -> None:
        self.reached = threading.Event()
        self.resume = threading.Event()
        self.streams: list[Stream] = []
        thread_pause = self

        class PausingStream(Stream):
            """A stream that pauses its thread at the pause point."""

            def __init__(self, sock: socket.socket) -> None:
                super().__init__(sock)
                thread_pause.streams.append(self)

            def receive(self, timeout_s: float, most: int = READ_SIZE) -> bytes:
                data = b""
                try:
                    data = super().receive(timeout_s, most)
                    return data
                finally:
                    if not data and pause_point is PausePoint.AFTER_READ:
                        thread_pause.pause()

            def receive_now(self, most: int = READ_SIZE) -> bytes:
                if pause_point is PausePoint.BEFORE_FINAL_READ:
                    thread_pause.pause()
                return super().receive_now(most)

        monkeypatch.setattr(server, "Stream", PausingStream)

    def pause(self) -> None:
        """Wait until the test resumes the thread; later calls return at once."""
        if not self.resume.is_set():
            self.reached.set()
            assert self.resume.wait(TIMEOUT_S)

    def send(self, client: socket.socket, data: bytes) -> None:
        """Send data, and wait until it is in the receive buffer of the paused thread's socket."""
        client.sendall(data)
        eventually(lambda: not self.streams[0].is_idle(), TIMEOUT_S)

    def has_read_the_head(self) -> bool:
        """Return whether the thread has read all that was sent so far."""
        return self.streams[0].is_idle()


def idle_connection(stack: Stack) -> socket.socket:
    """Open a connection, send a request on it and read the response; return it idle."""
    client = stack.connect()
    client.settimeout(TIMEOUT_S)
    client.sendall(REQUEST)
    head = b""
    while b'"run"' not in head:
        head += client.recv(65536)
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"onnection: close" not in head
    return client


def start_drain(stack: Stack) -> Callable[..., bool]:
    """Drain the server on a thread.

    Returns a function that waits a number of seconds and returns whether the drain has succeeded.
    """
    results: list[bool] = []
    thread = start_thread("drain", lambda: results.append(stack.gateway.server.drain(TIMEOUT_S)))

    def ended(within_s: float = TIMEOUT_S) -> bool:
        thread.join(within_s)
        return results == [True]

    return ended


def assert_last_answer(client: socket.socket) -> None:
    """Check that the connection gets a 200 response with "Connection: close" and is then closed."""
    response = read_all(client)
    assert response.startswith(b"HTTP/1.1 200 "), response
    assert b"Connection: close" in response, response


@pytest.mark.parametrize("pause_point", PausePoint)
@pytest.mark.parametrize(("first_part", "second_part"), [(REQUEST, b""), (HEAD, BODY)], ids=["whole", "head"])
def test_a_request_that_comes_as_its_idle_connection_is_drained_is_answered(
    monkeypatch: pytest.MonkeyPatch, first_part: bytes, second_part: bytes, pause_point: PausePoint
) -> None:
    thread_pause = ThreadPause(monkeypatch, pause_point)
    with running_gateway(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        client = idle_connection(stack)
        ended = start_drain(stack)
        assert thread_pause.reached.wait(TIMEOUT_S)
        thread_pause.send(client, first_part)
        thread_pause.resume.set()
        if second_part:
            eventually(thread_pause.has_read_the_head, TIMEOUT_S)
            client.sendall(second_part)
        assert_last_answer(client)
        assert ended()


@pytest.mark.parametrize("pause_point", PausePoint)
def test_a_request_that_comes_as_its_connection_has_been_idle_for_too_long_is_answered(
    monkeypatch: pytest.MonkeyPatch, pause_point: PausePoint
) -> None:
    thread_pause = ThreadPause(monkeypatch, pause_point)
    with running_gateway(1, deadline_s=AMPLE_DEADLINE_S, limits={"idle_timeout_s": 0.3}) as stack:
        client = idle_connection(stack)
        assert thread_pause.reached.wait(TIMEOUT_S)
        thread_pause.send(client, REQUEST)
        thread_pause.resume.set()
        response = client.recv(65536)
        assert response.startswith(b"HTTP/1.1 200 "), response


def test_idle_connections_end_soon_after_the_drain_began() -> None:
    with running_gateway(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        clients = [idle_connection(stack) for _ in range(5)]
        assert stack.gateway.server.connections == 5
        assert start_drain(stack)()
        assert [read_all(client) for client in clients] == [b""] * 5


def test_a_connection_that_is_accepted_as_the_drain_begins_is_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    accepted, resume = threading.Event(), threading.Event()
    original_admit = server.Server._admit

    def paused_admit(self: server.Server, sock: socket.socket) -> bool:
        accepted.set()
        assert resume.wait(TIMEOUT_S)
        return original_admit(self, sock)

    with running_gateway(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        monkeypatch.setattr(server.Server, "_admit", paused_admit)
        client = stack.connect()
        client.sendall(REQUEST)
        assert accepted.wait(TIMEOUT_S)
        ended = start_drain(stack)
        # The only open connection is the one that was accepted last.
        assert not ended(2 * server.IDLE_GRACE_S)
        resume.set()
        assert_last_answer(client)
        assert ended()


def start_drain_with_a_queued_client(
    monkeypatch: pytest.MonkeyPatch, stack: Stack, admit: Callable[[server.Server, socket.socket], bool]
) -> tuple[list[socket.socket], Callable[..., bool]]:
    """Start a drain while the accept thread is paused with one connection and another one is queued.

    From then on, ``admit`` replaces the server's ``_admit``. Returns the clients of the two connections and
    the function that `start_drain` returns.
    """
    accepted, resume = threading.Event(), threading.Event()
    original_admit = server.Server._admit

    def paused_admit(self: server.Server, sock: socket.socket) -> bool:
        accepted.set()
        assert resume.wait(TIMEOUT_S)
        return original_admit(self, sock)

    monkeypatch.setattr(server.Server, "_admit", paused_admit)
    first = stack.connect()
    assert accepted.wait(TIMEOUT_S)
    ended = start_drain(stack)
    eventually(lambda: stack.gateway.server._draining, TIMEOUT_S)
    second = stack.connect()
    for client in (first, second):
        client.settimeout(TIMEOUT_S)
        client.sendall(REQUEST)
    monkeypatch.setattr(server.Server, "_admit", admit)
    resume.set()
    return [first, second], ended


def test_a_drain_accepts_no_new_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a drain that keeps accepting connections that arrive after it began.

    A busy gateway did so for seconds, until it had accepted as many as the backlog holds.
    """
    admitted: list[socket.socket] = []
    reconnecting: list[socket.socket] = []
    original_admit = server.Server._admit

    with running_gateway(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        host, _, port = stack.address.rpartition(":")

        def admit(self: server.Server, sock: socket.socket) -> bool:
            admitted.append(sock)
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((host, int(port)))  # queued at once if the listener still completes handshakes
            reconnecting.append(client)
            return original_admit(self, sock)

        clients, ended = start_drain_with_a_queued_client(monkeypatch, stack, admit)
        for client in clients:
            assert_last_answer(client)
        assert ended()
        assert len(admitted) == 1
        for client in reconnecting:
            client.close()


def test_a_drain_rejects_queued_connections_that_it_has_no_time_to_serve(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "ACCEPT_QUEUE_SERVE_S", 0.0)
    with running_gateway(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        clients, ended = start_drain_with_a_queued_client(monkeypatch, stack, server.Server._admit)
        assert_last_answer(clients[0])
        assert clients[1].recv(65536).startswith(b"HTTP/1.1 429 ")
        assert ended()


def test_connections_in_a_queue_that_outlives_the_process_wait_for_its_successor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with running_gateway(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        serving = stack.gateway.server
        monkeypatch.setattr(serving, "_owns_queue", False)
        kept_listener = serving._listener.dup()
        clients, ended = start_drain_with_a_queued_client(monkeypatch, stack, server.Server._admit)
        assert_last_answer(clients[0])
        assert ended()
        monkeypatch.undo()
        successor = server.Server(
            "", 0, serving._app, serving._limits, serving._clock, listener=kept_listener
        )
        successor.start()
        assert clients[1].recv(65536).startswith(b"HTTP/1.1 200 ")
        assert successor.drain(TIMEOUT_S)
