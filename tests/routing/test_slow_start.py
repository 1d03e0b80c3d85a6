"""Tests of slow start: the attempt budget of a worker that is warming up."""

from __future__ import annotations

import random

import pytest

from saffronstack.routing.cpu_utilization import CpuUtilization
from saffronstack.routing.events import EndpointUpdate, EndpointUpdateKind, LoadReport, Request
from saffronstack.routing.rate_estimator import RATE_WINDOW_S, RequestRates
from saffronstack.routing.router import Router
from saffronstack.routing.settings import RuleSettings
from saffronstack.routing.slow_start import SlowStart
from saffronstack.routing.state import Worker
from tests.helpers import SAFE, settings
from tests.support.routing import (
    REMOVED,
    SLOW_START,
    Gateway,
    attempts_sent,
    endpoint,
    incremental,
    make_gateways,
    make_router,
)
from tests.support.routing_state import make_fleet, make_worker


def test_a_worker_that_returns_is_used_again() -> None:
    rules = RuleSettings(
        slow_start_min_fraction=0.2, slow_start_s=10.0, overload_multiple=2.0, overload_window_s=1.0
    )
    gateway = Gateway(make_router(1, rules=rules))
    gateway.router.handle(101.0, incremental(endpoint(1, REMOVED)))
    gateway.router.handle(102.0, incremental(endpoint(1, started_s=101.9), endpoint(2)))
    count = 0
    for step in range(2000):
        now = 102.0 + step * 0.01
        number, actions = gateway.request(now, function_id=step)
        count += attempts_sent(actions)[0].worker_id == 1
        gateway.finish(now, number)
    assert count > 10


def warming_gateway(instances: int, restart: bool) -> Gateway:
    rules = RuleSettings(
        slow_start_min_fraction=0.2, slow_start_s=10.0, overload_multiple=2.0, overload_window_s=1.0
    )
    router = Router(settings(rules=rules, gateway_count=instances), 3)
    router.handle(100.0, EndpointUpdate(EndpointUpdateKind.CACHED, tuple(endpoint(w) for w in range(2, 6))))
    if restart:
        router = Router(settings(rules=rules, gateway_count=instances), 4)
        router.handle(
            120.0,
            EndpointUpdate(
                EndpointUpdateKind.CACHED, (endpoint(1, started_s=119.5), *(endpoint(w) for w in range(2, 6)))
            ),
        )
    return Gateway(router)


@pytest.mark.parametrize("restart", [False, True])
def test_no_window_holds_more_attempts_than_the_budget(restart: bool) -> None:
    """With 100 requests/s over 5 workers, each gets 20; one in slow start may get 2 x 0.2 x 20 at first."""
    gateway = warming_gateway(3, restart)
    times: list[float] = []
    for step in range(3000):
        now = (120.0 if restart else 100.0) + step * 0.01
        if step == 2000 and not restart:
            gateway.router.handle(now, incremental(endpoint(1, started_s=now - 0.5)))
        number, actions = gateway.request(now, function_id=step)
        times += [now for a in attempts_sent(actions) if a.worker_id == 1]
        gateway.finish(now + 0.005, number)
    start = 119.5
    warming_up = [t for t in times if t < start + 10.0]
    assert warming_up
    for first in warming_up:
        fraction = 0.2 + 0.8 * min(1.0, (first - start) / 10.0)
        assert sum(first <= t < first + 1.0 for t in times) <= 2.0 * fraction * 20.0 + 1


