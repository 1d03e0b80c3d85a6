"""One list out of all sources. Free of I/O.

Sources have a priority; a complete one hides those below it, others add. For a worker that several name, the
highest source's entry counts; a drain from any source wins, also from one that is hidden or held. What
sources contradict each other in is reported, and decided by priority. Sizes move in steps.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from msgspec import structs

from saffronstack.config.schema import Worker

STEP = 1.5  # a size changes by at most this factor
STEP_S = 1.0  # in this time


@dataclass(frozen=True, slots=True)
class Source:
    """What one source says. ``drains`` are names beyond those of its workers that it wants drained."""

    name: str
    priority: int
    workers: tuple[Worker, ...] = ()
    drains: frozenset[str] = frozenset()
    complete: bool = False
    known: bool = True  # False: it has never told anything; it hides nothing then


@dataclass(frozen=True, slots=True)
class Merged:
    """The list, and what the sources disagree in."""

    workers: dict[str, Worker]
    conflicts: tuple[str, ...]


def merge(sources: Iterable[Source], held: Iterable[str] = ()) -> Merged:
    """The list of all sources; ``held`` are workers that count as draining for another reason."""
    ordered = sorted(sources, key=lambda source: (-source.priority, source.name))
    found: dict[str, Worker] = {}
    owner: dict[str, str] = {}
    at: dict[str, str] = {}
    conflicts: list[str] = []
    drains = set(held)
    hidden = False
    for source in ordered:
        drains |= source.drains
        drains |= {worker.id for worker in source.workers if worker.state == "draining"}
        if hidden:
            continue
        for worker in source.workers:
            first = found.get(worker.id)
            if first is not None:
                if first.address != worker.address:
                    here = f"{owner[worker.id]} says {first.address}"
                    conflicts.append(f"{worker.id}: {here}, {source.name} {worker.address}")
                continue
            if worker.address in at:
                conflicts.append(
                    f"{worker.address}: {owner[at[worker.address]]} says {at[worker.address]}, "
                    f"{source.name} {worker.id}"
                )
                continue
            found[worker.id] = worker
            owner[worker.id] = source.name
            at[worker.address] = worker.id
        hidden = source.complete and source.known
    for name in drains & set(found):
        found[name] = structs.replace(found[name], state="draining")
    return Merged(found, tuple(conflicts))


@dataclass(frozen=True, slots=True)
class Change:
    """From one list to the next."""

    entries: tuple[Worker, ...]  # new, or changed
    gone: tuple[str, ...]

    def __bool__(self) -> bool:
        return bool(self.entries or self.gone)


def change(before: Mapping[str, Worker], after: Mapping[str, Worker]) -> Change:
    """What differs; drains first, since they hurry."""
    entries = [worker for name, worker in after.items() if before.get(name) != worker]
    entries.sort(key=lambda worker: worker.state != "draining")
    return Change(tuple(entries), tuple(name for name in before if name not in after))


@dataclass(slots=True)
class Sizes:
    """Sizes on their way: a worker that is to take much more gets it step by step."""

    _now: dict[str, float] = field(default_factory=dict)
    _stepped_s: float = 0.0
    moving: bool = False

    def step(self, workers: Mapping[str, Worker], now: float) -> dict[str, Worker]:
        """The list with the sizes of this moment. New workers begin with theirs: slow start is the
        module's."""
        may = now - self._stepped_s >= STEP_S
        if may:
            self._stepped_s = now
        found = {}
        self.moving = False
        for name, worker in workers.items():
            size = self._now.get(name, worker.size)
            if size != worker.size and may:
                size = min(worker.size, size * STEP) if worker.size > size else max(worker.size, size / STEP)
            self.moving = self.moving or size != worker.size
            found[name] = worker if size == worker.size else structs.replace(worker, size=size)
            self._now[name] = size
        for name in set(self._now) - set(workers):
            del self._now[name]
        return found
