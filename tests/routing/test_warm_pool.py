"""Tests of the warm pool: which loaded instance a request uses, and when instances are dropped."""

from __future__ import annotations

import random

from saffronstack.routing.cpu_utilization import CpuUtilization
from saffronstack.routing.eligibility import Eligibility
from saffronstack.routing.events import CacheStatus, Result
from saffronstack.routing.rate_estimator import RequestRates
from saffronstack.routing.slow_start import SlowStart
from saffronstack.routing.state import Function
from saffronstack.routing.warm_pool import DEFAULT_KEEP_ALIVE_S, WarmPool, keep_alive_s
from tests.helpers import settings
from tests.support.routing import (
    DRAINING,
    Gateway,
    add_warm_instances,
    attempts_sent,
    endpoint,
    find_shared_instances,
    incremental,
    make_router,
)
from tests.support.routing_state import make_attempt, make_fleet, make_pending, make_worker


def test_the_most_recently_freed_instance_is_taken_first() -> None:
    gateway = Gateway(make_router(1, 2, 3))
    workers = list(gateway.router.workers.values())
    function = gateway.router.functions.setdefault(1, Function())
    function.warm_instances += [(workers[2], 100.0), (workers[0], 100.1)]
    _, actions = gateway.request(101.2)
    assert attempts_sent(actions)[0].worker_id == 1
    _, actions = gateway.request(101.2)
    assert attempts_sent(actions)[0].worker_id == 3


def test_instances_expire_after_the_keep_alive() -> None:
    gateway = Gateway(make_router(1))
    number, _ = gateway.request(100.0)
    gateway.finish(100.1, number)
    assert gateway.router.functions[1].warm_instances
    gateway.request(110.2)
    assert not gateway.router.functions[1].warm_instances


def test_a_response_that_shows_a_load_drops_older_instances_of_its_worker() -> None:
    gateway = Gateway(make_router(1))
    first, _ = gateway.request(100.0)
    second, _ = gateway.request(100.0)
    gateway.finish(100.1, first)
    third, _ = gateway.request(100.2)  # uses the only instance
    gateway.finish(100.3, second)  # older than the load that is reported next
    gateway.finish(101.0, third, cache_status=CacheStatus.STARTED_LOAD)
    assert all(freed >= 100.2 for _, freed in gateway.router.functions[1].warm_instances)


def test_a_failed_attempt_drops_the_instances_of_its_worker() -> None:
    gateway = Gateway(make_router(1))
    first, _ = gateway.request(100.0)
    second, _ = gateway.request(100.0)
    gateway.finish(100.1, first)
    gateway.finish(100.2, second, Result.ERROR)
    assert all(freed >= 100.1 for _, freed in gateway.router.functions[1].warm_instances)


def test_an_instance_whose_connection_ends_returns_to_the_pool() -> None:
    """After a reset the instance may still be loaded; dropping it made requests wait for needless loads."""
    gateway = Gateway(make_router(1, 2))
    first, _ = gateway.request(100.0)
    holder = gateway.worker_by_request[first]
    gateway.finish(100.1, first)
    second, _ = gateway.request(101.0)
    retried = attempts_sent(gateway.finish(101.0, second, Result.RESET, CacheStatus.UNKNOWN))
    # No other instance is known, and a load would take longer.
    assert [send.worker_id for send in retried] == [holder]
    gateway.finish(101.1, second)
    _, actions = gateway.request(101.2)
    assert attempts_sent(actions)[0].worker_id == holder


def test_a_worker_that_only_breaks_connections_is_passed_over() -> None:
    gateway = Gateway(make_router(1, 2, 3))
    first, _ = gateway.request(100.0)
    holder = gateway.worker_by_request[first]
    gateway.finish(100.1, first)
    second, _ = gateway.request(101.0)
    gateway.finish(101.0, second, Result.CONNECT_FAILED, CacheStatus.UNKNOWN)
    third = attempts_sent(gateway.finish(101.1, second, Result.CONNECT_FAILED, CacheStatus.UNKNOWN))
    assert [send.worker_id for send in third] != [holder]
    assert third


