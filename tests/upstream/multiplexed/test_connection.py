"""Multiplexed connections: which bytes are sent, and which result each exchange ends with."""

from __future__ import annotations

import json
import queue
import threading
import time
from typing import Any

import pytest

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.net.write_buffer import SendProgress, WriteBuffer, WriteLoop
from saffronstack.routing.events import Result
from saffronstack.routing.router import Router
from saffronstack.standin.platform import HostEntry, StubDnsServer
from saffronstack.upstream.multiplexed import codec
from saffronstack.upstream.multiplexed.connection import ConnectionLimits, MultiplexedConnection
from saffronstack.upstream.multiplexed.connection_budget import ConnectionBudget
from saffronstack.upstream.multiplexed.connection_pool import MultiplexedPool
from saffronstack.upstream.multiplexed.dispatcher import MultiplexedDispatcher
from saffronstack.upstream.multiplexed.exchange import PendingExchange
from saffronstack.upstream.multiplexed.in_flight import MAX_ABANDONED_TAGS, MAX_ANSWERED_TAGS
from tests.support.limited_socket import LimitedSocket
from tests.support.platform import WAIT_S, Client, ScriptedHost, gateway
from tests.support.stack import eventually
from tests.support.unscheduled_threads import returns_without_new_threads

WORKER = WorkerSpec(7, "s-7", "127.0.0.1", 1)


class ThreadlessUpstream:
    """A dispatcher without threads: its connections write to limited sockets, tests advance its clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, capacity: int = 1_000_000) -> None:
        self.now = 100.0
        self.reported: list[AttemptResult] = []
        self.sockets: list[LimitedSocket] = []
        self.connections: list[MultiplexedConnection] = []
        self.capacity = capacity
        monkeypatch.setattr(MultiplexedConnection, "start", self._start)
        writer = WriteLoop(lambda: self.now)
        limits = ConnectionLimits(streams=4)
        self.dispatcher = MultiplexedDispatcher(
            limits, ConnectionBudget(1), writer, self._report, lambda: self.now, 5.0
        )
        self.dispatcher.update_workers([WORKER], [])

    def _report(self, event: Any) -> None:
        self.reported.append(event)

    def _start(self) -> None:
        connection = self.dispatcher.pools()[7].connections[-1]
        sock = LimitedSocket(self.capacity)
        write_buffer = WriteBuffer(sock, connection._context.write_loop, 1_000_000, 3.0, lambda: self.now)  # type: ignore[arg-type]
        connection._write_buffer = write_buffer
        connection._in_flight.on_connected()
        self.sockets.append(sock)
        self.connections.append(connection)

    def call(self, number: int, request: str = "") -> Call:
        function = FunctionSpec("f" * 16, 5, 0, 100.0)
        call = Call(number, request or f"{number:016x}", function, b"body", self.now + 3.0, class_name="sell")
        self.dispatcher.send(call, 0, 7, 0.0)
        return call

    def unblock(self) -> bool:
        """Remove the first socket's limit, flush its write buffer and return whether all was written."""
        self.sockets[0].capacity = 100_000
        write_buffer = self.connections[0]._write_buffer
        return write_buffer is not None and write_buffer.flush()

    def expire(self) -> None:
        """Expire overdue exchanges, as the deadline timer's thread does."""
        for key in self.dispatcher.deadlines.pop_overdue(self.now):
            self.dispatcher.expire(key)

    def results(self) -> list[tuple[int, Result]]:
        """Return the call number and result of each reported attempt."""
        return [(end.call.number, end.outcome.result) for end in self.reported]


@pytest.fixture
def upstream(monkeypatch: pytest.MonkeyPatch) -> ThreadlessUpstream:
    return ThreadlessUpstream(monkeypatch)


@pytest.mark.parametrize(("capacity", "result"), [(0, Result.CONNECT_FAILED), (30, Result.CONNECT_FAILED)])
def test_a_request_that_was_not_sent_completely_was_never_executed(
    monkeypatch: pytest.MonkeyPatch, capacity: int, result: Result
) -> None:
    upstream = ThreadlessUpstream(monkeypatch, capacity)
    upstream.call(1)
    upstream.connections[0]._close()
    assert upstream.results() == [(1, result)]


