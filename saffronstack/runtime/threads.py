"""Threads with small stacks: the gateway holds one for each connection and each attempt."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

# Room for the deepest path here (a JSON parser on a front thread) with a wide margin; the default of
# 8 MiB of address space for each of thousands of threads would meet the limits of small machines.
STACK_BYTES = 256 * 1024
_starting = threading.Lock()


def spawn(name: str, run: Callable[[], object], daemon: bool = True) -> threading.Thread:
    """A started thread with the small stack; RuntimeError where the system has no more threads."""
    thread = threading.Thread(target=run, name=name, daemon=daemon)
    with _starting:  # the stack size is the interpreter's, so it is set and put back around the start
        before = threading.stack_size(STACK_BYTES)
        try:
            thread.start()
        finally:
            threading.stack_size(before)
    return thread


class Crew:
    """Threads that wait a while for more work after theirs. A thread that has to be started first waits until
    the system lets it run, and on a loaded machine all that start one wait for each other."""

    def __init__(self, name: str, idle_s: float = 5.0, max_idle: int = 32) -> None:
        """One ends after ``idle_s`` seconds without work; ``max_idle`` wait at one time."""
        self._name, self._idle_s, self._max_idle = name, idle_s, max_idle
        self._lock = threading.Lock()
        self._idle = 0  # threads that wait and that no work was handed to
        self._work: queue.SimpleQueue[Callable[[], object]] = queue.SimpleQueue()

    def run(self, work: Callable[[], object]) -> None:
        """Have it done at once; RuntimeError where the system has no more threads. ``work`` handles its own
        exceptions: one that leaves it ends its thread."""
        with self._lock:
            if self._idle:
                self._idle -= 1
                self._work.put(work)
                return
        spawn(self._name, lambda: self._serve(work))

    def _serve(self, work: Callable[[], object]) -> None:
        while True:
            work()
            del work  # what it held is not kept while the thread waits
            with self._lock:
                if self._idle >= self._max_idle:
                    return
                self._idle += 1
            try:
                work = self._work.get(timeout=self._idle_s)
            except queue.Empty:
                with self._lock:
                    if self._idle:
                        self._idle -= 1
                        return
                work = self._work.get()  # handed over just now, to one of those that wait
