"""Decisions on open deferred calls: after their acceptance, after each attempt, after a restart. No I/O.

An idempotent call may be retried. One with an idempotency key that may have been executed may be retried only
within its deduplication window (the router keeps to its scope). Any other is never retried once it may have
been executed. Whatever is uncertain counts as possibly executed. Times are Unix seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from saffronstack.engine.calls import FinalStatus
from saffronstack.routing.settings import Idempotency

WINDOW_MARGIN_S = 0.1  # an attempt must arrive this long before its window ends
MIN_ATTEMPT_S = 0.2  # no attempt is started with less time than this
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_BACKOFF_DOUBLINGS = 10
FUNCTION_ERROR_BACKOFF_S = 1.0  # after an error of the function itself, doubled each time


class Condition(Enum):
    """Why a call ended; the values appear in invocation records, where the last two are extensions."""

    SUCCESS = "Success"
    RETRIES_EXHAUSTED = "RetriesExhausted"
    EXPIRED = "EventAgeExceeded"
    REJECTED = "Refused"
    UNKNOWN = "OutcomeUnknown"


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """What the configuration says of the call's function and class."""

    idempotency: Idempotency
    deduplication_window_s: float
    deadline_s: float
    max_event_age_s: float
    max_retries: int


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """The first attempt that may have been executed."""

    worker_id: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class RetryState:
    """What is known of an open call between two attempts."""

    accepted_at: float
    possible_execution: PossibleExecution | None = None
    consecutive_rejections: int = 0
    function_errors: int = 0


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Submit the call now, to be answered by ``deadline_at``."""

    deadline_at: float


@dataclass(frozen=True, slots=True)
class Backoff:
    """Decide again at ``until``."""

    until: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Write the final record."""

    condition: Condition


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        status: The final answer's status.
        has_function_error: Whether the function itself failed.
        retry_after_s: When a retry was advised, in seconds from now.
    """

    status: FinalStatus
    has_function_error: bool
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Decision:
    """The state after an attempt, and what follows."""

    state: RetryState
    step: Backoff | Finish


def decide_next_step(state: RetryState, policy: RetryPolicy | None, now: float) -> StartAttempt | Finish:
    """Decide on a call without an attempt in flight.

    Args:
        state: What is known of the call.
        policy: None where its function is no longer configured.
        now: The present Unix time.
    """
    may_have_executed = state.possible_execution is not None
    if policy is None:
        return Finish(Condition.UNKNOWN if may_have_executed else Condition.REJECTED)
    is_idempotent = policy.idempotency is Idempotency.IDEMPOTENT
    expires_at = state.accepted_at + policy.max_event_age_s
    deadline_at = min(now + policy.deadline_s, expires_at)
    if may_have_executed and not is_idempotent:
        window_end = _find_window_end(state, policy, now)
        if window_end is None or window_end - now < MIN_ATTEMPT_S:
            return Finish(Condition.UNKNOWN)
        deadline_at = min(deadline_at, window_end)
    if expires_at - now < MIN_ATTEMPT_S:
        has_no_effect = is_idempotent or not may_have_executed
        return Finish(Condition.EXPIRED if has_no_effect else Condition.UNKNOWN)
    return StartAttempt(deadline_at)


def _find_window_end(state: RetryState, policy: RetryPolicy, now: float) -> float | None:
    """Return until when a call that may have been executed can be retried; None where it cannot.

    If the present is before the attempt, the clock was set back, and the rest of the window is unknown.
    """
    execution = state.possible_execution
    if policy.idempotency is not Idempotency.WITH_KEY or execution is None or now < execution.sent_at:
        return None
    return execution.sent_at + policy.deduplication_window_s - WINDOW_MARGIN_S


def decide_after_attempt(
    state: RetryState, policy: RetryPolicy, result: AttemptResult, now: float, jitter: float
) -> Decision:
    """Decide on a call whose attempt ended.

    Args:
        state: What is known of the call; its possible execution already includes this attempt.
        policy: What the configuration says of it.
        result: How the attempt ended.
        now: The present Unix time.
        jitter: Random number between 0 and 1, which spreads retries of calls that failed together.
    """
    if result.status is FinalStatus.SERVED:
        return _decide_after_response(state, policy, result.has_function_error, now, jitter)
    rejections = state.consecutive_rejections + 1
    state = RetryState(state.accepted_at, state.possible_execution, rejections, state.function_errors)
    step = decide_next_step(state, policy, now)
    if isinstance(step, Finish):
        return Decision(state, step)
    exponential_backoff_s = MIN_BACKOFF_S * 2 ** min(rejections - 1, MAX_BACKOFF_DOUBLINGS)
    backoff_s = min(MAX_BACKOFF_S, max(result.retry_after_s, exponential_backoff_s))
    return Decision(state, _make_backoff(state, policy, now, backoff_s, jitter))


def _decide_after_response(
    state: RetryState, policy: RetryPolicy, has_function_error: bool, now: float, jitter: float
) -> Decision:
    if not has_function_error:
        return Decision(state, Finish(Condition.SUCCESS))
    errors = state.function_errors + 1
    state = RetryState(state.accepted_at, state.possible_execution, 0, errors)
    if policy.idempotency is not Idempotency.IDEMPOTENT or errors > policy.max_retries:
        return Decision(state, Finish(Condition.RETRIES_EXHAUSTED))
    backoff_s = FUNCTION_ERROR_BACKOFF_S * 2 ** (errors - 1)
    return Decision(state, _make_backoff(state, policy, now, backoff_s, jitter))


def _make_backoff(
    state: RetryState, policy: RetryPolicy, now: float, backoff_s: float, jitter: float
) -> Backoff:
    """Return a pause that ends before the call expires or its deduplication window closes."""
    latest_end = state.accepted_at + policy.max_event_age_s
    execution = state.possible_execution
    if execution is not None and policy.idempotency is Idempotency.WITH_KEY:
        window_end = execution.sent_at + policy.deduplication_window_s - WINDOW_MARGIN_S
        latest_end = min(latest_end, window_end - 2 * MIN_ATTEMPT_S)
    return Backoff(max(now, min(now + backoff_s * (0.5 + jitter), latest_end)))