def test_a_request_that_was_sent_completely_may_have_been_executed(upstream: ThreadlessUpstream) -> None:
    upstream.call(1)
    upstream.connections[0]._close()
    assert upstream.results() == [(1, Result.RESET)]


def test_a_queued_request_is_not_sent_to_a_worker_that_began_to_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    upstream = ThreadlessUpstream(monkeypatch, capacity=30)
    upstream.call(1)
    upstream.call(2)
    upstream.dispatcher.update_workers([WorkerSpec(7, "s-7", "127.0.0.1", 1, is_draining=True)], [])
    assert upstream.unblock()
    # Only the partially sent line is completed, as an incomplete line would break the connection.
    assert upstream.sockets[0].sent.count(b"CALL") == 1
    assert upstream.results() == [(2, Result.NOT_STARTED)]


def test_a_request_that_is_cancelled_while_it_is_queued_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    upstream = ThreadlessUpstream(monkeypatch, capacity=0)
    call = upstream.call(1)
    upstream.dispatcher.cancel(call, 0)
    assert upstream.results() == [(1, Result.NOT_STARTED)]
    assert upstream.unblock()
    assert not upstream.sockets[0].sent


def test_a_cancellation_notifies_the_worker_and_a_late_response_ends_nothing(
    upstream: ThreadlessUpstream,
) -> None:
    call = upstream.call(1)
    upstream.dispatcher.cancel(call, 0)
    assert upstream.results() == [(1, Result.CANCELLED)]
    assert upstream.sockets[0].sent.endswith(b'{"what":"CANCEL","tag":"0000000000000001"}\n')
    connection = upstream.connections[0]
    # Its response may still arrive and would be matched to a new request with this tag.
    assert not connection.can_accept("0000000000000001")
    connection._on_response(codec.decode_response(b'{"what":"OK","tag":"0000000000000001","blob":"eA=="}'))
    assert len(upstream.reported) == 1
    assert not call.is_finished
    assert connection.can_accept("0000000000000001")


def test_a_connection_with_too_many_abandoned_tags_accepts_nothing_new(
    upstream: ThreadlessUpstream,
) -> None:
    connection = None
    for number in range(1, MAX_ABANDONED_TAGS + 1):
        call = upstream.call(number)
        connection = upstream.connections[0]
        upstream.dispatcher.cancel(call, 0)
    assert connection is not None
    assert not connection.can_accept("f" * 16)
    assert len(upstream.connections) == 1


def test_an_overdue_request_times_out_and_its_worker_counts_as_unresponsive_until_then(
    upstream: ThreadlessUpstream,
) -> None:
    upstream.call(1)
    upstream.now += 2.0
    assert upstream.dispatcher.pools()[7].unresponsive_s == pytest.approx(2.0)
    upstream.now += 1.5
    upstream.expire()
    assert upstream.results() == [(1, Result.TIMEOUT)]
    assert not upstream.dispatcher.in_flight
    assert upstream.dispatcher.pools()[7].unresponsive_s == 0.0


def test_a_worker_that_returns_at_another_address_is_another_worker(upstream: ThreadlessUpstream) -> None:
    upstream.call(1)
    before = upstream.dispatcher.pools()[7]
    upstream.dispatcher.update_workers([WorkerSpec(7, "s-7", "127.0.0.1", 2)], [])
    after = upstream.dispatcher.pools()[7]
    assert after is not before
    assert before.is_closed
    assert not before.connections[0].can_accept("f" * 16)


def sent_remaining_ms(upstream: ThreadlessUpstream) -> list[int]:
    """Return the remaining times, in milliseconds, that were sent to the worker."""
    lines = upstream.sockets[0].sent.splitlines()
    return [json.loads(line)["with"]["w"] for line in lines if b'"CALL"' in line]


def test_the_wait_sent_to_a_worker_is_what_remains_when_the_first_byte_is_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    upstream = ThreadlessUpstream(monkeypatch, capacity=0)
    upstream.call(1)  # 3 s remain; 2 s of them pass in the write buffer
    upstream.now += 2.0
    assert upstream.unblock()
    assert sent_remaining_ms(upstream) == [1000]


