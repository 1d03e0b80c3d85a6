"""Chooses the order in which client connections are evicted. No I/O of its own, and no clock."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable

from saffronstack.platform.idle_order import ClientConnectionView, IdleOrder

# Seconds between two scans of all connections for those that their clients closed. A scan for each of some
# hundred new connections a second uses a whole CPU.
CLOSED_SCAN_INTERVAL_S = 0.02
# Minimum idle time in seconds before an eviction. By the protocol a client resends a request that crosses the
# close of its connection within this time.
IDLE_MIN_S = 0.05

FindClosed = Callable[[Iterable[ClientConnectionView]], Iterable[ClientConnectionView]]


class EvictionOrder:
    """Orders the idle connections for eviction.

    Connections that their clients closed go first. Silent connections, whose clients have not sent any byte,
    go next: a client that has a request sends it at once. The others follow. Within each group the longest
    idle connection goes first.
    """

    def __init__(self, silent_reserve: int = 1, find_closed: FindClosed = list) -> None:
        """Create an order without connections.

        Args:
            silent_reserve: Recently accepted connections that may be silent at one time.
            find_closed: Finds at low cost the connections that their clients may have closed.
        """
        self.scans = 0  # scans of all connections so far
        self._silent_reserve = silent_reserve
        self._find_closed = find_closed
        self._without_data: dict[
            ClientConnectionView, None
        ] = {}  # silent connections in the order of acceptance
        self._with_data = IdleOrder()
        self._closed_by_clients: deque[ClientConnectionView] = deque()
        self._scanned_s = -math.inf

    def __len__(self) -> int:
        return len(self._without_data) + len(self._with_data)

    def add(self, connection: ClientConnectionView) -> None:
        """Add a connection that was accepted."""
        self._without_data[connection] = None

    def touch(self, connection: ClientConnectionView) -> None:
        """Note that data was read from a connection."""
        if connection.has_sent_data and connection in self._without_data:
            del self._without_data[connection]
            self._with_data.add(connection)

    def remove(self, connection: ClientConnectionView) -> None:
        """Remove a connection that was closed."""
        self._without_data.pop(connection, None)
        self._with_data.remove(connection)

    def next_victim(self, now: float) -> ClientConnectionView | None:
        """Return the next connection to close, whatever its idle time; None if none may be closed."""
        return (
            self._next_closed(now)
            or self._oldest_silent(math.inf)
            or self._with_data.longest_idle(now, math.inf)
        )  # fmt: skip

    def next_idle_victim(self, now: float, overdue: bool) -> ClientConnectionView | None:
        """Return the next connection to close that is not in use; None if there is none.

        Recently accepted silent connections have `IDLE_MIN_S` to send data. Once silent connections fill the
        reserve, only they and connections closed by their clients are chosen. Then an ``overdue`` client
        evicts a silent one at once.
        """
        latest_s = now - IDLE_MIN_S
        if len(self._without_data) < self._silent_reserve:
            return (
                self._next_closed(now)
                or self._oldest_silent(latest_s)
                or self._with_data.longest_idle(now, latest_s)
            )
        return self._next_closed(now) or self._oldest_silent(math.inf if overdue else latest_s)

    def next_served_victim(self, now: float, accepted_by_s: float) -> ClientConnectionView | None:
        """Return the longest idle connection that has sent data and was accepted by ``accepted_by_s``."""
        return self._with_data.longest_idle(now, math.inf, accepted_by_s)

    def has_idle(self) -> bool:
        """Return whether any connection is idle, whatever its idle time."""
        return bool(self._without_data) or any(connection.idle for connection in self._with_data)

    def next_idle_s(self, now: float) -> float | None:
        """Return when the next connection will have been idle for `IDLE_MIN_S`, unless it is used again.

        Returns None if no connection is idle.
        """
        since_s = [connection.idle_since(now) for connection in self._with_data if connection.idle]
        since_s += [connection.accepted_s for connection in self._without_data]
        return min(since_s) + IDLE_MIN_S if since_s else None

    def _oldest_silent(self, latest_s: float) -> ClientConnectionView | None:
        for connection in self._without_data:
            if connection.accepted_s > latest_s:
                return None
            if connection.is_evictable():
                return connection
        return None

    def _next_closed(self, now: float) -> ClientConnectionView | None:
        if now - self._scanned_s >= CLOSED_SCAN_INTERVAL_S:
            self.scans += 1
            self._scanned_s = now
            self._closed_by_clients = deque(self._find_closed(self._with_data))
        while self._closed_by_clients:
            connection = self._closed_by_clients.popleft()
            if connection in self._with_data and connection.is_closed_by_client():
                return connection
        return None
