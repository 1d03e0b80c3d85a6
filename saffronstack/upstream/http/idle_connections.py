"""A worker's open connections that carry no request, shared by the threads of its pool.

Responses of workers hold no request id. If a worker or a proxy in front of it sends a response twice, nothing
in the second copy tells to which request it belongs. A connection therefore carries no request for a while
after a response. Bytes that arrive during that time show that the connection can't be used again.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from saffronstack.upstream.http.connection import HttpConnection


class IdleConnection(NamedTuple):
    """A connection, and the clock time in seconds at which its last response was complete."""

    connection: HttpConnection
    idle_since_s: float


class IdleConnections:
    """Keeps connections open between requests, and limits the number of open connections. Thread-safe."""

    def __init__(
        self, max_connections: int, reuse_delay_s: float, idle_timeout_s: float, clock: Callable[[], float]
    ) -> None:
        """Create an empty set.

        Args:
            max_connections: Maximum number of open connections, idle and in use.
            reuse_delay_s: Time after a response during which its connection carries no request, in seconds.
            idle_timeout_s: Idle time after which a connection is closed, in seconds.
            clock: Monotonic time in seconds.
        """
        self.clock = clock
        self._max_connections = max_connections
        self._reuse_delay_s = reuse_delay_s
        self._idle_timeout_s = idle_timeout_s
        self._lock = threading.Lock()  # guards the fields below
        self._delayed: deque[IdleConnection] = deque()  # before the end of the reuse delay; oldest first
        self._ready: deque[IdleConnection] = deque()  # after it; oldest first
        self._used = 0  # connections that threads use or are about to open
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Number of connections, idle and in use."""
        with self._lock:
            return self._used + len(self._delayed) + len(self._ready)

    def take(self) -> HttpConnection | None:
        """Return the connection that was used last among those that may carry a request, or None.

        If there is none, the caller opens one, and the connection that has been idle longest is closed if the
        new one would exceed the limit. Either counts as in use until `put` or `forget_used`.
        """
        with self._lock:
            self._used += 1
        self.close_expired()
        while (connection := self._pop_ready()) is not None:
            if connection.is_reusable():
                return connection
            connection.close()
        self._close_excess()
        return None

    def put(self, connection: HttpConnection) -> None:
        """Return a connection that was in use and whose last response is complete."""
        now = self.clock()
        with self._lock:
            self._used -= 1
            is_kept = not self._is_closed
            if is_kept:
                self._delayed.append(IdleConnection(connection, now))
        if not is_kept:
            connection.close()

    def forget_used(self) -> None:
        """Count one connection less in use: it was closed, or it could not be opened."""
        with self._lock:
            self._used -= 1

    def close_expired(self) -> None:
        """Close the connections that have reached the idle timeout."""
        now = self.clock()
        expired: list[HttpConnection] = []
        with self._lock:
            while self._delayed and now - self._delayed[0].idle_since_s >= self._reuse_delay_s:
                self._ready.append(self._delayed.popleft())
            while self._ready and now - self._ready[0].idle_since_s >= self._idle_timeout_s:
                expired.append(self._ready.popleft().connection)
        _close_all(expired)

    def close(self) -> None:
        """Close all idle connections now, and those in use when they are returned."""
        with self._lock:
            self._is_closed = True
            unused = [idle.connection for idle in (*self._ready, *self._delayed)]
            self._ready.clear()
            self._delayed.clear()
        _close_all(unused)

    def _pop_ready(self) -> HttpConnection | None:
        """Remove and return the newest of the connections whose reuse delay is over, or None."""
        with self._lock:
            return self._ready.pop().connection if self._ready else None

    def _close_excess(self) -> None:
        """Close the oldest idle connections if the one that is about to be opened exceeds the limit."""
        excess: list[HttpConnection] = []
        with self._lock:
            while self._delayed and self._used + len(self._delayed) > self._max_connections:
                excess.append(self._delayed.popleft().connection)
        _close_all(excess)


def _close_all(connections: list[HttpConnection]) -> None:
    for connection in connections:
        connection.close()