def test_an_attempt_with_no_time_remaining_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    upstream = ThreadlessUpstream(monkeypatch, capacity=0)
    upstream.call(1)
    upstream.now += 2.9995
    assert upstream.unblock()
    assert not upstream.sockets[0].sent
    assert upstream.results() == [(1, Result.NOT_STARTED)]


@pytest.mark.parametrize(("waited_s", "sent"), [(0.2, 1), (0.25, 0)])
def test_an_attempt_is_not_sent_once_it_may_not_start_any_more(
    monkeypatch: pytest.MonkeyPatch, waited_s: float, sent: int
) -> None:
    """Guards against two effects: a retry waited for its connection until workers forgot its key."""
    upstream = ThreadlessUpstream(monkeypatch, capacity=0)
    call = upstream.call(1)
    call.latest_start_s = upstream.now + 0.25
    upstream.now += waited_s
    assert upstream.unblock()
    assert upstream.sockets[0].sent.count(b"CALL") == sent
    assert upstream.results() == ([] if sent else [(1, Result.NOT_STARTED)])


def test_a_duplicate_response_does_not_end_the_next_attempt(upstream: ThreadlessUpstream) -> None:
    """The worker reports twice that it is at capacity, and the request is retried between the two reports.

    The second report must not end the retry: the worker may be executing it, and a further retry would
    execute the request twice.
    """
    call = upstream.call(1)
    connection = upstream.connections[0]
    at_capacity = codec.decode_response(b'{"what":"BUSY","tag":"0000000000000001"}')
    connection._on_response(at_capacity)
    assert upstream.results() == [(1, Result.AT_CAPACITY)]
    upstream.dispatcher.send(call, 1, 7, 0.0)
    connection._on_response(at_capacity)
    assert upstream.results() == [(1, Result.AT_CAPACITY)]
    assert len(upstream.connections) == 2
    for number in range(2, 2 + MAX_ANSWERED_TAGS):  # the number of stored answered tags is bounded
        upstream.call(number)
        connection._on_response(codec.decode_response(b'{"what":"OK","tag":"%016x"}' % number))
    assert len(connection._in_flight._answered_tags) <= MAX_ANSWERED_TAGS


