"""Tests of the choice of the worker at which a function is loaded."""

from __future__ import annotations

from saffronstack.routing.components import Components
from saffronstack.routing.events import CacheStatus, EndpointUpdate, EndpointUpdateKind, LoadReport
from saffronstack.routing.placement import MAX_LOADS_AT_WORKER, rendezvous_rank
from saffronstack.routing.router import Router
from saffronstack.routing.state import Function, Worker
from tests.helpers import settings
from tests.support.routing import (
    Gateway,
    attempts_sent,
    endpoint,
    find_shared_instances,
    make_gateways,
    make_router,
)
from tests.support.routing_state import make_request, make_worker


def test_gateways_rank_the_same_worker_first() -> None:
    first, second = (Gateway(Router(settings(), seed)) for seed in (1, 2))
    for gateway in (first, second):
        gateway.router.handle(
            100.0, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(endpoint(w) for w in range(1, 9)))
        )
    agreements = 0
    for function in range(30):
        one, a = first.request(100.0, function_id=function)
        two, b = second.request(100.0, function_id=function)
        agreements += attempts_sent(a)[0].worker_id == attempts_sent(b)[0].worker_id
        first.finish(100.05, one)
        second.finish(100.05, two)
    assert agreements == 30


def test_a_popular_function_spreads_where_instances_are_shared() -> None:
    gateway = Gateway(make_router(*range(1, 41), gateway_count=300))
    find_shared_instances(gateway)
    used_workers = set()
    for step in range(30):
        now = 104.0 + step * 0.1
        number, actions = gateway.request(now, function_id=1)
        used_workers |= {send.worker_id for send in attempts_sent(actions)}
        if attempts_sent(actions):
            gateway.finish(now + 0.05, number)
            gateway.router.functions[1].warm_instances.clear()
    assert len(used_workers) > 3


def test_a_worker_with_high_cpu_utilization_gets_fewer_loads_and_recovers() -> None:
    """With hundreds of gateways with little traffic each, some workers stay at 0.9 utilization and others at
    0.1 while functions stay loaded. A gateway's own counts do not show this, load reports do."""

    def loads(utilization: dict[int, float], later_s: float = 0.0) -> list[int]:
        loads_by_worker = [0] * 9
        for gateway in make_gateways(20, 8):
            for step in range(120):  # each worker responds several times
                now = 99.0 + step * 0.01
                number, _ = gateway.request(now, function_id=5000 + step, memory_mb=1.0)
                gateway.finish(
                    now,
                    number,
                    load_report=LoadReport(
                        cpu_utilization=utilization.get(gateway.worker_by_request[number], 0.5)
                    ),
                )
            for worker in gateway.router.workers.values():
                worker.placed_mb = 0.0  # ignore memory
            for function in range(40):
                number, actions = gateway.request(100.2 + later_s, function_id=function, memory_mb=1.0)
                loads_by_worker[attempts_sent(actions)[0].worker_id] += 1
                gateway.finish(100.2 + later_s, number)
        return loads_by_worker

    even, reported = loads({}), loads({1: 1.0, 2: 0.0})
    assert reported[1] < 0.5 * even[1]
    assert reported[2] > 1.3 * even[2]
    assert loads({1: 1.0, 2: 0.0}, later_s=120.0)[1] > 0.8 * even[1]  # old reports have decayed


def test_instances_with_a_free_slot_do_not_raise_the_spread_factor() -> None:
    """With hundreds of gateways nearly every attempt finds an instance; if that alone raised the spread
    factor, it would rise without end. Without reported CPU utilization only the spread balances the load,
    so the factor rises for each instance found."""

    def spread_after(concurrency: int | None, utilization: float | None = 0.5) -> float:
        gateway = Gateway(make_router(*range(1, 41), gateway_count=300))
        for function in range(200):
            number, actions = gateway.request(100.0 + function * 0.1, function_id=1000 + function)
            if attempts_sent(actions):
                end = 100.05 + function * 0.1
                gateway.finish(
                    end,
                    number,
                    cache_status=CacheStatus.WARM,
                    concurrency=concurrency,
                    load_report=LoadReport(cpu_utilization=utilization),
                )
        assert gateway.router.components.shared_instances.fraction > 0.2
        return gateway.router.components.placement.spread_factor

    assert spread_after(0) == 1.0
    assert spread_after(1) == spread_after(None) == 10.0  # every slot in use; concurrency not reported
    assert spread_after(0, utilization=None) == 10.0


def make_components(*workers: Worker) -> Components:
    """Return the components of a router that knows the given workers."""
    components = Components(settings(), 1)
    components.fleet.workers.update({worker.endpoint.worker_id: worker for worker in workers})
    components.fleet.ready_count = len(workers)
    components.fleet.ready_capacity = sum(worker.endpoint.capacity for worker in workers)
    return components


def choose(components: Components, function: Function | None = None, function_id: int = 1) -> int:
    """Return the ID of the worker at which a function is loaded."""
    request = make_request(function_id=function_id)
    workers = list(components.fleet.workers.values())
    return components.placement.choose(100.0, request, function or Function(), workers).endpoint.worker_id


def test_ranks_follow_the_capacity() -> None:
    small, large = make_worker(1, capacity=1.0), make_worker(2, capacity=3.0)
    first = sum(rendezvous_rank(large, f) < rendezvous_rank(small, f) for f in range(1000))
    assert 700 < first < 800


def test_a_full_worker_is_passed_over() -> None:
    components = make_components(make_worker(1), make_worker(2))
    preferred = choose(components)
    components.fleet.workers[preferred].placed_mb = 7800.0
    assert choose(components) == 3 - preferred


def test_where_no_worker_has_free_memory_the_one_with_fewest_attempts_is_chosen() -> None:
    workers = make_worker(1, kind=0), make_worker(2, kind=0)
    for worker, attempts in zip(workers, (2, 1), strict=True):
        worker.placed_mb, worker.attempts_in_flight = 8000.0, attempts
    assert choose(make_components(*workers)) == 2


def test_a_worker_with_many_loads_in_progress_is_passed_over() -> None:
    components = make_components(make_worker(1), make_worker(2))
    preferred = choose(components)
    loads = dict.fromkeys(range(10, 10 + MAX_LOADS_AT_WORKER), 1)
    components.fleet.workers[preferred].loads_in_progress = loads
    assert choose(components) == 3 - preferred


def test_a_worker_that_rejected_a_load_is_chosen_only_where_there_is_no_other() -> None:
    components, function = make_components(make_worker(1), make_worker(2)), Function()
    preferred = choose(components)
    function.load_rejected_until_s = {preferred: 100.5}
    assert choose(components, function) == 3 - preferred
    function.load_rejected_until_s = {1: 100.5, 2: 100.5}
    assert choose(components, function) == preferred
