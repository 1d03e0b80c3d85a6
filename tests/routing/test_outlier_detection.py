"""Tests of the ejection of slow, failing or unreachable workers, and of their trials."""

from __future__ import annotations

from typing import Any

from saffronstack.routing.events import CacheStatus, Result
from saffronstack.routing.outlier_detection import MIN_SLOWNESS_SAMPLES, TRIAL_INTERVAL_S, OutlierDetection
from saffronstack.routing.state import Function, Worker
from tests.support.routing import Gateway, add_warm_instances, attempts_sent, make_router
from tests.support.routing_state import make_attempt, make_fleet, make_outcome, make_worker


def test_a_worker_that_is_not_reached_is_ejected_and_returns_after_a_trial() -> None:
    gateway = Gateway(make_router(1, 2, 3, 4))
    for step in range(2):
        add_warm_instances(gateway, 1, step, 100.0 + step)
        number, _ = gateway.request(100.0 + step, function_id=step)
        gateway.finish(100.25 + step, number, Result.CONNECT_FAILED)
    assert gateway.router.workers[1].is_ejected
    add_warm_instances(gateway, 1, 9, 101.3)
    _, actions = gateway.request(101.3, function_id=9)
    assert attempts_sent(actions)[0].worker_id != 1
    number, actions = gateway.request(103.0, function_id=9)
    assert attempts_sent(actions)[0].worker_id == 1
    gateway.finish(103.1, number)
    assert not gateway.router.workers[1].is_ejected


def ejected_after(results: dict[int, tuple[Result, float]], rounds: int = 30) -> set[int]:
    gateway = Gateway(make_router(*range(1, 7)))
    for step in range(rounds):
        for worker, (result, latency_s) in results.items():
            now = 100.0 + step
            function = gateway.router.functions.setdefault(worker, Function())
            function.warm_instances[:] = [(gateway.router.workers[worker], now)]
            number, _ = gateway.request(now, function_id=worker)
            if gateway.worker_by_request.get(number) == worker:
                gateway.finish(now + latency_s, number, result, elapsed_s=latency_s, is_final=True)
    return {number for number, worker in gateway.router.workers.items() if worker.is_ejected}


def test_a_worker_that_fails_fast_is_ejected() -> None:
    assert ejected_after({w: (Result.ERROR if w == 3 else Result.OK, 0.05) for w in range(1, 7)}) == {3}


def test_a_slow_worker_is_ejected() -> None:
    assert ejected_after({w: (Result.OK, 0.6 if w == 3 else 0.05) for w in range(1, 7)}) == {3}


def test_ejection_is_capped() -> None:
    assert len(ejected_after({w: (Result.ERROR if w > 2 else Result.OK, 0.05) for w in range(1, 7)})) <= 2


def observe(detection: OutlierDetection, worker: Worker, now: float, **outcome: Any) -> None:
    """Report the outcome of an attempt at a warm instance."""
    detection.observe(now, make_attempt(worker), make_outcome(**outcome))


def test_a_few_slow_responses_do_not_eject_a_worker() -> None:
    workers = [make_worker(number) for number in range(1, 7)]
    detection = OutlierDetection(make_fleet(*workers))
    for worker in workers:
        observe(detection, worker, 100.0, elapsed_s=0.1)
    for step in range(MIN_SLOWNESS_SAMPLES - 2):
        observe(detection, workers[0], 101.0 + step, elapsed_s=1.0)
    assert not workers[0].is_ejected


def test_a_failed_load_is_no_error_of_the_worker() -> None:
    worker = make_worker()
    detection = OutlierDetection(make_fleet(worker))
    observe(detection, worker, 100.0, result=Result.ERROR, cache_status=CacheStatus.LOAD_FAILED)
    assert worker.error_fraction == 0.0


def test_a_cancelled_attempt_neither_counts_as_a_connection_failure_nor_resets_the_count() -> None:
    worker = make_worker()
    detection = OutlierDetection(make_fleet(worker))
    observe(detection, worker, 100.0, result=Result.RESET)
    observe(detection, worker, 101.0, result=Result.CANCELLED)
    assert worker.consecutive_connection_failures == 1
    observe(detection, worker, 102.0, result=Result.ERROR)
    assert worker.consecutive_connection_failures == 0


def test_a_trial_delays_the_next_one() -> None:
    worker = make_worker()
    OutlierDetection(make_fleet(worker)).start_trial(100.0, worker)
    assert worker.next_trial_s == 100.0 + TRIAL_INTERVAL_S


def test_without_ready_workers_nothing_is_evaluated() -> None:
    worker = make_worker(is_ready=False)
    detection = OutlierDetection(make_fleet(worker))
    observe(detection, worker, 100.0, result=Result.RESET)
    observe(detection, worker, 101.0, result=Result.RESET)
    assert not worker.is_ejected
