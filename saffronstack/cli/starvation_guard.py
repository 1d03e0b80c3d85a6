"""Detects that this process, pinned to one CPU, is starved by other processes, and moves its threads.

The checking thread may run on any CPU. It reads how long some of the other threads ran and waited for the
CPU. If they wait for other processes, all other threads move to an idle CPU, which `processor_choice`
selects. If no CPU is idle, the process may use all CPUs until `processor_settling` finds an idle one. A probe
thread does nothing but wake up often, so that at least one thread always wants to run.
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Collection, Mapping

import structlog

from saffronstack.cli.cpu_affinity import NO_THREAD, move_threads
from saffronstack.daemon.processor_choice import CpuMovePolicy, CpuSample, MoveBackoff
from saffronstack.daemon.processor_settling import CpuIdleSample, CpuPinningPolicy
from saffronstack.daemon.processor_starvation import StarvationMonitor, ThreadSample, read_thread
from saffronstack.daemon.processor_times import CpuIdleTimes
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.serve")
PROBE_INTERVAL_S = 0.05  # short compared with the waits to detect
MAX_SAMPLED_THREADS = 16  # threads that a check reads; the first ones live as long as the process


class StarvationGuard:
    """Moves this process away from a busy CPU. Only the checking thread creates it and calls its methods."""

    def __init__(
        self,
        allowed: set[int],
        clock: Callable[[], float] = time.monotonic,
        read: Callable[[int, int], ThreadSample | None] = read_thread,
        release: Callable[[int], bool] | None = None,
        *,
        read_idle: Callable[[Collection[int]], Mapping[int, int]] | None = None,
        read_run_ns: Callable[[], int] = time.process_time_ns,
        move: Callable[[Collection[int], int], None] = move_threads,
    ) -> None:
        """Start the probe thread on the present CPUs, and let the checking thread run on all allowed CPUs.

        Args:
            allowed: Numbers of the CPUs that this process may use.
            clock: Monotonic clock in seconds.
            read: Returns a sample of a thread, by process id and thread id.
            release: Lets the process with an id run on all allowed CPUs; None to move this process's threads.
            read_idle: Returns the idle time of CPUs; None to read it from the system.
            read_run_ns: Returns the CPU time of this process.
            move: Sets the CPU affinity of all threads of this process but one.
        """
        self._allowed_cpus, self._clock = frozenset(allowed), clock
        self._read_thread, self._read_run_ns, self._move_threads = read, read_run_ns, move
        self._idle_times = CpuIdleTimes()
        self._read_idle = read_idle or self._idle_times.read
        self._stopping = threading.Event()
        self._probe_thread = NO_THREAD  # its native id, once it has run
        self._cpus = frozenset(os.sched_getaffinity(0))  # affinity of all threads but the checking thread
        move_backoff = MoveBackoff()
        self._move_policy = CpuMovePolicy(os.getpid(), move_backoff)
        self._pinning_policy = CpuPinningPolicy(os.getpid(), move_backoff)
        self._samples: dict[int, ThreadSample] = {}
        self._starvation_monitor = StarvationMonitor(
            clock,
            lambda pid: self._samples,
            release or self._release,
            read_run_ns=lambda pid: self._read_run_ns(),
            read_affinity=lambda pid: self._cpus,
        )
        start_thread("processor-probe", self._probe)
        os.sched_setaffinity(0, allowed)

    @property
    def has_started(self) -> bool:
        """Whether the probe thread has run at all."""
        return self._probe_thread != NO_THREAD

    def check(self) -> None:
        """Move away from the CPU if the process is starved on it. Call this every `CPU_SAMPLE_INTERVAL_S`."""
        self._samples = self._sample_threads()
        if self.has_started:  # another process may have changed its affinity
            self._cpus = frozenset(os.sched_getaffinity(self._probe_thread))
        if len(self._cpus) == 1:
            self._pinning_policy.reset()
            if self._move_if_starved():
                return
        elif self._cpus == self._allowed_cpus and self._pin_if_idle():
            return
        for _ in self._starvation_monitor.check([os.getpid()]):
            log.warning("CPU used by other processes, all CPUs may now be used")

    def stop(self) -> None:
        """Stop the probe thread without waiting for it, and allow all CPUs, as no check follows."""
        self._stopping.set()
        self._idle_times.close()
        self._run_on(self._allowed_cpus)

    def _move_if_starved(self) -> bool:
        (cpu,) = self._cpus
        idle_ns = self._read_idle(self._allowed_cpus)
        sample = CpuSample(self._clock(), cpu, self._read_run_ns(), self._samples, idle_ns)
        move = self._move_policy.choose(sample)
        if move is None:
            return False
        self._run_on(frozenset({move.cpu}))
        log.warning(
            "CPU used by other processes, moved to another CPU",
            old=cpu,
            new=move.cpu,
            waited=round(move.waited_fraction, 2),
        )
        return True

    def _pin_if_idle(self) -> bool:
        cpu = self._pinning_policy.choose(CpuIdleSample(self._clock(), self._read_idle(self._allowed_cpus)))
        if cpu is None:
            return False
        self._run_on(frozenset({cpu}))
        log.info("idle CPU found, process pinned to it", processor=cpu)
        return True

    def _release(self, pid: int) -> bool:
        """Let the process run on all allowed CPUs; return whether that changed its affinity."""
        if self._cpus == self._allowed_cpus:
            return False
        self._run_on(self._allowed_cpus)
        return True

    def _run_on(self, cpus: frozenset[int]) -> None:
        self._move_threads(cpus, threading.get_native_id())
        self._cpus = cpus

    def _probe(self) -> None:
        self._probe_thread = threading.get_native_id()
        while not self._stopping.wait(PROBE_INTERVAL_S):
            continue

    def _sample_threads(self) -> dict[int, ThreadSample]:
        """Return samples of the probe thread and the first threads of the process."""
        pid, own = os.getpid(), threading.get_native_id()
        known = [thread.native_id for thread in threading.enumerate()[:MAX_SAMPLED_THREADS]]
        threads = {thread for thread in (*known, self._probe_thread) if thread not in (None, own, NO_THREAD)}
        read = {thread: self._read_thread(pid, thread) for thread in threads if thread is not None}
        samples = {thread: sample for thread, sample in read.items() if sample is not None}
        if not self.has_started:  # the probe thread wants to start, and got no CPU time for that
            samples[NO_THREAD] = ThreadSample(is_runnable=True, run_ns=0)
        return samples
