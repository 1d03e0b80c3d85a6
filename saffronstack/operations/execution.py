"""The execution of an operation in flight, as the threads of its requests share it."""

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

CLIENT_CHECK_INTERVAL_S = 0.2  # how often a waiting thread looks whether its client is still connected


@dataclass(frozen=True, slots=True)
class Completed:
    """An execution ended with the response that every request of the operation gets.

    Attributes:
        is_outcome_unknown: Whether the response says that the outcome is unknown.
    """

    response: StoredResponse
    is_outcome_unknown: bool = False


@dataclass(frozen=True, slots=True)
class NotCompleted:
    """An execution ended without a final response: it was rejected, or its client disconnected.

    Attributes:
        error: Raised to every request that waits.
        prior_attempt: The first attempt that may have been executed.
        attempt_in_flight_until_s: Until when an attempt may still be in flight, by the monotonic clock; 0
            where none is.
    """

    error: Exception
    prior_attempt: PriorAttempt | None = None
    attempt_in_flight_until_s: float = 0.0


class Execution:
    """What the threads of an operation's requests share.

    Attributes:
        done: Set at the end; made, under the service's lock, for the first request that joins.
        outcome: Set before ``done``; None where the execution raised an error.
        log_ticket: The log record of the first attempt, once it was appended.
    """

    def __init__(self, operation: InFlightOperation, policy: DeduplicationPolicy) -> None:
        self.operation = operation
        self.policy = policy
        self.done: threading.Event | None = None
        self.outcome: Completed | NotCompleted | None = None
        self.log_ticket: AppendTicket[AnyLogRecord] | None = None
        self._lock = threading.Lock()  # guards all below
        self._waiter_count = 0  # besides the request that executes it
        self._has_sent = False
        self._is_abandoned = False

    def join(self) -> None:
        """Count one more waiting request. The caller holds the service's lock."""
        if self.done is None:
            self.done = threading.Event()
        with self._lock:
            self._waiter_count += 1

    def wait(self, request: OperationRequest, clock: Callable[[], float]) -> StoredResponse | None:
        """Wait, for a request that joined; return the response, or None where the execution was abandoned.

        Raises:
            OperationInProgressError: It did not end until the request's deadline, by ``clock``.
            ClientDisconnectedError: The request's client disconnected.
            Exception: The error of the execution, which did not complete.
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
        """Abandon the execution, whose client disconnected, unless another request waits for it.

        One that may have had an effect is not abandoned either. After True no attempt is sent.
        """
        with self._lock:
            if self._waiter_count or (
                self._has_sent and self.policy.idempotency is not Idempotency.IDEMPOTENT
            ):
                return False
            self._is_abandoned = True
            return True

    def try_mark_sent(self) -> bool:
        """Mark that an attempt is sent from now on; return False where it must not be."""
        with self._lock:
            if self._is_abandoned:
                return False
            self._has_sent = True
            return True

    @property
    def has_sent(self) -> bool:
        """Whether an attempt may have been sent."""
        return self._has_sent


# Executes an operation on the thread of its request. The prior attempt (by the monotonic clock) tells where
# an earlier execution may have happened.
ExecuteOperation = Callable[[Execution, PriorAttempt | None], Completed | NotCompleted]
