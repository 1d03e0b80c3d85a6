"""One small test for each rule."""

from __future__ import annotations

import pytest

from saffronstack.routing.actions import Fail, Reject, SendAttempt
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Result,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import PermissionSettings, RuleSettings

from .helpers import (
    DRAINING,
    GONE,
    KEYED_ALL,
    KEYED_CELL,
    KEYED_ZONE,
    SAFE,
    UNSAFE,
    Gateway,
    change,
    entry,
    finals,
    full,
    router,
    sends,
    settings,
)

MAYBE_RAN = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.AT_CAPACITY, Result.CONNECT_FAILED, Result.NOT_LOADED]


def test_no_worker_gives_one_lawful_answer() -> None:
    gateway = Gateway(Router(settings(), 1))
    _, actions = gateway.ask(100.0)
    assert [type(a) for a in actions] == [Reject]


def test_all_draining_gives_one_lawful_answer() -> None:
    gateway = Gateway(router(1, 2))
    gateway.decider.handle(101.0, change(entry(1, DRAINING), entry(2, DRAINING)))
    _, actions = gateway.ask(101.0, UNSAFE)
    assert len(finals(actions)) == 1 and not sends(actions)


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    gateway = Gateway(router(1, 2))
    number, _ = gateway.ask(100.0)
    actions = gateway.end(103.0, number, Result.TIMEOUT)
    assert len(finals(actions)) == 1 and not sends(actions)


def test_nothing_is_sent_after_the_client_left() -> None:
    gateway = Gateway(router(1, 2))
    number, _ = gateway.ask(100.0)
    gateway.decider.handle(100.1, ClientDisconnected(number))
    assert not sends(gateway.end(100.2, number, Result.AT_CAPACITY))
    assert not finals(gateway.decider.handle(100.3, ClientDisconnected(number)))


def test_gone_racing_an_outcome_is_ignored() -> None:
    gateway = Gateway(router(1, 2))
    number, _ = gateway.ask(100.0)
    assert not finals(gateway.end(100.1, number))
    assert gateway.decider.handle(100.1, ClientDisconnected(number)) == []


def test_stray_outcome_of_an_unknown_request_is_ignored() -> None:
    assert router(1).handle(100.0, AttemptOutcome(99, 0, 1, Result.ERROR, 0.1)) == []


@pytest.mark.parametrize("result", MAYBE_RAN)
def test_unsafe_that_may_have_run_only_fails(result: Result) -> None:
    gateway = Gateway(router(1, 2))
    number, _ = gateway.ask(100.0, UNSAFE)
    assert gateway.end(100.1, number, result) == [Fail(number)]


@pytest.mark.parametrize("result", NEVER_RAN)
def test_unsafe_that_never_ran_goes_again_and_is_refused_at_last(result: Result) -> None:
    gateway = Gateway(router(1, 2))
    number, first = gateway.ask(100.0, UNSAFE)
    second = gateway.end(100.1, number, result)
    assert {a.worker_id for a in sends(first) + sends(second)} == {1, 2}
    last = gateway.end(100.2, number, result)
    while not finals(last):
        last = gateway.end(100.2, number, result)
    assert [type(a) for a in finals(last)] == [Reject]


def test_safe_that_may_have_run_goes_again() -> None:
    gateway = Gateway(router(1, 2))
    number, _ = gateway.ask(100.0, SAFE)
    assert len(sends(gateway.end(100.1, number, Result.RESET))) == 1


@pytest.mark.parametrize(("cls", "allowed"), [(KEYED_ZONE, {2, 3}), (KEYED_CELL, {2})])
def test_keyed_that_may_have_run_stays_in_its_group(cls: int, allowed: set[int]) -> None:
    lines = [
        entry(1, zone=0, cell=0),
        entry(2, zone=0, cell=0),
        entry(3, zone=0, cell=1),
        entry(4, zone=1, cell=2),
    ]
    for function in range(40):
        gateway = Gateway(Router(settings(), 5))
        gateway.decider.handle(100.0, full(*lines))
        number, first = gateway.ask(100.0, cls, function)
        if sends(first)[0].worker_id != 1:
            continue
        seen = set()
        actions = gateway.end(100.1, number, Result.ERROR)
        while sends(actions):
            seen.add(sends(actions)[0].worker_id)
            actions = gateway.end(100.2, number, Result.AT_CAPACITY)
        assert seen <= allowed and seen
        assert finals(actions) == [Fail(number)]
        return
    pytest.fail("no function sent the first attempt to worker 1")


