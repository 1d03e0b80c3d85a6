"""Resource that lease holders act on, and checker that holding periods never overlap and tokens increase.

The checker uses only the reports that candidates send to its socket.
"""

from __future__ import annotations

import socket
import threading
from dataclasses import dataclass, field, replace
from itertools import pairwise

from saffronstack.harness.leases.holder_reports import (
    Acquired,
    ActBegun,
    ActEnded,
    HolderReport,
    Released,
    ReportResponse,
    decode_report,
    encode_line,
)
from saffronstack.runtime.threads import start_thread

MAX_BREACHES = 20
ACCEPT_TIMEOUT_S = 0.2
LISTEN_BACKLOG = 128


@dataclass
class HoldingPeriod:
    """Period in which a candidate considered itself the holder, according to its latest report."""

    name: str
    token: int
    since_s: float
    until_s: float


@dataclass(frozen=True, order=True)
class Act:
    """An act on the resource that ended before its lease expired."""

    began_s: float
    ended_s: float
    token: int
    name: str


@dataclass
class CheckResult:
    """Breaches of the lease rules in a run, counts of acts, and holding times in seconds."""

    breaches: list[str] = field(default_factory=list)
    acts: int = 0
    rejected: int = 0  # acts under an older token, rejected by the resource
    overran: int = 0  # acts that ended after their lease expired, because their process was paused
    acquired: int = 0
    held_s: float = 0.0
    longest_free_s: float = 0.0

    def add_breach(self, text: str) -> None:
        """Record a breach of the lease rules; breaches beyond `MAX_BREACHES` are dropped."""
        if len(self.breaches) < MAX_BREACHES:
            self.breaches.append(text)


class LeaseChecker:
    """Accepts reports from lease holders and accepts or rejects their acts.

    The lock guards all reported data.
    """

    def __init__(self) -> None:
        """Listen on a free port, on a thread."""
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        self._listener.settimeout(ACCEPT_TIMEOUT_S)
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._lock = threading.Lock()
        self._is_closed = False
        self._periods: dict[int, HoldingPeriod] = {}  # by token
        self._highest_token = 0  # of the acts that the resource accepted
        self._acts: list[Act] = []
        self._reported = CheckResult()
        start_thread("resource", self._accept_connections)

    def close(self) -> None:
        """Stop listening."""
        self._is_closed = True
        self._listener.close()

    def _accept_connections(self) -> None:
        while not self._is_closed:
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            start_thread("holder", lambda sock=sock: self._serve(sock))  # type: ignore[misc]

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as lines:
            try:
                for line in lines:
                    sock.sendall(encode_line(self.handle(decode_report(line))))
            except (OSError, ValueError):
                return  # the holder was killed while it sent a report

    def handle(self, report: HolderReport) -> ReportResponse:
        """Record a report; return whether its act is accepted."""
        with self._lock:
            if isinstance(report, Acquired):
                return self._handle_acquired(report)
            period = self._periods.get(report.token)
            if period is None or period.name != report.name:
                self._reported.add_breach(
                    f"{report.name} acts under token {report.token}, which it did not acquire"
                )
                return ReportResponse(is_accepted=False)
            match report:
                case Released():
                    period.until_s = min(period.until_s, report.at_s)
                    return ReportResponse()
                case ActBegun() | ActEnded():
                    return self._handle_act(report, period)

    def _handle_acquired(self, report: Acquired) -> ReportResponse:
        self._reported.acquired += 1
        other = self._periods.get(report.token)
        if other is not None:
            self._reported.add_breach(f"{report.name} and {other.name} both acquired token {report.token}")
        self._periods[report.token] = HoldingPeriod(report.name, report.token, report.at_s, report.until_s)
        return ReportResponse()

    def _handle_act(self, report: ActBegun | ActEnded, period: HoldingPeriod) -> ReportResponse:
        period.until_s = max(period.until_s, report.until_s)
        if report.token < self._highest_token:
            self._reported.rejected += 1
            return ReportResponse(is_accepted=False)
        self._highest_token = report.token
        if isinstance(report, ActEnded):
            # A paused process may end an act after its lease has expired; that is no breach.
            if report.ended_s <= period.until_s:
                self._reported.acts += 1
                self._acts.append(Act(report.began_s, report.ended_s, report.token, report.name))
            else:
                self._reported.overran += 1
        return ReportResponse(is_accepted=True)

    # ---- checks

    def check(self, since_s: float, until_s: float) -> CheckResult:
        """Check all reports; measure holding times between two times of CLOCK_BOOTTIME."""
        with self._lock:
            check_result = replace(self._reported, breaches=list(self._reported.breaches))
            periods = sorted(self._periods.values(), key=lambda period: period.since_s)
            _find_overlapping_periods(periods, check_result)
            _find_overlapping_acts(sorted(self._acts), check_result)
            _measure_holding_time(periods, since_s, until_s, check_result)
            return check_result

    def holding_periods(self) -> list[HoldingPeriod]:
        """Return a copy of the holding period of each token."""
        with self._lock:
            return [replace(period) for period in self._periods.values()]


def _find_overlapping_periods(periods: list[HoldingPeriod], check_result: CheckResult) -> None:
    for number, one in enumerate(periods):
        overlapping = [other for other in periods[number + 1 :] if other.since_s < one.until_s]
        if overlapping:
            other = overlapping[0]
            check_result.add_breach(
                f"{one.name} (token {one.token}) holds until {one.until_s:.3f}, "
                f"{other.name} (token {other.token}) from {other.since_s:.3f}"
            )
        if number and one.token < max(earlier.token for earlier in periods[:number]):
            check_result.add_breach(f"{one.name} acquired token {one.token} after a greater one")


def _find_overlapping_acts(acts: list[Act], check_result: CheckResult) -> None:
    for one, following in pairwise(acts):
        if following.began_s < one.ended_s and following.token != one.token:
            check_result.add_breach(
                f"acts of {one.name} ({one.token}) and {following.name} ({following.token}) overlap"
            )


def _measure_holding_time(
    periods: list[HoldingPeriod], since_s: float, until_s: float, check_result: CheckResult
) -> None:
    """Add the time in which the lease was held, and find the longest time without a holder."""
    at_s = since_s
    for period in periods:
        check_result.longest_free_s = max(check_result.longest_free_s, min(until_s, period.since_s) - at_s)
        check_result.held_s += max(0.0, min(until_s, period.until_s) - max(at_s, period.since_s))
        at_s = max(at_s, min(until_s, period.until_s))
    check_result.longest_free_s = max(check_result.longest_free_s, until_s - at_s)
