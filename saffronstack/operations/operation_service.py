"""Executes operations with deduplication, coalescing and replay, for every API of the gateway."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from saffronstack.durable.errors import JournalError
from saffronstack.engine.localities import LocalityNumbers
from saffronstack.engine.possible_execution import (
    LONG_AGO,
    UNKNOWN_WORKER_ID,
    ExecutionConverter,
    PossibleExecution,
)
from saffronstack.operations.decisions import Coalesce, Decision, Execute, FingerprintMismatch, Reject, Replay
from saffronstack.operations.errors import (
    FingerprintMismatchError,
    OperationTableFullError,
    OutcomeUnknownError,
    SlotNotHeldError,
)
from saffronstack.operations.execution import Completed, ExecuteOperation, Execution, NotCompleted
from saffronstack.operations.execution_finisher import ExecutionFinisher
from saffronstack.operations.operation import (
    EncodedOperation,
    InFlightOperation,
    OperationRecord,
    OperationState,
    StoredResponse,
)
from saffronstack.operations.operation_clock import OperationClock
from saffronstack.operations.operation_log import OperationLog
from saffronstack.operations.operation_recorder import OperationRecorder, RecordingAttemptGuard
from saffronstack.operations.operation_request import OperationRequest, OperationResult
from saffronstack.operations.operation_table import OperationTable
from saffronstack.operations.record_format import decode_record
from saffronstack.operations.request_coalescing import CacheableResponse, CoalescingCache
from saffronstack.operations.response_store import ResponseStore, load_response
from saffronstack.operations.slot_assignment import slot_for
from saffronstack.routing.events import PriorAttempt
from saffronstack.runtime.threads import start_thread

EXPIRY_INTERVAL_S = 30.0  # between two removals of expired operations by the background thread
MAX_PRIOR_ATTEMPT_WAIT_S = 1.0  # an attempt ends at its call's deadline, soon after the rejection
REQUEST_COUNT_LABELS = (
    "begun",
    "joined",
    "repeated",
    "unknown_repeated",
    "mismatched",
    "turned_away",
)  # label values of the metric


@dataclass(frozen=True, slots=True)
class OperationLimits:
    """Limits of the service.

    Attributes:
        max_inline_response_bytes: Maximum size of a response body in memory; larger ones go to the response
            store.
        coalescing_cache_bytes: Memory limit for cached responses of idempotent operations.
        commit_timeout_s: How long an attempt waits for the operation log.
    """

    max_inline_response_bytes: int = 65536
    coalescing_cache_bytes: int = 64 * 1024 * 1024
    commit_timeout_s: float = 2.0


class OperationService:
    """Deduplicates and executes the operations of one process. Thread-safe.

    Attributes:
        table: The operations that are not idempotent by themselves; guarded by the service's lock.
        coalescing_cache: The idempotent operations.
        operation_log: The write-ahead log; None if operations are stored in memory only.
        response_store: The store of large response bodies; None if they are not stored.
        request_counts: The number of requests for each decision, by label value of the metric.
    """

    def __init__(
        self,
        table: OperationTable,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        operation_log: OperationLog | None = None,
        response_store: ResponseStore | None = None,
        limits: OperationLimits | None = None,
        localities: LocalityNumbers | None = None,
    ) -> None:
        """Create the service.

        Args:
            table: The operations.
            clock: Monotonic seconds.
            wall_clock: Unix seconds; read once.
            operation_log: The write-ahead log, if operations survive the process.
            response_store: The store of large response bodies, if there is one.
            limits: Limits of the service.
            localities: Numbers of the zones and cells of the workers.
        """
        limits = limits or OperationLimits()
        self.table = table
        self.coalescing_cache: CoalescingCache[CacheableResponse] = CoalescingCache(
            limits.coalescing_cache_bytes
        )
        self.max_inline_response_bytes = limits.max_inline_response_bytes
        self.operation_log = operation_log
        self.response_store = response_store
        self.request_counts = dict.fromkeys(REQUEST_COUNT_LABELS, 0)
        self._clock = OperationClock(clock, wall_clock)
        self._converter = ExecutionConverter(
            localities or LocalityNumbers(), self._clock.to_unix, self._clock.to_monotonic
        )
        self._recorder = OperationRecorder(operation_log, self._converter, limits.commit_timeout_s)
        self._is_slot_held: Callable[[int], bool] | None = None
        self._lock = threading.Lock()  # guards the table, in-flight counts and joins to executions
        self._finisher = ExecutionFinisher(
            table,
            self._lock,
            self._clock,
            self._converter,
            self._recorder,
            response_store,
            limits.max_inline_response_bytes,
        )
        self._in_flight_by_slot: Counter[int] = Counter()
        self._stopping = threading.Event()
        self._stopped = threading.Event()

    def now(self) -> float:
        """Return the time in Unix seconds, by a clock that never steps."""
        return self._clock.now()

    def start(self, earlier_operations: Iterable[EncodedOperation] = ()) -> None:
        """Restore ``earlier_operations`` and those of the log, and start the thread that expires operations.

        If processes share slots, nothing is restored here: operations are restored when a slot is acquired.
        """
        if self._is_slot_held is None:
            logged = self.operation_log.state.recovered_operations() if self.operation_log is not None else ()
            self.restore([*earlier_operations, *logged])
        start_thread("operations", self._run)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Stop the thread and close the log; return whether both finished within the timeout."""
        self._stopping.set()
        has_stopped = self._stopped.wait(timeout_s)
        return (self.operation_log is None or self.operation_log.close(timeout_s)) and has_stopped

    def restrict_to_slots(self, is_slot_held: Callable[[int], bool]) -> None:
        """From now on, execute operations that require a slot only while this process holds their slot."""
        self._is_slot_held = is_slot_held

    def restore(self, operations: Iterable[EncodedOperation]) -> None:
        """Add operations of earlier processes or slot holders; entries that already exist are not replaced.

        Raises:
            JournalError: A record has the format of another version.
        """
        now = self.now()
        try:
            by_expiry = [
                (decode_record(encoded).expires_s, (digest, encoded)) for digest, encoded in operations
            ]
        except ValueError as error:
            raise JournalError(f"operations logged by another version: {error}") from error
        with self._lock:
            for expires_s, (digest, encoded) in sorted(by_expiry):
                if expires_s > now:
                    self.table.restore(digest, encoded)

    def count_in_flight(self, slot: int) -> int:
        """Return the number of in-flight operations of a slot."""
        with self._lock:
            return self._in_flight_by_slot[slot]

    def extract_slots(self, slots: frozenset[int]) -> list[EncodedOperation]:
        """Remove and return the operations of slots that are handed over to another process."""
        with self._lock:
            return self.table.extract(lambda digest: slot_for(digest) in slots)

    def find(self, digest: bytes) -> InFlightOperation | OperationRecord | None:
        """Return an operation that is in flight or the record of one that ended; None if it is not stored."""
        with self._lock:
            return self.table.find(digest)

    def attempt_guard(self, execution: Execution) -> RecordingAttemptGuard:
        """Return the guard that must allow each attempt before its first byte is sent."""
        return RecordingAttemptGuard(self._recorder, execution)

    def perform(self, request: OperationRequest, execute: ExecuteOperation) -> OperationResult:
        """Execute the operation, wait for its execution, or replay its response; return the response.

        Raises:
            SlotNotHeldError: Another process holds the operation's slot.
            FingerprintMismatchError: The idempotency key belongs to a request with another payload.
            OperationTableFullError: The operation table has no memory left for the operation.
            OutcomeUnknownError: The operation may have been executed, and its response is unknown.
            ResponseNotStoredError: The operation completed, and the body of its response is not stored.
            OperationInProgressError: The execution did not end by the request's deadline.
            ClientDisconnectedError: The client disconnected while the operation was in flight.
            Exception: The error of an execution that did not complete.
        """
        while True:
            decision = self._decide(request)
            match decision:
                case Execute(operation):
                    self.request_counts["begun"] += 1
                    return OperationResult(self._execute(_execution_of(operation), execute), False)
                case Replay(record):
                    return OperationResult(self._replay(record), True)
                case FingerprintMismatch(request_id):
                    self.request_counts["mismatched"] += 1
                    raise FingerprintMismatchError(request_id)
                case Reject(retry_after_s):
                    self.request_counts["turned_away"] += 1
                    raise OperationTableFullError(retry_after_s)
                case Coalesce(operation):
                    self.request_counts["joined"] += 1
                    response = _execution_of(operation).wait(request, self._clock.monotonic)
                    if response is not None:
                        return OperationResult(response, True)
                    # The execution was abandoned or raised an exception: decide again.

    def _decide(self, request: OperationRequest) -> Decision:
        policy, slot = request.policy, slot_for(request.digest)
        with self._lock:
            if policy.requires_slot and self._is_slot_held is not None and not self._is_slot_held(slot):
                raise SlotNotHeldError(f"slot {slot} is not held by this process")
            decision = self.table.admit(
                request.digest,
                request.fingerprint,
                policy.idempotency,
                policy.window_s,
                request.request_id,
                self.now(),
            )
            if isinstance(decision, Execute):
                decision.operation.execution = Execution(decision.operation, policy)
                if policy.requires_slot:
                    self._in_flight_by_slot[slot] += 1
            elif isinstance(decision, Coalesce):
                _execution_of(decision.operation).join()
        return decision

    def _execute(self, execution: Execution, execute: ExecuteOperation) -> StoredResponse:
        operation = execution.operation
        outcome: Completed | NotCompleted | None = None
        try:
            self._wait_for_prior_attempt(operation)
            outcome = execute(execution, self._prior_attempts(operation))
        finally:
            execution.outcome = outcome
            self._finisher.finish(execution, outcome)
            if execution.policy.requires_slot:
                with self._lock:
                    self._in_flight_by_slot[slot_for(operation.digest)] -= 1
            if execution.done is not None:  # no request can join any more: the table has the result
                execution.done.set()
        if isinstance(outcome, NotCompleted):
            raise outcome.error
        return outcome.response

    def _prior_attempts(self, operation: InFlightOperation) -> tuple[PriorAttempt, ...]:
        """Return the attempts of earlier executions."""
        if operation.previous is None:
            return ()
        now = self.now()
        return self._converter.to_prior(
            _without_uncertain_values(execution, now) for execution in operation.previous.executions
        )

    def _wait_for_prior_attempt(self, operation: InFlightOperation) -> None:
        """Wait for a bounded time until no attempt of an earlier execution is in flight."""
        if operation.previous is None:
            return
        wait_s = operation.previous.attempt_in_flight_until_s - self.now()
        if wait_s > 0:
            self._stopping.wait(min(wait_s, MAX_PRIOR_ATTEMPT_WAIT_S))

    def _replay(self, record: OperationRecord) -> StoredResponse:
        is_completed = record.state is OperationState.COMPLETED
        self.request_counts["repeated" if is_completed else "unknown_repeated"] += 1
        response = load_response(self.response_store, record)
        if response is None:  # e.g. the process that executed it crashed before the response
            raise OutcomeUnknownError(record.request_id)
        return response

    def _run(self) -> None:
        """Remove expired operations until the service stops. Runs on the thread ``operations``."""
        try:
            while not self._stopping.wait(EXPIRY_INTERVAL_S):
                with self._lock:
                    now = self.now()
                    self.table.expire(now)
                self._recorder.record_expiry(now)
        finally:
            self._stopped.set()


def _without_uncertain_values(execution: PossibleExecution, now: float) -> PossibleExecution:
    """Return a stored execution without the values that may mislead.

    A time that is still to come shows that the clock was set back, and tells nothing of the window. A worker
    without zone and cell was stored by an earlier version, which kept the first attempt alone, also if the
    worker refused it: the operation may have been executed at another worker.
    """
    worker_id = execution.worker_id if execution.zone and execution.cell else UNKNOWN_WORKER_ID
    sent_at = execution.sent_at if execution.sent_at <= now else LONG_AGO
    return msgspec.structs.replace(execution, worker_id=worker_id, sent_at=sent_at)


def _execution_of(operation: InFlightOperation) -> Execution:
    execution = operation.execution
    assert isinstance(execution, Execution)  # `_decide` sets it before other threads can see the operation
    return execution
