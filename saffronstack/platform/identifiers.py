"""Which tags a connection has used, and which request ids are open at this gateway."""

from __future__ import annotations

import threading

MAX_TAGS = 1024  # tags above the lowest unused one that a connection may have used


class UsedTags:
    """The tags that a connection has used; bounded, as tags mostly rise."""

    def __init__(self) -> None:
        self._lowest_unused = 1  # all under it are used
        self._used_above: set[int] = set()

    def use(self, tag: int) -> bool:
        """Note a tag; whether it is new and could be noted."""
        if tag < self._lowest_unused or tag in self._used_above or len(self._used_above) >= MAX_TAGS:
            return False
        self._used_above.add(tag)
        while self._lowest_unused in self._used_above:
            self._used_above.remove(self._lowest_unused)
            self._lowest_unused += 1
        return True


class OpenRequestIds:
    """Ids of the requests that are open at this gateway; any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ids: set[str] = set()

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, request_id: str) -> bool:
        """Note an id; False where it is open already."""
        with self._lock:
            if request_id in self._ids:
                return False
            self._ids.add(request_id)
            return True

    def remove(self, request_id: str) -> None:
        """Forget an id whose request has its final answer."""
        with self._lock:
            self._ids.discard(request_id)
