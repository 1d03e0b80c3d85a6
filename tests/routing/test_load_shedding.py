"""Tests of load shedding: rejecting a fraction of the requests immediately."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import pytest

from saffronstack.routing.events import CacheStatus, Result
from saffronstack.routing.load_shedding import INCREASE_STEP, MAX_STEP_SCALE, TOLERATED_FRACTION, LoadShedder
from saffronstack.routing.rate_estimator import RequestRates
from saffronstack.routing.settings import TenantSettings
from saffronstack.routing.shared_instances import SharedInstances
from tests.helpers import settings
from tests.support.routing import (
    Gateway,
    attempts_sent,
    final_answers,
    find_shared_instances,
    learn_shared_instances,
    make_router,
)
from tests.support.routing_state import make_attempt, make_outcome, make_pending, make_request, make_worker


def test_workers_at_capacity_shed_load_and_timely_responses_end_that() -> None:
    gateway = Gateway(make_router(*range(1, 41), gateway_count=300))
    find_shared_instances(gateway, 60)
    for step in range(80):
        number, actions = gateway.request(110.0 + step * 0.01, function_id=step)
        while attempts_sent(actions):
            actions = gateway.finish(110.0 + step * 0.01, number, Result.AT_CAPACITY, CacheStatus.UNKNOWN)
    assert gateway.router.components.load_shedder.shed_fraction > 0.2
    rejected = sum(
        len(final_answers(gateway.request(111.0, function_id=2000 + step)[1])) for step in range(100)
    )
    assert 10 < rejected < 90
    for step in range(200):
        number, actions = gateway.request(112.0 + step * 0.1, function_id=step)
        if attempts_sent(actions):
            gateway.finish(112.05 + step * 0.1, number)
    assert gateway.router.components.load_shedder.shed_fraction < 0.05


def rejected_fraction(
    gateway: Gateway, at: float, rate: float, seconds: float, response_time_s: Callable[[], float]
) -> float:
    """Send requests at a rate and return the fraction that is rejected immediately."""
    requests = rejected = 0
    in_flight: list[tuple[float, int, float]] = []
    for step in range(int(rate * seconds)):
        now = at + step / rate
        while in_flight and in_flight[0][0] <= now:
            ended_s, number, took_s = heapq.heappop(in_flight)
            gateway.finish(ended_s, number, elapsed_s=took_s, concurrency=0)
        number, actions = gateway.request(now, function_id=10_000 + gateway.request_number)
        requests += 1
        rejected += bool(final_answers(actions))
        if attempts_sent(actions):
            took_s = response_time_s()
            heapq.heappush(in_flight, (now + took_s, number, took_s))
    while in_flight:
        ended_s, number, took_s = heapq.heappop(in_flight)
        gateway.finish(ended_s, number, elapsed_s=took_s, concurrency=0)
    return rejected / requests


@pytest.mark.parametrize("rate", [6.0, 60.0])
def test_shedding_starts_soon_after_an_overload_and_ends_with_it(rate: float) -> None:
    gateway = Gateway(make_router(*range(1, 9), gateway_count=100))
    learn_shared_instances(gateway)
    assert rejected_fraction(gateway, 110.0, rate, 5.0, lambda: 0.05) == 0.0
    rejected_fraction(gateway, 120.0, rate, 3.0, lambda: 2.5)  # far above the latency objective
    assert rejected_fraction(gateway, 126.0, rate, 3.0, lambda: 2.5) > 0.25
    rejected_fraction(gateway, 132.0, rate, 4.0, lambda: 0.05)
    assert rejected_fraction(gateway, 137.0, rate, 5.0, lambda: 0.05) == 0.0


def test_one_late_response_in_five_sheds_hardly_anything() -> None:
    gateway = Gateway(make_router(*range(1, 9), gateway_count=100))
    learn_shared_instances(gateway)
    rng = random.Random(5)
    assert rejected_fraction(gateway, 110.0, 6.0, 120.0, lambda: rng.choices((1.0, 0.05), (1, 4))[0]) < 0.05


@pytest.mark.parametrize("responds_to_others", [True, False])
def test_a_timeout_counts_as_overload_where_the_worker_responds_to_others(responds_to_others: bool) -> None:
    """A worker without responses may be unreachable; shedding would reject what other workers could serve."""
    gateway = Gateway(make_router(1, gateway_count=100))
    learn_shared_instances(gateway)
    for step in range(3):
        now = 110.0 + 4 * step
        lost, actions = gateway.request(now, function_id=5000 + step)
        assert attempts_sent(actions)
        if responds_to_others:
            other, _ = gateway.request(now + 0.1, function_id=6000 + step)
            gateway.finish(now + 0.2, other, concurrency=0, elapsed_s=0.1)
        gateway.finish(now + 3.0, lost, Result.TIMEOUT, CacheStatus.UNKNOWN, elapsed_s=3.0, is_final=True)
    assert (gateway.router.components.load_shedder.shed_fraction > 0) is responds_to_others


def test_a_gateway_with_most_of_the_traffic_does_not_count_its_tenants_as_over_quota() -> None:
    tenants = (TenantSettings("a", 0.5, 100.0), TenantSettings("b", 0.5, 100.0))
    router = make_router(1, 2, tenants=tenants, over_quota_weight=0.05, gateway_count=200)
    gateway = Gateway(router)
    for step in range(400):
        gateway.request(100.0 + step * 0.01, function_id=step, tenant=step % 2)
    assert router.components.load_shedder.quota_factor(104.0, 0) > 0.8


def make_shedder(shared: SharedInstances | None = None, **changes: Any) -> tuple[LoadShedder, RequestRates]:
    """Return a load shedder and the request rates that it reads."""
    rates = RequestRates()
    return LoadShedder(settings(**changes), rates, shared or SharedInstances(), random.Random(1)), rates


def test_a_tenant_without_settings_is_never_over_its_quota() -> None:
    shedder, _ = make_shedder()
    assert shedder.quota_factor(100.0, 3) == 1.0


def test_traffic_over_the_quota_weighs_less() -> None:
    tenants = (TenantSettings("a", 0.9, 90.0), TenantSettings("b", 0.1, 1.0))
    shedder, rates = make_shedder(tenants=tenants, over_quota_weight=0.2)
    for _ in range(100):
        rates.record(100.0, make_request(tenant=1))
    assert 0.2 < shedder.quota_factor(100.0, 1) < 0.4
    assert shedder.quota_factor(100.0, 0) == 1.0


def test_nothing_is_shed_where_instances_are_not_shared() -> None:
    shedder, _ = make_shedder()
    shedder.shed_fraction = shedder.mean_priority_weight = 0.75
    assert not any(shedder.should_reject(make_pending()) for _ in range(100))


def test_the_lightest_requests_are_shed_first() -> None:
    shared = SharedInstances()
    shared.fraction = 1.0
    shedder, _ = make_shedder(shared)
    shedder.shed_fraction, shedder.mean_priority_weight = 0.65, 1.0
    light, heavy = (
        sum(shedder.should_reject(make_pending(weight=w)) for _ in range(200)) for w in (0.6, 3.0)
    )
    assert heavy < 50 < 120 < light


def test_a_tolerated_part_of_the_fraction_sheds_nothing() -> None:
    shared = SharedInstances()
    shared.fraction = 1.0
    shedder, _ = make_shedder(shared)
    shedder.shed_fraction, shedder.mean_priority_weight = TOLERATED_FRACTION, 1.0
    assert not any(shedder.should_reject(make_pending()) for _ in range(100))


def test_steps_are_larger_where_responses_are_few() -> None:
    shedder, _ = make_shedder()
    late = make_outcome(elapsed_s=2.0)
    shedder.observe(100.0, make_attempt(make_worker()), late)
    assert shedder.shed_fraction == pytest.approx(INCREASE_STEP * MAX_STEP_SCALE)
    for _ in range(200):
        shedder.observe(100.0, make_attempt(make_worker()), make_outcome())
    assert shedder.shed_fraction == 0.0
    shedder.observe(100.0, make_attempt(make_worker()), late)
    assert shedder.shed_fraction == pytest.approx(INCREASE_STEP)
