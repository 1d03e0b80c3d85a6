"""Tests of endpoint updates: workers that drain, are removed, restart and return."""

from __future__ import annotations

import pytest

from saffronstack.routing.actions import WatchEndpoints
from saffronstack.routing.components import Components
from saffronstack.routing.events import EndpointUpdate, EndpointUpdateKind
from saffronstack.routing.router import Router
from tests.helpers import settings
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


@pytest.mark.parametrize("change", ["draining", "removed", "left out"])
def test_a_worker_that_drains_or_is_removed_gets_no_new_attempt(change: str) -> None:
    gateway = Gateway(make_router(1, 2))
    for step in range(4):  # load instances at both workers
        one, _ = gateway.request(100.0, function_id=step)
        two, _ = gateway.request(100.0, function_id=step + 4)
        gateway.finish(100.5, one)
        gateway.finish(100.5, two)
    update = {
        "draining": incremental(endpoint(1, DRAINING)),
        "removed": incremental(endpoint(1, REMOVED)),
        "left out": snapshot(endpoint(2)),
    }[change]
    gateway.router.handle(101.0, update)
    for step in range(20):
        number, actions = gateway.request(101.0, function_id=step)
        assert [a.worker_id for a in attempts_sent(actions)] == [2]
        gateway.finish(101.0, number)


def test_a_worker_that_returns_holds_none_of_its_instances() -> None:
    gateway = Gateway(make_router(1, 2))
    first, _ = gateway.request(100.0)
    holder = gateway.worker_by_request[first]
    second, _ = gateway.request(100.0, function_id=2)  # in flight while the worker is removed and returns
    gateway.finish(100.1, first)
    gateway.router.handle(100.2, incremental(endpoint(holder, REMOVED)))
    gateway.router.handle(100.3, incremental(endpoint(holder)))
    assert not gateway.router.functions[1].warm_instances
    assert gateway.router.workers[holder].placed_mb <= 500.0
    gateway.finish(100.4, second)


def test_hundreds_of_workers_that_vanish_or_restart_at_once() -> None:
    gateway = Gateway(make_router(*range(1, 401)))
    number, _ = gateway.request(100.0, function_id=1)
    holder = gateway.worker_by_request[number]
    gateway.finish(100.1, number)
    gateway.router.handle(101.0, incremental(*(endpoint(w, started_s=100.5) for w in range(1, 301))))
    assert all(not function.warm_instances or holder > 300 for function in gateway.router.functions.values())
    gateway.router.handle(102.0, snapshot(*(endpoint(w) for w in range(391, 401))))
    number, actions = gateway.request(102.0, function_id=2)
    assert attempts_sent(actions)[0].worker_id > 390


def test_totals_count_ready_workers_alone() -> None:
    components = Components(settings(), 1)
    update = snapshot(endpoint(1, capacity=2.0), endpoint(2, DRAINING), endpoint(3))
    components.membership.apply(100.0, update)
    assert (components.fleet.ready_count, components.fleet.ready_capacity) == (2, 3.0)


def test_a_failed_update_changes_nothing() -> None:
    components = Components(settings(), 1)
    components.membership.apply(100.0, snapshot(endpoint(1)))
    components.membership.apply(101.0, EndpointUpdate(EndpointUpdateKind.FAILED))
    assert components.fleet.ready_count == 1


def test_a_removed_worker_is_forgotten_once_nothing_is_in_flight_there() -> None:
    components = Components(settings(), 1)
    components.membership.apply(100.0, snapshot(endpoint(1)))
    components.fleet.workers[1].attempts_in_flight = 1
    components.membership.apply(101.0, incremental(endpoint(1, REMOVED)))
    assert 1 in components.fleet.workers
    components.fleet.workers[1].attempts_in_flight = 0
    components.membership.forget_removed()
    assert not components.fleet.workers


@pytest.mark.parametrize("kind", [EndpointUpdateKind.CACHED, EndpointUpdateKind.FAILED])
def test_a_stale_list_starts_a_subscription_where_one_is_needed(kind: EndpointUpdateKind) -> None:
    update = EndpointUpdate(kind)
    assert Router(settings(must_subscribe=True), 1).handle(100.0, update) == [WatchEndpoints()]
    assert Router(settings(), 1).handle(100.0, update) == []
