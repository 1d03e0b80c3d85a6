"""Calls that a gateway has accepted, and their final answers."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from saffronstack.routing.events import PriorAttempt


class FinalStatus(Enum):
    """How a call ended; the values appear in metrics, status pages and stored files.

    Attributes:
        SERVED: A worker responded.
        REJECTED: The call had no effect, so a retry is harmless.
        FAILED: The call may or may not have been executed.
        CLIENT_DISCONNECTED: The client has disconnected, so that nobody receives an answer.
    """

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "gone"


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The final answer of a call.

    Attributes:
        status: How the call ended.
        payload: Body of the worker's response.
        function_error: "Handled" or "Unhandled" if the function itself failed.
        log_tail: Last part of the function's log, in base64.
        retry_after_s: Time that the client should wait before a retry; 0 for no advice.
        reason: Why the call was not served.
        prior_attempts: All attempts that may have executed, those before the call included.
        attempts: Number of attempts.
        worker: Name of the worker that served it.
        attempt_in_flight_until_s: Monotonic time by which an attempt that is still in flight will have ended;
            0 if none is.
    """

    status: FinalStatus
    payload: bytes = b""
    function_error: str = ""
    log_tail: str = ""
    retry_after_s: float = 0.0
    reason: str = ""
    prior_attempts: tuple[PriorAttempt, ...] = ()
    attempts: int = 0
    worker: str = ""
    attempt_in_flight_until_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FunctionSpec:
    """Properties of a function that the engine needs.

    Attributes:
        name: Name in the configuration.
        number: Number by which the router identifies it.
        class_index: Index of its request class in the settings.
        memory_mb: Memory of one instance.
        concurrency: Requests that one instance executes at once.
        load_time_s: Usual time to load it, if known.
    """

    name: str
    number: int
    class_index: int
    memory_mb: float
    concurrency: int = 1
    load_time_s: float | None = None


class AttemptGuard(Protocol):
    """A check that a worker's thread makes right before it sends the first byte of an attempt."""

    def may_send(self, attempts: Sequence[PriorAttempt]) -> bool:
        """Return whether an attempt may be sent; this may block, for a bounded time.

        Args:
            attempts: The attempt, as the last one, after all earlier attempts that may have executed.
                Those that certainly did not execute are left out.
        """
        ...


@dataclass(eq=False, slots=True)
class Call:
    """One call of a client.

    Attributes:
        number: Number by which the router identifies it.
        request_id: Identifier that the client sees.
        function: The function to execute.
        payload: Body of the request.
        deadline_s: Monotonic time by which the gateway should answer, before the client's own timeout.
        tenant: Index of its tenant in the settings.
        tenant_name: Name of its tenant.
        key: Idempotency key; the request id if the client sent none.
        client_context: Context that the client sent for the function.
        wants_log: Whether the client asked for the tail of the log.
        prior_attempts: Attempts before this call that may have executed its operation.
        guard: Check before each attempt.
        on_final_answer: Called once with the final answer, on whichever thread finished the call.
        final_answer: The final answer, once there is one.
        class_name: Name of its request class.
        latest_start_s: Monotonic time from which no byte of its present attempt may be sent any more.
        before_send: Called on the worker's thread before an attempt; finishes the call if its client left.
        guarded_attempts: The attempts to pass to ``guard`` before the present attempt; empty without a guard.
        may_have_been_sent: Whether a byte of an attempt may have been sent. It is set before `is_finished` is
            read, so that nothing is sent for a call that was finished without it.
    """

    number: int
    request_id: str
    function: FunctionSpec
    payload: bytes
    deadline_s: float
    tenant: int = 0
    tenant_name: str = ""
    key: str = ""
    client_context: str = ""
    wants_log: bool = False
    prior_attempts: tuple[PriorAttempt, ...] = ()
    guard: AttemptGuard | None = None
    on_final_answer: Callable[[Call, FinalAnswer], None] | None = None
    final_answer: FinalAnswer | None = None
    class_name: str = ""
    latest_start_s: float = math.inf
    before_send: Callable[[], None] | None = None
    guarded_attempts: tuple[PriorAttempt, ...] = ()
    may_have_been_sent: bool = False
    _finish_claim: threading.Lock = field(
        default_factory=threading.Lock
    )  # held by the thread that finishes the call
    _unfinished: threading.Lock = field(default_factory=threading.Lock)  # held until the call is finished

    def __post_init__(self) -> None:
        self._unfinished.acquire()

    def finish(self, final_answer: FinalAnswer) -> bool:
        """Give the final answer; only the first attempt to do so succeeds. Any thread may call this.

        Returns:
            Whether this was the first.
        """
        if not self._finish_claim.acquire(blocking=False):
            return False
        self.final_answer = final_answer
        self._unfinished.release()
        if self.on_final_answer is not None:
            self.on_final_answer(self, final_answer)
        return True

    @property
    def is_finished(self) -> bool:
        """Whether the call has its final answer, so that nothing more may be sent for it."""
        return self._finish_claim.locked()

    def wait(self, timeout_s: float) -> FinalAnswer | None:
        """Wait for the final answer; None if it has not come in time."""
        if self._unfinished.acquire(timeout=max(0.0, timeout_s)):
            self._unfinished.release()
        return self.final_answer
