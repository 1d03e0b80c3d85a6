"""A thread with a start, a request to stop, and a bounded join."""

from __future__ import annotations

import threading
from collections.abc import Callable

from saffronstack.runtime.threads import start_thread


class BackgroundThread:
    """Owns one thread; the function that it runs returns soon after `stopping` was set.

    Attributes:
        stopping: Set once the thread is to end; its function waits on it between steps.
    """

    def __init__(self, name: str, run: Callable[[], object]) -> None:
        """Prepare the thread; `run` is the function that it executes."""
        self.stopping = threading.Event()
        self._name = name
        self._run = run
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread.

        Raises:
            RuntimeError: The system has no more threads.
        """
        self._thread = start_thread(self._name, self._run)

    def request_stop(self) -> None:
        """Ask the thread to end, without waiting for it; from any thread."""
        self.stopping.set()

    def join(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s` seconds for the end; return whether no thread runs now."""
        if self._thread is None:
            return True
        self._thread.join(timeout_s)
        return not self._thread.is_alive()