@pytest.mark.parametrize("utilization", [None, 0.4])
def test_many_gateways_together_do_not_overload_a_worker_that_is_warming_up(
    utilization: float | None,
) -> None:
    gateways = make_gateways(200, 10, SLOW_START)
    rng = random.Random(3)
    rate = 200.0  # 20 requests/s for each of ten workers

    def serve(start: float, seconds: float, watched: int) -> dict[int, int]:
        sent: dict[int, int] = {}
        for step in range(int(seconds * rate)):
            now = start + step / rate
            gateway = rng.choice(gateways)
            number, actions = gateway.request(now, function_id=int(40 * rng.random() ** 2))
            for send in attempts_sent(actions):
                if send.worker_id == watched:
                    sent[int(now)] = sent.get(int(now), 0) + 1
                gateway.finish(
                    now,
                    number,
                    load_report=None if utilization is None else LoadReport(cpu_utilization=utilization),
                )
        return sent

    serve(100.0, 30.0, 0)
    for gateway in gateways:
        gateway.router.handle(130.0, incremental(endpoint(11, started_s=130.0)))
    sent = serve(130.0, 18.0, 11)
    assert sum(sent.values()) > 20  # the worker gets attempts
    for second, count in sent.items():
        capacity = 20.0 * (0.15 + 0.85 * (second + 1 - 130) / 18.0)
        assert count <= 2.0 * capacity + 2


def test_a_restarted_gateway_starts_from_the_endpoint_list_alone() -> None:
    router = Router(settings(rules=SLOW_START, gateway_count=200), 1)
    router.handle(100.0, EndpointUpdate(EndpointUpdateKind.CACHED, (endpoint(1, started_s=99.0),)))
    assert not attempts_sent(router.handle(100.0, Request(1, SAFE, 1, 103.0, memory_mb=500.0)))


def make_slow_start(rules: RuleSettings, *workers: Worker, rate: float = 0.0) -> SlowStart:
    """Return a `SlowStart` over workers at a request rate of this gateway."""
    rates = RequestRates()
    rates.total.reset(100.0, rate * RATE_WINDOW_S)
    return SlowStart(settings(rules=rules), make_fleet(*workers), rates, CpuUtilization(), random.Random(1))


def test_capacity_grows_from_its_minimum_fraction_to_full() -> None:
    worker = make_worker(started_s=100.0)
    slow_start = make_slow_start(SLOW_START, worker)
    slow_start.begin(100.0, worker)
    assert worker.slow_start_ends_s == 118.0
    fractions = [slow_start.capacity_fraction(now, worker) for now in (100.0, 109.0, 118.0)]
    assert fractions == pytest.approx([0.15, 0.575, 1.0])


@pytest.mark.parametrize(("rules", "started_s"), [(SLOW_START, 0.0), (RuleSettings(), 100.0)])
def test_a_worker_without_slow_start_always_gets_attempts(rules: RuleSettings, started_s: float) -> None:
    worker = make_worker(started_s=started_s)
    slow_start = make_slow_start(rules, worker)
    slow_start.begin(100.0, worker)
    worker.send_credit = -5.0
    assert slow_start.grants_attempt(100.0, worker)


def test_credit_starts_below_one_attempt_and_grows_with_the_own_rate() -> None:
    worker, other = make_worker(1, started_s=100.0), make_worker(2)
    slow_start = make_slow_start(SLOW_START, worker, other, rate=50.0)
    slow_start.begin(100.0, worker)
    assert 0.0 <= worker.send_credit < 1.0
    assert not slow_start.grants_attempt(100.0, worker)
    assert slow_start.grants_attempt(105.0, worker)
    assert worker.send_credit == 1.0  # credit is capped at one attempt


def test_without_own_requests_no_credit_grows() -> None:
    worker = make_worker(started_s=100.0)
    slow_start = make_slow_start(SLOW_START, worker)
    assert slow_start.attempt_rate(105.0, worker) == 0.0


def test_removed_workers_do_not_raise_the_attempt_rate() -> None:
    worker, leaving = make_worker(1, started_s=100.0), make_worker(2, capacity=9.0)
    slow_start = make_slow_start(SLOW_START, worker, leaving, rate=50.0)
    slow_start.begin(100.0, worker)
    slow_start.observe_fleet(100.0, [worker, leaving])
    before = slow_start.attempt_rate(100.0, worker)
    slow_start.observe_fleet(100.0, [worker])
    assert slow_start.attempt_rate(100.0, worker) == before
