"""Records operations in the write-ahead log: each attempt before its first byte is sent."""

from __future__ import annotations

from collections.abc import Sequence

from saffronstack.engine.possible_execution import ExecutionConverter, keep_first_by_location
from saffronstack.operations.execution import Execution
from saffronstack.operations.operation_log import (
    AnyLogRecord,
    AttemptStarted,
    OperationFinished,
    OperationLog,
    OperationReleased,
    OperationsExpired,
)
from saffronstack.routing.events import PriorAttempt


class OperationRecorder:
    """Appends to the operation log; does nothing if there is no log. Thread-safe."""

    def __init__(
        self, log: OperationLog | None, converter: ExecutionConverter, commit_timeout_s: float
    ) -> None:
        """Create a recorder.

        Args:
            log: The operation log; None if operations are stored in memory only.
            converter: Converts attempts to the stored form.
            commit_timeout_s: How long an attempt waits for its record to become durable.
        """
        self._log = log
        self._converter = converter
        self._commit_timeout_s = commit_timeout_s

    def record_attempt(self, execution: Execution, attempts: Sequence[PriorAttempt]) -> bool:
        """Log durably that an attempt is about to be sent; return False if it must not be sent.

        The same commit removes attempts that were logged earlier and certainly were not executed.

        Args:
            execution: The execution of the operation.
            attempts: See `AttemptGuard.may_send`.
        """
        log = self._log
        if log is None:
            return True
        if log.stalled_s > 0:
            return False  # the record would wait behind a commit that already hangs
        ticket = log.append(*self._attempt_records(execution, attempts))
        if not ticket.done.wait(self._commit_timeout_s) and ticket.revoke():
            return False
        if ticket.error is not None:
            return False
        execution.log_ticket = ticket  # the record will be written, so the operation's end must be logged too
        return ticket.done.wait(self._commit_timeout_s) and ticket.is_durable

    def _attempt_records(self, execution: Execution, attempts: Sequence[PriorAttempt]) -> list[AnyLogRecord]:
        """Return the records that leave an operation with these attempts alone."""
        operation = execution.operation
        *earlier, started = self._converter.to_stored(attempts)
        records: list[AnyLogRecord] = [
            AttemptStarted(
                operation.digest,
                operation.fingerprint,
                operation.idempotency,
                operation.request_id,
                operation.window_s,
                possible.worker_id,
                possible.sent_at,
                possible.zone,
                possible.cell,
            )
            for possible in (*keep_first_by_location(earlier), started)
        ]
        is_first = execution.log_ticket is None and operation.previous is None
        return records if is_first else [OperationReleased(operation.digest), *records]

    def record_finish(self, execution: Execution, record: bytes, now: float) -> None:
        """Log the encoded record of an operation that ended, if its attempt was logged."""
        if self._log is not None and execution.log_ticket is not None:
            operation = execution.operation
            self._log.append(OperationFinished(operation.digest, record, now + operation.window_s))

    def record_release(self, execution: Execution) -> None:
        """Log that an operation was not executed, if its attempt was logged."""
        if self._log is not None and execution.log_ticket is not None:
            self._log.append(OperationReleased(execution.operation.digest))

    def record_expiry(self, now: float) -> None:
        """Log that all operations that expired by ``now`` are removed."""
        if self._log is not None:
            self._log.append(OperationsExpired(now))


class RecordingAttemptGuard:
    """An `AttemptGuard` that marks an execution as sent, and logs the attempt if the policy requires it."""

    def __init__(self, recorder: OperationRecorder, execution: Execution) -> None:
        self._recorder = recorder
        self._execution = execution

    def may_send(self, attempts: Sequence[PriorAttempt]) -> bool:
        """Return whether the attempt may be sent. Blocks until it is logged, for a bounded time."""
        execution = self._execution
        if execution.policy.is_logged and not self._recorder.record_attempt(execution, attempts):
            return False
        return execution.try_mark_sent()
