"""Tests of the queue of requests at the gateway."""

from __future__ import annotations

from saffronstack.routing.actions import Reject, SetTimer
from saffronstack.routing.events import TimerFired
from saffronstack.routing.request_queue import DEADLINE_MARGIN_S, RequestQueue, queue_deadline_s
from saffronstack.routing.state import Function, PendingRequest
from tests.support.routing import (
    REMOVED,
    Gateway,
    add_warm_instances,
    attempts_sent,
    endpoint,
    final_answers,
    incremental,
    make_router,
)
from tests.support.routing_state import make_pending, make_request


def test_a_queued_request_takes_the_instance_that_a_finished_one_frees() -> None:
    gateway = Gateway(make_router(1, 2, 3))
    add_warm_instances(gateway, 1)
    first, _ = gateway.request(100.0)
    second, actions = gateway.request(100.0)
    assert not attempts_sent(actions)
    actions = gateway.finish(100.1, first)
    assert [(a.request_id, a.worker_id) for a in attempts_sent(actions)] == [(second, 1)]


def test_a_request_without_any_attempt_is_rejected_before_half_of_its_deadline() -> None:
    gateway = Gateway(make_router())
    number, actions = gateway.request(100.0, deadline_s=104.0)
    assert final_answers(actions) == [Reject(number, 0.0)]  # there is no worker to wait for
    gateway = Gateway(make_router(1))
    for function in range(2, 9):
        gateway.request(100.0, function_id=function)  # enough loads in progress to reach the limit
    number, actions = gateway.request(100.0, deadline_s=104.0)
    timers = [action for action in actions if isinstance(action, SetTimer)]
    while timers and not final_answers(actions):
        now = 100.0 + timers[-1].delay_s
        actions = gateway.router.handle(now, TimerFired(number))
        timers = [SetTimer(a.delay_s + now - 100.0, a.timer_id) for a in actions if isinstance(a, SetTimer)]
    assert final_answers(actions) == [Reject(number, 0.0)]
    assert 101.5 < now < 102.0


def test_queued_requests_are_answered_when_all_workers_vanish() -> None:
    gateway = Gateway(make_router(1, 2, gateway_count=4))
    numbers = [gateway.request(100.0, function_id=function)[0] for function in range(30)]
    queued = [number for number in numbers if number not in gateway.worker_by_request]
    assert queued
    gateway.router.handle(100.1, incremental(endpoint(1, REMOVED), endpoint(2, REMOVED)))
    for number in queued:
        answers = final_answers(gateway.router.handle(100.2, TimerFired(number)))
        assert len(answers) == 1


def make_queue(*waiting: PendingRequest) -> tuple[RequestQueue, Function]:
    """Return a queue with the given requests of one function, and the function."""
    queue, function = RequestQueue({pending.request.request_id: pending for pending in waiting}), Function()
    for pending in waiting:
        queue.enqueue(100.0, pending, function)
    return queue, function


def test_a_request_is_queued_for_half_of_its_deadline_at_most() -> None:
    assert queue_deadline_s(100.0, make_request(deadline_s=110.0)) == 104.8
    assert queue_deadline_s(100.0, make_request(deadline_s=100.06)) == 100.06 - DEADLINE_MARGIN_S


def test_the_first_timer_comes_while_the_objective_can_be_met_and_the_next_at_the_end() -> None:
    pending = make_pending()
    queue, function = RequestQueue({}), Function()
    assert queue.enqueue(100.0, pending, function) == SetTimer(0.15, 1)
    assert queue.enqueue(100.2, pending, function).delay_s == 103.0 - 100.2


def test_the_newest_request_is_taken_first() -> None:
    older, newer = make_pending(make_request(1)), make_pending(make_request(2))
    queue, function = make_queue(older, newer)
    assert queue.pop_newest(function) is newer
    assert queue.pop_newest(function) is older
    assert queue.pop_newest(function) is None
    assert not queue.functions


def test_requests_of_clients_that_disconnected_are_dropped() -> None:
    function, queue = Function(), RequestQueue({})
    queue.enqueue(100.0, make_pending(), function)
    assert queue.pop_newest(function) is None
    assert not function.waiting


def test_a_removed_request_leaves_the_queue() -> None:
    pending = make_pending()
    queue, function = make_queue(pending)
    assert queue.remove(pending, function)
    assert not queue.functions
    assert not queue.remove(pending, function)


def test_load_slots_go_to_the_function_with_most_queued_weight() -> None:
    queue, light = make_queue(make_pending(make_request(1), weight=2.0))
    heavy = Function()
    for number in (2, 3):
        queue.enqueue(100.0, make_pending(make_request(number, function_id=2), weight=1.5), heavy)
    assert queue.heaviest_function_without_load() is heavy
    heavy.loads_in_progress = 1
    assert queue.heaviest_function_without_load() is light
