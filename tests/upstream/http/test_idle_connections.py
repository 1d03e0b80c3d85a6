"""Idle connections to a worker: when one may carry a request, and how many stay open."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from saffronstack.http1.messages import MessageLimits
from saffronstack.upstream.http.connection import HttpConnection
from saffronstack.upstream.http.idle_connections import IdleConnections

REUSE_DELAY_S = 0.0625
IDLE_TIMEOUT_S = 20.0


class Worker:
    """Connections whose other ends the test holds, and a clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.peers: dict[HttpConnection, socket.socket] = {}
        self.idle = IdleConnections(3, REUSE_DELAY_S, IDLE_TIMEOUT_S, lambda: self.now_s)

    def open(self) -> HttpConnection:
        """Take a connection, which must be a new one."""
        assert self.idle.take() is None
        ours, theirs = socket.socketpair()
        connection = HttpConnection(ours, MessageLimits())
        self.peers[connection] = theirs
        return connection

    def is_open(self, connection: HttpConnection) -> bool:
        """Return whether the gateway has not closed a connection."""
        try:
            return bool(self.peers[connection].recv(1, socket.MSG_DONTWAIT))
        except BlockingIOError:
            return True
        except ConnectionResetError:  # closed with unread bytes
            return False


@pytest.fixture
def worker() -> Iterator[Worker]:
    """Returns a worker whose connections are closed after the test."""
    made = Worker()
    yield made
    for connection, peer in made.peers.items():
        connection.close()
        peer.close()


def test_a_connection_carries_no_request_before_its_reuse_delay_is_over(worker: Worker) -> None:
    first = worker.open()
    worker.idle.put(first)
    worker.now_s += REUSE_DELAY_S * 0.9
    second = worker.open()
    worker.now_s += REUSE_DELAY_S * 0.2
    assert worker.idle.take() is first
    worker.idle.put(second)
    assert worker.idle.open_count == 2


def test_the_connection_that_was_used_last_is_taken_first(worker: Worker) -> None:
    first, second = worker.open(), worker.open()
    worker.idle.put(second)
    worker.idle.put(first)
    worker.now_s += REUSE_DELAY_S
    assert [worker.idle.take(), worker.idle.take()] == [first, second]


@pytest.mark.parametrize("sends_bytes", [True, False])
def test_a_connection_with_unread_bytes_or_a_closed_peer_is_closed(worker: Worker, sends_bytes: bool) -> None:
    used, other = worker.open(), worker.open()
    worker.idle.put(other)
    worker.idle.put(used)
    if sends_bytes:
        worker.peers[used].sendall(b"HTTP/1.1 200 OK")
    else:
        worker.peers[used].shutdown(socket.SHUT_WR)
    worker.now_s += REUSE_DELAY_S
    assert worker.idle.take() is other
    assert not worker.is_open(used)
    assert worker.idle.open_count == 1


def test_a_new_connection_beyond_the_limit_replaces_the_one_that_was_idle_longest(worker: Worker) -> None:
    connections = [worker.open() for _ in range(3)]
    for connection in connections[:2]:
        worker.idle.put(connection)
    added = worker.open()
    assert [worker.is_open(connection) for connection in [*connections, added]] == [False, True, True, True]
    assert worker.idle.open_count == 3


def test_a_connection_that_could_not_be_opened_or_was_closed_is_not_counted(worker: Worker) -> None:
    worker.open()
    worker.idle.forget_used()
    assert worker.idle.open_count == 0


@pytest.mark.parametrize("idle_s", [IDLE_TIMEOUT_S - 1.0, IDLE_TIMEOUT_S])
def test_a_connection_is_closed_at_the_idle_timeout(worker: Worker, idle_s: float) -> None:
    connection = worker.open()
    worker.idle.put(connection)
    worker.now_s += idle_s
    worker.idle.close_expired()
    assert worker.is_open(connection) == (idle_s < IDLE_TIMEOUT_S)


def test_after_close_no_connection_stays_open(worker: Worker) -> None:
    delayed, ready, used = worker.open(), worker.open(), worker.open()
    worker.idle.put(ready)
    worker.now_s += REUSE_DELAY_S
    worker.idle.put(delayed)
    worker.idle.close()
    worker.idle.put(used)
    assert not any(worker.is_open(connection) for connection in (delayed, ready, used))
    assert worker.idle.open_count == 0
