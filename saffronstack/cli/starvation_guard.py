"""A process that keeps to one processor notices by itself that something else has taken that up.

The thread that looks runs on any processor; a second one, kept to the same processor as all others, shows by
its samples whether that gets time. Where a starved thread holds the interpreter's lock, the look waits too:
then a daemon or a supervisor has to notice.
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable, Mapping

import structlog

from saffronstack.daemon.processor_starvation import (
    StarvationMonitor,
    ThreadSample,
    allow_all_processors,
    read_thread,
)
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.serve")
PROBE_INTERVAL_S = 0.1


class StarvationGuard:
    """Created and used by the thread that looks."""

    def __init__(
        self,
        allowed: set[int],
        clock: Callable[[], float] = time.monotonic,
        read: Callable[[int, int], ThreadSample | None] = read_thread,
        release: Callable[[int], bool] = allow_all_processors,
    ) -> None:
        """Start the probe on this thread's processors, and let this thread itself run on all allowed ones.

        Args:
            allowed: The processors that this process may use.
            clock: Monotonic seconds.
            read: Samples a thread of a process.
            release: Lets the process with an id run on this thread's processors.
        """
        self._read = read
        self._stopping = threading.Event()
        self._probe_thread = 0  # its id in the system; 0 until it has run
        self._monitor = StarvationMonitor(clock, self._read_probe, release)
        start_thread("processor-probe", self._probe)
        os.sched_setaffinity(0, allowed)

    @property
    def has_started(self) -> bool:
        """Whether the probe has run at all."""
        return self._probe_thread != 0

    def check(self) -> None:
        """Let the whole process run anywhere if the probe has been ready to run and did not since a while."""
        for _ in self._monitor.check([os.getpid()]):
            log.warning("processor taken up by something else, all may be used from now on")

    def stop(self) -> None:
        """End the probe, without waiting."""
        self._stopping.set()

    def _probe(self) -> None:
        self._probe_thread = threading.get_native_id()
        while not self._stopping.wait(PROBE_INTERVAL_S):
            continue

    def _read_probe(self, pid: int) -> Mapping[int, ThreadSample]:
        if not self.has_started:
            return {0: ThreadSample(is_runnable=True, run_ns=0)}  # it is to start, and got no time for that
        sample = self._read(pid, self._probe_thread)
        return {} if sample is None else {self._probe_thread: sample}
