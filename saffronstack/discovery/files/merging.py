"""Merges the workers of several sources into one list, and compares lists. No I/O.

Sources have a priority; a complete one hides those below it, others add to them. Where several list a worker,
the entry of the highest source counts; a drain from any source counts, also from one that is hidden or whose
version waits for approval. Contradictions are reported, and decided by priority.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from msgspec import structs

from saffronstack.config.schema import Worker
from saffronstack.discovery.changes import EndpointChanges

WorkerChanges: TypeAlias = EndpointChanges[Worker, str]


@dataclass(frozen=True, slots=True)
class WorkerSource:
    """What one source says.

    Attributes:
        name: Name in reports of contradictions.
        priority: The highest counts.
        workers: The workers that it lists.
        drains: Names of workers to drain, beyond those that it lists as draining.
        is_complete: Whether it lists all workers there are, and hides sources below it.
        is_loaded: Whether it has said anything yet; it hides nothing before.
    """

    name: str
    priority: int
    workers: tuple[Worker, ...] = ()
    drains: frozenset[str] = frozenset()
    is_complete: bool = False
    is_loaded: bool = True

    def draining_names(self) -> frozenset[str]:
        """Return the names of all workers that it wants drained."""
        return self.drains | {worker.id for worker in self.workers if worker.state == "draining"}


@dataclass(frozen=True, slots=True)
class MergedList:
    """The workers of all sources by name, and the contradictions between sources."""

    workers: dict[str, Worker]
    conflicts: tuple[str, ...]


def merge_sources(sources: Iterable[WorkerSource], draining: Iterable[str] = ()) -> MergedList:
    """Return the list of all sources.

    Args:
        sources: The sources, in any order.
        draining: Names of workers that count as draining for another reason.
    """
    ordered = sorted(sources, key=lambda source: (-source.priority, source.name))
    merger = _Merger()
    for source in ordered:
        for worker in source.workers:
            merger.add(source.name, worker)
        if source.is_complete and source.is_loaded:
            break  # it hides those below
    workers = merger.workers
    names = set(draining).union(*(source.draining_names() for source in ordered))
    for name in names & workers.keys():
        workers[name] = structs.replace(workers[name], state="draining")
    return MergedList(workers, tuple(merger.conflicts))


class _Merger:
    """Takes workers by falling priority of their sources."""

    def __init__(self) -> None:
        self.workers: dict[str, Worker] = {}
        self.conflicts: list[str] = []
        self._sources_by_worker: dict[str, str] = {}  # by worker
        self._names_by_address: dict[str, str] = {}  # by address

    def add(self, source: str, worker: Worker) -> None:
        """Take a worker, unless its name or its address is taken."""
        known = self.workers.get(worker.id)
        if known is not None:
            if known.address != worker.address:
                first = f"{self._sources_by_worker[worker.id]} says {known.address}"
                self.conflicts.append(f"{worker.id}: {first}, {source} {worker.address}")
            return
        if worker.address in self._names_by_address:
            name = self._names_by_address[worker.address]
            self.conflicts.append(
                f"{worker.address}: {self._sources_by_worker[name]} says {name}, {source} {worker.id}"
            )
            return
        self.workers[worker.id] = worker
        self._sources_by_worker[worker.id] = source
        self._names_by_address[worker.address] = worker.id


def compare_lists(before: Mapping[str, Worker], after: Mapping[str, Worker]) -> WorkerChanges:
    """Return what differs between two lists; draining workers come first, since they are urgent."""
    updated = [worker for name, worker in after.items() if before.get(name) != worker]
    updated.sort(key=lambda worker: worker.state != "draining")
    return EndpointChanges(tuple(updated), tuple(name for name in before if name not in after))
