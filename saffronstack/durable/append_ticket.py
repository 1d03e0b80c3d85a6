"""Tickets that track appends to a journal."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Generic, TypeVar

RecordT = TypeVar("RecordT")


class AppendTicket(Generic[RecordT]):
    """Records queued for the writer thread; ``done`` is set once they are written, failed or revoked."""

    __slots__ = ("_state_lock", "done", "encoded", "error", "is_revoked", "is_started", "records")

    def __init__(self, records: tuple[RecordT, ...], encode: Callable[[RecordT], bytes]) -> None:
        """Encode the records on the appending thread."""
        self.records = records
        self.encoded = [encode(record) for record in records]
        self.error: OSError | None = None
        self.done = threading.Event()
        self.is_revoked = False
        self.is_started = False
        self._state_lock = threading.Lock()  # guards is_revoked and is_started

    def start_write(self) -> bool:
        """Claim the ticket for writing, on the writer thread; return False if it was revoked."""
        with self._state_lock:
            self.is_started = not self.is_revoked
            return self.is_started

    def revoke(self) -> bool:
        """Withdraw the append; return False if the writer thread has already started to write it."""
        with self._state_lock:
            self.is_revoked = not self.is_started
            return self.is_revoked

    def fail(self, error: OSError) -> None:
        """Complete the append with the error that its write failed with."""
        self.error = error
        self.done.set()

    @property
    def encoded_bytes(self) -> int:
        """Total size of the encoded records, in bytes."""
        return sum(map(len, self.encoded))

    @property
    def is_durable(self) -> bool:
        """Whether the records are on the disk."""
        return self.done.is_set() and self.error is None and not self.is_revoked
