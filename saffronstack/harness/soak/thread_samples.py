"""Computes how long threads waited for a CPU, from samples of the kernel's counters.

No I/O; times in monotonic seconds. The kernel adds a wait to its counter only when the wait ends. A thread
that is runnable in two samples, and neither ran nor was scheduled between them, waited the whole time.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise


@dataclass(frozen=True, slots=True)
class ThreadSample:
    """One thread's counters since its start.

    Attributes:
        is_runnable: Whether it runs or waits for a CPU.
        ran_s: CPU time.
        waited_s: Time that it waited for a CPU, without a wait that still lasts.
        times_scheduled: Number of times that it was scheduled on a CPU.
        name: Its name in the kernel; a new thread has its creator's name until it sets its own.
    """

    is_runnable: bool
    ran_s: float
    waited_s: float
    times_scheduled: int
    name: str = ""


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """The counters of all threads of a process at one time, by thread id."""

    at_s: float
    threads: Mapping[int, ThreadSample]


def find_thread(samples: Sequence[ProcessSample], name: str) -> int | None:
    """Return the id of the first thread with a name; None if there is none."""
    for sample in samples:
        for thread, found in sample.threads.items():
            if found.name == name:
                return thread
    return None


def thread_wait_s(samples: Sequence[ProcessSample], thread: int, begin_s: float, end_s: float) -> float:
    """Return for how long a thread waited for a CPU in a span while no thread of its process ran.

    The samples limit the accuracy: a wait outside their span does not count.
    """
    return sum(
        _external_wait_between_s(before, after, thread) * _overlap_fraction(before, after, begin_s, end_s)
        for before, after in pairwise(samples)
    )


def process_wait_s(samples: Sequence[ProcessSample], begin_s: float, end_s: float) -> float:
    """Return for how long in a span some thread waited for a CPU while no thread of the process ran.

    A thread that has never run does not count: the code that waits for its start is at fault.
    """
    return sum(
        _process_wait_between_s(before, after) * _overlap_fraction(before, after, begin_s, end_s)
        for before, after in pairwise(samples)
    )


def _overlap_fraction(before: ProcessSample, after: ProcessSample, begin_s: float, end_s: float) -> float:
    """Return the fraction of the time between two samples that lies within a span."""
    within_s = min(after.at_s, end_s) - max(before.at_s, begin_s)
    return max(0.0, within_s) / (after.at_s - before.at_s) if after.at_s > before.at_s else 0.0


def _wait_between_s(before: ProcessSample, after: ProcessSample, thread: int) -> float:
    old, new = before.threads.get(thread), after.threads.get(thread)
    if old is None or new is None:
        return 0.0
    elapsed_s = after.at_s - before.at_s
    if (
        old.is_runnable
        and new.is_runnable
        and (old.ran_s, old.times_scheduled) == (new.ran_s, new.times_scheduled)
    ):
        return elapsed_s
    return min(elapsed_s, new.waited_s - old.waited_s)


def _external_wait_between_s(before: ProcessSample, after: ProcessSample, thread: int) -> float:
    """Return for how long a thread waited while no thread of its process ran."""
    ran_s = sum(
        after.threads[other].ran_s - found.ran_s
        for other, found in before.threads.items()
        if other in after.threads
    )
    return max(0.0, min(_wait_between_s(before, after, thread), after.at_s - before.at_s - ran_s))


def _process_wait_between_s(before: ProcessSample, after: ProcessSample) -> float:
    started = [thread for thread, found in before.threads.items() if found.ran_s > 0]
    return max((_external_wait_between_s(before, after, thread) for thread in started), default=0.0)
