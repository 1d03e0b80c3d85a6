"""Requests that cross the end of an idle connection of the HTTP front, in the order that loses them."""

from __future__ import annotations

import enum
import socket
import threading
from collections.abc import Callable

import pytest

from saffronstack.invoke import server
from saffronstack.net.stream import READ_SIZE, Stream
from saffronstack.runtime.threads import start_thread
from tests.support.stack import AMPLE_DEADLINE_S, Stack, eventually, read_all, running

WAIT_S = 20.0
BODY = b'{"isbn": "1"}'
HEAD = (
    b"POST /2015-03-31/functions/identify-copy/invocations HTTP/1.1\r\nHost: gateway\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
)
REQUEST = HEAD + BODY


class Held(enum.Enum):
    """Where the gateway's thread is held."""

    AFTER_READ = enum.auto()  # a read of the idle connection has ended without a byte
    BEFORE_LAST_LOOK = enum.auto()  # it is about to close the connection


class Crossing:
    """Holds the gateway's thread as its connection is about to end, until a request has come."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, at: Held) -> None:
        self.saw_end = threading.Event()
        self.go_on = threading.Event()
        self.streams: list[Stream] = []
        crossing = self

        class HeldStream(Stream):
            """A stream whose read is held after it ended without a byte."""

            def __init__(self, sock: socket.socket) -> None:
                super().__init__(sock)
                crossing.streams.append(self)

            def receive(self, timeout_s: float, most: int = READ_SIZE) -> bytes:
                data = b""
                try:
                    data = super().receive(timeout_s, most)
                    return data
                finally:
                    if not data and at is Held.AFTER_READ:
                        crossing.hold()

            def receive_now(self, most: int = READ_SIZE) -> bytes:
                if at is Held.BEFORE_LAST_LOOK:
                    crossing.hold()
                return super().receive_now(most)

        monkeypatch.setattr(server, "Stream", HeldStream)

    def hold(self) -> None:
        """Wait until the request has come, once."""
        if not self.go_on.is_set():
            self.saw_end.set()
            assert self.go_on.wait(WAIT_S)

    def send(self, client: socket.socket, data: bytes) -> None:
        """Send, and see that it has reached the held thread's socket, where it lies unread."""
        client.sendall(data)
        eventually(lambda: not self.streams[0].is_idle(), WAIT_S)

    def has_read_the_head(self) -> bool:
        """Whether the gateway's thread has read what was sent so far."""
        return self.streams[0].is_idle()


def connected(stack: Stack) -> socket.socket:
    """A connection that has been answered once and is idle."""
    client = stack.raw()
    client.settimeout(WAIT_S)
    client.sendall(REQUEST)
    head = b""
    while b'"run"' not in head:
        head += client.recv(65536)
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"onnection: close" not in head
    return client


def draining(stack: Stack) -> Callable[..., bool]:
    """Drain the gateway's front on a thread; whether it has ended well within so many seconds."""
    found: list[bool] = []
    thread = start_thread("drain", lambda: found.append(stack.gateway.server.drain(WAIT_S)))

    def ended(within_s: float = WAIT_S) -> bool:
        thread.join(within_s)
        return found == [True]

    return ended


def assert_last_answer(client: socket.socket) -> None:
    """The connection brings one good answer that says it is the last, and ends."""
    answer = read_all(client)
    assert answer.startswith(b"HTTP/1.1 200 "), answer
    assert b"Connection: close" in answer, answer


