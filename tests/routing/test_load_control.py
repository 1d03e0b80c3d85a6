"""Tests of the limit on loads in progress."""

from __future__ import annotations

import pytest

from saffronstack.routing.events import CacheStatus, Result, TimerFired
from saffronstack.routing.load_control import DECREASE_FACTOR, MIN_LOADS, LoadControl
from saffronstack.routing.shared_instances import SharedInstances
from saffronstack.routing.state import Function
from tests.helpers import settings
from tests.support.routing import Gateway, attempts_sent, final_answers, find_shared_instances, make_router
from tests.support.routing_state import make_fleet, make_pending, make_request, make_worker


def test_loads_are_limited_and_queued_requests_are_answered_in_time() -> None:
    gateway = Gateway(make_router(1, 2, gateway_count=4))
    sent = []
    for function in range(40):
        number, actions = gateway.request(100.0, function_id=function)
        sent += attempts_sent(actions)
        assert not final_answers(actions)
    assert 0 < len(sent) < 10
    answered = 0
    for number in range(1, 41):
        if number not in gateway.worker_by_request:
            gateway.router.handle(100.2, TimerFired(number))
    for number in range(1, 41):
        if number not in gateway.worker_by_request:
            answered += len(final_answers(gateway.router.handle(102.96, TimerFired(number))))
    assert answered == 40 - len(gateway.worker_by_request)


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
        load_s = 0.5 if step < 2 else 2.5
        gateway.finish(now + load_s, number, cache_status=CacheStatus.STARTED_LOAD, elapsed_s=load_s)
    assert gateway.router.components.load_control.loads_per_worker < start
    low = gateway.router.components.load_control.loads_per_worker
    gateway.router.components.load_control.loads_in_progress = 100  # the limit is in use
    for step in range(10):
        gateway.router.components.load_control.observe(120.0 + step, Result.OK, 0.5)
    assert gateway.router.components.load_control.loads_per_worker > low


def test_no_request_is_queued_where_instances_are_shared() -> None:
    gateway = Gateway(make_router(*range(1, 41), gateway_count=300))
    find_shared_instances(gateway)
    sent = 0
    for function in range(20):
        sent += len(attempts_sent(gateway.request(104.0, function_id=function)[1]))
    assert sent == 20


def make_control(workers: int = 10, gateways: int = 1) -> LoadControl:
    """Return a `LoadControl` over a number of ready workers."""
    fleet = make_fleet(*(make_worker(number) for number in range(workers)))
    return LoadControl(settings(gateway_count=gateways), fleet, SharedInstances())


def test_a_gateway_among_many_may_always_have_some_loads_in_progress() -> None:
    assert make_control(workers=10, gateways=200).limit() == MIN_LOADS


def test_the_limit_grows_with_the_fleet() -> None:
    assert make_control(workers=10).limit() == 30.0


def test_loads_are_counted_at_function_and_worker() -> None:
    control, worker, function = make_control(), make_worker(), Function()
    control.begin(worker, function, 7)
    control.begin(worker, function, 7)
    control.end(worker, function, 7)
    assert (control.loads_in_progress, function.loads_in_progress, worker.loads_in_progress) == (1, 1, {7: 1})
    control.end(worker, function, 7)
    assert (control.loads_in_progress, function.loads_in_progress, worker.loads_in_progress) == (0, 0, {})


@pytest.mark.parametrize("result", [Result.AT_CAPACITY, Result.TIMEOUT])
def test_the_limit_falls_once_in_the_interval(result: Result) -> None:
    control = make_control()
    for now in (100.0, 100.1, 100.2):
        control.observe(now, result, 0.0)
    assert control.loads_per_worker == pytest.approx(3.0 * DECREASE_FACTOR)


def test_an_error_does_not_change_the_load_limit() -> None:
    control = make_control()
    control.observe(100.0, Result.ERROR, 5.0)
    assert control.loads_per_worker == 3.0


def test_a_request_waits_for_a_busy_instance_unless_it_has_waited() -> None:
    control, function, request = make_control(), Function(), make_request()
    assert control.may_load(100.0, request, function, True)  # there is no busy instance to wait for
    function.warm_attempts_in_flight = 1
    assert not control.may_load(100.0, request, function, True)
    assert control.may_load(100.0, request, function, False)
    function.waiting.append(make_pending())
    assert control.may_load(100.0, request, function, True)  # another request waits for that instance
