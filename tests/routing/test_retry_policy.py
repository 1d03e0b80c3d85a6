"""Tests of retries: idempotency, deduplication, the retry budget and the final answer."""

from __future__ import annotations

import math

import pytest

from saffronstack.routing.actions import Action, Fail, Reject, SendAttempt
from saffronstack.routing.events import CacheStatus, PriorAttempt, Result, TimerFired
from saffronstack.routing.retry_policy import (
    MAX_RETRY_BUDGET,
    RETRIES_PER_REQUEST,
    WINDOW_MARGIN_S,
    RetryPolicy,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import PermissionSettings
from tests.helpers import KEYED_ALL, KEYED_CELL, KEYED_ZONE, SAFE, UNSAFE, settings
from tests.support.routing import (
    Gateway,
    add_warm_instances,
    attempts_sent,
    endpoint,
    final_answers,
    make_router,
    snapshot,
)
from tests.support.routing_state import make_attempt, make_pending, make_worker

MAYBE_EXECUTED = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_EXECUTED = [Result.AT_CAPACITY, Result.CONNECT_FAILED, Result.NOT_LOADED]


@pytest.mark.parametrize("result", MAYBE_EXECUTED)
def test_a_non_idempotent_request_that_may_have_executed_fails(result: Result) -> None:
    gateway = Gateway(make_router(1, 2))
    number, _ = gateway.request(100.0, UNSAFE)
    assert gateway.finish(100.1, number, result) == [Fail(number)]


@pytest.mark.parametrize("result", NEVER_EXECUTED)
def test_a_non_idempotent_request_that_never_executed_is_retried_then_rejected(result: Result) -> None:
    gateway = Gateway(make_router(1, 2))
    number, first = gateway.request(100.0, UNSAFE)
    second = gateway.finish(100.1, number, result)
    assert {a.worker_id for a in attempts_sent(first) + attempts_sent(second)} == {1, 2}
    last = gateway.finish(100.2, number, result)
    while not final_answers(last):
        last = gateway.finish(100.2, number, result)
    assert [type(a) for a in final_answers(last)] == [Reject]


def test_an_idempotent_request_that_may_have_executed_is_retried() -> None:
    gateway = Gateway(make_router(1, 2))
    number, _ = gateway.request(100.0, SAFE)
    assert len(attempts_sent(gateway.finish(100.1, number, Result.RESET))) == 1


@pytest.mark.parametrize(("class_index", "allowed"), [(KEYED_ZONE, {2, 3}), (KEYED_CELL, {2})])
def test_a_request_with_a_key_is_retried_within_its_deduplication_scope(
    class_index: int, allowed: set[int]
) -> None:
    lines = [
        endpoint(1, zone=0, cell=0),
        endpoint(2, zone=0, cell=0),
        endpoint(3, zone=0, cell=1),
        endpoint(4, zone=1, cell=2),
    ]
    for function in range(40):
        gateway = Gateway(Router(settings(), 5))
        gateway.router.handle(100.0, snapshot(*lines))
        number, first = gateway.request(100.0, class_index, function)
        if attempts_sent(first)[0].worker_id != 1:
            continue
        seen = set()
        actions = gateway.finish(100.1, number, Result.ERROR)
        while attempts_sent(actions):
            seen.add(attempts_sent(actions)[0].worker_id)
            actions = gateway.finish(100.2, number, Result.AT_CAPACITY)
        assert seen <= allowed
        assert seen
        assert final_answers(actions) == [Fail(number)]
        return
    pytest.fail("no function sent the first attempt to worker 1")


def test_a_request_with_a_key_is_not_sent_back_to_another_cell_after_it_may_have_executed() -> None:
    """Guards against two effects: a refused connection in one cell, then a reset in another, then back."""
    gateway = Gateway(Router(settings(), 5))
    cells = {1: 0, 2: 1}
    gateway.router.handle(100.0, snapshot(*(endpoint(worker, cell=cell) for worker, cell in cells.items())))
    add_warm_instances(gateway, 2, now=99.0)
    add_warm_instances(gateway, 1, now=99.5)
    number, first = gateway.request(100.0, KEYED_CELL)
    second = gateway.finish(100.25, number, Result.CONNECT_FAILED)
    assert [send.worker_id for send in attempts_sent(first) + attempts_sent(second)] == [1, 2]
    assert gateway.finish(100.5, number, Result.RESET) == [SendAttempt(number, 2)]
    assert gateway.finish(100.6, number, Result.ERROR) == [Fail(number)]


def test_the_scope_of_a_request_is_where_its_worker_was_when_the_attempt_was_sent() -> None:
    """Guards against two effects: the worker is removed and returns in another cell before the reset."""
    gateway = Gateway(Router(settings(), 5))
    gateway.router.handle(100.0, snapshot(endpoint(1, cell=0)))
    number, _ = gateway.request(100.0, KEYED_CELL)
    gateway.router.handle(100.1, snapshot(endpoint(1, cell=1), endpoint(2, cell=1)))
    assert gateway.finish(100.2, number, Result.RESET) == [Fail(number)]


@pytest.mark.parametrize("delay_s", [0.0, 0.4])
def test_a_queued_retry_of_a_request_with_a_key_stays_in_its_cell(delay_s: float) -> None:
    """Guards against two effects: a free instance, a timer and a load slot must not leave the cell."""
    gateway = Gateway(Router(settings(), 5))
    gateway.router.handle(100.0, snapshot(endpoint(1, cell=0), endpoint(2, cell=1), endpoint(3, cell=0)))
    add_warm_instances(gateway, 1, now=99.0)
    number, _ = gateway.request(100.0, KEYED_CELL)
    limiter = gateway.router.components.load_control
    limiter.loads_in_progress = 1_000  # no load slot: the retry has to wait
    queued = gateway.finish(100.1, number, Result.ERROR)
    assert not attempts_sent(queued)
    assert not final_answers(queued)
    add_warm_instances(gateway, 2, now=100.2)
    limiter.loads_in_progress = 0
    actions = gateway.record(gateway.router.handle(100.2 + delay_s, TimerFired(number)))
    assert [send.worker_id for send in attempts_sent(actions)] == [3]


@pytest.mark.parametrize(
    ("class_index", "latest_start_s"), [(SAFE, math.inf), (KEYED_ALL, 102.0 - WINDOW_MARGIN_S)]
)
def test_a_retry_names_the_time_from_which_it_may_not_start_any_more(
    class_index: int, latest_start_s: float
) -> None:
    """Guards against two effects: a retry may wait for its connection until workers forgot its key."""
    gateway = Gateway(make_router(1, 2))
    number, first = gateway.request(100.0, class_index)
    second = gateway.finish(101.0, number, Result.ERROR)
    times_s = [send.latest_start_s for send in attempts_sent(first) + attempts_sent(second)]
    assert times_s == [math.inf, latest_start_s]


def test_a_request_with_a_key_is_not_retried_after_its_window() -> None:
    gateway = Gateway(make_router(1, 2))
    number, _ = gateway.request(100.0, KEYED_ALL)
    actions = gateway.finish(102.0, number, Result.ERROR)
    assert not attempts_sent(actions)
    assert len(final_answers(actions)) == 1


def test_attempts_stay_within_the_permitted_number() -> None:
    gateway = Gateway(make_router(*range(1, 9), permissions=PermissionSettings(max_attempts=3)))
    number, _ = gateway.request(100.0)
    gateway.finish(100.1, number, Result.AT_CAPACITY)
    gateway.finish(100.2, number, Result.AT_CAPACITY)
    actions = gateway.finish(100.3, number, Result.AT_CAPACITY)
    assert not attempts_sent(actions)
    assert len(final_answers(actions)) == 1


def test_retries_stay_within_their_budget() -> None:
    gateway = Gateway(make_router(*range(1, 41), gateway_count=300))
    attempts = 0
    for step in range(100):
        now = 100.0 + step
        number, actions = gateway.request(now, function_id=step)
        while attempts_sent(actions):
            attempts += 1
            actions = gateway.finish(now, number, Result.AT_CAPACITY, CacheStatus.UNKNOWN)
        gateway.router.handle(now + 0.9, TimerFired(number))
    assert attempts <= 100 + 10 + 20


def test_a_timeout_is_retried_only_where_that_is_harmless() -> None:
    for class_index, is_retried in ((SAFE, True), (UNSAFE, False), (KEYED_CELL, True)):
        gateway = Gateway(make_router(1, 2, 3))
        number, _ = gateway.request(100.0, class_index)
        actions = gateway.finish(101.0, number, Result.TIMEOUT, CacheStatus.UNKNOWN)
        assert bool(attempts_sent(actions)) is is_retried
        assert bool(final_answers(actions)) is not is_retried


def test_a_request_that_finds_all_workers_at_capacity_is_rejected_with_retry_after() -> None:
    allow = PermissionSettings(max_attempts=6, max_retry_after_s=0.3)
    gateway = Gateway(make_router(1, 2, permissions=allow))
    number, actions = gateway.request(100.0)
    while attempts_sent(actions):
        actions = gateway.finish(100.1, number, Result.AT_CAPACITY)
    assert actions == [Reject(number, 0.3)]


def test_a_request_begins_few_loads_before_it_is_rejected() -> None:
    gateway = Gateway(make_router(*range(1, 9), permissions=PermissionSettings(max_attempts=8)))
    number, actions = gateway.request(100.0)
    attempts = 0
    while attempts_sent(actions):
        attempts += 1
        actions = gateway.finish(100.0 + attempts * 0.01, number, Result.AT_CAPACITY)
    assert attempts == 3
    assert [type(action) for action in actions] == [Reject]


def test_the_retry_budget_is_bounded() -> None:
    policy, pending = RetryPolicy(settings()), make_pending()
    policy.record_attempt(pending)  # the first attempt does not use the budget
    assert policy.retry_budget == MAX_RETRY_BUDGET
    pending.attempts.append(make_attempt(make_worker()))
    policy.record_attempt(pending)
    policy.record_request()
    assert policy.retry_budget == MAX_RETRY_BUDGET - 1 + RETRIES_PER_REQUEST


def test_a_request_with_an_attempt_in_flight_is_not_rejected() -> None:
    pending = make_pending()
    pending.attempts_in_flight = 1
    assert RetryPolicy(settings()).final_answer(pending) == Fail(1)


def actions_on_resumed_request(class_index: int, prior_worker: int, sent_s: float = 99.9) -> list[Action]:
    """Return the actions for a request that is resumed after a restart."""
    return actions_after(class_index, PriorAttempt(prior_worker, sent_s))


def actions_after(class_index: int, *prior_attempts: PriorAttempt) -> list[Action]:
    """Return the actions for a request with attempts before it, at a fleet of two zones and three cells."""
    gateway = Gateway(Router(settings(), 1))
    gateway.router.handle(100.0, snapshot(*(endpoint(w, zone=w % 2, cell=w % 3) for w in range(1, 7))))
    return gateway.request(100.0, class_index, prior_attempts=prior_attempts)[1]


def test_a_resumed_request_counts_its_earlier_attempt() -> None:
    assert actions_on_resumed_request(UNSAFE, 2) == [Fail(1)]
    assert attempts_sent(actions_on_resumed_request(SAFE, 2))
    # The deduplication window has passed.
    assert actions_on_resumed_request(KEYED_ALL, 2, sent_s=90.0) == [Reject(1, 0.0)]


def test_a_resumed_request_stays_in_the_scope_of_its_earlier_worker() -> None:
    assert [send.worker_id % 2 for send in attempts_sent(actions_on_resumed_request(KEYED_ZONE, 2))] == [0]
    assert [send.worker_id % 3 for send in attempts_sent(actions_on_resumed_request(KEYED_CELL, 2))] == [2]


def test_no_worker_is_in_the_scope_of_one_that_is_not_known() -> None:
    assert actions_on_resumed_request(KEYED_ZONE, 99) == [Fail(1)]
    assert attempts_sent(actions_on_resumed_request(KEYED_ALL, 99))


def test_a_request_that_may_have_executed_in_several_cells_is_sent_to_none() -> None:
    """Guards against a retry in the cell of the first attempt while another one may have executed it."""
    first, second = PriorAttempt(1, 99.8, 1, 1), PriorAttempt(2, 99.9, 0, 2)
    assert actions_after(KEYED_CELL, first, second) == [Fail(1)]
    assert actions_after(KEYED_ZONE, first, second) == [Fail(1)]
    assert attempts_sent(actions_after(KEYED_ALL, first, second))


def test_a_request_that_may_have_executed_several_times_in_one_cell_stays_there() -> None:
    first, second = PriorAttempt(2, 99.8, 0, 2), PriorAttempt(5, 99.9, 1, 2)
    assert [send.worker_id % 3 for send in attempts_sent(actions_after(KEYED_CELL, first, second))] == [2]
    assert actions_after(KEYED_ZONE, first, second) == [Fail(1)]


def test_the_window_of_a_resumed_request_counts_from_its_first_attempt() -> None:
    early, late = PriorAttempt(2, 90.0, 0, 2), PriorAttempt(2, 99.9, 0, 2)
    assert actions_after(KEYED_CELL, late, early) == [Fail(1)]


def test_the_scope_of_a_resumed_request_is_where_its_worker_was() -> None:
    """Guards against a retry in the cell to which the worker has moved, or none because it has left."""
    for worker in (1, 99):  # the list names worker 1 in cell 1
        sent = attempts_sent(actions_after(KEYED_CELL, PriorAttempt(worker, 99.9, 0, 2)))
        assert [send.worker_id % 3 for send in sent] == [2]


def test_a_request_with_an_attempt_at_an_unknown_place_is_sent_nowhere() -> None:
    known, unknown = PriorAttempt(2, 99.9, 0, 2), PriorAttempt(99, 99.8)
    assert actions_after(KEYED_CELL, known, unknown) == [Fail(1)]
