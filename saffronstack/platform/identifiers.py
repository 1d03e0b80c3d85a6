"""Tracks the ids of the requests that are open at this gateway, and of those that may have run lately."""

from __future__ import annotations

import threading

MAX_RECENT_IDS = 32_768


class OpenRequestIds:
    """Ids of the requests that are open at this gateway; safe to use from any thread.

    The id of a request that may have run stays in use until the request's deadline, so that it does not run
    twice if it comes again. Beyond `MAX_RECENT_IDS` those that ended first are forgotten.
    """

    def __init__(self, max_recent: int = MAX_RECENT_IDS) -> None:
        self._max_recent = max_recent
        self._lock = threading.Lock()
        self._ids: set[str] = set()
        self._recent: dict[str, float] = {}  # end of use by id, the request that ended first at the front

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._ids)

    @property
    def recent_count(self) -> int:
        """Number of ids in use whose requests are no longer open."""
        return len(self._recent)

    def add(self, request_id: str, now: float) -> bool:
        """Add the id of a new request; return False if that id is in use."""
        with self._lock:
            if request_id in self._ids or self._recent.get(request_id, now) > now:
                return False
            self._ids.add(request_id)
            return True

    def remove(self, request_id: str, now: float, in_use_until_s: float) -> None:
        """Remove the id of a request that has its final answer.

        Args:
            request_id: The id.
            now: The present time.
            in_use_until_s: Time until which the id stays in use; ``now`` if the request never ran.
        """
        with self._lock:
            self._ids.discard(request_id)
            if in_use_until_s > now:
                self._recent[request_id] = in_use_until_s
            self._forget_recent(now)

    def _forget_recent(self, now: float) -> None:
        while self._recent:
            first = next(iter(self._recent))
            if self._recent[first] > now and len(self._recent) <= self._max_recent:
                return
            del self._recent[first]
