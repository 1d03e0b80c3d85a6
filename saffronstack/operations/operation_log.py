"""The write-ahead log of operations: attempts before their first byte is sent, and how operations ended.

The tags and the order of the fields are data: they are the format on disk.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal import Journal
from saffronstack.durable.journal_state import RecordCodec
from saffronstack.operations.operation import EncodedOperation, OperationRecord, OperationState
from saffronstack.operations.record_format import encode_record
from saffronstack.routing.settings import Idempotency

IN_FLIGHT_SNAPSHOT_BYTES = 160  # of one operation in flight in a snapshot
FINISHED_SNAPSHOT_BYTES = 60  # of one finished operation, beside its record
RESET_SNAPSHOT_BYTES = 16


class LogRecord(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """Base of all records."""


class LogReset(LogRecord, frozen=True, tag="s"):
    """Makes all earlier records void; the first record of a snapshot."""


class AttemptStarted(LogRecord, frozen=True, tag="n"):
    """The first attempt of an operation is about to be sent.

    Attributes:
        sent_s: When, in Unix seconds.
    """

    digest: bytes
    fingerprint: bytes
    idempotency: Idempotency
    request_id: str
    window_s: float
    worker_id: int
    sent_s: float


class OperationFinished(LogRecord, frozen=True, tag="e"):
    """An operation has its response, an unknown outcome, or may be retried.

    Attributes:
        record: The encoded `OperationRecord`.
        expires_s: When its deduplication window ends, in Unix seconds.
    """

    digest: bytes
    record: bytes
    expires_s: float


class OperationReleased(LogRecord, frozen=True, tag="r"):
    """An operation whose attempt was logged was certainly not executed."""

    digest: bytes


class OperationsExpired(LogRecord, frozen=True, tag="x"):
    """Everything whose deduplication window ended by ``now_s`` (Unix seconds) is forgotten."""

    now_s: float


AnyLogRecord = LogReset | AttemptStarted | OperationFinished | OperationReleased | OperationsExpired
OPERATION_LOG_CODEC: RecordCodec[AnyLogRecord] = RecordCodec(
    msgspec.msgpack.Encoder().encode,
    msgspec.msgpack.Decoder(AnyLogRecord).decode,
    lambda record: isinstance(record, LogReset),
    "operations",
)


class OperationLogState:
    """What the records of a log add up to. Owned by the journal's writer thread.

    Attributes:
        in_flight: The first attempt of each operation in flight, by digest.
        finished: Finished operations by digest.
        in_doubt: Whether records were lost. An operation in flight has an unknown outcome with or without it.
    """

    def __init__(self) -> None:
        self.in_flight: OrderedDict[bytes, AttemptStarted] = OrderedDict()
        self.finished: OrderedDict[bytes, OperationFinished] = OrderedDict()
        self.in_doubt = False
        self._record_bytes = 0

    def apply(self, record: AnyLogRecord) -> None:
        """Apply one more record."""
        match record:
            case AttemptStarted():
                self.in_flight.setdefault(record.digest, record)  # the first attempt may have been executed
            case OperationFinished():
                self.in_flight.pop(record.digest, None)
                self._forget_finished(record.digest)
                self.finished[record.digest] = record
                self._record_bytes += len(record.record)
            case OperationReleased():
                self.in_flight.pop(record.digest, None)
            case OperationsExpired():
                self._expire(record.now_s)
            case LogReset():
                self.in_flight.clear()
                self.finished.clear()
                self._record_bytes = 0

    def _expire(self, now_s: float) -> None:
        for digest in [digest for digest, record in self.finished.items() if record.expires_s <= now_s]:
            self._forget_finished(digest)
        expired = [
            digest for digest, attempt in self.in_flight.items() if attempt.sent_s + attempt.window_s <= now_s
        ]
        for digest in expired:
            del self.in_flight[digest]

    def _forget_finished(self, digest: bytes) -> None:
        finished = self.finished.pop(digest, None)
        if finished is not None:
            self._record_bytes -= len(finished.record)

    def snapshot(self) -> Iterator[AnyLogRecord]:
        """Yield records that add up to this state."""
        yield LogReset()
        yield from self.finished.values()
        yield from self.in_flight.values()

    def estimate_snapshot_bytes(self) -> int:
        """Return the approximate size of a snapshot."""
        return (
            IN_FLIGHT_SNAPSHOT_BYTES * len(self.in_flight)
            + FINISHED_SNAPSHOT_BYTES * len(self.finished)
            + self._record_bytes
            + RESET_SNAPSHOT_BYTES
        )

    def mark_records_lost(self) -> None:
        """Note that records were lost."""
        self.in_doubt = True

    def spill(self) -> tuple[AnyLogRecord, ...]:
        """Return no records: the bound of the operation table bounds this state too."""
        return ()

    def recovered_operations(self) -> Iterator[EncodedOperation]:
        """Yield the operations that the next process or slot holder must know.

        One that was in flight may have been executed: it is retryable where workers recognise its key, else
        its outcome is unknown.
        """
        for digest, finished in self.finished.items():
            yield digest, finished.record
        for digest, attempt in self.in_flight.items():
            yield digest, encode_record(_record_after_crash(attempt))


def _record_after_crash(attempt: AttemptStarted) -> OperationRecord:
    worker_deduplicates = attempt.idempotency is Idempotency.WITH_KEY
    return OperationRecord(
        OperationState.RETRYABLE if worker_deduplicates else OperationState.OUTCOME_UNKNOWN,
        attempt.sent_s + attempt.window_s,
        attempt.fingerprint,
        attempt.request_id,
        attempt.idempotency,
        worker_id=attempt.worker_id,
        sent_s=attempt.sent_s,
    )


OperationLog = Journal[AnyLogRecord, OperationLogState]


def open_operation_log(
    directory: str, segment_bytes: int, files: FileOperations | None = None
) -> OperationLog:
    """Lock a directory and read its log.

    Raises:
        JournalError: Another process holds the directory, or the log can't be read.
    """
    return Journal(directory, OperationLogState(), OPERATION_LOG_CODEC, segment_bytes, files)
