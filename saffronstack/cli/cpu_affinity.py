"""Which processors a process runs on."""

from __future__ import annotations

import contextlib
import os
import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping

from saffronstack.daemon.processor_settling import CpuIdleSample, choose_initial_cpu
from saffronstack.daemon.processor_times import CpuIdleTimes

DEFAULT_CPUS = "one"
IDLE_SAMPLE_S = 0.1  # for which the processors are looked at before a process keeps to one
NO_THREAD = 0  # no thread has this id in the system
MAX_THREAD_LISTINGS = 10  # of the threads of this process in one move


def choose_cpus(selection: str, allowed: set[int], process_number: int) -> set[int]:
    """Return the processors to run on.

    One is the default: only one thread holds the interpreter's lock at a time, and handing it over between
    processors costs more than the work between two of them.

    Args:
        selection: ``one``, ``all``, or numbers joined by commas.
        allowed: Numbers of the processors that this process may use.
        process_number: Spreads processes that run on one processor each.

    Raises:
        ValueError: The selection has none of the forms, or names a processor that is not allowed.
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
    """Return the processors to run on, of those that this process may use; see `choose_cpus`.

    None where the system has no such choice.
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
    """Return the processors to run on, once the process is to keep to them: an idle one by default.

    Takes `IDLE_SAMPLE_S` by default, and no time else.

    Args:
        selection: See `choose_cpus`.
        chosen: What that returned; none where the process is to keep to none.
        process_number: Spreads processes that run on one processor each.
        read_idle: The idle time of some processors; None to read what the system tells.
        pause: Waits for some seconds.
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
    """Keep all threads of this process, and those that they start, to some processors.

    Called once the process serves: a start on a processor that something else takes up could last for long.

    Returns:
        The processors that it may use beside these.
    """
    if not cpus:
        return set()
    others = set(os.sched_getaffinity(0)) - cpus
    move_threads(cpus)
    return others


def move_threads(cpus: Collection[int], excluded: int = NO_THREAD) -> None:
    """Let all threads of this process but one run on some processors.

    A thread that starts meanwhile has the processors of the one that started it, so the system's list is read
    until it shows none that is left. Where no descriptor is free for that, the threads that the interpreter
    knows are moved; they are not taken else, as the interpreter may know ids of threads that have ended.

    Args:
        cpus: Numbers of the processors.
        excluded: The system's id of the thread that stays as it is, if there is one.
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
    """Return none where all descriptors are in use."""
    with contextlib.suppress(OSError):
        return [int(thread) for thread in os.listdir("/proc/self/task")]
    return []


def _runs_on(thread: int, cpus: Collection[int]) -> bool:
    try:
        return os.sched_getaffinity(thread) == set(cpus)
    except OSError:  # it has ended
        return True


def _set_affinity(threads: Iterable[int], cpus: Collection[int]) -> None:
    for thread in threads:
        with contextlib.suppress(OSError):  # it has ended
            os.sched_setaffinity(thread, cpus)
