"""Ramps the capacities of workers in steps when a new list changes them by a large factor. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import structs

from saffronstack.config.schema import Worker

MAX_STEP_FACTOR = 1.5  # largest factor by which a capacity changes in one step
STEP_INTERVAL_S = 1.0


class CapacityRamp:
    """Tracks the current capacities. All times are seconds of the same clock.

    Attributes:
        is_ramping: Whether a capacity has not reached its listed value.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self.is_ramping = False
        self._capacities: dict[str, float] = {}  # current capacity by worker
        self._last_step_s = 0.0

    def advance(self, workers: Mapping[str, Worker], now: float) -> dict[str, Worker]:
        """Return the workers with their current capacities.

        New workers start with their listed capacity, because slow start is done by the router.
        """
        is_step_due = now - self._last_step_s >= STEP_INTERVAL_S
        if is_step_due:
            self._last_step_s = now
        capacities = {}
        for name, worker in workers.items():
            capacity = self._capacities.get(name, worker.size)
            capacities[name] = _step_towards(worker.size, capacity) if is_step_due else capacity
        self._capacities = capacities
        self.is_ramping = any(capacities[name] != worker.size for name, worker in workers.items())
        return {name: _with_capacity(worker, capacities[name]) for name, worker in workers.items()}


def _step_towards(target: float, capacity: float) -> float:
    if target > capacity:
        return min(target, capacity * MAX_STEP_FACTOR)
    return max(target, capacity / MAX_STEP_FACTOR)


def _with_capacity(worker: Worker, capacity: float) -> Worker:
    return worker if worker.size == capacity else structs.replace(worker, size=capacity)
