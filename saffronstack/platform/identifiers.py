"""Tracks the tags that a connection has used and the ids of this gateway's open requests."""

from __future__ import annotations

import threading

MAX_TAGS = 1024  # limit of used tags above the lowest unused tag of a connection


class UsedTags:
    """The tags that a connection has used.

    Clients mostly number their requests upwards. So only tags above the lowest unused one are stored, and
    their number is bounded.
    """

    def __init__(self) -> None:
        self._lowest_unused = 1  # every lower tag is used
        self._used_above: set[int] = set()

    def use(self, tag: int) -> bool:
        """Record a tag; return False if it was used before or too many tags are stored."""
        if tag < self._lowest_unused or tag in self._used_above or len(self._used_above) >= MAX_TAGS:
            return False
        self._used_above.add(tag)
        while self._lowest_unused in self._used_above:
            self._used_above.remove(self._lowest_unused)
            self._lowest_unused += 1
        return True


class OpenRequestIds:
    """Ids of the requests that are open at this gateway; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ids: set[str] = set()

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, request_id: str) -> bool:
        """Add the id of a new request; return False if a request with that id is open."""
        with self._lock:
            if request_id in self._ids:
                return False
            self._ids.add(request_id)
            return True

    def remove(self, request_id: str) -> None:
        """Remove the id of a request that has its final answer."""
        with self._lock:
            self._ids.discard(request_id)
