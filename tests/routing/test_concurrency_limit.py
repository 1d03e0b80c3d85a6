"""The adaptive concurrency limit of a worker."""

from __future__ import annotations

from saffronstack.routing.settings import TenantSettings
from tests.support.routing import Gateway, add_warm_instances, attempts_sent, make_router


def test_late_responses_lower_the_limit_and_requests_wait_at_the_gateway() -> None:
    gateway = Gateway(make_router(1, 2, 3))
    for function in range(12):
        add_warm_instances(gateway, 1, function)
    numbers = [gateway.request(100.0, function_id=function)[0] for function in range(8)]
    for step, number in enumerate(numbers[:6]):
        gateway.finish(101.0 + step, number, elapsed_s=1.0 + step)
    worker = gateway.router.workers[1]
    assert worker.concurrency_limit < 8
    worker.concurrency_limit = 2.0
    add_warm_instances(gateway, 1, 10, 106.0)
    held, actions = gateway.request(106.1, function_id=10)
    assert not attempts_sent(actions)
    assert held in {a.request_id for a in attempts_sent(gateway.finish(106.2, numbers[6]))}


def test_traffic_over_its_quota_uses_less_of_a_limit() -> None:
    tenants = (TenantSettings("a", 0.5, 1000.0), TenantSettings("b", 0.5, 1.0))
    gateway = Gateway(make_router(1, 2, tenants=tenants, over_quota_weight=0.05))
    for step in range(400):
        gateway.request(100.0 + step * 0.01, function_id=1000 + step, tenant=step % 2)
    gateway.router.workers[1].concurrency_limit = 4.0
    gateway.router.workers[1].warm_attempts_in_flight = 2
    add_warm_instances(gateway, 1, 1, 104.0)
    add_warm_instances(gateway, 1, 2, 104.0)
    _, actions = gateway.request(104.0, function_id=2, tenant=1)
    assert not attempts_sent(actions)
    _, actions = gateway.request(104.0, function_id=1, tenant=0)
    assert len(attempts_sent(actions)) == 1
