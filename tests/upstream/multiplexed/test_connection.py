"""Multiplexed connections: what was sent, what never was, and who may report it."""

from __future__ import annotations

import json
import threading
from typing import Any

import pytest

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.net.write_buffer import SendProgress, WriteBuffer, WriteLoop
from saffronstack.routing.events import Result
from saffronstack.routing.router import Router
from saffronstack.standin.platform import Directory, Entry
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

SPEC = WorkerSpec(7, "s-7", "127.0.0.1", 1)


class Fleet:
    """A dispatcher whose links run on scripted sockets, without threads; ends are kept in ``ends``."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, room: int = 1_000_000) -> None:
        self.now = 100.0
        self.ends: list[AttemptResult] = []
        self.sockets: list[LimitedSocket] = []
        self.links: list[MultiplexedConnection] = []
        self.room = room
        monkeypatch.setattr(MultiplexedConnection, "start", self._start)
        writer = WriteLoop(lambda: self.now)
        limits = ConnectionLimits(streams=4)
        self.dispatcher = MultiplexedDispatcher(
            limits, ConnectionBudget(1), writer, self._tell, lambda: self.now, 5.0
        )
        self.dispatcher.update_workers([SPEC], [])

    def _tell(self, what: Any) -> None:
        self.ends.append(what)

    def _start(self) -> None:
        link = self.dispatcher.pools()[7].connections[-1]
        sock = LimitedSocket(self.room)
        write_buffer = WriteBuffer(sock, link._context.write_loop, 1_000_000, 3.0, lambda: self.now)  # type: ignore[arg-type]
        link._write_buffer = write_buffer
        link._in_flight.on_connected()
        self.sockets.append(sock)
        self.links.append(link)

    def call(self, number: int, request: str = "") -> Call:
        function = FunctionSpec("f" * 16, 5, 0, 100.0)
        call = Call(number, request or f"{number:016x}", function, b"body", self.now + 3.0, class_name="sell")
        self.dispatcher.send(call, 0, 7, 0.0)
        return call

    def results(self) -> list[tuple[int, Result]]:
        return [(end.call.number, end.outcome.result) for end in self.ends]


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    return Fleet(monkeypatch)


@pytest.mark.parametrize(("room", "result"), [(0, Result.CONNECT_FAILED), (30, Result.CONNECT_FAILED)])
def test_a_line_that_never_left_whole_never_ran(
    monkeypatch: pytest.MonkeyPatch, room: int, result: Result
) -> None:
    fleet = Fleet(monkeypatch, room)
    fleet.call(1)
    fleet.links[0]._close()
    assert fleet.results() == [(1, result)]


def test_a_line_that_left_whole_may_have_run(fleet: Fleet) -> None:
    fleet.call(1)
    fleet.links[0]._close()
    assert fleet.results() == [(1, Result.RESET)]


def test_nothing_leaves_for_a_host_that_drains_while_it_waits_in_an_outbox(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet(monkeypatch, room=30)
    fleet.call(1)
    fleet.call(2)
    fleet.dispatcher.update_workers([WorkerSpec(7, "s-7", "127.0.0.1", 1, is_draining=True)], [])
    fleet.sockets[0].room = 100_000
    write_buffer = fleet.links[0]._write_buffer
    assert write_buffer is not None and write_buffer.flush()
    assert fleet.sockets[0].taken.count(b"CALL") == 1  # the line that had begun; half of one breaks the link
    assert fleet.results() == [(2, Result.NOT_STARTED)]


def test_a_call_that_is_answered_while_its_line_waits_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet(monkeypatch, room=0)
    call = fleet.call(1)
    fleet.dispatcher.cancel(call, 0)
    assert fleet.results() == [(1, Result.NOT_STARTED)]
    fleet.sockets[0].room = 100_000
    write_buffer = fleet.links[0]._write_buffer
    assert write_buffer is not None and write_buffer.flush() and not fleet.sockets[0].taken


def test_giving_up_tells_the_host_and_a_late_answer_ends_nothing(fleet: Fleet) -> None:
    call = fleet.call(1)
    fleet.dispatcher.cancel(call, 0)
    assert fleet.results() == [(1, Result.CANCELLED)]
    assert fleet.sockets[0].taken.endswith(b'{"what":"CANCEL","tag":"0000000000000001"}\n')
    link = fleet.links[0]
    assert not link.can_accept(
        "0000000000000001"
    )  # its answer may still come, and would be taken for a new one's
    link._on_response(codec.decode_response(b'{"what":"OK","tag":"0000000000000001","blob":"eA=="}'))
    assert len(fleet.ends) == 1 and not call.is_finished and link.can_accept("0000000000000001")


def test_a_link_with_many_answers_owed_for_nothing_takes_nothing_new(fleet: Fleet) -> None:
    link = None
    for number in range(1, MAX_ABANDONED_TAGS + 1):
        call = fleet.call(number)
        link = fleet.links[0]
        fleet.dispatcher.cancel(call, 0)
    assert link is not None and not link.can_accept("f" * 16)
    assert len(fleet.links) == 1


def test_time_outs_and_silence(fleet: Fleet) -> None:
    fleet.call(1)
    fleet.now += 2.0
    assert fleet.dispatcher.pools()[7].unresponsive_s == pytest.approx(2.0)
    fleet.now += 1.5
    for key in fleet.dispatcher.deadlines.pop_overdue(fleet.now):
        fleet.dispatcher.expire(key)
    assert fleet.results() == [(1, Result.TIMEOUT)] and not fleet.dispatcher.in_flight
    assert fleet.dispatcher.pools()[7].unresponsive_s == 0.0


def test_a_number_that_returns_at_another_address_is_another_host(fleet: Fleet) -> None:
    fleet.call(1)
    before = fleet.dispatcher.pools()[7]
    fleet.dispatcher.update_workers([WorkerSpec(7, "s-7", "127.0.0.1", 2)], [])
    after = fleet.dispatcher.pools()[7]
    assert after is not before and before.is_closed and not before.connections[0].can_accept("f" * 16)


def waits_told(fleet: Fleet) -> list[int]:
    """The times that the host was told the gateway waits, in milliseconds."""
    lines = fleet.sockets[0].taken.splitlines()
    return [json.loads(line)["with"]["w"] for line in lines if b'"CALL"' in line]


def test_the_time_told_to_a_host_is_what_is_left_when_the_first_byte_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet(monkeypatch, room=0)
    fleet.call(1)  # three seconds, of which two pass in an outbox
    fleet.now += 2.0
    fleet.sockets[0].room = 100_000
    write_buffer = fleet.links[0]._write_buffer
    assert write_buffer is not None and write_buffer.flush()
    assert waits_told(fleet) == [1000]


def test_an_attempt_for_which_no_time_is_left_does_not_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet(monkeypatch, room=0)
    fleet.call(1)
    fleet.now += 2.9995
    fleet.sockets[0].room = 100_000
    write_buffer = fleet.links[0]._write_buffer
    assert write_buffer is not None and write_buffer.flush() and not fleet.sockets[0].taken
    assert fleet.results() == [(1, Result.NOT_STARTED)]


def test_a_second_answer_that_comes_late_does_not_end_the_next_attempt(fleet: Fleet) -> None:
    """The host answered full, twice; the request goes again between the two, and must not be taken for
    refused: it may be running, and would run twice."""
    call = fleet.call(1)
    link = fleet.links[0]
    full = codec.decode_response(b'{"what":"BUSY","tag":"0000000000000001"}')
    link._on_response(full)
    assert fleet.results() == [(1, Result.AT_CAPACITY)]
    fleet.dispatcher.send(call, 1, 7, 0.0)
    link._on_response(full)
    assert fleet.results() == [(1, Result.AT_CAPACITY)] and len(fleet.links) == 2
    for number in range(2, 2 + MAX_ANSWERED_TAGS):  # what is remembered of a link is bounded
        fleet.call(number)
        link._on_response(codec.decode_response(b'{"what":"OK","tag":"%016x"}' % number))
    assert len(link._in_flight._answered_tags) <= MAX_ANSWERED_TAGS


def test_a_link_that_ends_while_a_first_byte_leaves_says_what_left(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The writing thread holds the item as standing, and its link ends before the bytes go."""
    fleet.call(1)  # opens the link
    link, sock = fleet.links[0], fleet.sockets[0]
    claimed = threading.Event()
    send, write_buffer = sock.send, link._write_buffer
    assert write_buffer is not None
    end = write_buffer.discard
    ending = threading.Event()

    def late(data: bytes, flags: int = 0) -> int:
        claimed.set()
        assert ending.wait(WAIT_S)
        return send(data, flags)

    def told() -> None:
        ending.set()
        end()

    def end_the_link() -> None:
        assert claimed.wait(WAIT_S)
        link._close()

    monkeypatch.setattr(sock, "send", late)
    monkeypatch.setattr(write_buffer, "discard", told)
    ender = threading.Thread(target=end_the_link)
    ender.start()
    fleet.call(2)
    ender.join(WAIT_S)
    assert sorted(fleet.results()) == [(1, Result.RESET), (2, Result.RESET)]


