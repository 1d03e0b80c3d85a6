"""Chooses and sets the CPU affinity of this process."""

from __future__ import annotations

import contextlib
import os
import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping

from saffronstack.daemon.processor_settling import CpuIdleSample, choose_initial_cpu
from saffronstack.daemon.processor_times import CpuIdleTimes

DEFAULT_CPUS = "one"
IDLE_SAMPLE_S = 0.1  # time over which idle times are measured before the process is pinned
NO_THREAD = 0  # no thread has this native id
MAX_THREAD_LISTINGS = 10  # maximum, in one move of the threads of this process


def choose_cpus(selection: str, allowed: set[int], process_number: int) -> set[int]:
    """Return the CPUs to run on.

    The default is one CPU: only one thread holds the interpreter lock at a time, and passing the lock between
    CPUs costs more than the work that is done between two such passes.

    Args:
        selection: ``one``, ``all``, or CPU numbers separated by commas.
        allowed: Numbers of the CPUs that this process may use.
        process_number: Spreads processes that run on one CPU each.

    Raises:
        ValueError: The selection has none of these forms, or names a CPU that is not allowed.
    """
    if selection == "all":
        return allowed
    if selection == DEFAULT_CPUS:
        return {sorted(allowed)[process_number % len(allowed)]}
    chosen = {int(part) for part in selection.split(",")}
    if not chosen <= allowed:
        raise ValueError(f"--cpus: {sorted(chosen - allowed)} are not allowed here, only {sorted(allowed)}")
    return chosen


def choose_allowed_cpus(selection: str, process_number: int) -> set[int]:
    """Return the CPUs to run on, out of those that this process may use; see `choose_cpus`.

    Empty if the system has no CPU affinity.
    """
    if not hasattr(os, "sched_getaffinity"):
        return set()
    return choose_cpus(selection, set(os.sched_getaffinity(0)), process_number)


def choose_idle_cpus(
    selection: str,
    chosen: set[int],
    process_number: int,
    *,
    read_idle: Callable[[Collection[int]], Mapping[int, int]] | None = None,
    pause: Callable[[float], object] = time.sleep,
) -> set[int]:
    """Return the CPUs to pin the process to. By default this is one idle CPU.

    Takes `IDLE_SAMPLE_S` with the default selection, and no time otherwise.

    Args:
        selection: See `choose_cpus`.
        chosen: Result of `choose_cpus`; empty if the process must not be pinned.
        process_number: Spreads processes that run on one CPU each.
        read_idle: Returns the idle time of CPUs; None to read it from the system.
        pause: Sleeps for a number of seconds.
    """
    if selection != DEFAULT_CPUS or not chosen:
        return chosen
    allowed = os.sched_getaffinity(0)
    with contextlib.closing(CpuIdleTimes()) as idle_times:
        read = read_idle or idle_times.read
        before = CpuIdleSample(time.monotonic(), read(allowed))
        pause(IDLE_SAMPLE_S)
        after = CpuIdleSample(time.monotonic(), read(allowed))
    return {choose_initial_cpu(allowed, process_number, before, after)}


def pin_threads(cpus: set[int]) -> set[int]:
    """Pin all threads of this process, and those that they start, to some CPUs.

    Call it once the process serves: startup on a CPU that other processes use could take long.

    Returns:
        The other CPUs that the process was allowed to use.
    """
    if not cpus:
        return set()
    others = set(os.sched_getaffinity(0)) - cpus
    move_threads(cpus)
    return others


def move_threads(cpus: Collection[int], excluded: int = NO_THREAD) -> None:
    """Set the CPU affinity of all threads of this process but one.

    A thread that starts meanwhile inherits the affinity of the thread that starts it. So the system's thread
    list is read again until it shows no thread with another affinity. If no file descriptor is free for that,
    the threads that the interpreter knows are moved. They are not used otherwise, as the interpreter may know
    ids of threads that have exited.

    Args:
        cpus: Numbers of the CPUs.
        excluded: Native id of the thread that keeps its affinity, if there is one.
    """
    for _ in range(MAX_THREAD_LISTINGS):
        listed = _listed_threads() or _known_threads()
        unmoved = [thread for thread in listed if thread != excluded and not _runs_on(thread, cpus)]
        if not unmoved:
            return
        _set_affinity(unmoved, cpus)


def _known_threads() -> list[int]:
    return [thread.native_id for thread in threading.enumerate() if thread.native_id is not None]


def _listed_threads() -> list[int]:
    """Return the native ids of all threads; empty if no file descriptor is free."""
    with contextlib.suppress(OSError):
        return [int(thread) for thread in os.listdir("/proc/self/task")]
    return []


def _runs_on(thread: int, cpus: Collection[int]) -> bool:
    try:
        return os.sched_getaffinity(thread) == set(cpus)
    except OSError:  # the thread has exited
        return True


def _set_affinity(threads: Iterable[int], cpus: Collection[int]) -> None:
    for thread in threads:
        with contextlib.suppress(OSError):  # the thread has exited
            os.sched_setaffinity(thread, cpus)
