"""Threads with small stacks: a gateway runs one for each connection and each attempt.

Each thread carries its name in the system too, where `top -H` and `ps -L` show it.
"""

from __future__ import annotations

import _thread
import contextlib
import os
import queue
import threading
from collections.abc import Callable
from functools import partial

# Enough for the deepest call path (a JSON parser on a connection's thread) with a wide margin. The default of
# 8 MiB of address space for each of thousands of threads would exceed the limits of small machines.
STACK_BYTES = 256 * 1024
DEFAULT_IDLE_TIMEOUT_S = 5.0
DEFAULT_MAX_IDLE_THREADS = 32
SYSTEM_NAME_MAX_BYTES = 15  # Linux keeps no more
_SYSTEM_NAME_PATH = "/proc/thread-self/comm"
_stack_size_lock = threading.Lock()  # guards the stack size of new threads, which the interpreter has one of


def set_system_thread_name(name: str) -> None:
    """Name the calling thread in the system; until then it has the name of the thread that created it.

    Without a free descriptor it keeps that one: the name only informs.
    """
    with contextlib.suppress(OSError):
        descriptor = os.open(_SYSTEM_NAME_PATH, os.O_WRONLY)
        try:
            os.write(descriptor, name.encode()[:SYSTEM_NAME_MAX_BYTES])
        finally:
            os.close(descriptor)


def _run_named(name: str, run: Callable[[], object]) -> None:
    set_system_thread_name(name)
    run()


def start_thread(name: str, run: Callable[[], object], daemon: bool = True) -> threading.Thread:
    """Start a thread with a small stack.

    Raises:
        RuntimeError: The system has no more threads.
    """
    thread = threading.Thread(target=partial(_run_named, name, run), name=name, daemon=daemon)
    with _stack_size_lock:
        previous_bytes = threading.stack_size(STACK_BYTES)
        try:
            thread.start()
        finally:
            threading.stack_size(previous_bytes)
    return thread


def start_detached_thread(name: str, run: Callable[[], object]) -> None:
    """Start a daemon thread that is never joined, without waiting until it is scheduled.

    `threading.Thread.start` returns once the new thread has run. A creator that others depend on would wait
    for as long as the new thread waits for a processor.

    Raises:
        RuntimeError: The system has no more threads.
    """
    arguments = (name, run)
    if not _stack_size_lock.acquire(blocking=False):  # held by a creator that waits: at worst a large stack
        _thread.start_new_thread(_run_named, arguments)
        return
    try:
        previous_bytes = threading.stack_size(STACK_BYTES)
        try:
            _thread.start_new_thread(_run_named, arguments)
        finally:
            threading.stack_size(previous_bytes)
    finally:
        _stack_size_lock.release()


class IdleThreadPool:
    """Run each task at once, on an idle thread if there is one and on a new thread otherwise.

    A new thread has to be scheduled before its creator goes on, and on a loaded machine threads that start
    at the same time wait for each other. A thread that has finished its task therefore waits for another.
    """

    def __init__(
        self,
        name: str,
        idle_s: float = DEFAULT_IDLE_TIMEOUT_S,
        max_idle: int = DEFAULT_MAX_IDLE_THREADS,
    ) -> None:
        """Create a pool without threads.

        Args:
            name: Name of its threads.
            idle_s: Time after which an idle thread ends.
            max_idle: Threads that may be idle at one time.
        """
        self._name = name
        self._idle_s = idle_s
        self._max_idle = max_idle
        self._idle_lock = threading.Lock()  # guards the number of idle threads
        self._idle = 0  # threads that wait and have not been given a task
        self._tasks: queue.SimpleQueue[Callable[[], object]] = queue.SimpleQueue()

    def run(self, task: Callable[[], object]) -> None:
        """Run a task at once; an exception that it does not handle ends its thread.

        Raises:
            RuntimeError: The system has no more threads.
        """
        with self._idle_lock:
            if self._idle:
                self._idle -= 1
                self._tasks.put(task)
                return
        start_thread(self._name, lambda: self._run_tasks(task))

    def _run_tasks(self, task: Callable[[], object] | None) -> None:
        while task is not None:
            task()
            task = None  # an idle thread does not keep alive what its last task refers to
            task = self._wait_for_task()

    def _wait_for_task(self) -> Callable[[], object] | None:
        """Return the next task, or None where this thread should end."""
        with self._idle_lock:
            if self._idle >= self._max_idle:
                return None
            self._idle += 1
        try:
            return self._tasks.get(timeout=self._idle_s)
        except queue.Empty:
            with self._idle_lock:
                if self._idle:
                    self._idle -= 1
                    return None
            return self._tasks.get()  # a task was given meanwhile to one of the waiting threads
