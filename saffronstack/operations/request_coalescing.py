"""Safe operations, joined and answered again for as long as a bounded memory goes. No I/O.

Running one twice harms nobody, so nothing here is noted, owned or spooled, and each call pays a few
microseconds: a look at the start and one at the end. The oldest leave first.
"""

from __future__ import annotations

import threading
from collections import deque
from typing import Generic, Protocol, TypeVar

ENTRY_BYTES = 1600  # an entry with its answer's headers, beside the body (measured, rounded up)
T = TypeVar("T")
Key = tuple[str, str, str, str]  # tenant, function, qualifier, token


class Reply(Protocol):
    """An answer of any front."""

    @property
    def status(self) -> int:
        """Its status."""
        ...

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Its headers."""
        ...

    @property
    def body(self) -> bytes:
        """Its body."""
        ...


class Shared(Generic[T]):
    """A safe operation: open until it has an answer."""

    __slots__ = ("_waiters", "answer", "done", "key", "mark", "request_id", "since", "size", "until")

    def __init__(self, key: Key, mark: int, request_id: str, since: float) -> None:
        self.key = key
        self.size = 0
        self.mark = mark
        self.request_id = request_id
        self.since = since
        self.until = 0.0
        self.answer: T | None = None
        self.done: threading.Event | None = None  # made for the first that joins
        self._waiters = 0

    @property
    def waiters(self) -> int:
        """How many wait for it, besides the one that runs it."""
        return self._waiters


class Recent(Generic[T]):
    """Used from any thread; ``now`` is one clock's, in seconds."""

    def __init__(self, most_bytes: int) -> None:
        self._most = most_bytes
        self._entries: dict[Key, Shared[T]] = {}
        self._order: deque[Shared[T]] = deque()
        self._lock = threading.Lock()
        self.bytes = 0
        self.dropped_early = 0

    def __len__(self) -> int:
        return len(self._entries)

    def send(self, key: Key, mark: int, request_id: str, now: float) -> tuple[Shared[T], bool]:
        """The operation, and whether the send is its own to run. One that is open was joined: wait for its
        ``done`` and `part`; one with an answer has it."""
        with self._lock:
            entry = self._entries.get(key)
            if entry is not None and (entry.answer is None or entry.until > now):
                if entry.answer is None and entry.mark == mark:
                    if entry.done is None:
                        entry.done = threading.Event()
                    entry._waiters += 1
                return entry, False
            entry = self._entries[key] = Shared(key, mark, request_id, now)
            return entry, True

    def part(self, entry: Shared[T]) -> None:
        """One that joined waits no more."""
        with self._lock:
            entry._waiters -= 1

    def end(self, entry: Shared[T], answer: T | None, size: int, until: float, now: float) -> None:
        """It has its answer, or none that is worth keeping: then the next send runs it."""
        with self._lock:
            if answer is None:
                if self._entries.get(entry.key) is entry:
                    del self._entries[entry.key]
            else:
                entry.answer = answer
                entry.until = until
                entry.size = size = size + ENTRY_BYTES
                self.bytes += size
                order = self._order
                order.append(entry)
                while order and (self.bytes > self._most or order[0].until <= now):
                    known = order.popleft()
                    self.bytes -= known.size
                    self.dropped_early += known.until > now
                    if self._entries.get(known.key) is known:
                        del self._entries[known.key]
        if entry.done is not None:
            entry.done.set()

    def find(self, key: Key) -> Shared[T] | None:
        """What is known of one."""
        return self._entries.get(key)
