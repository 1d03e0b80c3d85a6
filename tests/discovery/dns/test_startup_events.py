"""Tests of watch events at the start, and of later responses."""

from __future__ import annotations

from typing import Any

import pytest

from saffronstack.discovery.dns.startup_events import apply_startup_events
from tests.discovery.dns.support import ENTRIES, ObservedResolver, response


def endpoint(name: str, status: str = "Ready") -> dict[str, Any]:
    return {"name": name, "address": "127.0.0.1:1001", "status": status}


def event(serial: int, *endpoints: dict[str, Any]) -> dict[str, Any]:
    return {"rev": serial, "pool": {"endpoints": endpoints, "snapshot": False}}


def test_serials_wrap_around_through_events_and_responses(observed: ObservedResolver) -> None:
    events = [
        event(2**32 - 1, endpoint("s-1")),
        event(0, endpoint("s-2", "Terminating")),
        event(1, endpoint("s-3")),
    ]
    changes = apply_startup_events(observed.endpoint_list, {"rev": 1, "notices": events})
    is_draining = {spec.name: spec.is_draining for spec in changes.updated}
    assert is_draining == {"s-1": False, "s-2": True, "s-3": False}
    assert observed.endpoint_list.serial == 1
    assert not observed.handle(response(2**32 - 1, ENTRIES))
    assert observed.handle(response(2, ENTRIES))


def test_a_drain_in_startup_events_is_kept_when_an_older_list_arrives(observed: ObservedResolver) -> None:
    known = {"rev": 41, "notices": [event(41, endpoint("s-1", "Terminating"))]}
    apply_startup_events(observed.endpoint_list, known)
    assert not observed.handle(response(40, ENTRIES))
    assert [spec.is_draining for spec in observed.endpoint_list.specs] == [True]


@pytest.mark.parametrize("known", [{}, {"notices": None}, {"notices": []}])
def test_without_events_the_list_is_empty(observed: ObservedResolver, known: dict[str, Any]) -> None:
    assert not apply_startup_events(observed.endpoint_list, known)
