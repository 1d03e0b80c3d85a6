"""What a process's threads did between samples of the kernel's counters. No I/O; times in monotonic seconds.

The kernel adds a wait for a processor to its counter only once the wait is over. A thread that is ready to
run in two samples, and neither ran nor was given a processor between them, waited all the time.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise


@dataclass(frozen=True, slots=True)
class ThreadSample:
    """One thread's counters since it began.

    Attributes:
        is_ready: Whether it runs, or waits for a processor.
        ran_s: How long it ran.
        waited_s: How long it waited for a processor, without a wait that is not over.
        turns: How often it was given a processor.
        name: In the system; a new thread has its creator's until it sets its own.
    """

    is_runnable: bool
    ran_s: float
    waited_s: float
    times_scheduled: int
    name: str = ""


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """All threads of a process at one moment, by thread id."""

    at_s: float
    threads: Mapping[int, ThreadSample]


def find_thread(samples: Sequence[ProcessSample], name: str) -> int | None:
    """Return the thread that the system knows by a name, the first one seen; None where there is none."""
    for sample in samples:
        for thread, found in sample.threads.items():
            if found.name == name:
                return thread
    return None


def thread_wait_s(samples: Sequence[ProcessSample], thread: int, begin_s: float, end_s: float) -> float:
    """Return how long a thread waited in a span for a processor that no thread of its process had.

    As far as the samples show it.
    """
    return sum(
        _external_wait_between_s(before, after, thread) * _overlap_fraction(before, after, begin_s, end_s)
        for before, after in pairwise(samples)
    )


def process_wait_s(samples: Sequence[ProcessSample], begin_s: float, end_s: float) -> float:
    """Return how long in a span some thread waited for a processor while no thread of the process ran.

    A thread that never ran before counts for nothing: whoever waits for it to begin is at fault.
    """
    return sum(
        _process_wait_between_s(before, after) * _overlap_fraction(before, after, begin_s, end_s)
        for before, after in pairwise(samples)
    )


def _overlap_fraction(before: ProcessSample, after: ProcessSample, begin_s: float, end_s: float) -> float:
    """Which part of the time between two samples lies within a span."""
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
    """How long a thread waited while no thread of its process ran."""
    ran_s = sum(
        after.threads[other].ran_s - found.ran_s
        for other, found in before.threads.items()
        if other in after.threads
    )
    return max(0.0, min(_wait_between_s(before, after, thread), after.at_s - before.at_s - ran_s))


def _process_wait_between_s(before: ProcessSample, after: ProcessSample) -> float:
    started = [thread for thread, found in before.threads.items() if found.ran_s > 0]
    return max((_external_wait_between_s(before, after, thread) for thread in started), default=0.0)
