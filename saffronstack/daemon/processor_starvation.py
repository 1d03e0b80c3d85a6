"""Finds processes whose threads are ready to run but get little or no CPU time, and unpins them.

A gateway is pinned to one CPU, which other processes may come to use. While they do, the gateway may neither
serve nor exit, though other CPUs are idle. The gateway's own check (`starvation_guard`) may be delayed too,
by a starved thread that holds the interpreter's lock.
"""

from __future__ import annotations

import contextlib
import os
import pathlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from saffronstack.daemon.processor_choice import CONTENDED_WAIT_FRACTION, external_wait_ns

SAMPLE_INTERVAL_S = 0.5  # a thread that is ready to run for this time but does not run is starved
_NS_PER_S = 1_000_000_000
_USER_AND_SYSTEM_TIME = slice(11, 13)  # fields of /proc/PID/stat after the command name
_RUNNABLE = b"R"
_READ_BYTES = 4096
_CPUS_OPTION = b"--cpus"


@dataclass(frozen=True, slots=True)
class ThreadSample:
    """One thread at one moment: whether it is ready to run, and its run and wait time since its start."""

    is_runnable: bool
    run_ns: int
    wait_ns: int = 0  # ready to run but not running; a wait counts once it is over


ThreadSamples = Mapping[int, ThreadSample]  # by thread id


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """One process at one moment."""

    threads: ThreadSamples
    run_ns: int | None  # of all its threads, ended ones included; None if not available
    cpus: frozenset[int]  # CPU affinity of its threads


def _read_file(path: str) -> bytes:
    """Return a short file's content, with as few system calls as possible."""
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        return os.read(descriptor, _READ_BYTES)
    finally:
        os.close(descriptor)


def read_thread(pid: int, thread: int) -> ThreadSample | None:
    """Return a sample of a thread; None if it has ended or its state is not available."""
    task = f"/proc/{pid}/task/{thread}"
    try:
        state = _read_file(f"{task}/stat").rpartition(b")")[2].split()[0]
        run_ns, wait_ns = map(int, _read_file(f"{task}/schedstat").split()[:2])
    except (OSError, ValueError, IndexError):
        return None
    return ThreadSample(state == _RUNNABLE, run_ns, wait_ns)


def read_threads(pid: int) -> dict[int, ThreadSample]:
    """Return samples of the threads of a process; none if it has ended or /proc is not available."""
    try:
        threads = [int(name) for name in os.listdir(f"/proc/{pid}/task")]
    except OSError:
        return {}
    samples = {thread: read_thread(pid, thread) for thread in threads}
    return {thread: sample for thread, sample in samples.items() if sample is not None}


def read_run_ns(pid: int) -> int | None:
    """Return the CPU time of a process, including its ended threads.

    Returns None if the process has ended or its CPU time is not available.
    """
    try:
        fields = _read_file(f"/proc/{pid}/stat").rpartition(b")")[2].split()
        ticks = sum(map(int, fields[_USER_AND_SYSTEM_TIME]))
    except (OSError, ValueError):
        return None
    return ticks * _NS_PER_S // os.sysconf("SC_CLK_TCK")


def read_cpu_affinity(pid: int) -> frozenset[int]:
    """Return the affinity of the thread that may run on the fewest CPUs; none if the process has ended."""
    cpus: set[int] = set()
    with contextlib.suppress(OSError):
        for name in os.listdir(f"/proc/{pid}/task"):
            with contextlib.suppress(OSError):  # the thread has ended
                allowed = os.sched_getaffinity(int(name))
                cpus = allowed if not cpus or len(allowed) < len(cpus) else cpus
    return frozenset(cpus)


def is_starved(before: ThreadSamples, after: ThreadSamples) -> bool:
    """Return whether a thread was ready to run in both samples and had no CPU time between them."""
    ready = {thread: sample for thread, sample in after.items() if sample.is_runnable and thread in before}
    return any(
        before[thread].is_runnable and before[thread].run_ns == sample.run_ns
        for thread, sample in ready.items()
    )


def is_contended(before: ProcessSample, after: ProcessSample, span_s: float) -> bool:
    """Return whether a thread waited for other processes for at least `CONTENDED_WAIT_FRACTION` of the span.

    A span in which the CPU affinity changed does not count: it does not show the load of the present CPUs.
    """
    if before.run_ns is None or after.run_ns is None or before.cpus != after.cpus:
        return False
    waited_ns = external_wait_ns(before.threads, after.threads, after.run_ns - before.run_ns)
    return waited_ns >= CONTENDED_WAIT_FRACTION * span_s * _NS_PER_S


def allow_all_cpus(pid: int) -> bool:
    """Give all threads of a process the CPU affinity of this process; return whether any affinity changed.

    A process whose command line names its CPUs is left alone.
    """
    cpus = os.sched_getaffinity(0)
    changed = False
    with contextlib.suppress(OSError):
        words = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
        if any(word == _CPUS_OPTION or word.startswith(_CPUS_OPTION + b"=") for word in words):
            return False
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
            with contextlib.suppress(OSError):  # the thread has ended
                thread = int(task.name)
                if os.sched_getaffinity(thread) != cpus:
                    os.sched_setaffinity(thread, cpus)
                    changed = True
    return changed


class StarvationMonitor:
    """Samples processes at intervals and unpins starved ones. Used by one thread."""

    def __init__(
        self,
        clock: Callable[[], float],
        read: Callable[[int], ThreadSamples] = read_threads,
        release: Callable[[int], bool] = allow_all_cpus,
        *,
        read_run_ns: Callable[[int], int | None] = read_run_ns,
        read_affinity: Callable[[int], frozenset[int]] = read_cpu_affinity,
    ) -> None:
        """Create a monitor with a monotonic clock in seconds; tests replace the other arguments."""
        self._clock = clock
        self._read = read
        self._release = release
        self._read_run_ns = read_run_ns
        self._read_affinity = read_affinity
        self._sampled_s = clock()
        self._samples: dict[int, ProcessSample] = {}  # by process id
        self._contended: set[int] = set()  # processes that were contended in the last span

    def check(self, pids: Iterable[int]) -> list[int]:
        """Sample processes once the interval has passed; return the starved processes that were unpinned."""
        now_s = self._clock()
        span_s = now_s - self._sampled_s
        if span_s < SAMPLE_INTERVAL_S:
            return []
        self._sampled_s = now_s
        previous, self._samples = self._samples, {pid: self._sample(pid) for pid in pids}
        previously_contended, self._contended = self._contended, set()
        starved = []
        for pid, after in self._samples.items():
            before = previous.get(pid)
            if before is None:
                continue
            if is_contended(before, after, span_s):
                self._contended.add(pid)
            if is_starved(before.threads, after.threads) or pid in previously_contended & self._contended:
                starved.append(pid)
        return [pid for pid in starved if self._release(pid)]

    def _sample(self, pid: int) -> ProcessSample:
        return ProcessSample(self._read(pid), self._read_run_ns(pid), self._read_affinity(pid))