def test_a_finished_load_frees_all_its_concurrency_slots() -> None:
    gateway = Gateway(make_router(1, 2))
    number, _ = gateway.request(100.0, concurrency=4.0)
    gateway.finish(101.0, number, cache_status=CacheStatus.STARTED_LOAD)
    assert len(gateway.router.functions[1].warm_instances) == 4


def test_the_pool_of_a_function_keeps_only_its_freshest_instances() -> None:
    """Each choice scans all entries, which is slow with thousands of entries at an ineligible worker."""
    gateway = Gateway(make_router(1, 2))
    add_warm_instances(gateway, 1, count=5000)
    gateway.router.handle(100.1, incremental(endpoint(1, state=DRAINING)))
    gateway.request(100.2)
    assert len(gateway.router.functions[1].warm_instances) <= 100


def test_a_late_response_returns_no_instance_where_instances_are_shared() -> None:
    gateway = Gateway(make_router(*range(1, 41), gateway_count=300))
    find_shared_instances(gateway)
    for elapsed_s, entries in ((0.1, 1), (1.0, 0)):
        number, _ = gateway.request(104.0, function_id=int(10 * elapsed_s))
        gateway.finish(104.0 + elapsed_s, number, elapsed_s=elapsed_s)
        assert len(gateway.router.functions[int(10 * elapsed_s)].warm_instances) == entries


def make_pool(function: Function) -> WarmPool:
    """Return a warm pool for one function with a keep-alive of ten seconds."""
    rng = random.Random(1)
    slow_start = SlowStart(settings(), make_fleet(), RequestRates(), CpuUtilization(), rng)
    return WarmPool({1: function}, Eligibility(slow_start), 10.0)


def test_the_keep_alive_has_a_default() -> None:
    assert keep_alive_s(settings(keep_alive_s=3.0)) == 3.0
    assert keep_alive_s(settings(keep_alive_s=0.0)) == DEFAULT_KEEP_ALIVE_S


def test_a_restored_instance_returns_to_its_old_position() -> None:
    function, worker, other = Function(), make_worker(1), make_worker(2)
    pool = make_pool(function)
    pool.release(100.0, function, worker, 1)
    pool.release(102.0, function, worker, 1)
    pool.restore(function, other, 101.0)
    assert [freed_s for _, freed_s in function.warm_instances] == [100.0, 101.0, 102.0]


def test_instances_at_a_worker_that_is_at_its_limit_are_passed_over() -> None:
    function, at_limit, other = Function(), make_worker(1), make_worker(2)
    at_limit.concurrency_limit, at_limit.warm_attempts_in_flight = 2.0, 2
    pool = make_pool(function)
    pool.release(100.0, function, other, 1)
    pool.release(101.0, function, at_limit, 1)
    assert pool.take(102.0, function, make_pending(), 1.0) == (other, 100.0)
    assert pool.take(102.0, function, make_pending(), 1.0) is None


def test_a_load_drops_only_the_older_instances_of_its_worker() -> None:
    function, worker, other = Function(), make_worker(1), make_worker(2)
    pool = make_pool(function)
    for now, holder in ((100.0, worker), (101.0, other), (102.0, worker)):
        pool.release(now, function, holder, 1)
    pool.discard_older(function, worker, 101.0)
    assert function.warm_instances == [(other, 101.0), (worker, 102.0)]


def test_a_restart_drops_all_instances_of_the_worker() -> None:
    function, worker, other = Function(), make_worker(1), make_worker(2)
    pool = make_pool(function)
    pool.release(100.0, function, worker, 2)
    pool.release(100.0, function, other, 1)
    pool.drop_instances(worker)
    assert function.warm_instances == [(other, 100.0)]


def test_a_retry_candidate_survives_the_removal_of_expired_instances() -> None:
    function, worker, expired = Function(), make_worker(1), make_worker(2)
    pool, pending = make_pool(function), make_pending()
    broken = make_attempt(worker)
    broken.connection_lost = True
    pending.attempts.append(broken)
    pool.release(80.0, function, expired, 3)
    pool.release(100.0, function, worker, 1)
    assert pool.take(101.0, function, pending, 1.0) == (worker, 100.0)
    assert function.warm_instances == []
