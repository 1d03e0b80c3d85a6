"""Applies the watch events that a gateway receives from the platform at its start. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from saffronstack.discovery.changes import EndpointChanges
from saffronstack.discovery.dns.endpoint_list import (
    EndpointList,
    EndpointSnapshot,
    ListedEndpoint,
    WorkerChanges,
)
from saffronstack.discovery.dns.serial_numbers import is_newer

STATUS_READY = "Ready"
STATUS_REMOVED = "Gone"


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One watch event, which is a snapshot or an incremental update."""

    serial: int
    is_snapshot: bool
    endpoints: tuple[ListedEndpoint, ...]
    removed: tuple[str, ...]


def apply_startup_events(endpoint_list: EndpointList, known: Mapping[str, Any]) -> WorkerChanges:
    """Apply the watch events in order, and return the resulting list as one change.

    Args:
        endpoint_list: An empty list.
        known: The ``known`` part of the platform's configuration.

    Raises:
        AttributeError, KeyError, OverflowError, TypeError, ValueError: ``known`` is malformed.
    """
    for index, raw in enumerate(known.get("notices") or ()):
        event = _parse_event(raw)
        if index == 0 or event.is_snapshot:
            endpoint_list.apply_snapshot(EndpointSnapshot(event.serial, event.endpoints))
        else:
            endpoint_list.apply_update(event.serial, event.endpoints, event.removed)
    last_serial = int(known.get("rev", endpoint_list.serial))
    if is_newer(last_serial, endpoint_list.serial):
        endpoint_list.serial = last_serial
    return EndpointChanges(endpoint_list.specs)


def _parse_event(raw: Mapping[str, Any]) -> WatchEvent:
    pool = raw["pool"]
    endpoints, removed = [], []
    for item in pool.get("endpoints") or ():
        if item["status"] == STATUS_REMOVED:
            removed.append(_parse_name(item))
        else:
            endpoints.append(_parse_endpoint(item))
    return WatchEvent(int(raw["rev"]), bool(pool.get("snapshot")), tuple(endpoints), tuple(removed))


def _parse_name(item: Mapping[str, Any]) -> str:
    return str(item["name"]).lower()  # names from DNS are in lower case too


def _parse_endpoint(item: Mapping[str, Any]) -> ListedEndpoint:
    host, _, port = str(item["address"]).rpartition(":")
    return ListedEndpoint(
        name=_parse_name(item),
        host=host,
        port=int(port),
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        cell=int(item.get("group", 0)),
        is_draining=item["status"] != STATUS_READY,
        weight=float(item.get("weight", 1)),
        started_ms=int(item.get("since_ms", 0)),
    )