def test_an_item_whose_link_has_ended_is_claimed_by_nobody(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between the end of a link and the end of its items: no first byte may leave any more."""
    fleet.call(1)
    link = fleet.links[0]
    (item,) = link._in_flight._exchanges.values()
    item.is_started, item.progress = False, SendProgress.NOTHING
    write_buffer = link._write_buffer
    assert write_buffer is not None
    claims: list[bool] = []
    monkeypatch.setattr(write_buffer, "discard", lambda: claims.append(link.claim(item)))
    link._close()
    assert claims == [False]
    assert fleet.results() == [(1, Result.CONNECT_FAILED)]


def test_half_a_line_that_is_given_up_is_never_made_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet(monkeypatch, room=30)
    call = fleet.call(1)
    link = fleet.links[0]
    shut: list[bool] = []
    monkeypatch.setattr(link, "abort", lambda: shut.append(True))
    call.finish(FinalAnswer(FinalStatus.CLIENT_DISCONNECTED))
    fleet.dispatcher.cancel(call, 0)
    assert shut == [True]


def test_a_call_that_is_due_while_it_is_handed_over_is_given_up_all_the_same(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The deadlines' thread looks between the steps of a send."""
    submit = MultiplexedPool.submit

    def slow(pool: MultiplexedPool, item: PendingExchange) -> bool:
        for key in fleet.dispatcher.deadlines.pop_overdue(item.deadline_s):
            fleet.dispatcher.expire(key)
        return submit(pool, item)

    monkeypatch.setattr(MultiplexedPool, "submit", slow)
    fleet.call(1)
    fleet.now += 4.0
    for key in fleet.dispatcher.deadlines.pop_overdue(fleet.now):
        fleet.dispatcher.expire(key)
    assert len(fleet.ends) == 1 and not fleet.dispatcher.in_flight


class SlowConnect:
    """Connections of the gateway's links come up once they are released."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.begun, self.release = threading.Semaphore(0), threading.Event()
        connect = MultiplexedConnection._connect

        def late(link: MultiplexedConnection) -> bool:
            self.begun.release()
            assert self.release.wait(WAIT_S)
            return connect(link)

        monkeypatch.setattr(MultiplexedConnection, "_connect", late)


@pytest.mark.parametrize("change", ["client leaves", "host drains", "host goes", "link is ended"])
def test_nothing_leaves_on_a_connection_that_comes_up_after_things_changed(
    monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    host = ScriptedHost()
    directory = Directory(Entry("s-1", host.address))
    slow = SlowConnect(monkeypatch)
    with gateway(directory) as service:
        client, other = Client(service.front.address), Client(service.front.address)
        tag = client.call(cls=b"sell")
        assert slow.begun.acquire(timeout=WAIT_S)
        (link,) = service.hosts.pools().popitem()[1].connections
        eventually(lambda: link.in_flight)  # the call waits for it
        decided = threading.Event()
        if change == "client leaves":  # and nobody has decided yet what that means for its attempt
            held = threading.Event()

            def hold(now: float, router: Router) -> None:
                held.set()
                assert decided.wait(WAIT_S)

            service.engine.inspect(hold)
            assert held.wait(WAIT_S)
            client.sock.close()
            eventually(lambda: not service.front.open_calls)
        elif change == "host drains":
            directory.tell(Entry("s-1", host.address, draining=True))
        elif change == "host goes":
            directory.tell()
        else:
            link.abort()
        slow.release.set()
        if change == "client leaves":
            eventually(lambda: not link.in_flight)
            decided.set()
            assert other.ask(subject=9)[0] == "OK" and host.next()["with"]["k"] == f"{9:016x}"
        else:  # it never left, and the one host was tried
            assert client.read()[:2] == (tag, "BUSY")
        assert host.seen.empty()
        eventually(lambda: not service.hosts.in_flight)
    host.close()
