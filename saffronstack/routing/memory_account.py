"""Account of the worker memory that instances for this gateway's attempts use.

Workers do not report which instances they hold. The account assumes that each attempt needs an instance at
its worker and that an unused instance frees its memory after the keep-alive.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import NamedTuple

from saffronstack.routing.events import Request
from saffronstack.routing.settings import Settings
from saffronstack.routing.state import Fleet, Worker

MIN_MEMORY_MB = 1.0  # lower bound for each worker, so that the fraction in use is defined
InstanceKey = tuple[int, int]  # worker ID and function ID


@dataclass(slots=True)
class PlacedInstances:
    """Instances of one function that one worker holds because of this gateway's attempts.

    Attributes:
        memory_mb: Memory of one instance.
        instances: Estimated number of instances.
        attempts_in_flight: Attempts of this gateway in flight at these instances.
        last_used_s: When one of the instances was last used.
    """

    memory_mb: float
    instances: int = 0
    attempts_in_flight: int = 0
    last_used_s: float = 0.0


class Expiry(NamedTuple):
    """Time at which instances may have expired; the sequence number orders equal times."""

    due_s: float
    sequence: int
    worker_id: int
    function_id: int


class MemoryAccount:
    """Keeps the placed instances of all workers.

    Attributes:
        placed: Placed instances, by worker ID and function ID.
        expiries: Heap of the times at which to check placed instances for expiry.
    """

    __slots__ = ("_fleet", "_keep_alive_s", "_memory_mb_by_kind", "_sequence", "expiries", "placed")

    def __init__(self, settings: Settings, fleet: Fleet, keep_alive_s: float) -> None:
        self._fleet = fleet
        self._keep_alive_s = keep_alive_s
        self._memory_mb_by_kind = {
            kind: max(MIN_MEMORY_MB, memory_mb)
            for kind, memory_mb in enumerate(settings.memory_mb_by_worker_kind)
        }
        self._sequence = 0
        self.placed: dict[InstanceKey, PlacedInstances] = {}
        self.expiries: list[Expiry] = []

    def memory_mb(self, worker: Worker) -> float:
        """Return the memory of a worker, infinity if its kind is unknown."""
        return self._memory_mb_by_kind.get(worker.endpoint.kind, math.inf)

    def knows_instance(self, worker: Worker, function_id: int) -> bool:
        """Return whether a worker holds an unexpired instance that this gateway placed."""
        return (worker.endpoint.worker_id, function_id) in self.placed

    def instances_at(self, worker: Worker, request: Request) -> PlacedInstances:
        """Return the placed instances of a request's function at a worker, creating the entry if needed."""
        key = worker.endpoint.worker_id, request.function_id
        placed = self.placed.get(key)
        if placed is None:
            placed = self.placed[key] = PlacedInstances(request.memory_mb)
        return placed

    def set_instances(self, worker: Worker, placed: PlacedInstances, instances: int) -> None:
        """Set how many instances a worker holds, and update its memory in use."""
        worker.placed_mb += (instances - placed.instances) * placed.memory_mb
        placed.instances = instances

    def begin_attempt(self, worker: Worker, request: Request) -> None:
        """Record an attempt, which uses an instance with a free slot or makes the worker start another."""
        placed = self.instances_at(worker, request)
        placed.attempts_in_flight += 1
        needed = math.ceil(placed.attempts_in_flight / max(1.0, request.concurrency))
        self.set_instances(worker, placed, max(placed.instances, needed))

    def schedule_expiry(self, now: float, worker_id: int, function_id: int) -> None:
        """Schedule an expiry check of these instances after the keep-alive."""
        due = Expiry(now + self._keep_alive_s, self._sequence, worker_id, function_id)
        self._sequence += 1
        heapq.heappush(self.expiries, due)

    def expire(self, now: float) -> None:
        """Free the memory of instances that were unused for the keep-alive."""
        while self.expiries and self.expiries[0].due_s < now:
            due = heapq.heappop(self.expiries)
            key = due.worker_id, due.function_id
            placed = self.placed.get(key)
            if placed and not placed.attempts_in_flight and placed.last_used_s + self._keep_alive_s < now:
                worker = self._fleet.workers.get(due.worker_id)
                if worker is not None:
                    worker.placed_mb -= placed.instances * placed.memory_mb
                del self.placed[key]

    def drop_instances(self, worker: Worker) -> None:
        """Record that a worker lost its instances by a restart or its removal."""
        for (worker_id, _), placed in self.placed.items():
            if worker_id == worker.endpoint.worker_id:
                worker.placed_mb -= placed.instances * placed.memory_mb
                placed.instances = 0

    def forget_worker(self, worker_id: int) -> None:
        """Drop all entries of a removed worker."""
        for key in [key for key in self.placed if key[0] == worker_id]:
            del self.placed[key]
