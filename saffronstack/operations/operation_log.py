"""The write-ahead log of operations: it records attempts before they are sent, and how operations ended.

The tags and the order of the fields are part of the format on disk.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal import Journal
from saffronstack.durable.journal_state import RecordCodec
from saffronstack.engine.possible_execution import (
    UNKNOWN_EXECUTION,
    PossibleExecution,
    keep_first_by_location,
)
from saffronstack.operations.operation import EncodedOperation, OperationRecord, OperationState
from saffronstack.operations.record_format import decode_record, encode_record
from saffronstack.routing.settings import Idempotency

IN_FLIGHT_SNAPSHOT_BYTES = 160  # estimated bytes of one in-flight operation in a snapshot
FINISHED_SNAPSHOT_BYTES = 60  # estimated bytes of one finished operation in a snapshot, without its record
RESET_SNAPSHOT_BYTES = 16  # estimated bytes of the `LogReset` record


class LogRecord(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """Base class of all log records."""


class LogReset(LogRecord, frozen=True, tag="s"):
    """Invalidates all earlier records; the first record of a snapshot."""


class AttemptStarted(LogRecord, frozen=True, tag="n"):
    """An attempt of an operation is about to be sent.

    In a log of an earlier version the record ends after ``sent_s``, and only the first attempt of an
    execution has one. It is written again in that form.

    Attributes:
        window_s: The length of the deduplication window.
        worker_id: The number of the worker.
        sent_s: When the attempt was decided on, in Unix seconds; no byte of it is sent earlier.
        zone: The name of the worker's zone at that time; empty if unknown.
        cell: The name of the worker's cell at that time; empty if unknown.
    """

    digest: bytes
    fingerprint: bytes
    idempotency: Idempotency
    request_id: str
    window_s: float
    worker_id: int
    sent_s: float
    zone: str = ""
    cell: str = ""

    @property
    def possible_execution(self) -> PossibleExecution:
        """The attempt without its operation."""
        return PossibleExecution(self.worker_id, self.sent_s, self.zone, self.cell)


class _AttemptWithoutLocation(LogRecord, frozen=True, tag="n"):
    """The form of `AttemptStarted` without zone and cell."""

    digest: bytes
    fingerprint: bytes
    idempotency: Idempotency
    request_id: str
    window_s: float
    worker_id: int
    sent_s: float


class OperationFinished(LogRecord, frozen=True, tag="e"):
    """An operation ended with a response, with an unknown outcome, or in a state that allows a retry.

    Attributes:
        record: The encoded `OperationRecord`.
        expires_s: The time at which its deduplication window ends, in Unix seconds.
    """

    digest: bytes
    record: bytes
    expires_s: float


class OperationReleased(LogRecord, frozen=True, tag="r"):
    """None of the attempts of an operation that are logged so far was executed.

    Attempts that may have been executed all the same are logged again after it, in the same commit.
    """

    digest: bytes


class OperationsExpired(LogRecord, frozen=True, tag="x"):
    """All operations whose deduplication window ended by ``now_s`` (Unix seconds) are removed."""

    now_s: float


AnyLogRecord = LogReset | AttemptStarted | OperationFinished | OperationReleased | OperationsExpired
_encode = msgspec.msgpack.Encoder().encode


def _encode_log_record(record: AnyLogRecord) -> bytes:
    if isinstance(record, AttemptStarted) and not (record.zone or record.cell):
        return _encode(
            _AttemptWithoutLocation(
                record.digest,
                record.fingerprint,
                record.idempotency,
                record.request_id,
                record.window_s,
                record.worker_id,
                record.sent_s,
            )
        )
    return _encode(record)


OPERATION_LOG_CODEC: RecordCodec[AnyLogRecord] = RecordCodec(
    _encode_log_record,
    msgspec.msgpack.Decoder(AnyLogRecord).decode,
    lambda record: isinstance(record, LogReset),
    "operations",
)


class OperationLogState:
    """The state that results from the records of a log. Owned by the journal's writer thread.

    Attributes:
        in_flight: The attempts of each operation in flight that may have been executed, by digest.
        finished: Finished operations by digest.
        in_doubt: Whether records were lost.
    """

    def __init__(self) -> None:
        self.in_flight: OrderedDict[bytes, list[AttemptStarted]] = OrderedDict()
        self.finished: OrderedDict[bytes, OperationFinished] = OrderedDict()
        self.in_doubt = False
        self._record_bytes = 0

    def apply(self, record: AnyLogRecord) -> None:
        """Update the state with the next record."""
        match record:
            case AttemptStarted():
                self.in_flight.setdefault(record.digest, []).append(record)
            case OperationFinished():
                self.in_flight.pop(record.digest, None)
                self._remove_finished(record.digest)
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
            self._remove_finished(digest)
        expired = [digest for digest, attempts in self.in_flight.items() if _window_end_s(attempts) <= now_s]
        for digest in expired:
            del self.in_flight[digest]

    def _remove_finished(self, digest: bytes) -> None:
        finished = self.finished.pop(digest, None)
        if finished is not None:
            self._record_bytes -= len(finished.record)

    def snapshot(self) -> Iterator[AnyLogRecord]:
        """Yield records that rebuild this state."""
        yield LogReset()
        yield from self.finished.values()
        for attempts in self.in_flight.values():
            yield from attempts

    def estimate_snapshot_bytes(self) -> int:
        """Return the estimated size of a snapshot in bytes."""
        return (
            IN_FLIGHT_SNAPSHOT_BYTES * sum(map(len, self.in_flight.values()))
            + FINISHED_SNAPSHOT_BYTES * len(self.finished)
            + self._record_bytes
            + RESET_SNAPSHOT_BYTES
        )

    def discard_replaced_files(self) -> None:
        """See `JournalState`; this state has no files of its own."""

    def mark_records_lost(self) -> None:
        """Mark each operation that could be executed again as possibly executed anywhere and at any time.

        A lost record may have told of an attempt at another worker.
        """
        self.in_doubt = True
        for attempts in self.in_flight.values():
            lost = UNKNOWN_EXECUTION
            attempts.insert(
                0,
                msgspec.structs.replace(
                    attempts[0], worker_id=lost.worker_id, sent_s=lost.sent_at, zone=lost.zone, cell=lost.cell
                ),
            )
        for digest, finished in self.finished.items():
            self.finished[digest] = self._with_unknown_execution(finished)

    def _with_unknown_execution(self, finished: OperationFinished) -> OperationFinished:
        record = decode_record(finished.record)
        if record.state is not OperationState.RETRYABLE:
            return finished
        executions = keep_first_by_location((*record.executions, UNKNOWN_EXECUTION))
        encoded = encode_record(msgspec.structs.replace(record, executions=executions))
        self._record_bytes += len(encoded) - len(finished.record)
        return msgspec.structs.replace(finished, record=encoded)

    def spill(self) -> tuple[AnyLogRecord, ...]:
        """Return no records to spill, as the memory limit of the operation table bounds this state too."""
        return ()

    def recovered_operations(self) -> Iterator[EncodedOperation]:
        """Yield the operations that the next process or slot holder must restore.

        An operation that was in flight may have been executed. It is retryable if workers deduplicate by its
        key; otherwise its outcome is unknown. If it was retryable before, the attempts of its earlier
        executions may have been executed as well. Each digest comes once.
        """
        for digest, finished in self.finished.items():
            if digest not in self.in_flight:
                yield digest, finished.record
        for digest, attempts in self.in_flight.items():
            last = self.finished.get(digest)
            if last is None or last.expires_s <= attempts[-1].sent_s:
                yield digest, encode_record(_record_after_crash(attempts, ()))
                continue
            record = decode_record(last.record)
            if record.state is OperationState.RETRYABLE:
                yield digest, encode_record(_record_after_crash(attempts, record.executions))
            else:  # the table had evicted a known response
                yield digest, last.record


def _window_end_s(attempts: list[AttemptStarted]) -> float:
    """Return the time at which an operation in flight expires, in Unix seconds."""
    return max(attempt.sent_s + attempt.window_s for attempt in attempts)


def _record_after_crash(
    attempts: list[AttemptStarted], earlier: tuple[PossibleExecution, ...]
) -> OperationRecord:
    """Return the record of an operation in flight, with the ``earlier`` attempts of other executions."""
    first = attempts[0]
    worker_deduplicates = first.idempotency is Idempotency.WITH_KEY
    executions = (*earlier, *(attempt.possible_execution for attempt in attempts))
    return OperationRecord(
        OperationState.RETRYABLE if worker_deduplicates else OperationState.OUTCOME_UNKNOWN,
        _window_end_s(attempts),
        first.fingerprint,
        first.request_id,
        first.idempotency,
        executions=keep_first_by_location(executions),
    )


OperationLog = Journal[AnyLogRecord, OperationLogState]


def open_operation_log(
    directory: str, segment_bytes: int, files: FileOperations | None = None
) -> OperationLog:
    """Lock a directory and recover the log that it contains.

    Raises:
        JournalError: Another process has locked the directory, or the log can't be read.
    """
    return Journal(directory, OperationLogState(), OPERATION_LOG_CODEC, segment_bytes, files)
