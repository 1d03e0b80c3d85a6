"""Tests that removed workers and idle functions leave no state."""

from __future__ import annotations

from saffronstack.routing.components import Components
from saffronstack.routing.events import CacheStatus, Result
from saffronstack.routing.state import Function
from tests.helpers import settings
from tests.support.routing import (
    REMOVED,
    Gateway,
    attempts_sent,
    endpoint,
    incremental,
    make_router,
    router_tables,
)
from tests.support.routing_state import make_request, make_worker


def test_workers_and_functions_that_are_gone_leave_no_state() -> None:
    router = make_router(0)
    gateway = Gateway(router)

    def entry_count() -> int:
        tables = [*router_tables(router), router.components.memory.expiries]
        return sum(len(table) for table in tables)

    now, peak = 100.0, 0
    for worker in range(1, 3000):
        now += 1.0
        router.handle(now, incremental(endpoint(worker), endpoint(worker - 1, REMOVED)))
        number, actions = gateway.request(now, function_id=worker)
        assert [send.worker_id for send in attempts_sent(actions)] == [worker]
        if worker % 3:
            gateway.finish(now + 0.1, number)
        else:  # the worker is removed while the attempt is in flight
            router.handle(now + 0.2, incremental(endpoint(worker, REMOVED)))
            gateway.finish(now + 0.3, number, Result.RESET, CacheStatus.UNKNOWN)
        peak = max(peak, entry_count())
        if worker == 200:
            early_peak = peak
    assert peak <= early_peak + 10


def test_a_function_stays_while_it_is_requested_and_goes_when_it_is_not() -> None:
    components = Components(settings(), 1)
    components.rates.record(100.0, make_request(function_id=1))
    components.functions[1] = Function()
    components.idle_sweep.sweep(101.0)
    assert list(components.functions) == [1]
    components.idle_sweep.sweep(200.0)
    assert not components.functions
    assert not components.rates.by_function


def test_a_sweep_keeps_functions_in_use_and_drops_their_expired_instances() -> None:
    components = Components(settings(), 1)
    function = components.functions[1] = Function(warm_attempts_in_flight=1)
    components.warm_pool.release(100.0, function, make_worker(), 1)
    function.load_rejected_until_s = {1: 105.0}
    components.idle_sweep.sweep(200.0)
    assert components.functions == {1: function}
    assert not function.warm_instances
    assert not function.load_rejected_until_s
