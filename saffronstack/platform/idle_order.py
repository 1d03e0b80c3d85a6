"""Client connections by how long they have been idle. No I/O, and no clock: times are passed in."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Protocol

MAX_STALE_ENTRIES = (
    64  # entries of removed connections that may stay, beside as many as there are connections
)


class ClientConnectionView(Protocol):
    """What is seen of a client connection when it is decided which one makes room."""

    accepted_s: float
    has_sent_data: bool  # whether its client ever sent anything
    is_over_limit: bool  # whether it is beyond the number of connections, and its calls are refused

    @property
    def idle(self) -> bool:
        """Whether no call is open, and no request half read."""

    def idle_since(self, now: float) -> float:
        """When it became idle; ``now`` where it is not."""

    def fileno(self) -> int:
        """The socket's descriptor."""

    def is_evictable(self) -> bool:
        """Whether nothing is open, half read or unread, or its client has ended it. Looks at its socket."""

    def is_closed_by_client(self) -> bool:
        """Whether its client has ended it, and nothing is unread. Looks at its socket."""


class _Entry:
    """A connection under a time that it has been idle since at the earliest."""

    def __init__(self, connection: ClientConnectionView) -> None:
        self.connection = connection
        self.since_s = connection.accepted_s
        self.removed = False

    def __lt__(self, other: _Entry) -> bool:
        return self.since_s < other.since_s


class IdleOrder:
    """A heap whose entries are put right only as they come first, since a busy connection is used more often
    than it is looked for.
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
        """Once for each connection; its times are asked of it from then on."""
        entry = _Entry(connection)
        self._entries[connection] = entry
        heapq.heappush(self._heap, entry)

    def remove(self, connection: ClientConnectionView) -> None:
        """It was closed."""
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
        """The longest idle one that can be closed, of those accepted and idle by then."""
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
        """The entry idle longest, under its true time, where that is no later."""
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
