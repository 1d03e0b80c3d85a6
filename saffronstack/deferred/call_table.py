"""State that results from the ledger's records: open calls and a bounded history. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from saffronstack.deferred.records import (
    AttemptStarted,
    AttemptsVoided,
    CallAccepted,
    CallFinished,
    CallOperation,
    CallWithdrawn,
    LedgerRecord,
    SnapshotStart,
)
from saffronstack.engine.possible_execution import UNKNOWN_EXECUTION

MAX_OPERATIONS = 1_000_000  # the oldest operations beyond this number are removed
OPEN_CALL_OVERHEAD_BYTES = 512  # estimated size of an open call without its payload
FINAL_RECORD_OVERHEAD_BYTES = 128  # estimated size of a final record without its invocation record
OPERATION_BYTES = 200  # estimated size of an operation


@dataclass(slots=True)
class OpenCall:
    """An accepted call without a final record."""

    accepted: CallAccepted
    attempts: list[AttemptStarted] = field(default_factory=list)  # attempts that may have been executed

    @property
    def size_bytes(self) -> int:
        """Size in bytes that counts towards the limit on open calls."""
        return len(self.accepted.payload) + OPEN_CALL_OVERHEAD_BYTES


class CallTable:
    """Open calls, final records and the operations of calls.

    The ledger's writer thread changes the table. Other threads read single entries.
    """

    def __init__(self, max_finished: int) -> None:
        """Create an empty table that keeps the last ``max_finished`` final records."""
        self._max_finished = max_finished
        self.open: dict[str, OpenCall] = {}  # by request id
        self.finished: OrderedDict[str, CallFinished] = OrderedDict()  # by request id
        self.operations: OrderedDict[bytes, CallOperation] = OrderedDict()  # by digest
        self.open_bytes = 0

    def apply(self, record: LedgerRecord) -> None:
        """Apply the next record."""
        match record:
            case CallAccepted():
                self._accept(record)
            case CallOperation():
                self._store_operation(record, 0.0)
            case AttemptStarted():
                if record.request_id in self.open:
                    self.open[record.request_id].attempts.append(record)
            case AttemptsVoided():
                if record.request_id in self.open:
                    self.open[record.request_id].attempts.clear()
            case CallFinished():
                self._finish(record)
            case CallWithdrawn():
                self._withdraw(record)
            case SnapshotStart():
                self._clear()

    def discard_replaced_files(self) -> None:
        """See `JournalState`; this state has no files of its own."""

    def mark_records_lost(self) -> None:
        """Mark every open call as possibly executed by an unknown worker.

        No deduplication window covers that attempt, and no zone or cell is known to drop its repeats.
        """
        for call in self.open.values():
            lost = AttemptStarted.from_execution(call.accepted.request_id, UNKNOWN_EXECUTION)
            call.attempts.insert(0, lost)

    def estimate_snapshot_bytes(self) -> int:
        """Return the approximate size of a snapshot in bytes."""
        finished_bytes = sum(
            len(record.invocation_record) + FINAL_RECORD_OVERHEAD_BYTES for record in self.finished.values()
        )
        return self.open_bytes + finished_bytes + OPERATION_BYTES * len(self.operations)

    def spill(self) -> tuple[LedgerRecord, ...]:
        """Return no records: the open calls are limited at acceptance, so all state stays in memory."""
        return ()

    def snapshot(self) -> Iterator[LedgerRecord]:
        """Yield records that reproduce this state."""
        yield SnapshotStart(len(self.open), len(self.finished))
        yield from self.operations.values()
        yield from self.finished.values()
        for call in self.open.values():
            yield call.accepted
            yield from call.attempts

    def _accept(self, accepted: CallAccepted) -> None:
        if accepted.request_id in self.open or accepted.request_id in self.finished:
            return
        call = self.open[accepted.request_id] = OpenCall(accepted)
        self.open_bytes += call.size_bytes
        if accepted.operation_digest:
            operation = CallOperation(
                accepted.operation_digest,
                accepted.packed_operation,
                accepted.operation_expires_at,
                accepted.request_id,
            )
            self._store_operation(operation, accepted.accepted_at)

    def _store_operation(self, operation: CallOperation, now: float) -> None:
        self.operations[operation.operation_digest] = operation
        while self.operations:
            oldest = next(iter(self.operations.values()))
            if oldest.expires_at > now and len(self.operations) <= MAX_OPERATIONS:
                return
            del self.operations[oldest.operation_digest]

    def _finish(self, finished: CallFinished) -> None:
        """Store a call's final record. A second one is ignored, because the first one is the final answer."""
        # Stored before the open call is removed, so that readers find the call in one of the two tables.
        if finished.request_id not in self.finished:
            self.finished[finished.request_id] = finished
        self._close(finished.request_id)
        if len(self.finished) > self._max_finished:
            self.finished.popitem(last=False)

    def _withdraw(self, withdrawn: CallWithdrawn) -> None:
        call = self.open.get(withdrawn.request_id)
        if call is not None:
            operation = self.operations.get(call.accepted.operation_digest)
            if operation is not None and operation.request_id == withdrawn.request_id:
                del self.operations[operation.operation_digest]
        self._close(withdrawn.request_id)

    def _close(self, request_id: str) -> None:
        call = self.open.pop(request_id, None)
        if call is not None:
            self.open_bytes -= call.size_bytes

    def _clear(self) -> None:
        self.open.clear()
        self.finished.clear()
        self.operations.clear()
        self.open_bytes = 0
