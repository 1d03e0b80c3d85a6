"""The limit on open connections to all workers together."""

from __future__ import annotations

import threading


class ConnectionBudget:
    """Counts connections that are open or closing. Thread-safe."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._lock = threading.Lock()  # guards the count
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Number of connections that are open or closing."""
        return self._in_use

    def try_acquire(self) -> bool:
        """Count one more connection, or return False without counting it if the limit is reached."""
        with self._lock:
            if self._in_use >= self.max_connections:
                return False
            self._in_use += 1
            return True

    def acquire_over_limit(self) -> None:
        """Count one more connection even over the limit, as every worker may have one connection."""
        with self._lock:
            self._in_use += 1

    def release(self) -> None:
        """Remove one closed connection from the count."""
        with self._lock:
            self._in_use -= 1
