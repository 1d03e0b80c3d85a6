"""The table of operations, which decides on each request within a memory limit. No I/O and no clock.

An operation is in flight from its first request until its execution ends. The table then stores its encoded
record until its deduplication window ends. When the memory limit is exceeded, the completed operation that
expires first is evicted. Operations that are in flight, retryable or have an unknown outcome are never
evicted. If none can be evicted, new operations that are not idempotent are rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from saffronstack.engine.possible_execution import PossibleExecution, keep_first_by_location
from saffronstack.operations.decisions import Coalesce, Decision, Execute, FingerprintMismatch, Reject, Replay
from saffronstack.operations.expiry_queue import ExpiryQueue
from saffronstack.operations.operation import (
    EncodedOperation,
    InFlightOperation,
    OperationRecord,
    OperationState,
    StoredResponse,
)
from saffronstack.operations.record_format import decode_record, encode_record
from saffronstack.routing.settings import Idempotency

# Bytes of an entry in addition to its encoded record: dictionary, key and expiry queue.
RECORD_OVERHEAD_BYTES = 330
IN_FLIGHT_BYTES = 1200  # of one operation in flight
EXPIRY_INTERVAL_S = 0.5  # between two removals of expired operations
RETRY_AFTER_IN_FLIGHT_S = 1.0  # if operations in flight use all memory: one may end at any time
MIN_RETRY_AFTER_S = 0.1


class OperationTable:
    """Operations by digest. Not thread-safe: the owner must hold a lock during each call.

    Attributes:
        memory_bytes: Estimated memory of all entries in bytes.
        evicted_early: Number of completed operations that were evicted before their window ended.
    """

    def __init__(self, memory_limit_bytes: int) -> None:
        self._memory_limit_bytes = memory_limit_bytes
        self._entries: dict[bytes, InFlightOperation | bytes] = {}
        self._evictable = ExpiryQueue()  # the completed operations
        self._retained = ExpiryQueue()  # operations that are retryable or have an unknown outcome
        self._next_expiry_s = 0.0
        self.memory_bytes = 0
        self.evicted_early = 0

    def __len__(self) -> int:
        return len(self._entries)

    def admit(
        self,
        digest: bytes,
        fingerprint: bytes,
        idempotency: Idempotency,
        window_s: float,
        request_id: str,
        now: float,
    ) -> Decision:
        """Decide on a request.

        After `Execute` the operation is in flight until `complete`, `mark_retryable` or `release` ends it.
        """
        if now >= self._next_expiry_s:
            self.expire(now)
        entry = self._entries.get(digest)
        if isinstance(entry, InFlightOperation):
            if entry.fingerprint != fingerprint:
                return FingerprintMismatch(entry.request_id)
            return Coalesce(entry)
        previous = None
        if entry is not None:
            record = decode_record(entry)
            if record.fingerprint != fingerprint:
                return FingerprintMismatch(record.request_id)
            if record.expires_s > now:  # an expired record may not have been removed yet
                if record.state is not OperationState.RETRYABLE:
                    return Replay(record)
                previous = record
            self._remove(digest, entry)
        if not self._make_capacity(idempotency):
            if entry is not None:
                self._insert(digest, entry)
            return Reject(self._retry_after_s(now))
        if previous is not None:
            request_id = previous.request_id
        operation = InFlightOperation(digest, fingerprint, idempotency, window_s, request_id, now, previous)
        if self.memory_bytes + IN_FLIGHT_BYTES <= self._memory_limit_bytes:
            self._insert(digest, operation)  # otherwise it is idempotent, and is executed without an entry
        return Execute(operation)

    def complete(
        self, operation: InFlightOperation, state: OperationState, response: StoredResponse | None, now: float
    ) -> bytes:
        """End an operation that has a response or an unknown outcome; return its encoded record."""
        record = OperationRecord(
            state,
            now + operation.window_s,
            operation.fingerprint,
            operation.request_id,
            operation.idempotency,
            response,
        )
        return self._replace_with_record(operation, record)

    def mark_retryable(
        self,
        operation: InFlightOperation,
        executions: tuple[PossibleExecution, ...],
        now: float,
        attempt_in_flight_until_s: float = 0.0,
    ) -> bytes:
        """End an operation that was rejected but may have been executed; return its encoded record.

        Args:
            operation: The operation.
            executions: The attempts that may have been executed. Those of earlier executions are added.
            now: Current time.
            attempt_in_flight_until_s: The time until which an attempt may be in flight.
        """
        if operation.previous is not None:
            executions = (*operation.previous.executions, *executions)
        record = OperationRecord(
            OperationState.RETRYABLE,
            now + operation.window_s,
            operation.fingerprint,
            operation.request_id,
            operation.idempotency,
            executions=keep_first_by_location(executions),
            attempt_in_flight_until_s=attempt_in_flight_until_s,
        )
        return self._replace_with_record(operation, record)

    def release(self, operation: InFlightOperation) -> bool:
        """End an operation that was not executed; return whether the table no longer has an entry for it.

        If an earlier attempt may have been executed, the record of that attempt is restored.
        """
        if self._entries.get(operation.digest) is not operation:
            return True
        if operation.previous is not None:
            self._replace_with_record(operation, operation.previous)
            return False
        self._remove(operation.digest, operation)
        return True

    def restore(self, digest: bytes, encoded: bytes) -> None:
        """Add the record of an earlier process or slot holder, unless the table already has an entry."""
        if digest not in self._entries:
            self._insert(digest, encoded)
            record = decode_record(encoded)
            self._queue_for(record.state).add(0.0, record.expires_s, digest)

    def extract(self, matches: Callable[[bytes], bool]) -> list[EncodedOperation]:
        """Remove and return the operations whose digest matches and that are not in flight."""
        extracted = [
            (digest, entry)
            for digest, entry in self._entries.items()
            if isinstance(entry, bytes) and matches(digest)
        ]
        for digest, entry in extracted:
            self._remove(digest, entry)
        return extracted

    def find(self, digest: bytes) -> InFlightOperation | OperationRecord | None:
        """Return an operation that is in flight or the record of one that ended; None if it is not stored."""
        entry = self._entries.get(digest)
        return decode_record(entry) if isinstance(entry, bytes) else entry

    def expire(self, now: float) -> None:
        """Remove all operations whose window has ended."""
        self._next_expiry_s = now + EXPIRY_INTERVAL_S
        for queue in (self._evictable, self._retained):
            for expires_s, digest in queue.pop_expired(now):
                self._remove_expired(digest, expires_s)

    def counts(self) -> Iterator[tuple[str, int]]:
        """Yield the number of operations by state, each with the last part of its metric's name."""
        retained, completed = len(self._retained), len(self._evictable)
        yield "unknown_or_again", retained
        yield "ended", completed
        yield "open", max(0, len(self._entries) - retained - completed)

    def _replace_with_record(self, operation: InFlightOperation, record: OperationRecord) -> bytes:
        digest, encoded = operation.digest, encode_record(record)
        if self._entries.get(digest) is operation:
            self._remove(digest, operation)
            self._insert(digest, encoded)
            self._queue_for(record.state).add(operation.window_s, record.expires_s, digest)
            self._evict()
        return encoded

    def _queue_for(self, state: OperationState) -> ExpiryQueue:
        return self._evictable if state is OperationState.COMPLETED else self._retained

    def _insert(self, digest: bytes, entry: InFlightOperation | bytes) -> None:
        self._entries[digest] = entry
        self.memory_bytes += _size_bytes(entry)

    def _remove(self, digest: bytes, entry: InFlightOperation | bytes) -> None:
        del self._entries[digest]
        self.memory_bytes -= _size_bytes(entry)

    def _remove_expired(self, digest: bytes, expires_s: float) -> bool:
        """Remove a queue entry's record unless a newer one replaced it; return whether it was removed."""
        entry = self._entries.get(digest)
        if not isinstance(entry, bytes) or decode_record(entry).expires_s != expires_s:
            return False
        self._remove(digest, entry)
        return True

    def _evict(self, needed_bytes: int = 0) -> None:
        """Evict completed operations until ``needed_bytes`` more fit within the limit, or none is left."""
        while self.memory_bytes + needed_bytes > self._memory_limit_bytes:
            earliest = self._evictable.pop_earliest()
            if earliest is None:
                return
            expires_s, digest = earliest
            self.evicted_early += self._remove_expired(digest, expires_s)

    def _make_capacity(self, idempotency: Idempotency) -> bool:
        """Evict operations to make capacity for one more; return whether the new one may be executed.

        An idempotent operation may always be executed, because it needs no entry.
        """
        self._evict(IN_FLIGHT_BYTES)
        fits = self.memory_bytes + IN_FLIGHT_BYTES <= self._memory_limit_bytes
        return fits or idempotency is Idempotency.IDEMPOTENT

    def _retry_after_s(self, now: float) -> float:
        """Return the seconds until enough retained operations expire to store one more."""
        missing_bytes = self.memory_bytes + IN_FLIGHT_BYTES - self._memory_limit_bytes
        for expires_s, digest in self._retained:
            entry = self._entries.get(digest)
            if isinstance(entry, bytes):
                missing_bytes -= _size_bytes(entry)
                if missing_bytes <= 0:
                    return max(MIN_RETRY_AFTER_S, expires_s - now)
        return RETRY_AFTER_IN_FLIGHT_S


def _size_bytes(entry: InFlightOperation | bytes) -> int:
    return IN_FLIGHT_BYTES if isinstance(entry, InFlightOperation) else RECORD_OVERHEAD_BYTES + len(entry)
