"""Tracks the workers that discovery reports and their restarts; creates endpoint updates for the router."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from saffronstack.engine.dispatch import WorkerObservation
from saffronstack.routing.events import EndpointUpdate, EndpointUpdateKind, WorkerEndpoint, WorkerState

EARLIEST_START_S = 1e-6  # for the router a start time of 0 means "long ago"
RESTART_TOLERANCE_S = 0.5  # a start time later than the known one by less than this is not a restart


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """One worker as discovery reported it.

    Attributes:
        number: Number by which the router identifies it.
        name: Name in the endpoint list.
        host: Host name or address.
        port: TCP port.
        is_draining: Whether it is shutting down gracefully.
        capacity: Capacity relative to other workers.
        kind: Index of its kind.
        zone: Index of its zone.
        cell: Index of its cell.
        started_at: When it started, in Unix seconds; 0 means long ago.
    """

    number: int
    name: str
    host: str
    port: int
    is_draining: bool = False
    capacity: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_at: float = 0.0


class WorkerRegistry:
    """Known workers, on the decision thread. A worker that is removed and added again counts as a new one.

    Attributes:
        version: Version of the last update; it increases by 1 with each update.
        specs: The workers as discovery last reported them, by number.
        endpoints: The same workers as the router knows them.
    """

    def __init__(self) -> None:
        self.version = 0
        self.specs: dict[int, WorkerSpec] = {}
        self.endpoints: dict[int, WorkerEndpoint] = {}
        self._incarnations: dict[int, str] = {}

    def apply_snapshot(self, now: float, unix_s: float, specs: Iterable[WorkerSpec]) -> EndpointUpdate:
        """Replace all workers.

        Args:
            now: Time on the router's clock.
            unix_s: The same moment in Unix seconds.
            specs: The complete list.
        """
        self.version += 1
        listed = {spec.number: spec for spec in specs}
        endpoints = {number: self._endpoint(now, unix_s, spec) for number, spec in listed.items()}
        self.specs = listed
        for number in self.endpoints:
            if number not in endpoints:
                self._incarnations.pop(number, None)
        self.endpoints = endpoints
        return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(endpoints.values()), self.version)

    def apply_changes(
        self, now: float, unix_s: float, specs: Iterable[WorkerSpec], removed: Iterable[int]
    ) -> EndpointUpdate:
        """Add or change some workers and remove others.

        Args:
            now: Time on the router's clock.
            unix_s: The same moment in Unix seconds.
            specs: Workers that are new or changed.
            removed: Numbers of removed workers.
        """
        self.version += 1
        changes = []
        for number in removed:
            self.specs.pop(number, None)
            self._incarnations.pop(number, None)
            endpoint = self.endpoints.pop(number, None)
            if endpoint is not None:
                changes.append(replace(endpoint, state=WorkerState.REMOVED))
        for spec in specs:
            endpoint = self.endpoints[spec.number] = self._endpoint(now, unix_s, spec)
            self.specs[spec.number] = spec
            changes.append(endpoint)
        return EndpointUpdate(EndpointUpdateKind.INCREMENTAL, tuple(changes), self.version)

    def observe_worker(self, now: float, observation: WorkerObservation) -> EndpointUpdate | None:
        """Record the incarnation that a worker reported; return an update if the worker has restarted."""
        number = observation.worker_id
        endpoint = self.endpoints.get(number)
        if endpoint is None or self._incarnations.get(number) == observation.incarnation:
            return None
        is_first = number not in self._incarnations
        self._incarnations[number] = observation.incarnation
        started_s = max(EARLIEST_START_S, now - observation.uptime_s)
        # The first observed incarnation is not a restart, since start times come with the endpoint list.
        # Otherwise a gateway that starts soon after its workers would delay most calls
        # (docs/gateway-design.md).
        if is_first or started_s <= endpoint.started_s + RESTART_TOLERANCE_S:
            return None
        self.version += 1
        endpoint = self.endpoints[number] = replace(endpoint, started_s=started_s)
        return EndpointUpdate(EndpointUpdateKind.INCREMENTAL, (endpoint,), self.version)

    def _endpoint(self, now: float, unix_s: float, spec: WorkerSpec) -> WorkerEndpoint:
        started_s = _start_on_router_clock(now, unix_s, spec.started_at)
        known = self.endpoints.get(spec.number)
        if known is not None:  # the worker itself may have reported a later start time than the endpoint list
            started_s = max(started_s, known.started_s)
            previous = self.specs.get(spec.number)
            if previous is not None and previous.started_at == spec.started_at:
                started_s = known.started_s  # drift between the clocks must not look like a restart
        state = WorkerState.DRAINING if spec.is_draining else WorkerState.READY
        return WorkerEndpoint(spec.number, state, spec.capacity, spec.kind, spec.zone, spec.cell, started_s)


def _start_on_router_clock(now: float, unix_s: float, started_at: float) -> float:
    """Convert a start time in Unix seconds to the router's clock; a future time becomes the present."""
    if not started_at:
        return 0.0
    age_s = max(0.0, unix_s - started_at)
    return max(EARLIEST_START_S, now - age_s)
