"""Reads of leases from a majority of lease servers."""

from __future__ import annotations

from saffronstack.fleet.control.messages import LEADER_LEASE
from saffronstack.fleet.leases.messages import LeaseValue
from saffronstack.fleet.leases.quorum_read import merge_lease_reports
from saffronstack.fleet.leases.reports import LeaseReport


def report(token: int, remaining_s: float, version: int) -> LeaseReport:
    value = LeaseValue(token, version, b"%d" % version)
    return LeaseReport(LEADER_LEASE, f"p{token}", token, remaining_s, value)


def test_a_majority_shows_the_holder_the_shorter_time_and_the_newest_value() -> None:
    read = merge_lease_reports(
        {"k0": [report(4, 3.0, 1)], "k1": [report(4, 2.0, 2)]}, 3, {"k2": "silent"}
    )  # fmt: skip
    lease = read.leases[LEADER_LEASE]
    assert read.has_majority
    assert lease.holder == "p4"
    assert lease.remaining_s == 2.0
    assert lease.value.content == b"2"


def test_servers_that_differ_show_no_holder_but_the_greatest_token() -> None:
    read = merge_lease_reports({"k0": [report(5, 3.0, 1)], "k1": [report(4, 2.0, 2)]}, 3, {})
    assert read.leases[LEADER_LEASE].holder == ""
    assert read.leases[LEADER_LEASE].token == 5


def test_one_server_of_three_is_no_majority() -> None:
    assert not merge_lease_reports({"k0": [report(5, 3.0, 1)]}, 3, {}).has_majority
