"""Reads leases from a majority of servers, for operators and daemons, which hold no lease."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from saffronstack.daemon.errors import NoResponseError, NotSentError
from saffronstack.daemon.http_exchange import exchange
from saffronstack.fleet.leases.errors import ServerResponseError
from saffronstack.fleet.leases.messages import LeaseValue
from saffronstack.fleet.leases.reports import LeaseReport
from saffronstack.http1 import writer
from saffronstack.runtime.threads import start_thread

JOIN_GRACE_S = 0.5  # added to the exchange timeout when waiting for the reading threads
REQUEST_ERRORS = (NotSentError, NoResponseError, ValueError, msgspec.MsgspecError)


@dataclass(frozen=True, slots=True)
class LeaseStatus:
    """One lease, merged from the reports of several servers.

    ``holder`` is empty if no majority reports the newest grant as valid. ``granted_by`` is the number of
    servers that do.
    """

    lease: str
    holder: str
    token: int
    granted_by: int
    remaining_s: float
    value: LeaseValue


@dataclass(frozen=True, slots=True)
class QuorumRead:
    """The result of a read; ``errors`` is keyed by server.

    If ``has_majority`` is true, ``leases`` has each value that was stored before the read began, or a
    newer one.
    """

    has_majority: bool
    leases: dict[str, LeaseStatus]
    errors: dict[str, str] = field(default_factory=dict)


def read_leases(addresses: Mapping[str, str], timeout_s: float) -> QuorumRead:
    """Read the leases of all servers concurrently; return at most `JOIN_GRACE_S` after ``timeout_s``.

    Args:
        addresses: The address of each server.
        timeout_s: Timeout of each exchange, in seconds.

    Returns:
        The merged reports of the servers that responded in time.
    """
    reports: dict[str, list[LeaseReport]] = {}
    errors: dict[str, str] = {}

    def read(server: str, address: str) -> None:
        try:
            reports[server] = _request_reports(address, timeout_s)
        except REQUEST_ERRORS as error:
            errors[server] = str(error) or type(error).__name__

    threads = [
        start_thread("read-leases", lambda s=server, a=address: read(s, a))  # type: ignore[misc]
        for server, address in addresses.items()
    ]
    deadline_s = time.monotonic() + timeout_s + JOIN_GRACE_S
    for thread in threads:
        thread.join(max(0.0, deadline_s - time.monotonic()))
    completed_reports = dict(reports)  # a snapshot: threads that are still running may add later reports
    for server in addresses:
        if server not in completed_reports:
            errors.setdefault(server, "no response in time")
    return merge_lease_reports(completed_reports, len(addresses), errors)


def _request_reports(address: str, timeout_s: float) -> list[LeaseReport]:
    request = writer.request("GET", "/leases", [("Host", address), ("Connection", "close")])
    head, body = exchange(address, request, time.monotonic() + timeout_s, time.monotonic)
    if head.status != 200:
        raise ServerResponseError(f"status {head.status}")
    return msgspec.json.decode(body, type=list[LeaseReport])


def merge_lease_reports(
    reports: Mapping[str, Sequence[LeaseReport]], servers: int, errors: dict[str, str]
) -> QuorumRead:
    """Merge the reports of several servers.

    Args:
        reports: The reports of each server that responded.
        servers: Number of lease servers in the fleet.
        errors: Why other servers did not respond, by server.

    Returns:
        Each reported lease, with its holder if a majority reports one.
    """
    majority = servers // 2 + 1
    by_lease: dict[str, list[LeaseReport]] = {}
    for server_reports in reports.values():
        for report in server_reports:
            by_lease.setdefault(report.lease, []).append(report)
    leases = {
        lease: _merge_reports(lease, lease_reports, majority) for lease, lease_reports in by_lease.items()
    }
    return QuorumRead(len(reports) >= majority, leases, errors)


def _merge_reports(lease: str, reports: list[LeaseReport], majority: int) -> LeaseStatus:
    newest = max(reports, key=lambda report: (report.token, report.remaining_s))
    remaining_s = sorted(
        (report.remaining_s for report in reports if report.token == newest.token and report.remaining_s > 0),
        reverse=True,
    )
    is_held = len(remaining_s) >= majority
    return LeaseStatus(
        lease,
        holder=newest.holder if is_held else "",
        token=newest.token,
        granted_by=len(remaining_s),
        remaining_s=remaining_s[majority - 1] if is_held else 0.0,
        value=max(report.value for report in reports),
    )
