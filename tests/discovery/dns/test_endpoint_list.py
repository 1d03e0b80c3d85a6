"""Tests of the endpoint list over several snapshots."""

from __future__ import annotations

from saffronstack.discovery.dns.endpoint_list import EndpointList, EndpointSnapshot, ListedEndpoint


def test_a_name_at_a_new_address_is_a_new_worker() -> None:
    endpoint_list = EndpointList(["east"], ["std"])
    former = ListedEndpoint("s-1", "127.0.0.1", 100, "east", "std")
    moved = ListedEndpoint("s-1", "127.0.0.1", 101, "east", "std")
    (former_spec,) = endpoint_list.apply_snapshot(EndpointSnapshot(1, (former,))).updated
    changes = endpoint_list.apply_snapshot(EndpointSnapshot(2, (moved,)))
    assert changes.removed == (former_spec.number,)
    assert changes.updated[0].port == 101
    assert not endpoint_list.apply_snapshot(EndpointSnapshot(3, (moved,)))
