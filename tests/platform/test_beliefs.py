"""The router's view of workers compared with what passes on their connections."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.platform.beliefs import Beliefs


@dataclass
class Worker:
    is_ready: bool = True
    attempts_in_flight: int = 0
    is_ejected: bool = False


@dataclass
class Host:
    name: str = "s-7"
    is_closed: bool = False
    succeeded: int = 0
    failed: int = 0
    in_flight: int = 0
    unresponsive_s: float = 0.0


def test_a_difference_counts_when_two_looks_find_it() -> None:
    beliefs, worker, host = Beliefs(), Worker(attempts_in_flight=1), Host()
    assert beliefs.look(0.0, {7: worker}, {7: host}) == []
    worker.attempts_in_flight = 0  # the event was on its way
    beliefs.look(0.25, {7: worker}, {7: host})
    assert not beliefs.tallies
    worker.attempts_in_flight = 2
    beliefs.look(0.5, {7: worker}, {7: host})
    (told,) = beliefs.look(0.75, {7: worker}, {7: host})
    assert (told.kind, told.believed, told.seen) == ("open_attempts", 2, 0)
    worker.attempts_in_flight = 0
    beliefs.look(2.0, {7: worker}, {7: host})
    assert beliefs.summary() == {"open_attempts": "1 times, longest 1.5 s (s-7: module 2, links 0)"}


def test_states_and_health_are_compared() -> None:
    beliefs = Beliefs()

    def kinds(worker: Worker, host: Host) -> set[str]:
        beliefs.look(0.0, {7: worker}, {7: host})
        return {one.kind for one in beliefs.look(1.0, {7: worker}, {7: host})}

    assert kinds(Worker(), Host(is_closed=True)) == {"ready"}
    assert kinds(Worker(), Host(unresponsive_s=1.5)) == {"silent"}
    out = Worker(is_ejected=True)
    assert kinds(out, Host(succeeded=100)) == set()
    assert kinds(out, Host(succeeded=108)) == {"ejected"}
    assert kinds(out, Host(succeeded=108, failed=1)) == set()
    beliefs.look(2.0, {}, {7: Host()})
    assert {one.kind for one in beliefs.look(3.0, {}, {7: Host()})} == {"unknown"}
    beliefs.look(4.0, {7: Worker()}, {})
    assert {one.kind for one in beliefs.look(5.0, {7: Worker()}, {})} == {"gone"}
    assert not beliefs._out