@pytest.mark.parametrize("at", Held)
@pytest.mark.parametrize(("crosses", "later"), [(REQUEST, b""), (HEAD, BODY)], ids=["whole", "head"])
def test_a_request_that_comes_as_its_idle_connection_is_drained_is_answered(
    monkeypatch: pytest.MonkeyPatch, crosses: bytes, later: bytes, at: Held
) -> None:
    crossing = Crossing(monkeypatch, at)
    with running(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        client = connected(stack)
        ended = draining(stack)
        assert crossing.saw_end.wait(WAIT_S)
        crossing.send(client, crosses)
        crossing.go_on.set()
        if later:
            eventually(crossing.has_read_the_head, WAIT_S)
            client.sendall(later)
        assert_last_answer(client)
        assert ended()


@pytest.mark.parametrize("at", Held)
def test_a_request_that_comes_as_its_connection_has_been_idle_for_too_long_is_answered(
    monkeypatch: pytest.MonkeyPatch, at: Held
) -> None:
    crossing = Crossing(monkeypatch, at)
    with running(1, deadline_s=AMPLE_DEADLINE_S, limits={"idle_timeout_s": 0.3}) as stack:
        client = connected(stack)
        assert crossing.saw_end.wait(WAIT_S)
        crossing.send(client, REQUEST)
        crossing.go_on.set()
        answer = client.recv(65536)
        assert answer.startswith(b"HTTP/1.1 200 "), answer


def test_idle_connections_end_soon_after_the_drain_began() -> None:
    with running(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        clients = [connected(stack) for _ in range(5)]
        assert stack.gateway.server.connections == 5
        assert draining(stack)()
        assert [read_all(client) for client in clients] == [b""] * 5


def test_a_connection_that_is_accepted_as_the_drain_begins_is_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    accepted, go_on = threading.Event(), threading.Event()
    admit = server.Server._admit

    def held(self: server.Server, sock: socket.socket) -> bool:
        accepted.set()
        assert go_on.wait(WAIT_S)
        return admit(self, sock)

    with running(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        monkeypatch.setattr(server.Server, "_admit", held)
        client = stack.raw()
        client.sendall(REQUEST)
        assert accepted.wait(WAIT_S)
        ended = draining(stack)
        # Nothing is open, but for what was accepted last.
        assert not ended(2 * server.IDLE_GRACE_S)
        go_on.set()
        assert_last_answer(client)
        assert ended()


def in_accept_queue_of_a_drain(
    monkeypatch: pytest.MonkeyPatch, stack: Stack, admit: Callable[[server.Server, socket.socket], bool]
) -> tuple[list[socket.socket], Callable[..., bool]]:
    """Two clients, the second of which waits to be accepted as the drain begins; and the drain's end.

    ``admit`` then takes the place of the server's own.
    """
    accepted, go_on = threading.Event(), threading.Event()
    own = server.Server._admit

    def held(self: server.Server, sock: socket.socket) -> bool:
        accepted.set()
        assert go_on.wait(WAIT_S)
        return own(self, sock)

    monkeypatch.setattr(server.Server, "_admit", held)
    first = stack.raw()
    assert accepted.wait(WAIT_S)
    ended = draining(stack)
    eventually(lambda: stack.gateway.server._draining, WAIT_S)
    second = stack.raw()
    for client in (first, second):
        client.settimeout(WAIT_S)
        client.sendall(REQUEST)
    monkeypatch.setattr(server.Server, "_admit", admit)
    go_on.set()
    return [first, second], ended


def test_a_drain_accepts_no_clients_that_connect_again_and_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A busy gateway went on accepting for seconds, until as many had come as the backlog holds."""
    admitted: list[socket.socket] = []
    again: list[socket.socket] = []
    own = server.Server._admit

    with running(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        host, _, port = stack.address.rpartition(":")

        def admit(self: server.Server, sock: socket.socket) -> bool:
            admitted.append(sock)
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((host, int(port)))  # in the queue at once, where connections are let in
            again.append(client)
            return own(self, sock)

        clients, ended = in_accept_queue_of_a_drain(monkeypatch, stack, admit)
        for client in clients:
            assert_last_answer(client)
        assert ended()
        assert len(admitted) == 1
        for client in again:
            client.close()


def test_a_drain_turns_away_what_it_has_no_time_to_serve(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "QUEUE_SERVE_S", 0.0)
    with running(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        clients, ended = in_accept_queue_of_a_drain(monkeypatch, stack, server.Server._admit)
        assert_last_answer(clients[0])
        assert clients[1].recv(65536).startswith(b"HTTP/1.1 429 ")
        assert ended()


def test_connections_in_a_queue_that_outlives_the_process_wait_for_its_successor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with running(1, deadline_s=AMPLE_DEADLINE_S) as stack:
        serving = stack.gateway.server
        monkeypatch.setattr(serving, "_owns_queue", False)
        kept = serving._listener.dup()
        clients, ended = in_accept_queue_of_a_drain(monkeypatch, stack, server.Server._admit)
        assert_last_answer(clients[0])
        assert ended()
        monkeypatch.undo()
        successor = server.Server("", 0, serving._app, serving._limits, serving._clock, listener=kept)
        successor.start()
        assert clients[1].recv(65536).startswith(b"HTTP/1.1 200 ")
        assert successor.drain(WAIT_S)
