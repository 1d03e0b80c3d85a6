"""The endpoint list of DNS discovery. It applies snapshots and incremental updates. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from saffronstack.discovery.changes import EndpointChanges
from saffronstack.engine.identifiers import worker_number
from saffronstack.engine.worker_registry import WorkerSpec

WORKER_NUMBER_COUNT = 1 << 32
MILLISECONDS_PER_S = 1000

WorkerChanges: TypeAlias = EndpointChanges[WorkerSpec, int]


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One worker in the endpoint list of the discovery server.

    Attributes:
        name: Name of the worker, unique in the list.
        host: IPv4 address.
        port: TCP port.
        zone: Name of the availability zone.
        kind: Name of the worker kind.
        cell: Number of the cell.
        is_draining: Whether the worker is draining.
        weight: Capacity relative to other workers.
        started_ms: Start time of the worker in Unix milliseconds; 0 means long ago.
    """

    name: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int = 0
    is_draining: bool = False
    weight: float = 1.0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """A complete endpoint list and its serial number at the server."""

    serial: int
    endpoints: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class _ListedWorker:
    """An endpoint and the `WorkerSpec` that the gateway received for it."""

    endpoint: ListedEndpoint
    spec: WorkerSpec

    def has_same_address(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint has the same host and port."""
        return (self.endpoint.host, self.endpoint.port) == (endpoint.host, endpoint.port)


class EndpointList:
    """The current endpoint list, owned by one thread. It keeps no data of former lists.

    Attributes:
        serial: Serial number of the current list.
    """

    def __init__(self, zones: Iterable[str], kinds: Iterable[str]) -> None:
        """Start with an empty list. Specs refer to a zone or kind by its index in ``zones`` or ``kinds``."""
        self._zone_indexes = {name: index for index, name in enumerate(zones)}
        self._kind_indexes = {name: index for index, name in enumerate(kinds)}
        self._workers: dict[str, _ListedWorker] = {}
        self.serial = 0

    @property
    def specs(self) -> tuple[WorkerSpec, ...]:
        """The listed workers."""
        return tuple(worker.spec for worker in self._workers.values())

    def matches(self, endpoints: Iterable[ListedEndpoint]) -> bool:
        """Return whether the current list has exactly these endpoints, in any order."""
        present = {name: worker.endpoint for name, worker in self._workers.items()}
        return {endpoint.name: endpoint for endpoint in endpoints} == present

    def apply_snapshot(self, snapshot: EndpointSnapshot) -> WorkerChanges:
        """Replace the list by a snapshot and return the changes."""
        listed = {endpoint.name: endpoint for endpoint in snapshot.endpoints}
        missing = [name for name in self._workers if name not in listed]
        return self.apply_update(snapshot.serial, listed.values(), missing)

    def apply_update(
        self, serial: int, endpoints: Iterable[ListedEndpoint], removed: Iterable[str]
    ) -> WorkerChanges:
        """Apply an incremental update and return the changes.

        Args:
            serial: Serial number of the list after the update.
            endpoints: Endpoints that are new or may have changed.
            removed: Names of removed endpoints. Names that are not listed are ignored.
        """
        self.serial = serial
        listed = [name for name in removed if name in self._workers]
        removed_numbers = [self._workers.pop(name).spec.number for name in listed]
        updated = []
        for endpoint in endpoints:
            known = self._workers.get(endpoint.name)
            if known is not None and known.endpoint == endpoint:
                continue
            if known is not None and not known.has_same_address(endpoint):
                removed_numbers.append(known.spec.number)  # a new worker has the name of a former one
                known = None
            number = known.spec.number if known is not None else self._allocate_number(endpoint.name)
            spec = self._make_spec(endpoint, number)
            self._workers[endpoint.name] = _ListedWorker(endpoint, spec)
            updated.append(spec)
        return EndpointChanges(tuple(updated), tuple(removed_numbers))

    def _allocate_number(self, name: str) -> int:
        """Return an unused number for a worker.

        It is derived from the name, so that all gateways rank workers alike.
        """
        number = worker_number(name)
        used_numbers = {worker.spec.number for worker in self._workers.values()}
        while number in used_numbers:
            number = (number + 1) % WORKER_NUMBER_COUNT
        return number

    def _make_spec(self, endpoint: ListedEndpoint, number: int) -> WorkerSpec:
        unknown_kind_index, unknown_zone_index = len(self._kind_indexes), len(self._zone_indexes)
        return WorkerSpec(
            number,
            endpoint.name,
            endpoint.host,
            endpoint.port,
            endpoint.is_draining,
            endpoint.weight,
            self._kind_indexes.get(endpoint.kind, unknown_kind_index),
            self._zone_indexes.get(endpoint.zone, unknown_zone_index),
            endpoint.cell,
            endpoint.started_ms / MILLISECONDS_PER_S,
        )
