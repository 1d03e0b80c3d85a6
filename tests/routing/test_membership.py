"""Endpoint updates: workers that drain, leave, restart and return."""

from __future__ import annotations

import pytest

from tests.support.routing import (
    DRAINING,
    REMOVED,
    Gateway,
    attempts_sent,
    endpoint,
    incremental,
    make_router,
    snapshot,
)


@pytest.mark.parametrize("how", ["draining", "removed", "left out"])
def test_a_worker_that_drains_or_is_removed_gets_no_new_attempt(how: str) -> None:
    gateway = Gateway(make_router(1, 2))
    for step in range(4):  # instances at both
        one, _ = gateway.request(100.0, function_id=step)
        two, _ = gateway.request(100.0, function_id=step + 4)
        gateway.finish(100.5, one)
        gateway.finish(100.5, two)
    update = {
        "draining": incremental(endpoint(1, DRAINING)),
        "removed": incremental(endpoint(1, REMOVED)),
        "left out": snapshot(endpoint(2)),
    }[how]
    gateway.router.handle(101.0, update)
    for step in range(20):
        number, actions = gateway.request(101.0, function_id=step)
        assert [a.worker_id for a in attempts_sent(actions)] == [2]
        gateway.finish(101.0, number)


def test_a_worker_that_returns_holds_none_of_its_instances() -> None:
    gateway = Gateway(make_router(1, 2))
    first, _ = gateway.request(100.0)
    home = gateway.where[first]
    second, _ = gateway.request(100.0, function_id=2)  # in flight while it leaves and returns
    gateway.finish(100.1, first)
    gateway.router.handle(100.2, incremental(endpoint(home, REMOVED)))
    gateway.router.handle(100.3, incremental(endpoint(home)))
    assert not gateway.router.functions[1].warm_instances
    assert gateway.router.workers[home].placed_mb <= 500.0
    gateway.finish(100.4, second)


def test_hundreds_of_workers_that_vanish_or_restart_at_once() -> None:
    gateway = Gateway(make_router(*range(1, 401)))
    number, _ = gateway.request(100.0, function_id=1)
    home = gateway.where[number]
    gateway.finish(100.1, number)
    gateway.router.handle(101.0, incremental(*(endpoint(w, started_s=100.5) for w in range(1, 301))))
    assert all(not function.warm_instances or home > 300 for function in gateway.router.functions.values())
    gateway.router.handle(102.0, snapshot(*(endpoint(w) for w in range(391, 401))))
    number, actions = gateway.request(102.0, function_id=2)
    assert attempts_sent(actions)[0].worker_id > 390
