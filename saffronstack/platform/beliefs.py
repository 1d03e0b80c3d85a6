"""The module's beliefs about hosts held against what passes on their links. No I/O, no decision.

A difference counts once two looks in a row find it: between an end on a link and the event that tells the
module of it lies the decision thread's queue, and a single look may fall in there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

PROOF = 8  # answers in a row since it was taken out that say that an ejected host is well


class Believed(Protocol):
    """What the module holds of a worker."""

    is_ready: bool
    attempts_in_flight: int
    is_ejected: bool


class Passed(Protocol):
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
class Difference:
    """One kind of disagreement about one host; times in seconds."""

    host: str
    kind: str
    believed: object
    seen: object
    since_s: float
    looks: int = 1


@dataclass(slots=True)
class Tally:
    """What was found of one kind."""

    count: int = 0
    longest_s: float = 0.0
    example: str = ""


@dataclass(slots=True)
class _Out:
    answers: int
    broken: int


@dataclass(slots=True)
class Beliefs:
    """Looks again and again; remembers the hosts that are held now, and a tally for each kind."""

    silent_s: float = 1.0  # one that says nothing on any link for longer, though an attempt waits, is silent
    looks: int = 0
    tallies: dict[str, Tally] = field(default_factory=dict)
    _open: dict[tuple[int, str], Difference] = field(default_factory=dict)
    _out: dict[int, _Out] = field(default_factory=dict)

    def look(
        self, now: float, believed: Mapping[int, Believed], passed: Mapping[int, Passed]
    ) -> list[Difference]:
        """Compare; the differences that this look confirmed."""
        self.looks += 1
        found: dict[tuple[int, str], Difference] = {}
        for number, host in passed.items():
            worker = believed.get(number)
            if worker is None:
                self._note(found, now, number, host.name, "unknown", False, True)
                continue
            if worker.attempts_in_flight != host.in_flight:
                self._note(
                    found, now, number, host.name, "open_attempts", worker.attempts_in_flight, host.in_flight
                )
            if worker.is_ready == host.is_closed:
                self._note(found, now, number, host.name, "ready", worker.is_ready, not host.is_closed)
            self._health(found, now, number, worker, host)
        for number, worker in believed.items():
            if number not in passed and worker.is_ready:
                self._note(found, now, number, str(number), "gone", "ready", "gone")
        for key, ended in self._open.items():
            if key not in found:
                self._count(ended, now)
        self._open = found
        self._out = {number: out for number, out in self._out.items() if number in passed}
        return [one for one in found.values() if one.looks == 2]

    def _health(
        self, found: dict[tuple[int, str], Difference], now: float, number: int, worker: Believed,
        host: Passed,
    ) -> None:  # fmt: skip
        if not worker.is_ejected:
            self._out.pop(number, None)
            silent_s = host.unresponsive_s
            if silent_s > self.silent_s:
                self._note(found, now, number, host.name, "silent", "in use", f"silent {silent_s:.1f} s")
            return
        out = self._out.setdefault(number, _Out(host.succeeded, host.failed))
        if host.failed != out.broken:
            self._out[number] = _Out(host.succeeded, host.failed)
        elif host.succeeded - out.answers >= PROOF:
            self._note(found, now, number, host.name, "ejected", "out", f"{PROOF} answers, none broken")

    def _note(
        self, found: dict[tuple[int, str], Difference], now: float, number: int, host: str, kind: str,
        believed: object, seen: object,
    ) -> None:  # fmt: skip
        known = self._open.get((number, kind))
        if known is None:
            known = Difference(host, kind, believed, seen, now)
        else:
            known.believed, known.seen, known.looks = believed, seen, known.looks + 1
        found[number, kind] = known

    def _count(self, ended: Difference, now: float) -> None:
        if ended.looks < 2:
            return
        tally = self.tallies.setdefault(ended.kind, Tally())
        tally.count += 1
        lasted_s = now - ended.since_s
        if lasted_s > tally.longest_s:
            tally.longest_s = lasted_s
            tally.example = f"{ended.host}: module {ended.believed}, links {ended.seen}"

    def summary(self) -> dict[str, str]:
        """A line's worth for each kind: count, longest in seconds, and that one's host and figures."""
        return {
            kind: f"{tally.count} times, longest {tally.longest_s:.1f} s ({tally.example})"
            for kind, tally in self.tallies.items()
        }