def test_a_connection_that_closes_while_a_first_byte_is_sent_reports_what_was_sent(
    upstream: ThreadlessUpstream, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection closes after a thread has claimed the exchange and before it sends the bytes."""
    upstream.call(1)  # opens the connection
    connection, sock = upstream.connections[0], upstream.sockets[0]
    claimed = threading.Event()
    send, write_buffer = sock.send, connection._write_buffer
    assert write_buffer is not None
    discard_buffer = write_buffer.discard
    discard_started = threading.Event()

    def send_late(data: bytes, flags: int = 0) -> int:
        claimed.set()
        assert discard_started.wait(WAIT_S)
        return send(data, flags)

    def discard() -> None:
        discard_started.set()
        discard_buffer()

    def close_connection() -> None:
        assert claimed.wait(WAIT_S)
        connection._close()

    monkeypatch.setattr(sock, "send", send_late)
    monkeypatch.setattr(write_buffer, "discard", discard)
    closer = threading.Thread(target=close_connection)
    closer.start()
    upstream.call(2)
    closer.join(WAIT_S)
    assert sorted(upstream.results()) == [(1, Result.RESET), (2, Result.RESET)]


def test_an_exchange_whose_connection_has_closed_can_not_be_claimed(
    upstream: ThreadlessUpstream, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No first byte may be sent after a connection closes and before its exchanges have ended."""
    upstream.call(1)
    connection = upstream.connections[0]
    (exchange,) = connection._in_flight._exchanges.values()
    exchange.is_started, exchange.progress = False, SendProgress.NOTHING
    write_buffer = connection._write_buffer
    assert write_buffer is not None
    claims: list[bool] = []
    monkeypatch.setattr(write_buffer, "discard", lambda: claims.append(connection.claim(exchange)))
    connection._close()
    assert claims == [False]
    assert upstream.results() == [(1, Result.CONNECT_FAILED)]


def test_a_request_that_is_given_up_half_sent_is_never_completed(monkeypatch: pytest.MonkeyPatch) -> None:
    upstream = ThreadlessUpstream(monkeypatch, capacity=30)
    call = upstream.call(1)
    connection = upstream.connections[0]
    aborts: list[bool] = []
    monkeypatch.setattr(connection, "abort", lambda: aborts.append(True))
    call.finish(FinalAnswer(FinalStatus.CLIENT_DISCONNECTED))
    upstream.dispatcher.cancel(call, 0)
    assert aborts == [True]


def test_an_attempt_that_expires_while_it_is_submitted_ends_all_the_same(
    upstream: ThreadlessUpstream, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The deadline timer's thread runs between the steps of a send."""
    submit = MultiplexedPool.submit

    def expire_then_submit(pool: MultiplexedPool, exchange: PendingExchange) -> bool:
        for key in upstream.dispatcher.deadlines.pop_overdue(exchange.deadline_s):
            upstream.dispatcher.expire(key)
        return submit(pool, exchange)

    monkeypatch.setattr(MultiplexedPool, "submit", expire_then_submit)
    upstream.call(1)
    upstream.now += 4.0
    upstream.expire()
    assert len(upstream.reported) == 1
    assert not upstream.dispatcher.in_flight


class SlowConnect:
    """Delays the establishing of connections to workers until `release` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.started, self.release = threading.Semaphore(0), threading.Event()
        connect = MultiplexedConnection._connect

        def connect_late(connection: MultiplexedConnection) -> bool:
            self.started.release()
            assert self.release.wait(WAIT_S)
            return connect(connection)

        monkeypatch.setattr(MultiplexedConnection, "_connect", connect_late)


@pytest.mark.parametrize(
    "change", ["client disconnects", "worker drains", "worker is removed", "connection is aborted"]
)
def test_an_obsolete_request_is_not_sent_once_its_connection_is_established(
    monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    host = ScriptedHost()
    directory = StubDnsServer(HostEntry("s-1", host.address))
    slow_connect = SlowConnect(monkeypatch)
    with gateway(directory) as service:
        client, other = Client(service.frontend.address), Client(service.frontend.address)
        tag = client.call(class_name=b"sell")
        assert slow_connect.started.acquire(timeout=WAIT_S)
        (connection,) = service.dispatcher.pools().popitem()[1].connections
        eventually(lambda: connection.in_flight)  # the request is queued for it
        decisions_resumed = threading.Event()
        if change == "client disconnects":
            # The decision thread is paused, so that it cancels the attempt only after the connect.
            decisions_paused = threading.Event()

            def pause_decisions(now: float, router: Router) -> None:
                decisions_paused.set()
                assert decisions_resumed.wait(WAIT_S)

            service.engine.inspect(pause_decisions)
            assert decisions_paused.wait(WAIT_S)
            client.sock.close()
            eventually(lambda: not service.frontend.open_calls)
        elif change == "worker drains":
            directory.update_and_wait(HostEntry("s-1", host.address, draining=True))
        elif change == "worker is removed":
            directory.update_and_wait()
        else:
            connection.abort()
        slow_connect.release.set()
        if change == "client disconnects":
            eventually(lambda: not connection.in_flight)
            decisions_resumed.set()
            assert other.call_and_read(subject=9)[0] == "OK"
            assert host.next_message()["with"]["k"] == f"{9:016x}"
        else:  # it was never sent, and the only worker was tried
            assert client.read()[:2] == (tag, "BUSY")
        assert host.messages.empty()
        eventually(lambda: not service.dispatcher.in_flight)
    host.close()


def test_a_call_is_sent_without_waiting_for_a_new_thread_to_be_scheduled() -> None:
    """Regression test: waiting for a new connection's thread to be scheduled on a busy machine blocked the
    decision thread, and so delayed all calls."""
    reported: queue.SimpleQueue[Any] = queue.SimpleQueue()
    dispatcher = MultiplexedDispatcher(
        ConnectionLimits(), ConnectionBudget(1), WriteLoop(time.monotonic), reported.put, time.monotonic, 5.0
    )
    dispatcher.update_workers([WORKER], [])
    call = Call(1, "1" * 16, FunctionSpec("f" * 16, 5, 0, 100.0), b"", time.monotonic() + 2 * WAIT_S)
    assert returns_without_new_threads(lambda: dispatcher.send(call, 0, WORKER.number, 0.0))
    assert reported.get(timeout=WAIT_S).outcome.result is Result.CONNECT_FAILED  # no listener at that address
