"""Stores the result of an execution in the operation table and in the operation log."""

from __future__ import annotations

import threading

from saffronstack.engine.possible_execution import ExecutionConverter
from saffronstack.operations.execution import Completed, Execution, NotCompleted
from saffronstack.operations.operation import OperationState, StoredResponse
from saffronstack.operations.operation_clock import OperationClock
from saffronstack.operations.operation_recorder import OperationRecorder
from saffronstack.operations.operation_table import OperationTable
from saffronstack.operations.response_store import ResponseStore, move_large_body
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency


class ExecutionFinisher:
    """Finishes each execution on the thread of the request that executed it. Thread-safe."""

    def __init__(
        self,
        table: OperationTable,
        table_lock: threading.Lock,
        clock: OperationClock,
        converter: ExecutionConverter,
        recorder: OperationRecorder,
        response_store: ResponseStore | None,
        max_inline_response_bytes: int,
    ) -> None:
        """Create a finisher; ``table_lock`` guards ``table``."""
        self._table = table
        self._table_lock = table_lock
        self._clock = clock
        self._converter = converter
        self._recorder = recorder
        self._response_store = response_store
        self._max_inline_response_bytes = max_inline_response_bytes

    def finish(self, execution: Execution, outcome: Completed | NotCompleted | None) -> None:
        """Store how an execution ended; ``outcome`` is None if the execution raised an exception."""
        is_idempotent = execution.policy.idempotency is Idempotency.IDEMPOTENT
        match outcome:
            case Completed():
                if outcome.is_outcome_unknown and is_idempotent:
                    self._release(execution)  # a retry may execute an idempotent operation again
                else:
                    self._complete(execution, outcome)
            case NotCompleted(_, prior_attempts, attempt_in_flight_until_s):
                if not prior_attempts or is_idempotent:
                    self._release(execution)
                else:
                    self._mark_retryable(execution, prior_attempts, attempt_in_flight_until_s)
            case None:
                if execution.has_sent and not is_idempotent:  # the attempt may have had an effect
                    self._store_final_state(execution, OperationState.OUTCOME_UNKNOWN, None)
                else:
                    self._release(execution)

    def _complete(self, execution: Execution, completed: Completed) -> None:
        response = move_large_body(
            self._response_store,
            completed.response,
            execution.operation.digest.hex(),
            self._max_inline_response_bytes,
        )
        is_unknown = completed.is_outcome_unknown
        state = OperationState.OUTCOME_UNKNOWN if is_unknown else OperationState.COMPLETED
        self._store_final_state(execution, state, response)

    def _mark_retryable(
        self,
        execution: Execution,
        prior_attempts: tuple[PriorAttempt, ...],
        attempt_in_flight_until_s: float,
    ) -> None:
        in_flight_until_s = (
            self._clock.to_unix(attempt_in_flight_until_s) if attempt_in_flight_until_s else 0.0
        )
        executions = self._converter.to_stored(prior_attempts)
        with self._table_lock:
            now = self._clock.now()
            record = self._table.mark_retryable(execution.operation, executions, now, in_flight_until_s)
        self._recorder.record_finish(execution, record, now)

    def _store_final_state(
        self, execution: Execution, state: OperationState, response: StoredResponse | None
    ) -> None:
        with self._table_lock:
            now = self._clock.now()
            record = self._table.complete(execution.operation, state, response, now)
        self._recorder.record_finish(execution, record, now)

    def _release(self, execution: Execution) -> None:
        with self._table_lock:
            is_removed = self._table.release(execution.operation)
        if is_removed:
            self._recorder.record_release(execution)
