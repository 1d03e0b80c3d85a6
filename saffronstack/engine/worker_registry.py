"""The workers as the gateway was told of them, and as they were heard; turned into list updates. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from saffronstack.engine.calls import WorkerObservation
from saffronstack.routing.events import EndpointUpdate, EndpointUpdateKind, WorkerEndpoint, WorkerState

EARLIEST_S = 1e-6  # a start time of 0 would mean "long ago" to the module


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """One worker as told; ``started_at`` in Unix seconds, 0 for long ago."""

    number: int
    name: str
    host: str
    port: int
    draining: bool = False
    size: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_at: float = 0.0


class WorkerRegistry:
    """Owned by the decision thread. A worker that left and returns counts as started anew."""

    def __init__(self) -> None:
        self.version = 0
        self.specs: dict[int, WorkerSpec] = {}
        self.entries: dict[int, WorkerEndpoint] = {}
        self._incarnations: dict[int, str] = {}

    def told(self, now: float, wall: float, specs: Iterable[WorkerSpec]) -> EndpointUpdate:
        """The whole list was told anew at ``now`` (monotonic) and ``wall`` (Unix seconds)."""
        self.version += 1
        listed = {spec.number: spec for spec in specs}
        entries = {number: self._entry(now, wall, spec) for number, spec in listed.items()}
        self.specs = listed
        gone = [
            replace(entry, state=WorkerState.REMOVED)
            for number, entry in self.entries.items()
            if number not in entries
        ]
        self.entries = entries
        for entry in gone:
            self._incarnations.pop(entry.worker_id, None)
        return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(entries.values()), self.version)

    def changed(
        self, now: float, wall: float, specs: Iterable[WorkerSpec], gone: Iterable[int]
    ) -> EndpointUpdate:
        """Some workers are new or changed, some are gone; the others stay as they are."""
        self.version += 1
        changes = []
        for number in gone:
            self.specs.pop(number, None)
            self._incarnations.pop(number, None)
            entry = self.entries.pop(number, None)
            if entry is not None:
                changes.append(replace(entry, state=WorkerState.REMOVED))
        for spec in specs:
            entry = self.entries[spec.number] = self._entry(now, wall, spec)
            self.specs[spec.number] = spec
            changes.append(entry)
        return EndpointUpdate(EndpointUpdateKind.INCREMENTAL, tuple(changes), self.version)

    def _entry(self, now: float, wall: float, spec: WorkerSpec) -> WorkerEndpoint:
        since_s = self._since(now, wall, spec.started_at)
        known = self.entries.get(spec.number)
        if known is not None:  # what the worker itself said of its start may be later than the list's
            since_s = max(since_s, known.started_s)
            told = self.specs.get(spec.number)
            if told is not None and told.started_at == spec.started_at:
                since_s = known.started_s  # the same start: clocks that drift make no new one
        state = WorkerState.DRAINING if spec.draining else WorkerState.READY
        return WorkerEndpoint(spec.number, state, spec.size, spec.kind, spec.zone, spec.cell, since_s)

    def worker_seen(self, now: float, seen: WorkerObservation) -> EndpointUpdate | None:
        """A worker named its incarnation; a change where it started anew behind the list's back."""
        entry = self.entries.get(seen.worker_id)
        if entry is None or self._incarnations.get(seen.worker_id) == seen.incarnation:
            return None
        first = seen.worker_id not in self._incarnations
        self._incarnations[seen.worker_id] = seen.incarnation
        since_s = max(EARLIEST_S, now - seen.uptime_s)
        # The first incarnation heard is no news of a start: the list says when workers started. A gateway
        # that starts beside a young fleet would hold back most of its calls (docs/gateway-design.md).
        if first or since_s <= entry.started_s + 0.5:
            return None
        self.version += 1
        entry = self.entries[seen.worker_id] = replace(entry, started_s=since_s)
        return EndpointUpdate(EndpointUpdateKind.INCREMENTAL, (entry,), self.version)

    def _since(self, now: float, wall: float, started_at: float) -> float:
        """A start on the module's clock; one past the cold time, or one in the future, is bounded."""
        if not started_at:
            return 0.0
        age_s = max(0.0, wall - started_at)
        return max(EARLIEST_S, now - age_s)