def test_keyed_goes_no_more_when_its_window_has_passed() -> None:
    gateway = Gateway(router(1, 2))
    number, _ = gateway.ask(100.0, KEYED_ALL)
    actions = gateway.end(102.0, number, Result.ERROR)
    assert not sends(actions) and len(finals(actions)) == 1


def test_attempts_stay_under_the_most_allowed() -> None:
    gateway = Gateway(router(*range(1, 9), permissions=PermissionSettings(max_attempts=3)))
    number, _ = gateway.ask(100.0)
    gateway.end(100.1, number, Result.AT_CAPACITY)
    gateway.end(100.2, number, Result.AT_CAPACITY)
    actions = gateway.end(100.3, number, Result.AT_CAPACITY)
    assert not sends(actions) and len(finals(actions)) == 1


@pytest.mark.parametrize("told", ["change", "gone", "omitted"])
def test_nothing_new_to_a_worker_that_drains_or_is_gone(told: str) -> None:
    gateway = Gateway(router(1, 2))
    for step in range(4):  # entries at both
        one, _ = gateway.ask(100.0, function_id=step)
        two, _ = gateway.ask(100.0, function_id=step + 4)
        gateway.end(100.5, one)
        gateway.end(100.5, two)
    update = {
        "change": change(entry(1, DRAINING)),
        "gone": change(entry(1, GONE)),
        "omitted": full(entry(2)),
    }[told]
    gateway.decider.handle(101.0, update)
    for step in range(20):
        number, actions = gateway.ask(101.0, function_id=step)
        assert [a.worker_id for a in sends(actions)] == [2]
        gateway.end(101.0, number)


def test_a_worker_that_comes_back_is_used_again_and_slowly() -> None:
    rules = RuleSettings(
        slow_start_min_fraction=0.2, slow_start_s=10.0, overload_multiple=2.0, overload_window_s=1.0
    )
    gateway = Gateway(router(1, rules=rules))
    gateway.decider.handle(101.0, change(entry(1, GONE)))
    gateway.decider.handle(102.0, change(entry(1, started_s=101.9), entry(2)))
    count = 0
    for step in range(2000):
        now = 102.0 + step * 0.01
        number, actions = gateway.ask(now, function_id=step)
        count += sends(actions)[0].worker_id == 1
        gateway.end(now, number)
    assert count > 10


def _cold_router(instances: int, restart: bool) -> Gateway:
    rules = RuleSettings(
        slow_start_min_fraction=0.2, slow_start_s=10.0, overload_multiple=2.0, overload_window_s=1.0
    )
    decider = Router(settings(rules=rules, gateway_count=instances), 3)
    decider.handle(100.0, EndpointUpdate(EndpointUpdateKind.CACHED, tuple(entry(w) for w in range(2, 6))))
    if restart:
        decider = Router(settings(rules=rules, gateway_count=instances), 4)
        decider.handle(
            120.0,
            EndpointUpdate(
                EndpointUpdateKind.CACHED, (entry(1, started_s=119.5), *(entry(w) for w in range(2, 6)))
            ),
        )
    return Gateway(decider)


@pytest.mark.parametrize("restart", [False, True])
def test_no_window_over_the_cold_budget(restart: bool) -> None:
    """100 requests a second over 5 workers, 20 for each: a cold one may get 2 x 0.2 x 20 at first."""
    gateway = _cold_router(3, restart)
    times: list[float] = []
    for step in range(3000):
        now = (120.0 if restart else 100.0) + step * 0.01
        if step == 2000 and not restart:
            gateway.decider.handle(now, change(entry(1, started_s=now - 0.5)))
        number, actions = gateway.ask(now, function_id=step)
        times += [now for a in sends(actions) if a.worker_id == 1]
        gateway.end(now + 0.005, number)
    start = 119.5
    cold = [t for t in times if t < start + 10.0]
    assert cold
    for first in cold:
        share = 0.2 + 0.8 * min(1.0, (first - start) / 10.0)
        assert sum(first <= t < first + 1.0 for t in times) <= 2.0 * share * 20.0 + 1


def test_same_events_same_actions() -> None:
    def play() -> list[str]:
        gateway = Gateway(router(1, 2, 3, 4))
        said = []
        for step in range(200):
            now = 100.0 + step * 0.03
            number, actions = gateway.ask(now, function_id=step % 5)
            said.append(repr(actions))
            found = CacheStatus.STARTED_LOAD if step % 3 else CacheStatus.WARM
            said.append(repr(gateway.end(now + 0.01, number, cache_status=found)))
        return said

    assert play() == play()


def test_the_first_answer_is_a_send() -> None:
    _, actions = Gateway(router(1)).ask(100.0)
    assert any(isinstance(action, SendAttempt) for action in actions)
