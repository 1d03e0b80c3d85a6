"""Decides when a process that keeps to one processor moves to another one, and to which.

Free of input, output and clocks. The processor's own idle time tells what others take of it: how long threads
waited does not, since many that wake up at once wait for each other.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

LOOK_INTERVAL_S = 0.25
SPAN_S = 0.5  # two looks, so that a process has moved within a second
TAKEN_SHARE = 0.5  # of the span, used by others: then the processor counts as taken up
IDLE_SHARE = 0.5  # of the span, used by nobody: then the process may move there
FIRST_HOLD_S = 1.0  # between two moves; doubles with each one
LONGEST_HOLD_S = 60.0
QUIET_S = 60.0  # without a move, after which the hold is the first one again
_NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class ProcessorLook:
    """What is known at one moment; times are sums since the start of the process or of the system."""

    at_s: float  # monotonic
    processor: int  # the one that the process keeps to
    run_ns: int  # of all threads of the process
    idle_ns: Mapping[int, int]  # by processor that the process may use; empty where the system does not tell


@dataclass(frozen=True, slots=True)
class Move:
    """Where a process moves to, and why."""

    processor: int
    taken_share: float  # of the span, used by others on the processor that it leaves


@dataclass
class MoveHold:
    """Bounds how often a process moves."""

    _hold_s: float = FIRST_HOLD_S
    _moved_s: float = field(default=float("-inf"))

    def is_over(self, now_s: float) -> bool:
        """Whether the process may move."""
        return now_s - self._moved_s >= self._hold_s

    def moved(self, now_s: float) -> None:
        """Begin the next hold."""
        is_quiet = now_s - self._moved_s >= max(QUIET_S, 2 * self._hold_s)
        is_first = self._moved_s == float("-inf")
        self._hold_s = FIRST_HOLD_S if is_quiet or is_first else min(2 * self._hold_s, LONGEST_HOLD_S)
        self._moved_s = now_s


class ProcessorChoice:
    """The looks of one process, and where it moves to."""

    def __init__(self, turn: int) -> None:
        """``turn``: spreads processes that leave one processor at the same time."""
        self._turn = turn
        self._hold = MoveHold()
        self._looks: deque[ProcessorLook] = deque()

    def choose(self, look: ProcessorLook) -> Move | None:
        """Return the move to make, or None to stay."""
        if self._looks and self._looks[-1].processor != look.processor:
            self._looks.clear()  # moved by something else
        before = self._add(look)
        if before is None or not self._hold.is_over(look.at_s):
            return None
        share = taken_share(before, look)
        if share <= TAKEN_SHARE:
            return None
        idle = idle_processors(before, look)
        if not idle:
            return None
        self._hold.moved(look.at_s)
        self._looks.clear()
        return Move(idle[self._turn % len(idle)], share)

    def _add(self, look: ProcessorLook) -> ProcessorLook | None:
        """Return the last look that is a span older, if there is one; those before it are dropped."""
        self._looks.append(look)
        while len(self._looks) > 1 and look.at_s - self._looks[1].at_s >= SPAN_S:
            self._looks.popleft()
        oldest = self._looks[0]
        return oldest if look.at_s - oldest.at_s >= SPAN_S else None


def taken_share(before: ProcessorLook, after: ProcessorLook) -> float:
    """Return which part of the processor others used between two looks; 0 where that is not told."""
    idle_ns = _idle_ns(before, after, after.processor)
    if idle_ns is None:
        return 0.0
    span_ns = _span_ns(before, after)
    return (span_ns - idle_ns - (after.run_ns - before.run_ns)) / span_ns


def idle_processors(before: ProcessorLook, after: ProcessorLook) -> list[int]:
    """Return the other processors that nobody used for most of the time between two looks."""
    least_ns = IDLE_SHARE * _span_ns(before, after)
    others = after.idle_ns.keys() - {after.processor}
    return [one for one in sorted(others) if (_idle_ns(before, after, one) or 0) >= least_ns]


def _idle_ns(before: ProcessorLook, after: ProcessorLook, processor: int) -> int | None:
    """None where the system does not tell."""
    if processor not in before.idle_ns or processor not in after.idle_ns:
        return None
    return after.idle_ns[processor] - before.idle_ns[processor]


def _span_ns(before: ProcessorLook, after: ProcessorLook) -> float:
    return (after.at_s - before.at_s) * _NS_PER_S
