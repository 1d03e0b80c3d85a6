"""Ejection of workers that are slow, fail or are not reached, and their trials."""

from __future__ import annotations

from saffronstack.routing.events import Result
from saffronstack.routing.state import Function
from tests.support.routing import Gateway, add_warm_instances, attempts_sent, make_router


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
        for worker, (result, took) in results.items():
            now = 100.0 + step
            made = gateway.router.functions.setdefault(worker, Function())
            made.warm_instances[:] = [(gateway.router.workers[worker], now)]
            number, _ = gateway.request(now, function_id=worker)
            if gateway.where.get(number) == worker:
                gateway.finish(now + took, number, result, elapsed_s=took, is_final=True)
    return {number for number, worker in gateway.router.workers.items() if worker.is_ejected}


def test_a_worker_that_fails_fast_is_ejected() -> None:
    assert ejected_after({w: (Result.ERROR if w == 3 else Result.OK, 0.05) for w in range(1, 7)}) == {3}


def test_a_slow_worker_is_ejected() -> None:
    assert ejected_after({w: (Result.OK, 0.6 if w == 3 else 0.05) for w in range(1, 7)}) == {3}


def test_ejection_is_capped() -> None:
    assert len(ejected_after({w: (Result.ERROR if w > 2 else Result.OK, 0.05) for w in range(1, 7)})) <= 2
