"""Starts threads with small stacks, because a gateway runs one for each connection and each attempt.

The name of each thread is also set in the operating system, so that `top -H` and `ps -L` show it.
"""

from __future__ import annotations

import _thread
import contextlib
import os
import queue
import threading
from collections.abc import Callable
from functools import partial

# Enough for the deepest call path (a JSON parser on a connection's thread) with a wide margin. With the
# default of 8 MiB, the address space of thousands of threads would exceed the limits of small machines.
STACK_BYTES = 256 * 1024
DEFAULT_IDLE_TIMEOUT_S = 5.0
DEFAULT_MAX_IDLE_THREADS = 32
SYSTEM_NAME_MAX_BYTES = 15  # limit of Linux
_SYSTEM_NAME_PATH = "/proc/thread-self/comm"
_stack_size_lock = threading.Lock()  # guards the interpreter's single setting for new threads' stack size


def set_system_thread_name(name: str) -> None:
    """Set the calling thread's name in the operating system, in place of its creator's name.

    A failure, such as a lack of file descriptors, is ignored because the name is only informative.
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
        RuntimeError: The system's limit on threads is reached.
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

    `threading.Thread.start` only returns once the new thread runs. On a busy machine that blocks the caller
    until the new thread gets a CPU.

    Raises:
        RuntimeError: The system's limit on threads is reached.
    """
    arguments = (name, run)
    if not _stack_size_lock.acquire(blocking=False):  # held during a start: use the default stack size
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
    """Runs each task at once, on an idle thread if there is one and on a new thread otherwise.

    Starting a thread blocks its creator until the thread is scheduled, and on a busy machine threads that
    start at the same time delay each other. Threads are therefore kept for further tasks.
    """

    def __init__(
        self,
        name: str,
        idle_s: float = DEFAULT_IDLE_TIMEOUT_S,
        max_idle: int = DEFAULT_MAX_IDLE_THREADS,
    ) -> None:
        """Create a pool without threads.

        Args:
            name: Name of the pool's threads.
            idle_s: Seconds after which an idle thread ends.
            max_idle: Maximum number of idle threads.
        """
        self._name = name
        self._idle_s = idle_s
        self._max_idle = max_idle
        self._idle_lock = threading.Lock()  # guards `_idle`
        self._idle = 0  # threads that wait for a task and have none assigned
        self._tasks: queue.SimpleQueue[Callable[[], object]] = queue.SimpleQueue()

    def run(self, task: Callable[[], object]) -> None:
        """Run a task at once; an exception that it does not handle ends its thread.

        Raises:
            RuntimeError: The system's limit on threads is reached.
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
            task = None  # drop the reference, so that an idle thread keeps no objects of its last task alive
            task = self._wait_for_task()

    def _wait_for_task(self) -> Callable[[], object] | None:
        """Return the next task, or None if this thread should end."""
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
            return self._tasks.get()  # another caller of `run` has assigned a task to a waiting thread
