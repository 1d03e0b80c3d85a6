"""The router's state of workers is compared with the state of their connections."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.platform.router_state_check import RouterStateCheck


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


def test_a_discrepancy_counts_once_two_checks_find_it() -> None:
    state_check, worker, host = RouterStateCheck(), Worker(attempts_in_flight=1), Host()
    assert state_check.check(0.0, {7: worker}, {7: host}) == []
    worker.attempts_in_flight = 0  # the event was still queued
    state_check.check(0.25, {7: worker}, {7: host})
    assert not state_check.statistics
    worker.attempts_in_flight = 2
    state_check.check(0.5, {7: worker}, {7: host})
    (discrepancy,) = state_check.check(0.75, {7: worker}, {7: host})
    assert (discrepancy.kind, discrepancy.router_value, discrepancy.connection_value) == (
        "open_attempts",
        2,
        0,
    )
    worker.attempts_in_flight = 0
    state_check.check(2.0, {7: worker}, {7: host})
    assert state_check.summary() == {"open_attempts": "1 times, longest 1.5 s (s-7: module 2, links 0)"}


def test_readiness_and_health_are_compared() -> None:
    state_check = RouterStateCheck()

    def kinds(worker: Worker, host: Host) -> set[str]:
        state_check.check(0.0, {7: worker}, {7: host})
        return {one.kind for one in state_check.check(1.0, {7: worker}, {7: host})}

    assert kinds(Worker(), Host(is_closed=True)) == {"ready"}
    assert kinds(Worker(), Host(unresponsive_s=1.5)) == {"silent"}
    ejected = Worker(is_ejected=True)
    assert kinds(ejected, Host(succeeded=100)) == set()
    assert kinds(ejected, Host(succeeded=108)) == {"ejected"}
    assert kinds(ejected, Host(succeeded=108, failed=1)) == set()
    state_check.check(2.0, {}, {7: Host()})
    assert {one.kind for one in state_check.check(3.0, {}, {7: Host()})} == {"unknown"}
    state_check.check(4.0, {7: Worker()}, {})
    assert {one.kind for one in state_check.check(5.0, {7: Worker()}, {})} == {"gone"}
    assert not state_check._ejected
