"""What tenants' calls held, reckoned from a stand-in's own changes: an oracle that knows no record and no
split."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import InstanceChange


class MemoryWatch:
    """Notes the changes of a fleet's workers, life by life."""

    def __init__(self, fleet: StubWorkerFleet) -> None:
        """Starts the workers anew."""
        self._fleet = fleet
        self._ended: list[list[InstanceChange]] = []
        for worker in fleet.workers:
            worker.stop()
            worker.instance_changes = []
            worker.start()

    def restart_worker(self, number: int) -> None:
        """Kill a worker and start it again, cold, numbering from 1: what its copies held ends at the
        death."""
        worker = self._fleet.workers[number]
        model = worker.model
        with model._state:
            for instances in model._instances.values():
                instances.span_start_us = model._now_us()  # no record of this span leaves any more
                model._notify_change(instances)
            worker.stop()
            self._ended.append(list(worker.instance_changes or ()))
        worker.instance_changes = []
        worker.start()

    def calls_at_last_death(self) -> dict[str, tuple[float, float]]:
        """The calls in the last life of a worker that died, by id: from when to its death, in its seconds."""
        changes = [life for life in self._ended if life][-1]
        death_s = max(change.at_us for change in changes) / 1e6
        found: dict[str, tuple[float, float]] = {}
        for change in sorted(changes, key=lambda change: change.at_us):
            for ref in (*change.waiting_calls, *change.running_calls):
                found.setdefault(ref.request_id, (change.at_us / 1e6, death_s))
        return found

    def memory_use(self) -> dict[str, float]:
        """MB s by tenant so far."""
        sums: dict[str, float] = defaultdict(float)
        for changes in [
            *self._ended,
            *(list(worker.instance_changes or ()) for worker in self._fleet.workers),
        ]:
            for tenant, amount in memory_use_by_tenant(changes).items():
                sums[tenant] += amount
        return dict(sums)


def memory_use_by_tenant(changes: Iterable[InstanceChange]) -> dict[str, float]:
    """MB s by tenant, nobody's under no name: sums over time of what stood between two changes."""
    sums: dict[str, float] = defaultdict(float)
    last: dict[str, InstanceChange] = {}
    for change in sorted(changes, key=lambda change: change.at_us):
        before = last.get(change.function)
        last[change.function] = change
        if before is None:
            continue
        mb_s = before.memory_mb * (change.at_us - before.at_us) / 1e6
        in_use = min(before.loaded, -(-len(before.running_calls) // before.concurrency))
        for copies, calls in ((before.loading, before.waiting_calls), (in_use, before.running_calls)):
            for ref in calls:
                sums[ref.tenant] += mb_s * copies / len(calls)
            if not calls:
                sums[""] += mb_s * copies
    return {tenant: amount for tenant, amount in sums.items() if amount and tenant}


def recorded_memory_use(fleet: StubWorkerFleet) -> dict[str, int]:
    """KiB microseconds by tenant of all that the workers of today recorded, delivered or not."""
    sums: dict[str, int] = defaultdict(int)
    for worker in fleet.workers:
        for record in list(worker.outbox.all_records):
            span = record.memory_kib * (record.end_us - record.start_us)
            for calls, copies in (
                (record.waiting_calls, record.loading_instances),
                (record.running_calls, record.running_instances),
            ):
                for ref in calls:
                    sums[ref.tenant] += span * copies // len(calls)
    return {tenant: amount for tenant, amount in sums.items() if amount}


def is_close(found: dict[str, float], wanted: dict[str, float], part: float, slack: float = 0.05) -> bool:
    """Whether each tenant's sum (MB s) is within a part of what was held."""
    return set(found) == set(wanted) and all(
        abs(found[tenant] - wanted[tenant]) <= part * wanted[tenant] + slack for tenant in wanted
    )
