"""Records operations in the write-ahead log: each attempt before its first byte is sent."""

from __future__ import annotations

from saffronstack.operations.execution import Execution
from saffronstack.operations.operation_clock import OperationClock
from saffronstack.operations.operation_log import (
    AttemptStarted,
    OperationFinished,
    OperationLog,
    OperationReleased,
    OperationsExpired,
)


class OperationRecorder:
    """Appends to the operation log; does nothing if there is no log. Thread-safe."""

    def __init__(self, log: OperationLog | None, clock: OperationClock, commit_timeout_s: float) -> None:
        """Create a recorder.

        Args:
            log: The operation log; None if operations are stored in memory only.
            clock: The clock that dates the attempts.
            commit_timeout_s: How long an attempt waits for its record to become durable.
        """
        self._log = log
        self._clock = clock
        self._commit_timeout_s = commit_timeout_s

    def record_attempt(self, execution: Execution, worker_id: int) -> bool:
        """Log durably that an attempt is about to be sent; return False if it must not be sent."""
        log = self._log
        if log is None:
            return True
        ticket = execution.log_ticket
        if ticket is not None:
            return ticket.done.wait(self._commit_timeout_s) and ticket.is_durable
        if log.stalled_s > 0:
            return False  # the record would wait behind a commit that already hangs
        operation = execution.operation
        ticket = log.append(
            AttemptStarted(
                operation.digest,
                operation.fingerprint,
                operation.idempotency,
                operation.request_id,
                operation.window_s,
                worker_id,
                self._clock.now(),
            )
        )
        if not ticket.done.wait(self._commit_timeout_s) and ticket.revoke():
            return False
        if ticket.error is not None:
            return False
        execution.log_ticket = ticket  # the record will be written, so the operation's end must be logged too
        return ticket.done.wait(self._commit_timeout_s) and ticket.is_durable

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

    def may_send(self, attempt: int, worker_id: int) -> bool:
        """Return whether the attempt may be sent. Blocks until it is logged, for a bounded time."""
        execution = self._execution
        if execution.policy.is_logged and not self._recorder.record_attempt(execution, worker_id):
            return False
        return execution.try_mark_sent()
