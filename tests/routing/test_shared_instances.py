"""Whether instances are shared by all gateways."""

from __future__ import annotations

from saffronstack.routing.events import CacheStatus
from tests.support.routing import Gateway, make_router


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
