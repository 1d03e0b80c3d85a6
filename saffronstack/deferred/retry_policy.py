"""Decides on open deferred calls: after acceptance, after each attempt and after a restart. No I/O.

An idempotent call may be retried. A call with an idempotency key that may have been executed is retried only
within its deduplication window, and not at all if it may have been executed in several groups of workers or
in an unknown one, since no group drops the repeats of another; the router sends a retry to the group of the
execution. Any other call is never retried once it may have been executed. A call whose execution is uncertain
counts as possibly executed. Times are Unix seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from saffronstack.engine.calls import FinalStatus
from saffronstack.engine.possible_execution import (
    UNKNOWN_EXECUTION,
    PossibleExecution,
    keep_first_by_location,
)
from saffronstack.routing.settings import DeduplicationScope, Idempotency

WINDOW_MARGIN_S = 0.1  # an attempt must arrive this long before the deduplication window ends
MIN_ATTEMPT_S = 0.2  # minimum time to a deadline for an attempt to be started
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_BACKOFF_DOUBLINGS = 10
FUNCTION_ERROR_BACKOFF_S = 1.0  # after the function's first error; doubled after each further one


class Condition(Enum):
    """Reason why a call ended. Invocation records contain the values; Lambda does not define the last two."""

    SUCCESS = "Success"
    RETRIES_EXHAUSTED = "RetriesExhausted"
    EXPIRED = "EventAgeExceeded"
    REJECTED = "Refused"
    UNKNOWN = "OutcomeUnknown"


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Retry settings of a call's function and class."""

    idempotency: Idempotency
    deduplication_window_s: float
    deadline_s: float
    max_event_age_s: float
    max_retries: int
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL


@dataclass(frozen=True, slots=True)
class RetryState:
    """State of an open call between two attempts.

    Attributes:
        accepted_at: When the call was accepted.
        possible_executions: The attempts that may have been executed, in the order of sending.
        consecutive_rejections: Rejections since the function last responded.
        function_errors: How often the function itself failed.
    """

    accepted_at: float
    possible_executions: tuple[PossibleExecution, ...] = ()
    consecutive_rejections: int = 0
    function_errors: int = 0


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Submit the call now, with the deadline ``deadline_at``."""

    deadline_at: float


@dataclass(frozen=True, slots=True)
class Backoff:
    """Wait until ``until``, then decide again."""

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
        retry_after_s: Seconds after which the final answer advises a retry.
    """

    status: FinalStatus
    has_function_error: bool
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Decision:
    """State of a call after an attempt, and its next step."""

    state: RetryState
    step: Backoff | Finish


def decide_next_step(state: RetryState, policy: RetryPolicy | None, now: float) -> StartAttempt | Finish:
    """Decide whether to start an attempt of a call that has none in flight, or to finish the call.

    Args:
        state: State of the call.
        policy: Its retry policy; None if its function is no longer configured.
        now: Current Unix time.
    """
    may_have_executed = bool(state.possible_executions)
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
    """Return until when a call that may have been executed can be retried; None if it cannot.

    If the current time is before an attempt, the clock was set back. The rest of the window is then unknown,
    and the call cannot be retried.
    """
    executions = state.possible_executions
    if policy.idempotency is not Idempotency.WITH_KEY or not executions or now < executions[-1].sent_at:
        return None
    if not _are_in_one_group(executions, policy.deduplication_scope):
        return None
    return executions[0].sent_at + policy.deduplication_window_s - WINDOW_MARGIN_S


def _are_in_one_group(executions: tuple[PossibleExecution, ...], scope: DeduplicationScope) -> bool:
    """Return whether executions are known to be in one group of workers that deduplicate together.

    The place of an execution that an earlier version stored is not known: its worker may have moved since.
    """
    match scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            groups = {execution.zone for execution in executions}
        case DeduplicationScope.CELL:
            groups = {execution.cell for execution in executions}
    return len(groups) == 1 and "" not in groups


def find_possible_executions(
    state: RetryState, status: FinalStatus, reported: tuple[PossibleExecution, ...]
) -> tuple[PossibleExecution, ...]:
    """Return the attempts of a call that may have been executed, after the engine has answered it.

    Args:
        state: State of the call before.
        status: Status of the engine's final answer.
        reported: The attempts that may have been executed, by the answer.
    """
    if status is FinalStatus.SERVED:
        return state.possible_executions  # the response ends the uncertainty about other attempts
    executions = (*state.possible_executions, *reported)
    if status is FinalStatus.FAILED and not executions:
        return (UNKNOWN_EXECUTION,)  # no execution was observed, but none can be ruled out
    return keep_first_by_location(executions)


def decide_after_attempt(
    state: RetryState, policy: RetryPolicy, result: AttemptResult, now: float, jitter: float
) -> Decision:
    """Decide on the next step of a call whose attempt ended.

    Args:
        state: State of the call. Its possible execution already includes this attempt.
        policy: Retry policy of the call.
        result: How the attempt ended.
        now: Current Unix time.
        jitter: Random number between 0 and 1, which spreads retries of calls that failed together.
    """
    if result.status is FinalStatus.SERVED:
        return _decide_after_response(state, policy, result.has_function_error, now, jitter)
    rejections = state.consecutive_rejections + 1
    state = RetryState(state.accepted_at, state.possible_executions, rejections, state.function_errors)
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
    state = RetryState(state.accepted_at, state.possible_executions, 0, errors)
    if policy.idempotency is not Idempotency.IDEMPOTENT or errors > policy.max_retries:
        return Decision(state, Finish(Condition.RETRIES_EXHAUSTED))
    backoff_s = FUNCTION_ERROR_BACKOFF_S * 2 ** (errors - 1)
    return Decision(state, _make_backoff(state, policy, now, backoff_s, jitter))


def _make_backoff(
    state: RetryState, policy: RetryPolicy, now: float, backoff_s: float, jitter: float
) -> Backoff:
    """Return a backoff that ends before the call expires or its deduplication window ends."""
    latest_end = state.accepted_at + policy.max_event_age_s
    if state.possible_executions and policy.idempotency is Idempotency.WITH_KEY:
        window_end = state.possible_executions[0].sent_at + policy.deduplication_window_s - WINDOW_MARGIN_S
        latest_end = min(latest_end, window_end - 2 * MIN_ATTEMPT_S)
    return Backoff(max(now, min(now + backoff_s * (0.5 + jitter), latest_end)))
