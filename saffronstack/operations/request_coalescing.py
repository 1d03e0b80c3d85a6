"""Coalescing and caching of idempotent requests. No I/O.

Executing an idempotent operation twice does no harm, so nothing of it is logged, owned by a slot or written
to a file, and a request pays two dictionary look-ups: one at its start, one at its end. The oldest responses
are evicted first.
"""

from __future__ import annotations

import threading
from collections import deque
from typing import Generic, NamedTuple, Protocol, TypeVar

ENTRY_OVERHEAD_BYTES = 1600  # of an entry with its response's headers, beside the body (measured, rounded up)


class CacheableResponse(Protocol):
    """A response of any front end."""

    @property
    def status(self) -> int:
        """The status code."""
        ...

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The header fields."""
        ...

    @property
    def body(self) -> bytes:
        """The body."""
        ...


ResponseT = TypeVar("ResponseT")


class CacheKey(NamedTuple):
    """What identifies an idempotent operation."""

    tenant: str
    function: str
    qualifier: str
    idempotency_key: str


class CacheEntry(Generic[ResponseT]):
    """An idempotent operation: in flight until it has a response.

    Attributes:
        size_bytes: Estimated memory, once it has a response.
        payload_hash: The same in all requests of the operation.
        request_id: The request that executes or executed it.
        started_s: When it was started, by the cache's clock.
        expires_s: When its response expires, by the cache's clock.
        done: Set at its end; made for the first request that waits for it.
    """

    __slots__ = (
        "_waiter_count",
        "done",
        "expires_s",
        "key",
        "payload_hash",
        "request_id",
        "response",
        "size_bytes",
        "started_s",
    )

    def __init__(self, key: CacheKey, payload_hash: int, request_id: str, started_s: float) -> None:
        self.key = key
        self.size_bytes = 0
        self.payload_hash = payload_hash
        self.request_id = request_id
        self.started_s = started_s
        self.expires_s = 0.0
        self.response: ResponseT | None = None
        self.done: threading.Event | None = None
        self._waiter_count = 0

    @property
    def waiter_count(self) -> int:
        """How many requests wait for it, besides the one that executes it."""
        return self._waiter_count


class CoalescingCache(Generic[ResponseT]):
    """A cache of responses by operation, with a bound on memory. Thread-safe.

    Attributes:
        memory_bytes: Estimated memory of all responses.
        evicted_early: Responses that were evicted before they expired.
    """

    def __init__(self, memory_limit_bytes: int) -> None:
        self._memory_limit_bytes = memory_limit_bytes
        self._lock = threading.Lock()  # guards all below, and the entries' waiters
        self._entries: dict[CacheKey, CacheEntry[ResponseT]] = {}
        self._by_age: deque[CacheEntry[ResponseT]] = deque()
        self.memory_bytes = 0
        self.evicted_early = 0

    def __len__(self) -> int:
        return len(self._entries)

    def join_or_start(
        self, key: CacheKey, payload_hash: int, request_id: str, now: float
    ) -> tuple[CacheEntry[ResponseT], bool]:
        """Return a request's operation, and whether the request is the one to execute it.

        An operation in flight with the same payload is joined: wait for its ``done``, then call `leave`. One
        with a response is in the cache.
        """
        with self._lock:
            entry = self._entries.get(key)
            if entry is not None and (entry.response is None or entry.expires_s > now):
                if entry.response is None and entry.payload_hash == payload_hash:
                    if entry.done is None:
                        entry.done = threading.Event()
                    entry._waiter_count += 1
                return entry, False
            entry = self._entries[key] = CacheEntry(key, payload_hash, request_id, now)
            return entry, True

    def leave(self, entry: CacheEntry[ResponseT]) -> None:
        """Stop waiting for an operation that was joined."""
        with self._lock:
            entry._waiter_count -= 1

    def complete(
        self,
        entry: CacheEntry[ResponseT],
        response: ResponseT | None,
        body_bytes: int,
        expires_s: float,
        now: float,
    ) -> None:
        """End an operation with a response to cache, or with None: then the next request executes it."""
        with self._lock:
            if response is None:
                self._remove(entry)
            else:
                entry.response = response
                entry.expires_s = expires_s
                entry.size_bytes = body_bytes + ENTRY_OVERHEAD_BYTES
                self.memory_bytes += entry.size_bytes
                self._by_age.append(entry)
                self._evict(now)
        if entry.done is not None:
            entry.done.set()

    def find(self, key: CacheKey) -> CacheEntry[ResponseT] | None:
        """Return what is known of an operation."""
        return self._entries.get(key)

    def _evict(self, now: float) -> None:
        """Remove the oldest responses while they are expired or memory is over its limit."""
        by_age = self._by_age
        while by_age and (self.memory_bytes > self._memory_limit_bytes or by_age[0].expires_s <= now):
            oldest = by_age.popleft()
            self.memory_bytes -= oldest.size_bytes
            self.evicted_early += oldest.expires_s > now
            self._remove(oldest)

    def _remove(self, entry: CacheEntry[ResponseT]) -> None:
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
