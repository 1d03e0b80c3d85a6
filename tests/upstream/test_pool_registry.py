"""The pools of all workers follow the endpoint list."""

from __future__ import annotations

import pytest

from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.upstream.pool_registry import PoolRegistry

FIRST, SECOND = WorkerSpec(1, "w-1", "127.0.0.1", 1), WorkerSpec(2, "w-2", "127.0.0.1", 2)


class FakePool:
    """Records updates and whether it was stopped."""

    def __init__(self, spec: WorkerSpec) -> None:
        self.spec = spec
        self.updates: list[WorkerSpec] = []
        self.is_stopped = False

    def update(self, spec: WorkerSpec) -> None:
        self.updates.append(spec)

    def stop(self) -> None:
        self.is_stopped = True


@pytest.fixture
def registry() -> PoolRegistry[FakePool]:
    """Returns a registry with two workers."""
    registry = PoolRegistry(FakePool)
    registry.update([FIRST, SECOND], [])
    return registry


def test_a_worker_that_changes_keeps_its_pool(registry: PoolRegistry[FakePool]) -> None:
    pool = registry.get(1)
    draining = WorkerSpec(1, "w-1", "127.0.0.1", 1, is_draining=True)
    registry.update([draining], [])
    assert pool is not None
    assert registry.get(1) is pool
    assert pool.updates == [FIRST, draining]
    assert not pool.is_stopped


def test_a_worker_at_another_address_gets_another_pool(registry: PoolRegistry[FakePool]) -> None:
    before = registry.get(1)
    registry.update([WorkerSpec(1, "w-1", "127.0.0.1", 3)], [])
    after = registry.get(1)
    assert before is not None
    assert after is not None
    assert before.is_stopped
    assert after is not before
    assert after.spec.port == 3


def test_a_removed_worker_loses_its_pool(registry: PoolRegistry[FakePool]) -> None:
    removed = registry.get(1)
    registry.update([], [1, 77])  # 77 was never listed
    assert removed is not None
    assert removed.is_stopped
    assert registry.get(1) is None
    assert len(registry) == 1


def test_a_snapshot_removes_the_workers_that_it_does_not_list(registry: PoolRegistry[FakePool]) -> None:
    removed, kept = registry.get(1), registry.get(2)
    registry.replace_all([SECOND])
    assert removed is not None
    assert removed.is_stopped
    assert registry.snapshot() == {2: kept}


def test_clearing_stops_and_returns_every_pool(registry: PoolRegistry[FakePool]) -> None:
    pools = registry.clear()
    assert [pool.spec for pool in pools] == [FIRST, SECOND]
    assert all(pool.is_stopped for pool in pools)
    assert not len(registry)
