"""Tests of the endpoint list in a DNS response."""

from __future__ import annotations

from saffronstack.discovery.dns.endpoint_list import ListedEndpoint
from saffronstack.discovery.dns.messages import decode_response
from saffronstack.discovery.dns.service_records import parse_snapshot
from saffronstack.standin.platform import HostEntry
from tests.discovery.dns.support import MESSAGE_ID, NAME, response

ENTRIES = [HostEntry("s-1", "127.0.0.1:100"), HostEntry("s-2", "127.0.0.2:200", True, 1700000000000)]


def test_a_response_lists_endpoints_with_their_attributes() -> None:
    snapshot = parse_snapshot(decode_response(response(41, ENTRIES)), MESSAGE_ID, NAME)
    assert snapshot.serial == 41
    assert [endpoint.name for endpoint in snapshot.endpoints] == ["s-1", "s-2"]
    assert snapshot.endpoints[1] == ListedEndpoint(
        "s-2", "127.0.0.2", 200, "east", "std", 0, True, 1.0, 1700000000000
    )
