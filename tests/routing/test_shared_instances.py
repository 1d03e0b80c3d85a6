"""Tests of the detection of shared instances."""

from __future__ import annotations

from saffronstack.routing.events import CacheStatus, Result
from saffronstack.routing.shared_instances import SharedInstances
from tests.support.routing import Gateway, make_router
from tests.support.routing_state import make_attempt, make_outcome, make_worker


def test_own_instances_do_not_count_as_shared() -> None:
    gateway = Gateway(make_router(*range(1, 9)))
    for step in range(60):
        number, _ = gateway.request(100.0 + step * 0.1, function_id=step % 3)
        gateway.finish(
            100.05 + step * 0.1,
            number,
            cache_status=CacheStatus.STARTED_LOAD if step < 3 else CacheStatus.WARM,
        )
    assert gateway.router.components.shared_instances.fraction < 0.01


def test_a_found_instance_that_was_unknown_counts_as_shared() -> None:
    shared = SharedInstances()
    for _ in range(10):
        shared.observe(make_attempt(make_worker(), expects_warm=False), make_outcome())
    assert shared.are_common()
    for _ in range(60):
        shared.observe(make_attempt(make_worker(), expects_warm=True), make_outcome())
    assert not shared.are_common()


def test_failed_attempts_do_not_change_the_shared_fraction() -> None:
    shared = SharedInstances()
    shared.observe(make_attempt(make_worker(), expects_warm=False), make_outcome(Result.ERROR))
    assert shared.fraction == 0.0
