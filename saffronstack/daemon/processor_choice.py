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

CPU_SAMPLE_INTERVAL_S = 0.25
CPU_SAMPLE_WINDOW_S = 1.0
CONTENDED_WAIT_FRACTION = (
    0.1  # of the span, for which a thread waited for other processes: the processor is taken up
)
IDLE_FRACTION = 0.5  # of the span, used by nobody: then the process may move there
INITIAL_BACKOFF_S = 1.0  # between two moves; doubles with each one
MAX_BACKOFF_S = 60.0
BACKOFF_RESET_S = 60.0  # without a move, after which the hold is the first one again
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
class CpuSample:
    """What is known at one moment; times are sums since the start of the process or of the system."""

    at_s: float  # monotonic
    cpu: int  # the one that the process keeps to
    run_ns: int  # of all threads of the process
    threads: Mapping[int, ThreadTimes]  # some threads of the process, by id
    idle_ns: Mapping[int, int]  # by processor that the process may use; empty where the system does not tell


@dataclass(frozen=True, slots=True)
class CpuMove:
    """Where a process moves to, and why."""

    cpu: int
    waited_fraction: float  # of the span, for which a thread waited for other processes


@dataclass
class MoveBackoff:
    """Bounds how often a process moves."""

    _backoff_s: float = INITIAL_BACKOFF_S
    _last_move_s: float = field(default=float("-inf"))

    def has_elapsed(self, now_s: float) -> bool:
        """Whether the process may move."""
        return now_s - self._last_move_s >= self._backoff_s

    def record_move(self, now_s: float) -> None:
        """Begin the next hold."""
        is_reset_due = now_s - self._last_move_s >= max(BACKOFF_RESET_S, 2 * self._backoff_s)
        is_first_move = self._last_move_s == float("-inf")
        self._backoff_s = (
            INITIAL_BACKOFF_S if is_reset_due or is_first_move else min(2 * self._backoff_s, MAX_BACKOFF_S)
        )
        self._last_move_s = now_s


class CpuMovePolicy:
    """The looks of one process, and where it moves to."""

    def __init__(self, offset: int, backoff: MoveBackoff) -> None:
        """Create it without looks.

        Args:
            offset: Spreads processes that leave one processor at the same time.
            backoff: Bounds the process's moves.
        """
        self._offset = offset
        self._backoff = backoff
        self._samples: deque[CpuSample] = deque()

    def choose(self, sample: CpuSample) -> CpuMove | None:
        """Return the move to make, or None to stay."""
        if self._samples and self._samples[-1].cpu != sample.cpu:
            self._samples.clear()  # moved by something else
        before = self._add_sample(sample)
        if before is None or not self._backoff.has_elapsed(sample.at_s):
            return None
        waited_ns = external_wait_ns(before.threads, sample.threads, sample.run_ns - before.run_ns)
        fraction = waited_ns / _elapsed_ns(before, sample)
        if fraction < CONTENDED_WAIT_FRACTION:
            return None
        idle = idle_cpus(before, sample)
        if not idle:
            return None
        self._backoff.record_move(sample.at_s)
        self._samples.clear()
        return CpuMove(idle[self._offset % len(idle)], fraction)

    def _add_sample(self, sample: CpuSample) -> CpuSample | None:
        """Return the last look that is a span older, if there is one; those before it are dropped."""
        self._samples.append(sample)
        while len(self._samples) > 1 and sample.at_s - self._samples[1].at_s >= CPU_SAMPLE_WINDOW_S:
            self._samples.popleft()
        oldest = self._samples[0]
        return oldest if sample.at_s - oldest.at_s >= CPU_SAMPLE_WINDOW_S else None


def external_wait_ns(before: Mapping[int, ThreadTimes], after: Mapping[int, ThreadTimes], run_ns: int) -> int:
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


def idle_cpus(before: CpuSample, after: CpuSample) -> list[int]:
    """Return the other processors that nobody used for most of the time between two looks."""
    least_ns = IDLE_FRACTION * _elapsed_ns(before, after)
    other_cpus = after.idle_ns.keys() - {after.cpu}
    return [cpu for cpu in sorted(other_cpus) if (_idle_ns(before, after, cpu) or 0) >= least_ns]


def _idle_ns(before: CpuSample, after: CpuSample, cpu: int) -> int | None:
    """None where the system does not tell."""
    if cpu not in before.idle_ns or cpu not in after.idle_ns:
        return None
    return after.idle_ns[cpu] - before.idle_ns[cpu]


def _elapsed_ns(before: CpuSample, after: CpuSample) -> float:
    return (after.at_s - before.at_s) * NS_PER_S
