"""Decides when a process that keeps to one processor moves to another one, and to which.

Free of input, output and clocks. What tells is how long one thread waited beyond the time that the process's
other threads ran: that long it waited for other processes. The processor's idle time does not: others may use
most of it without delay to threads that wake up, which go first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

LOOK_INTERVAL_S = 0.25
SPAN_S = 1.0
WAITING_SHARE = 0.1  # of the span, for which a thread waited for other processes: the processor is taken up
IDLE_SHARE = 0.5  # of the span, used by nobody: then the process may move there
FIRST_HOLD_S = 1.0  # between two moves; doubles with each one
LONGEST_HOLD_S = 60.0
QUIET_S = 60.0  # without a move, after which the hold is the first one again
NS_PER_S = 1e9


class ThreadTimes(Protocol):
    """Nanoseconds for which a thread ran, and for which it was ready and waited, since its start."""

    @property
    def run_ns(self) -> int:
        """Processor time."""

    @property
    def wait_ns(self) -> int:
        """A wait counts once it is over."""


@dataclass(frozen=True, slots=True)
class ProcessorLook:
    """What is known at one moment; times are sums since the start of the process or of the system."""

    at_s: float  # monotonic
    processor: int  # the one that the process keeps to
    run_ns: int  # of all threads of the process
    threads: Mapping[int, ThreadTimes]  # some threads of the process, by id
    idle_ns: Mapping[int, int]  # by processor that the process may use; empty where the system does not tell


@dataclass(frozen=True, slots=True)
class Move:
    """Where a process moves to, and why."""

    processor: int
    waited_share: float  # of the span, for which a thread waited for other processes


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

    def __init__(self, turn: int, hold: MoveHold) -> None:
        """Create it without looks.

        Args:
            turn: Spreads processes that leave one processor at the same time.
            hold: Bounds the process's moves.
        """
        self._turn = turn
        self._hold = hold
        self._looks: deque[ProcessorLook] = deque()

    def choose(self, look: ProcessorLook) -> Move | None:
        """Return the move to make, or None to stay."""
        if self._looks and self._looks[-1].processor != look.processor:
            self._looks.clear()  # moved by something else
        before = self._add(look)
        if before is None or not self._hold.is_over(look.at_s):
            return None
        waited_ns = foreign_wait_ns(before.threads, look.threads, look.run_ns - before.run_ns)
        share = waited_ns / _span_ns(before, look)
        if share < WAITING_SHARE:
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


def foreign_wait_ns(before: Mapping[int, ThreadTimes], after: Mapping[int, ThreadTimes], run_ns: int) -> int:
    """Return the longest time for which one thread waited while threads of other processes ran.

    Args:
        before: Threads of a process at one moment.
        after: The same at a later one; those that are new are passed over.
        run_ns: How long all threads of the process ran between the two.
    """
    found_ns = 0
    for thread in before.keys() & after.keys():
        waited_ns = after[thread].wait_ns - before[thread].wait_ns
        others_ran_ns = run_ns - (after[thread].run_ns - before[thread].run_ns)
        found_ns = max(found_ns, waited_ns - others_ran_ns)
    return found_ns


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
    return (after.at_s - before.at_s) * NS_PER_S
