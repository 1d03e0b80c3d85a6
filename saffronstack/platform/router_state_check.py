"""Compares the router's state of each host with the state of the host's connections. No I/O, no decisions.

A discrepancy counts once two consecutive checks find it. A single check may fall between the end of an
exchange on a connection and the event that reports it to the router, which waits in the decision thread's
queue.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

RECOVERY_RESPONSES = 8  # responses without a failure after which an ejected host counts as healthy


class RouterWorkerView(Protocol):
    """The router's state of a worker."""

    is_ready: bool
    attempts_in_flight: int
    is_ejected: bool


class HostConnectionsView(Protocol):
    """The state of the connections to a host."""

    name: str
    is_closed: bool
    succeeded: int
    failed: int

    @property
    def in_flight(self) -> int:
        """Number of exchanges in flight."""
        ...

    @property
    def unresponsive_s(self) -> float:
        """Time since data was received on any connection while an exchange waits."""
        ...


@dataclass(slots=True)
class Discrepancy:
    """One kind of difference between the router's state and the connections of one host; times in seconds."""

    host: str
    kind: str
    router_value: object
    connection_value: object
    since_s: float
    checks: int = 1


@dataclass(slots=True)
class DiscrepancyStatistics:
    """Ended discrepancies of one kind."""

    count: int = 0
    longest_s: float = 0.0
    example: str = ""


@dataclass(slots=True)
class _CountsAtEjection:
    succeeded: int
    failed: int


@dataclass(slots=True)
class RouterStateCheck:
    """Finds discrepancies by repeated checks, and counts those that have ended by kind.

    Attributes:
        unresponsive_limit_s: Time without data on any connection of a host, though an attempt waits, after
            which a host that the router still uses is a discrepancy.
        checks: Number of checks so far.
        statistics: Ended discrepancies by kind.
    """

    unresponsive_limit_s: float = 1.0
    checks: int = 0
    statistics: dict[str, DiscrepancyStatistics] = field(default_factory=dict)
    _current: dict[tuple[int, str], Discrepancy] = field(default_factory=dict)
    _ejected: dict[int, _CountsAtEjection] = field(default_factory=dict)

    def check(
        self, now: float, workers: Mapping[int, RouterWorkerView], hosts: Mapping[int, HostConnectionsView]
    ) -> list[Discrepancy]:
        """Compare both states; return the discrepancies that this check found for the second time."""
        self.checks += 1
        found: dict[tuple[int, str], Discrepancy] = {}
        for number, host in hosts.items():
            worker = workers.get(number)
            if worker is None:
                self._record(found, now, number, host.name, "unknown", False, True)
                continue
            if worker.attempts_in_flight != host.in_flight:
                self._record(
                    found, now, number, host.name, "open_attempts", worker.attempts_in_flight, host.in_flight
                )
            if worker.is_ready == host.is_closed:
                self._record(found, now, number, host.name, "ready", worker.is_ready, not host.is_closed)
            self._check_health(found, now, number, worker, host)
        for number, worker in workers.items():
            if number not in hosts and worker.is_ready:
                self._record(found, now, number, str(number), "gone", "ready", "gone")
        for key, ended in self._current.items():
            if key not in found:
                self._count_ended(ended, now)
        self._current = found
        self._ejected = {number: counts for number, counts in self._ejected.items() if number in hosts}
        return [discrepancy for discrepancy in found.values() if discrepancy.checks == 2]

    def _check_health(
        self, found: dict[tuple[int, str], Discrepancy], now: float, number: int, worker: RouterWorkerView,
        host: HostConnectionsView,
    ) -> None:  # fmt: skip
        if not worker.is_ejected:
            self._ejected.pop(number, None)
            unresponsive_s = host.unresponsive_s
            if unresponsive_s > self.unresponsive_limit_s:
                self._record(
                    found, now, number, host.name, "silent", "in use", f"silent {unresponsive_s:.1f} s"
                )
            return
        counts = self._ejected.setdefault(number, _CountsAtEjection(host.succeeded, host.failed))
        if host.failed != counts.failed:
            self._ejected[number] = _CountsAtEjection(host.succeeded, host.failed)
        elif host.succeeded - counts.succeeded >= RECOVERY_RESPONSES:
            self._record(
                found, now, number, host.name, "ejected", "out", f"{RECOVERY_RESPONSES} answers, none broken"
            )

    def _record(
        self, found: dict[tuple[int, str], Discrepancy], now: float, number: int, host: str, kind: str,
        router_value: object, connection_value: object,
    ) -> None:  # fmt: skip
        known = self._current.get((number, kind))
        if known is None:
            known = Discrepancy(host, kind, router_value, connection_value, now)
        else:
            known.router_value, known.connection_value, known.checks = (
                router_value,
                connection_value,
                known.checks + 1,
            )
        found[number, kind] = known

    def _count_ended(self, ended: Discrepancy, now: float) -> None:
        if ended.checks < 2:
            return
        statistics = self.statistics.setdefault(ended.kind, DiscrepancyStatistics())
        statistics.count += 1
        lasted_s = now - ended.since_s
        if lasted_s > statistics.longest_s:
            statistics.longest_s = lasted_s
            statistics.example = f"{ended.host}: module {ended.router_value}, links {ended.connection_value}"

    def summary(self) -> dict[str, str]:
        """Return a text for each kind: the count, the longest duration, and its host and values."""
        return {
            kind: f"{statistics.count} times, longest {statistics.longest_s:.1f} s ({statistics.example})"
            for kind, statistics in self.statistics.items()
        }
