"""Merges the workers of several sources into one list, and compares lists. No I/O.

Each source has a priority. A complete source hides all sources of lower priority. Any other source adds its
workers to theirs. If several sources list a worker, the entry with the highest priority is used. If any
source drains a worker, the worker drains, even if that source is hidden or its version waits for approval.
Conflicts between sources are resolved by priority and reported.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from msgspec import structs

from saffronstack.config.schema import Worker
from saffronstack.discovery.changes import EndpointChanges
from saffronstack.engine.identifiers import worker_number

WorkerChanges: TypeAlias = EndpointChanges[Worker, str]


@dataclass(frozen=True, slots=True)
class WorkerSource:
    """The workers and drains that one source lists.

    Attributes:
        name: Name of the source in reports of conflicts.
        priority: Entries of the source with the highest priority are used.
        workers: The workers that it lists.
        drains: Names of workers to drain, in addition to those that the source lists as draining.
        is_complete: Whether the source lists all workers and hides sources of lower priority.
        is_loaded: Whether the workers of the source are known. It hides no other source before.
    """

    name: str
    priority: int
    workers: tuple[Worker, ...] = ()
    drains: frozenset[str] = frozenset()
    is_complete: bool = False
    is_loaded: bool = True

    def draining_names(self) -> frozenset[str]:
        """Return the names of all workers that the source drains."""
        return self.drains | {worker.id for worker in self.workers if worker.state == "draining"}


@dataclass(frozen=True, slots=True)
class MergedList:
    """The workers of all sources by name, and the conflicts between sources."""

    workers: dict[str, Worker]
    conflicts: tuple[str, ...]


def merge_sources(sources: Iterable[WorkerSource], draining: Iterable[str] = ()) -> MergedList:
    """Return the merged list of all sources.

    Args:
        sources: The sources, in any order.
        draining: Names of further workers to mark as draining.
    """
    ordered = sorted(sources, key=lambda source: (-source.priority, source.name))
    merger = _Merger()
    for source in ordered:
        for worker in source.workers:
            merger.add(source.name, worker)
        if source.is_complete and source.is_loaded:
            break  # a complete source hides those of lower priority
    workers = merger.workers
    names = set(draining).union(*(source.draining_names() for source in ordered))
    for name in names & workers.keys():
        workers[name] = structs.replace(workers[name], state="draining")
    return MergedList(workers, tuple(merger.conflicts))


class _Merger:
    """Collects workers. Its caller adds them in the order of descending source priority."""

    def __init__(self) -> None:
        self.workers: dict[str, Worker] = {}
        self.conflicts: list[str] = []
        self._sources_by_worker: dict[str, str] = {}
        self._names_by_address: dict[str, str] = {}
        self._names_by_number: dict[int, str] = {}

    def add(self, source: str, worker: Worker) -> None:
        """Add a worker, unless its name, its address or the number of its name is already listed."""
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
        number = worker_number(worker.id)
        if number in self._names_by_number:
            name = self._names_by_number[number]
            self.conflicts.append(
                f"number {number}: {self._sources_by_worker[name]} says {name}, {source} {worker.id}"
            )
            return
        self._names_by_number[number] = worker.id
        self.workers[worker.id] = worker
        self._sources_by_worker[worker.id] = source
        self._names_by_address[worker.address] = worker.id


def compare_lists(before: Mapping[str, Worker], after: Mapping[str, Worker]) -> WorkerChanges:
    """Return the difference between two lists, with draining workers first because they are urgent."""
    updated = [worker for name, worker in after.items() if before.get(name) != worker]
    updated.sort(key=lambda worker: worker.state != "draining")
    return EndpointChanges(tuple(updated), tuple(name for name in before if name not in after))
