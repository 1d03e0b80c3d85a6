"""The account of memory that own attempts took up."""

from __future__ import annotations

from tests.support.routing import Gateway, make_router


def test_placed_memory_returns_after_the_keep_alive() -> None:
    gateway = Gateway(make_router(1))
    number, _ = gateway.request(100.0)
    worker = gateway.router.workers[1]
    assert worker.placed_mb == 500.0
    gateway.finish(100.1, number)
    gateway.request(111.0, function_id=2, memory_mb=300.0)
    assert worker.placed_mb == 300.0
