"""Computes the memory use of tenants from the instance changes of stub workers, without usage records.

Tests compare the accounts with it: it shares no code with the recording and the allocation of memory use.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import InstanceChange


class MemoryWatch:
    """Records the instance changes of a fleet's workers, for each incarnation."""

    def __init__(self, fleet: StubWorkerFleet) -> None:
        """Restart the workers, so that all changes are recorded."""
        self._fleet = fleet
        self._ended: list[list[InstanceChange]] = []
        for worker in fleet.workers:
            worker.stop()
            worker.instance_changes = []
            worker.start()

    def restart_worker(self, number: int) -> None:
        """Kill a worker and start a new incarnation, whose records are numbered from 1 again.

        The memory use of the old incarnation ends when it is killed.
        """
        worker = self._fleet.workers[number]
        model = worker.model
        with model._state:
            for instances in model._instances.values():
                instances.span_start_us = model._now_us()  # the span that is open now is not recorded
                model._notify_change(instances)
            worker.stop()
            self._ended.append(list(worker.instance_changes or ()))
        worker.instance_changes = []
        worker.start()

    def calls_at_last_death(self) -> dict[str, tuple[float, float]]:
        """Return when each call of the worker killed last began and ended, by request id.

        Times are seconds of the worker's clock; all calls end when the worker is killed.
        """
        changes = [incarnation for incarnation in self._ended if incarnation][-1]
        death_s = max(change.at_us for change in changes) / 1e6
        result: dict[str, tuple[float, float]] = {}
        for change in sorted(changes, key=lambda change: change.at_us):
            for call in (*change.waiting_calls, *change.running_calls):
                result.setdefault(call.request_id, (change.at_us / 1e6, death_s))
        return result

    def memory_use(self) -> dict[str, float]:
        """Return the memory use so far by tenant, in MB seconds."""
        totals: dict[str, float] = defaultdict(float)
        for changes in [
            *self._ended,
            *(list(worker.instance_changes or ()) for worker in self._fleet.workers),
        ]:
            for tenant, amount in memory_use_by_tenant(changes).items():
                totals[tenant] += amount
        return dict(totals)


def memory_use_by_tenant(changes: Iterable[InstanceChange]) -> dict[str, float]:
    """Return the memory use by tenant, in MB seconds, summed over the spans between two changes."""
    totals: dict[str, float] = defaultdict(float)
    last: dict[str, InstanceChange] = {}
    for change in sorted(changes, key=lambda change: change.at_us):
        before = last.get(change.function)
        last[change.function] = change
        if before is None:
            continue
        mb_s = before.memory_mb * (change.at_us - before.at_us) / 1e6
        in_use = min(before.loaded, -(-len(before.running_calls) // before.concurrency))
        for instance_count, calls in ((before.loading, before.waiting_calls), (in_use, before.running_calls)):
            for call in calls:
                totals[call.tenant] += mb_s * instance_count / len(calls)
            if not calls:
                totals[""] += mb_s * instance_count
    return {tenant: amount for tenant, amount in totals.items() if amount and tenant}


def recorded_memory_use(fleet: StubWorkerFleet) -> dict[str, int]:
    """Return the memory use by tenant, in KiB microseconds, that the current incarnations recorded.

    Records count whether they were delivered or not.
    """
    totals: dict[str, int] = defaultdict(int)
    for worker in fleet.workers:
        for record in list(worker.outbox.all_records):
            span = record.memory_kib * (record.end_us - record.start_us)
            for calls, instance_count in (
                (record.waiting_calls, record.loading_instances),
                (record.running_calls, record.running_instances),
            ):
                for call in calls:
                    totals[call.tenant] += span * instance_count // len(calls)
    return {tenant: amount for tenant, amount in totals.items() if amount}


def is_close(
    result: dict[str, float], wanted: dict[str, float], tolerance: float, slack: float = 0.05
) -> bool:
    """Return whether each tenant's memory use (MB s) is within a relative tolerance of the expected one."""
    return set(result) == set(wanted) and all(
        abs(result[tenant] - wanted[tenant]) <= tolerance * wanted[tenant] + slack for tenant in wanted
    )
