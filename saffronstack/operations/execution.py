"""The execution of an in-flight operation, shared by the threads of all its requests."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.durable.append_ticket import AppendTicket
from saffronstack.operations.errors import ClientDisconnectedError, OperationInProgressError
from saffronstack.operations.operation import InFlightOperation, StoredResponse
from saffronstack.operations.operation_log import AnyLogRecord
from saffronstack.operations.operation_request import DeduplicationPolicy, OperationRequest
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency

CLIENT_CHECK_INTERVAL_S = 0.2  # how often a waiting thread checks that its client is still connected


@dataclass(frozen=True, slots=True)
class Completed:
    """An execution that ended with a response, which every request of the operation gets.

    Attributes:
        is_outcome_unknown: Whether the response reports that the operation may or may not have been executed.
    """

    response: StoredResponse
    is_outcome_unknown: bool = False


@dataclass(frozen=True, slots=True)
class NotCompleted:
    """An execution that ended without a final response: it was rejected, or its client disconnected.

    Attributes:
        error: Raised to the request that executed the operation, and to those that wait unless it is a
            `ClientDisconnectedError`.
        prior_attempts: The attempts that may have been executed; empty if certainly none was.
        attempt_in_flight_until_s: The monotonic time until which an attempt may still be in flight; 0 if
            none is.
    """

    error: Exception
    prior_attempts: tuple[PriorAttempt, ...] = ()
    attempt_in_flight_until_s: float = 0.0


class Execution:
    """The state that the threads of one operation's requests share.

    Attributes:
        done: The event that is set when the execution ends. The first request that joins creates it, under
            the service's lock.
        outcome: How the execution ended, set before ``done``; None if it raised an exception.
        log_ticket: The ticket of the latest attempt's log record, once a record was appended.
    """

    def __init__(self, operation: InFlightOperation, policy: DeduplicationPolicy) -> None:
        self.operation = operation
        self.policy = policy
        self.done: threading.Event | None = None
        self.outcome: Completed | NotCompleted | None = None
        self.log_ticket: AppendTicket[AnyLogRecord] | None = None
        self._lock = threading.Lock()  # guards the fields below
        self._waiter_count = 0  # excludes the request that executes the operation
        self._has_sent = False
        self._is_abandoned = False

    def join(self) -> None:
        """Register one more waiting request. The caller must hold the service's lock."""
        if self.done is None:
            self.done = threading.Event()
        with self._lock:
            self._waiter_count += 1

    def wait(self, request: OperationRequest, clock: Callable[[], float]) -> StoredResponse | None:
        """Wait for the response on behalf of a request that has joined.

        Returns None if the execution was abandoned or raised an exception: the caller must then ask for a new
        decision. ``clock`` is monotonic.

        Raises:
            OperationInProgressError: The execution did not end by the request's deadline.
            ClientDisconnectedError: The client of the waiting request disconnected.
            Exception: The error of an execution that did not complete.
        """
        try:
            self._wait_until_done(request, clock)
        finally:
            self._leave()
        outcome = self.outcome
        if isinstance(outcome, Completed):
            return outcome.response
        if isinstance(outcome, NotCompleted) and not isinstance(outcome.error, ClientDisconnectedError):
            raise outcome.error
        return None

    def _wait_until_done(self, request: OperationRequest, clock: Callable[[], float]) -> None:
        assert self.done is not None
        while not self.done.wait(min(CLIENT_CHECK_INTERVAL_S, max(0.0, request.deadline_s - clock()))):
            if clock() >= request.deadline_s:
                raise OperationInProgressError("the operation is still in flight")
            if not request.is_client_connected():
                raise ClientDisconnectedError("the client disconnected while its operation was in flight")

    def _leave(self) -> None:
        with self._lock:
            self._waiter_count -= 1

    def try_abandon(self) -> bool:
        """Abandon the execution because its client disconnected; return whether it was abandoned.

        An execution is not abandoned if another request waits for it, or if an attempt may have been sent and
        the operation is not idempotent. No attempt is sent after the execution was abandoned.
        """
        with self._lock:
            if self._waiter_count or (
                self._has_sent and self.policy.idempotency is not Idempotency.IDEMPOTENT
            ):
                return False
            self._is_abandoned = True
            return True

    def try_mark_sent(self) -> bool:
        """Record that an attempt is about to be sent; return False if the execution was abandoned."""
        with self._lock:
            if self._is_abandoned:
                return False
            self._has_sent = True
            return True

    @property
    def has_sent(self) -> bool:
        """Whether an attempt may have been sent."""
        return self._has_sent


# Executes an operation on the thread of its request. The prior attempts are those of earlier executions that
# may have been executed.
ExecuteOperation = Callable[[Execution, tuple[PriorAttempt, ...]], Completed | NotCompleted]
