"""Decides when a process that is pinned to one CPU moves to another one, and to which.

No I/O and no clock. A thread is delayed by other processes for the time that it waited beyond the time for
which the process's other threads ran. The idle time of the CPU is no measure of such delays: other processes
may use most of the CPU without a delay to threads that wake up, since the scheduler runs these first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

CPU_SAMPLE_INTERVAL_S = 0.25
CPU_SAMPLE_WINDOW_S = 1.0
# Fraction of the window for which a thread waited for other processes, from which on its CPU is contended.
CONTENDED_WAIT_FRACTION = 0.1
IDLE_FRACTION = 0.5  # fraction of the window for which a CPU has to be idle before a process moves there
INITIAL_BACKOFF_S = 1.0  # minimum time between two moves; doubles with each move
MAX_BACKOFF_S = 60.0
BACKOFF_RESET_S = 60.0  # time without a move after which the backoff starts at its initial value again
NS_PER_S = 1e9


class ThreadTimes(Protocol):
    """Run time and wait time of a thread since its start, in nanoseconds."""

    @property
    def run_ns(self) -> int:
        """Time on a CPU."""

    @property
    def wait_ns(self) -> int:
        """Time for which it was ready to run but did not run; a wait counts once it is over."""


@dataclass(frozen=True, slots=True)
class CpuSample:
    """State at one moment; times are sums since the start of the process or of the system."""

    at_s: float  # monotonic
    cpu: int  # CPU that the process is pinned to
    run_ns: int  # run time of all threads of the process
    threads: Mapping[int, ThreadTimes]  # some threads of the process, by id
    idle_ns: Mapping[int, int]  # by CPU that the process may use; empty if not available


@dataclass(frozen=True, slots=True)
class CpuMove:
    """A move of a process to another CPU."""

    cpu: int
    waited_fraction: float  # fraction of the window for which a thread waited for other processes


@dataclass
class MoveBackoff:
    """Limits how often a process moves."""

    _backoff_s: float = INITIAL_BACKOFF_S
    _last_move_s: float = field(default=float("-inf"))

    def has_elapsed(self, now_s: float) -> bool:
        """Return whether the process may move again."""
        return now_s - self._last_move_s >= self._backoff_s

    def record_move(self, now_s: float) -> None:
        """Start the next backoff."""
        is_reset_due = now_s - self._last_move_s >= max(BACKOFF_RESET_S, 2 * self._backoff_s)
        is_first_move = self._last_move_s == float("-inf")
        self._backoff_s = (
            INITIAL_BACKOFF_S if is_reset_due or is_first_move else min(2 * self._backoff_s, MAX_BACKOFF_S)
        )
        self._last_move_s = now_s


class CpuMovePolicy:
    """Chooses the moves of one process from its samples."""

    def __init__(self, offset: int, backoff: MoveBackoff) -> None:
        """Create a policy without samples.

        Args:
            offset: Index into the idle CPUs; different values spread processes that leave one CPU together.
            backoff: Limits how often the process moves.
        """
        self._offset = offset
        self._backoff = backoff
        self._samples: deque[CpuSample] = deque()

    def choose(self, sample: CpuSample) -> CpuMove | None:
        """Return the move to make, or None to stay."""
        if self._samples and self._samples[-1].cpu != sample.cpu:
            self._samples.clear()  # another process changed the affinity
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
        """Add a sample; return the latest one that is at least a window older, and drop those before it."""
        self._samples.append(sample)
        while len(self._samples) > 1 and sample.at_s - self._samples[1].at_s >= CPU_SAMPLE_WINDOW_S:
            self._samples.popleft()
        oldest = self._samples[0]
        return oldest if sample.at_s - oldest.at_s >= CPU_SAMPLE_WINDOW_S else None


def external_wait_ns(before: Mapping[int, ThreadTimes], after: Mapping[int, ThreadTimes], run_ns: int) -> int:
    """Return the longest time for which one thread waited while other processes ran.

    Args:
        before: Threads of a process at the first moment.
        after: Its threads at a later moment; new threads are ignored.
        run_ns: Run time of all threads of the process between these moments.
    """
    found_ns = 0
    for thread in before.keys() & after.keys():
        waited_ns = after[thread].wait_ns - before[thread].wait_ns
        others_ran_ns = run_ns - (after[thread].run_ns - before[thread].run_ns)
        found_ns = max(found_ns, waited_ns - others_ran_ns)
    return found_ns


def idle_cpus(before: CpuSample, after: CpuSample) -> list[int]:
    """Return the other CPUs that were idle for at least `IDLE_FRACTION` of the time between two samples."""
    least_ns = IDLE_FRACTION * _elapsed_ns(before, after)
    other_cpus = after.idle_ns.keys() - {after.cpu}
    return [cpu for cpu in sorted(other_cpus) if (_idle_ns(before, after, cpu) or 0) >= least_ns]


def _idle_ns(before: CpuSample, after: CpuSample, cpu: int) -> int | None:
    """Return the idle time between two samples; None if it is not available."""
    if cpu not in before.idle_ns or cpu not in after.idle_ns:
        return None
    return after.idle_ns[cpu] - before.idle_ns[cpu]


def _elapsed_ns(before: CpuSample, after: CpuSample) -> float:
    return (after.at_s - before.at_s) * NS_PER_S
