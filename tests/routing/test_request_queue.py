"""Requests that are held back at the gateway."""

from __future__ import annotations

from saffronstack.routing.actions import Reject, SetTimer
from saffronstack.routing.events import TimerFired
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


def test_a_held_request_takes_the_instance_that_a_finished_one_frees() -> None:
    gateway = Gateway(make_router(1, 2, 3))
    add_warm_instances(gateway, 1)
    first, _ = gateway.request(100.0)
    second, actions = gateway.request(100.0)
    assert not attempts_sent(actions)
    actions = gateway.finish(100.1, first)
    assert [(a.request_id, a.worker_id) for a in attempts_sent(actions)] == [(second, 1)]


def test_a_request_without_any_attempt_is_rejected_by_half_of_its_time() -> None:
    gateway = Gateway(make_router())
    number, actions = gateway.request(100.0, deadline_s=104.0)
    assert final_answers(actions) == [Reject(number, 0.0)]  # there is no worker to wait for
    gateway = Gateway(make_router(1))
    for function in range(2, 9):
        gateway.request(100.0, function_id=function)  # enough loads in progress
    number, actions = gateway.request(100.0, deadline_s=104.0)
    wakes = [action for action in actions if isinstance(action, SetTimer)]
    while wakes and not final_answers(actions):
        now = 100.0 + wakes[-1].delay_s
        actions = gateway.router.handle(now, TimerFired(number))
        wakes = [SetTimer(a.delay_s + now - 100.0, a.timer_id) for a in actions if isinstance(a, SetTimer)]
    assert final_answers(actions) == [Reject(number, 0.0)] and 101.5 < now < 102.0


def test_held_requests_are_answered_when_all_workers_vanish() -> None:
    gateway = Gateway(make_router(1, 2, gateway_count=4))
    numbers = [gateway.request(100.0, function_id=function)[0] for function in range(30)]
    held = [number for number in numbers if number not in gateway.where]
    assert held
    gateway.router.handle(100.1, incremental(endpoint(1, REMOVED), endpoint(2, REMOVED)))
    for number in held:
        answers = final_answers(gateway.router.handle(100.2, TimerFired(number)))
        assert len(answers) == 1
