"""Reads the leases periodically after a daemon starts, until a majority of lease servers responds."""

from __future__ import annotations

import threading
from collections.abc import Callable

from saffronstack.fleet.leases.quorum_read import QuorumRead
from saffronstack.runtime.threads import start_thread

READ_INTERVAL_S = 1.0


class LeaseObserver:
    """Thread that reads the leases and reports each result."""

    def __init__(self, read: Callable[[], QuorumRead], report: Callable[[QuorumRead], None]) -> None:
        """Create the thread, which passes each result of ``read``, a bounded call, to ``report``."""
        self._read, self._report = read, report
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = start_thread("lease-observer", self._run)

    def stop(self) -> None:
        """Stop reading without waiting for the thread; may be called from any thread."""
        self._stopping.set()

    def join(self, timeout_s: float) -> None:
        """Wait until the thread has ended, for ``timeout_s`` seconds at most."""
        if self._thread is not None:
            self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._report(self._read())
            self._stopping.wait(READ_INTERVAL_S)
