"""Orders client connections by idle time. No I/O and no clock: times are passed in."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Protocol

# Heap entries of removed connections that are kept, in addition to one for each connection, before the heap
# is compacted.
MAX_STALE_ENTRIES = 64


class ClientConnectionView(Protocol):
    """The properties of a client connection that decide which connection is evicted."""

    accepted_s: float
    has_sent_data: bool  # whether its client has sent any byte
    is_over_limit: bool  # whether it is beyond the connection limit, so that its calls are rejected

    @property
    def idle(self) -> bool:
        """Whether no call is open and no request is partly read."""

    def idle_since(self, now: float) -> float:
        """Return when it became idle; ``now`` if it is not idle."""

    def fileno(self) -> int:
        """Return the socket's file descriptor."""

    def is_evictable(self) -> bool:
        """Return whether it can be closed: its client closed it, or nothing is open, partly read or unread.

        Reads the state of the socket.
        """

    def is_closed_by_client(self) -> bool:
        """Return whether its client has closed it and nothing is unread. Reads the state of the socket."""


class _Entry:
    """A connection with a lower bound of the time at which it became idle."""

    def __init__(self, connection: ClientConnectionView) -> None:
        self.connection = connection
        self.since_s = connection.accepted_s
        self.removed = False

    def __lt__(self, other: _Entry) -> bool:
        return self.since_s < other.since_s


class IdleOrder:
    """A heap of connections by the time at which they became idle.

    The time of an entry is corrected only when the entry reaches the head: a busy connection is used more
    often than the heap is searched.
    """

    def __init__(self) -> None:
        self._entries: dict[ClientConnectionView, _Entry] = {}
        self._heap: list[_Entry] = []

    def __contains__(self, connection: ClientConnectionView) -> bool:
        return connection in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[ClientConnectionView]:
        return iter(self._entries)

    def add(self, connection: ClientConnectionView) -> None:
        """Add a connection, once; its idle time is read from it at each search."""
        entry = _Entry(connection)
        self._entries[connection] = entry
        heapq.heappush(self._heap, entry)

    def remove(self, connection: ClientConnectionView) -> None:
        """Remove a connection that was closed."""
        entry = self._entries.pop(connection, None)
        if entry is None:
            return
        entry.removed = True
        if len(self._heap) > 2 * len(self._entries) + MAX_STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if not entry.removed]
            heapq.heapify(self._heap)

    def longest_idle(
        self, now: float, latest_s: float, accepted_by_s: float = math.inf
    ) -> ClientConnectionView | None:
        """Return the longest idle connection that can be closed.

        Args:
            now: The present time.
            latest_s: Only connections that were idle by then.
            accepted_by_s: Only connections that were accepted by then.
        """
        skipped: list[_Entry] = []
        found = None
        while found is None and (entry := self._longest_idle_entry(now, latest_s)) is not None:
            if entry.connection.accepted_s <= accepted_by_s and entry.connection.is_evictable():
                found = entry.connection
            else:
                skipped.append(heapq.heappop(self._heap))
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found

    def _longest_idle_entry(self, now: float, latest_s: float) -> _Entry | None:
        """Return the entry that has been idle longest, with its time corrected, if idle by ``latest_s``."""
        while self._heap and self._heap[0].since_s <= latest_s:
            entry = self._heap[0]
            if entry.removed:
                heapq.heappop(self._heap)
                continue
            since_s = entry.connection.idle_since(now)
            if since_s <= entry.since_s:
                return entry
            entry.since_s = since_s
            heapq.heapreplace(self._heap, entry)
        return None
