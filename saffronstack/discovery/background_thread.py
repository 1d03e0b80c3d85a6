"""A thread that can be started, asked to stop, and joined with a timeout."""

from __future__ import annotations

import threading
from collections.abc import Callable

from saffronstack.runtime.threads import start_thread


class BackgroundThread:
    """Owns one thread. The function that it runs has to return soon after `stopping` is set.

    Attributes:
        stopping: Event that asks the thread to end. The function of the thread waits on it between steps.
    """

    def __init__(self, name: str, run: Callable[[], object]) -> None:
        """Prepare the thread, which executes the function `run`."""
        self.stopping = threading.Event()
        self._name = name
        self._run = run
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread.

        Raises:
            RuntimeError: The system can't start another thread.
        """
        self._thread = start_thread(self._name, self._run)

    def request_stop(self) -> None:
        """Ask the thread to end without waiting for it. Any thread may call this."""
        self.stopping.set()

    def join(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s` seconds for the thread to end. Return whether it is not running."""
        if self._thread is None:
            return True
        self._thread.join(timeout_s)
        return not self._thread.is_alive()
