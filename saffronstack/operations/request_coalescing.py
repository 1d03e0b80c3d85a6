"""Coalescing and caching of idempotent requests. No I/O.

Executing an idempotent operation twice does no harm, so these operations have no log records, no slot and no
files. A request costs two dictionary look-ups, one at its start and one at its end. The oldest responses are
evicted first.
"""

from __future__ import annotations

import threading
from collections import deque
from typing import Generic, NamedTuple, Protocol, TypeVar

ENTRY_OVERHEAD_BYTES = 1600  # memory of an entry with its response headers, without the body


class CacheableResponse(Protocol):
    """A response of any API of the gateway that the cache can store."""

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
    """The fields that together identify an idempotent operation."""

    tenant: str
    function: str
    qualifier: str
    idempotency_key: str


class CacheEntry(Generic[ResponseT]):
    """An idempotent operation, which is in flight until it has a response.

    Attributes:
        size_bytes: Estimated memory in bytes, once it has a response.
        payload_hash: The hash of the payload, equal in all requests of the operation.
        request_id: The id of the request that executes or executed the operation.
        started_s: The time at which the execution started, by the cache's clock.
        expires_s: The time at which the response expires, by the cache's clock.
        done: The event that is set when the operation ends. The first request that waits creates it.
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
        """The number of requests that wait for the response, without the one that executes the operation."""
        return self._waiter_count


class CoalescingCache(Generic[ResponseT]):
    """A cache of responses by operation, with a memory limit. Thread-safe.

    Attributes:
        memory_bytes: Estimated memory of all responses in bytes.
        evicted_early: Number of responses that were evicted before they expired.
    """

    def __init__(self, memory_limit_bytes: int) -> None:
        self._memory_limit_bytes = memory_limit_bytes
        self._lock = threading.Lock()  # guards the fields below and the waiter counts of the entries
        self._entries: dict[CacheKey, CacheEntry[ResponseT]] = {}
        self._by_age: deque[CacheEntry[ResponseT]] = deque()
        self.memory_bytes = 0
        self.evicted_early = 0

    def __len__(self) -> int:
        return len(self._entries)

    def join_or_start(
        self, key: CacheKey, payload_hash: int, request_id: str, now: float
    ) -> tuple[CacheEntry[ResponseT], bool]:
        """Return the operation of a request, and whether this request must execute it.

        If the operation is in flight with the same payload, the request joins it: the caller waits for
        ``done`` and then calls `leave`. If the operation has a response, the request can use it at once. An
        operation with another payload is returned without being joined.
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
        """Remove one waiting request from an operation that it joined."""
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
        """End an operation and cache its response; if it is None, the next request executes again."""
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
        """Return the entry of an operation, expired or not; None if there is none."""
        return self._entries.get(key)

    def _evict(self, now: float) -> None:
        """Remove the oldest responses while they are expired or the memory limit is exceeded."""
        by_age = self._by_age
        while by_age and (self.memory_bytes > self._memory_limit_bytes or by_age[0].expires_s <= now):
            oldest = by_age.popleft()
            self.memory_bytes -= oldest.size_bytes
            self.evicted_early += oldest.expires_s > now
            self._remove(oldest)

    def _remove(self, entry: CacheEntry[ResponseT]) -> None:
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
