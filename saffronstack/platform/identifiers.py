"""Tracks the ids of the requests that are open at this gateway."""

from __future__ import annotations

import threading


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
