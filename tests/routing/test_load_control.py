"""The limit on loads in progress."""

from __future__ import annotations

from saffronstack.routing.events import CacheStatus, Result, TimerFired
from tests.support.routing import Gateway, attempts_sent, final_answers, find_shared_instances, make_router


def test_loads_are_limited_and_held_requests_are_answered_in_time() -> None:
    gateway = Gateway(make_router(1, 2, gateway_count=4))
    sent = []
    for function in range(40):
        number, actions = gateway.request(100.0, function_id=function)
        sent += attempts_sent(actions)
        assert not final_answers(actions)
    assert 0 < len(sent) < 10
    answered = 0
    for number in range(1, 41):
        if number not in gateway.where:
            gateway.router.handle(100.2, TimerFired(number))
    for number in range(1, 41):
        if number not in gateway.where:
            answered += len(final_answers(gateway.router.handle(102.96, TimerFired(number))))
    assert answered == 40 - len(gateway.where)


def test_no_load_begins_without_the_time_for_it() -> None:
    gateway = Gateway(make_router(1, 2, 3))
    number, _ = gateway.request(100.0)
    gateway.finish(101.0, number, cache_status=CacheStatus.STARTED_LOAD, elapsed_s=1.0)
    _, actions = gateway.request(101.0, function_id=2, deadline_s=101.5)
    assert not attempts_sent(actions)


def test_slow_loads_lower_the_limit_and_usual_ones_raise_it() -> None:
    gateway = Gateway(make_router(*range(1, 11)))
    start = gateway.router.components.load_control.loads_per_worker
    for step in range(10):
        now = 100.0 + step
        number, _ = gateway.request(now, function_id=step)
        took = 0.5 if step < 2 else 2.5
        gateway.finish(now + took, number, cache_status=CacheStatus.STARTED_LOAD, elapsed_s=took)
    assert gateway.router.components.load_control.loads_per_worker < start
    low = gateway.router.components.load_control.loads_per_worker
    gateway.router.components.load_control.loads_in_progress = 100  # the limit is in use
    for step in range(10):
        gateway.router.components.load_control.observe(120.0 + step, Result.OK, 0.5)
    assert gateway.router.components.load_control.loads_per_worker > low


def test_no_request_is_held_back_where_instances_are_shared() -> None:
    gateway = Gateway(make_router(*range(1, 41), gateway_count=300))
    find_shared_instances(gateway)
    sent = 0
    for function in range(20):
        sent += len(attempts_sent(gateway.request(104.0, function_id=function)[1]))
    assert sent == 20
