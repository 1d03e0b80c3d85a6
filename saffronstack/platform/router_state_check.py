"""The module's beliefs about hosts held against what passes on their links. No I/O, no decision.

A difference counts once two looks in a row find it: between an end on a link and the event that tells the
module of it lies the decision thread's queue, and a single look may fall in there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

RECOVERY_RESPONSES = 8  # answers in a row since it was taken out that say that an ejected host is well


class RouterWorkerView(Protocol):
    """What the module holds of a worker."""

    is_ready: bool
    attempts_in_flight: int
    is_ejected: bool


class HostConnectionsView(Protocol):
    """What the links to a host show."""

    name: str
    is_closed: bool
    succeeded: int
    failed: int

    @property
    def in_flight(self) -> int:
        """Exchanges in flight."""
        ...

    @property
    def unresponsive_s(self) -> float:
        """How long nothing was received on any connection while an exchange waits."""
        ...


@dataclass(slots=True)
class Discrepancy:
    """One kind of disagreement about one host; times in seconds."""

    host: str
    kind: str
    router_value: object
    connection_value: object
    since_s: float
    checks: int = 1


@dataclass(slots=True)
class DiscrepancyStatistics:
    """What was found of one kind."""

    count: int = 0
    longest_s: float = 0.0
    example: str = ""


@dataclass(slots=True)
class _CountsAtEjection:
    succeeded: int
    failed: int


@dataclass(slots=True)
class RouterStateCheck:
    """Looks again and again; remembers the hosts that are held now, and a tally for each kind."""

    unresponsive_limit_s: float = (
        1.0  # one that says nothing on any link for longer, though an attempt waits, is silent
    )
    checks: int = 0
    statistics: dict[str, DiscrepancyStatistics] = field(default_factory=dict)
    _current: dict[tuple[int, str], Discrepancy] = field(default_factory=dict)
    _ejected: dict[int, _CountsAtEjection] = field(default_factory=dict)

    def check(
        self, now: float, workers: Mapping[int, RouterWorkerView], hosts: Mapping[int, HostConnectionsView]
    ) -> list[Discrepancy]:
        """Compare; the differences that this look confirmed."""
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
        """A line's worth for each kind: count, longest in seconds, and that one's host and figures."""
        return {
            kind: f"{statistics.count} times, longest {statistics.longest_s:.1f} s ({statistics.example})"
            for kind, statistics in self.statistics.items()
        }
