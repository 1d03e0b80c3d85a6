"""The connection pools of all workers, updated with the endpoint list."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from saffronstack.engine.worker_registry import WorkerSpec


class WorkerPool(Protocol):
    """The connections to one worker."""

    spec: WorkerSpec

    def update(self, spec: WorkerSpec) -> None:
        """Apply a changed endpoint list entry; its address is the same, its draining state may differ."""
        ...

    def stop(self) -> None:
        """Stop sending; each connection closes once nothing is in flight on it."""
        ...


PoolT = TypeVar("PoolT", bound=WorkerPool)


class PoolRegistry(Generic[PoolT]):
    """Holds one pool for each listed worker, by worker number.

    Once an update returns, nothing new is sent to workers that are draining or were removed. Thread-safe.
    """

    def __init__(self, create_pool: Callable[[WorkerSpec], PoolT]) -> None:
        self._create_pool = create_pool
        self._lock = threading.Lock()  # guards changes of `_pools`; a single lookup needs no lock
        self._pools: dict[int, PoolT] = {}

    def __len__(self) -> int:
        """Return the number of workers."""
        return len(self._pools)

    def get(self, worker_id: int) -> PoolT | None:
        """Return the pool of a worker; None if the worker is not listed."""
        return self._pools.get(worker_id)

    def snapshot(self) -> dict[int, PoolT]:
        """Return a copy of the current pools, by worker number."""
        with self._lock:
            return dict(self._pools)

    def replace_all(self, specs: Iterable[WorkerSpec]) -> None:
        """Apply a snapshot of the endpoint list."""
        listed = {spec.number: spec for spec in specs}
        with self._lock:
            removed = [number for number in self._pools if number not in listed]
            stopped = self._apply(listed.values(), removed)
        for pool in stopped:
            pool.stop()

    def update(self, specs: Iterable[WorkerSpec], removed: Iterable[int]) -> None:
        """Apply an incremental update: new or changed workers, and the numbers of removed ones."""
        with self._lock:
            stopped = self._apply(specs, removed)
        for pool in stopped:
            pool.stop()

    def clear(self) -> list[PoolT]:
        """Remove and stop every pool; return the removed pools."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools = {}
        for pool in pools:
            pool.stop()
        return pools

    def _apply(self, specs: Iterable[WorkerSpec], removed: Iterable[int]) -> list[PoolT]:
        """Apply changes and return the pools that the caller must stop; the caller holds the lock."""
        stopped: list[PoolT] = []
        for number in removed:
            removed_pool = self._pools.pop(number, None)
            if removed_pool is not None:
                stopped.append(removed_pool)
        for spec in specs:
            pool = self._pools.get(spec.number)
            if pool is not None and (pool.spec.host, pool.spec.port) != (spec.host, spec.port):
                stopped.append(pool)  # a new address means another worker, so no connection is reused
                pool = None
            if pool is None:
                pool = self._create_pool(spec)
                self._pools[spec.number] = pool
            pool.update(spec)
        return stopped
