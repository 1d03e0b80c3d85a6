"""The bound on open connections to all workers together."""

from __future__ import annotations

import threading


class ConnectionBudget:
    """Counts connections that are open or closing; any thread may call."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._lock = threading.Lock()  # guards the count
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Connections that are open or closing."""
        return self._in_use

    def try_acquire(self) -> bool:
        """Count one more connection; return False, counting none, where the budget is spent."""
        with self._lock:
            if self._in_use >= self.max_connections:
                return False
            self._in_use += 1
            return True

    def acquire_over_limit(self) -> None:
        """Count one more connection even over the limit: every worker may have one."""
        with self._lock:
            self._in_use += 1

    def release(self) -> None:
        """Count one connection fewer."""
        with self._lock:
            self._in_use -= 1
