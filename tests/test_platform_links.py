"""Links, items and beliefs without sockets: what left, what never did, and who may say so."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Any

import pytest

from saffronstack.core.calls import AttemptEnd, Call, FunctionSpec
from saffronstack.core.roster import WorkerSpec
from saffronstack.hosts.dispatcher import HostDispatcher
from saffronstack.hosts.link import ABANDONED_MOST, Link, LinkLimits
from saffronstack.hosts.pool import LinkBudget
from saffronstack.interface import Result
from saffronstack.net.outlet import Outlet, Writer
from saffronstack.platform.beliefs import Beliefs
from tests.test_platform_codecs import Full

SPEC = WorkerSpec(7, "s-7", "127.0.0.1", 1)


class Fleet:
    """A dispatcher whose links run on scripted sockets, without threads; ends are kept in ``ends``."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, room: int = 1_000_000) -> None:
        self.now = 100.0
        self.ends: list[AttemptEnd] = []
        self.sockets: list[Full] = []
        self.links: list[Link] = []
        self.room = room
        monkeypatch.setattr(Link, "start", self._start)
        writer = Writer(lambda: self.now)
        limits = LinkLimits(streams=4)
        self.dispatcher = HostDispatcher(limits, LinkBudget(1), writer, self._tell, lambda: self.now, 5.0)
        self.dispatcher.changed([SPEC], [])

    def _tell(self, what: Any) -> None:
        self.ends.append(what)

    def _start(self) -> None:
        link = self.dispatcher.passed()[7].links[-1]
        sock = Full(self.room)
        outlet = Outlet(sock, link._writer, 1_000_000, 3.0, lambda: self.now)  # type: ignore[arg-type]
        link._outlet = outlet
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
    fleet.links[0]._end()
    assert fleet.results() == [(1, result)]


def test_a_line_that_left_whole_may_have_run(fleet: Fleet) -> None:
    fleet.call(1)
    fleet.links[0]._end()
    assert fleet.results() == [(1, Result.RESET)]


def test_nothing_leaves_for_a_host_that_drains_while_it_waits_in_an_outbox(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet(monkeypatch, room=30)
    fleet.call(1)
    fleet.call(2)
    fleet.dispatcher.changed([WorkerSpec(7, "s-7", "127.0.0.1", 1, draining=True)], [])
    fleet.sockets[0].room = 100_000
    outlet = fleet.links[0]._outlet
    assert outlet is not None and outlet.flush()
    assert fleet.sockets[0].taken.count(b"CALL") == 1  # the line that had begun; half of one breaks the link
    assert fleet.results() == [(2, Result.MOOT)]


def test_a_call_that_is_answered_while_its_line_waits_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet(monkeypatch, room=0)
    call = fleet.call(1)
    fleet.dispatcher.cancel(call, 0)
    assert fleet.results() == [(1, Result.MOOT)]
    fleet.sockets[0].room = 100_000
    outlet = fleet.links[0]._outlet
    assert outlet is not None and outlet.flush() and not fleet.sockets[0].taken


def test_giving_up_tells_the_host_and_a_late_answer_ends_nothing(fleet: Fleet) -> None:
    call = fleet.call(1)
    fleet.dispatcher.cancel(call, 0)
    assert fleet.results() == [(1, Result.CANCELLED)]
    assert fleet.sockets[0].taken.endswith(b'{"what":"CANCEL","tag":"0000000000000001"}\n')
    link = fleet.links[0]
    assert not link.takes("0000000000000001")  # its answer may still come, and would be taken for a new one's
    from saffronstack.hosts import codec

    link._heard(codec.answer_of(b'{"what":"OK","tag":"0000000000000001","blob":"eA=="}'))
    assert len(fleet.ends) == 1 and not call.settled and link.takes("0000000000000001")


def test_a_link_with_many_answers_owed_for_nothing_takes_nothing_new(fleet: Fleet) -> None:
    link = None
    for number in range(1, ABANDONED_MOST + 1):
        call = fleet.call(number)
        link = fleet.links[0]
        fleet.dispatcher.cancel(call, 0)
    assert link is not None and not link.takes("f" * 16)
    assert len(fleet.links) == 1


def test_time_outs_and_silence(fleet: Fleet) -> None:
    fleet.call(1)
    fleet.now += 2.0
    assert fleet.dispatcher.passed()[7].silent_s == pytest.approx(2.0)
    fleet.now += 1.5
    for key in fleet.dispatcher.deadlines.due(fleet.now):
        fleet.dispatcher.expire(key)
    assert fleet.results() == [(1, Result.TIMEOUT)] and not fleet.dispatcher.out
    assert fleet.dispatcher.passed()[7].silent_s == 0.0


def test_a_number_that_returns_at_another_address_is_another_host(fleet: Fleet) -> None:
    fleet.call(1)
    before = fleet.dispatcher.passed()[7]
    fleet.dispatcher.changed([WorkerSpec(7, "s-7", "127.0.0.1", 2)], [])
    after = fleet.dispatcher.passed()[7]
    assert after is not before and before.closed and not before.links[0].takes("f" * 16)


@dataclass
class Worker:
    ready: bool = True
    in_flight: int = 0
    ejected: bool = False


@dataclass
class Host:
    name: str = "s-7"
    closed: bool = False
    answers: int = 0
    broken: int = 0
    open: int = 0
    silent_s: float = 0.0


def test_a_difference_counts_when_two_looks_find_it() -> None:
    beliefs, worker, host = Beliefs(), Worker(in_flight=1), Host()
    assert beliefs.look(0.0, {7: worker}, {7: host}) == []
    worker.in_flight = 0  # the event was on its way
    beliefs.look(0.25, {7: worker}, {7: host})
    assert not beliefs.tallies
    worker.in_flight = 2
    beliefs.look(0.5, {7: worker}, {7: host})
    (told,) = beliefs.look(0.75, {7: worker}, {7: host})
    assert (told.kind, told.believed, told.seen) == ("open_attempts", 2, 0)
    worker.in_flight = 0
    beliefs.look(2.0, {7: worker}, {7: host})
    assert beliefs.summary() == {"open_attempts": "1 times, longest 1.5 s (s-7: module 2, links 0)"}


def test_states_and_health_are_compared() -> None:
    beliefs = Beliefs()

    def kinds(worker: Worker, host: Host) -> set[str]:
        beliefs.look(0.0, {7: worker}, {7: host})
        return {one.kind for one in beliefs.look(1.0, {7: worker}, {7: host})}

    assert kinds(Worker(), Host(closed=True)) == {"ready"}
    assert kinds(Worker(), Host(silent_s=1.5)) == {"silent"}
    out = Worker(ejected=True)
    assert kinds(out, Host(answers=100)) == set()
    assert kinds(out, Host(answers=108)) == {"ejected"}
    assert kinds(out, Host(answers=108, broken=1)) == set()
    beliefs.look(2.0, {}, {7: Host()})
    assert {one.kind for one in beliefs.look(3.0, {}, {7: Host()})} == {"unknown"}
    beliefs.look(4.0, {7: Worker()}, {})
    assert {one.kind for one in beliefs.look(5.0, {7: Worker()}, {})} == {"gone"}
    assert not beliefs._out


def test_a_stopped_writer_writes_into_no_ones_descriptor() -> None:
    writer = Writer(lambda: 0.0)
    writer.start()
    assert writer.stop()
    reused, other = socket.socketpair()
    with reused, other:
        other.setblocking(False)
        writer.watch(Outlet(reused, writer, 10, 1.0, lambda: 0.0))
        with pytest.raises(BlockingIOError):
            other.recv(8)
