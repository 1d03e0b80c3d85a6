"""Tests of the adaptive concurrency limit of a worker."""

from __future__ import annotations

import math

import pytest

from saffronstack.routing.concurrency_limit import (
    DECREASE_FACTOR,
    MIN_LIMIT,
    MIN_USABLE_FRACTION,
    ConcurrencyLimiter,
)
from saffronstack.routing.events import Result
from saffronstack.routing.settings import TenantSettings
from tests.helpers import settings
from tests.support.routing import Gateway, add_warm_instances, attempts_sent, make_router
from tests.support.routing_state import make_attempt, make_outcome, make_worker


def test_late_responses_lower_the_limit_and_requests_wait_at_the_gateway() -> None:
    gateway = Gateway(make_router(1, 2, 3))
    for function in range(12):
        add_warm_instances(gateway, 1, function)
    numbers = [gateway.request(100.0, function_id=function)[0] for function in range(8)]
    for step, number in enumerate(numbers[:6]):
        gateway.finish(101.0 + step, number, elapsed_s=1.0 + step)
    worker = gateway.router.workers[1]
    assert worker.concurrency_limit < 8
    worker.concurrency_limit = 2.0
    add_warm_instances(gateway, 1, 10, 106.0)
    waiting, actions = gateway.request(106.1, function_id=10)
    assert not attempts_sent(actions)
    assert waiting in {a.request_id for a in attempts_sent(gateway.finish(106.2, numbers[6]))}


def test_traffic_over_its_quota_uses_less_of_a_limit() -> None:
    tenants = (TenantSettings("a", 0.5, 1000.0), TenantSettings("b", 0.5, 1.0))
    gateway = Gateway(make_router(1, 2, tenants=tenants, over_quota_weight=0.05))
    for step in range(400):
        gateway.request(100.0 + step * 0.01, function_id=1000 + step, tenant=step % 2)
    gateway.router.workers[1].concurrency_limit = 4.0
    gateway.router.workers[1].warm_attempts_in_flight = 2
    add_warm_instances(gateway, 1, 1, 104.0)
    add_warm_instances(gateway, 1, 2, 104.0)
    _, actions = gateway.request(104.0, function_id=2, tenant=1)
    assert not attempts_sent(actions)
    _, actions = gateway.request(104.0, function_id=1, tenant=0)
    assert len(attempts_sent(actions)) == 1


def test_a_request_of_mean_weight_may_use_the_whole_limit_and_lighter_ones_less() -> None:
    limiter = ConcurrencyLimiter(settings())
    assert limiter.usable_fraction(1.0, 1.0) == 1.0
    assert limiter.usable_fraction(9.0, 1.0) == 1.0
    assert limiter.usable_fraction(0.5, 1.0) == pytest.approx(0.6)
    assert limiter.usable_fraction(0.0, 1.0) == MIN_USABLE_FRACTION
    assert limiter.usable_fraction(0.0, 0.0) == 1.0  # before the first request


def test_the_limit_falls_to_what_is_in_use_and_at_most_once_in_the_interval() -> None:
    limiter, worker = ConcurrencyLimiter(settings()), make_worker()
    worker.warm_attempts_in_flight = 9
    limiter.observe(100.0, make_attempt(worker), make_outcome(elapsed_s=1.0))
    assert worker.concurrency_limit == pytest.approx(DECREASE_FACTOR * 10)
    limiter.observe(100.1, make_attempt(worker), make_outcome(elapsed_s=1.0))
    assert worker.concurrency_limit == pytest.approx(DECREASE_FACTOR * 10)


def test_the_limit_never_falls_below_its_minimum() -> None:
    limiter, worker = ConcurrencyLimiter(settings()), make_worker()
    for step in range(10):
        limiter.observe(100.0 + step, make_attempt(worker), make_outcome(Result.AT_CAPACITY))
    assert worker.concurrency_limit == MIN_LIMIT


@pytest.mark.parametrize(("in_flight", "expected"), [(9, 10.1), (2, 10.0)])
def test_timely_responses_raise_the_limit_only_where_it_is_in_use(in_flight: int, expected: float) -> None:
    limiter, worker = ConcurrencyLimiter(settings()), make_worker()
    worker.concurrency_limit, worker.warm_attempts_in_flight = 10.0, in_flight
    limiter.observe(100.0, make_attempt(worker), make_outcome(elapsed_s=0.01))
    assert worker.concurrency_limit == pytest.approx(expected)


def test_a_lost_connection_does_not_lower_the_limit() -> None:
    limiter, worker = ConcurrencyLimiter(settings()), make_worker()
    limiter.observe(100.0, make_attempt(worker), make_outcome(Result.RESET, elapsed_s=2.0))
    assert worker.concurrency_limit == math.inf
