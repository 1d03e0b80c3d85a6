"""What to do about an open deferred call: at the start, after each answer, after a restart. No I/O.

The rules: a safe call may go again; a keyed one that may have run only within its window (its group is the
module's care); an unsafe one never once it may have run. Whatever is doubtful counts as may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from saffronstack.engine.calls import FinalStatus
from saffronstack.routing.settings import Idempotency

WINDOW_MARGIN_S = 0.1  # an attempt must arrive this long before its window ends
LEAST_S = 0.2  # no try is begun with less time than this before it
PAUSE_FIRST_S = 0.1
PAUSE_MOST_S = 5.0
ERROR_PAUSE_S = 1.0  # after an error of the function itself, doubled each time


class Condition(Enum):
    """Why a call ended, in the invocation record's words and, for the last two, our own."""

    SUCCESS = "Success"
    RETRIES_EXHAUSTED = "RetriesExhausted"
    EXPIRED = "EventAgeExceeded"
    REFUSED = "Refused"
    UNKNOWN = "OutcomeUnknown"


@dataclass(frozen=True, slots=True)
class Policy:
    """What the configuration says of the call's function and class; times in seconds."""

    effect: Idempotency
    window_s: float
    deadline_s: float
    maximum_age_s: float
    maximum_retries: int


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The first attempt that may have run; ``sent_at`` in Unix seconds."""

    worker: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class State:
    """What is known of an open call between two tries; times in Unix seconds."""

    accepted_at: float
    ran: MayHaveRun | None = None
    refusals: int = 0  # in a row
    errors: int = 0  # answers with an error of the function


@dataclass(frozen=True, slots=True)
class Try:
    """Hand it to the module now, to be answered by ``until`` (Unix seconds)."""

    until: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Look again at ``until`` (Unix seconds)."""

    until: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Write its final record."""

    condition: Condition


Step = Try | Wait | Finish


def next_step(state: State, policy: Policy | None, now: float) -> Step:
    """For a call with no try under way; ``policy`` None: its function is no longer known."""
    ran = state.ran is not None
    if policy is None:
        return Finish(Condition.UNKNOWN if ran else Condition.REFUSED)
    safe = policy.effect is Idempotency.IDEMPOTENT
    expires = state.accepted_at + policy.maximum_age_s
    until = min(now + policy.deadline_s, expires)
    if ran and not safe:
        window_ends = _window_ends(state, policy, now)
        if window_ends is None or window_ends - now < LEAST_S:
            return Finish(Condition.UNKNOWN)
        until = min(until, window_ends)
    if expires - now < LEAST_S:
        return Finish(Condition.EXPIRED if safe or not ran else Condition.UNKNOWN)
    return Try(until)


def _window_ends(state: State, policy: Policy, now: float) -> float | None:
    """Until when a keyed call that may have run can go again; None: no more.

    A clock that stands before the attempt's time was set back: what is left of the window can't be known."""
    if policy.effect is not Idempotency.WITH_KEY or state.ran is None or now < state.ran.sent_at:
        return None
    return state.ran.sent_at + policy.window_s - WINDOW_MARGIN_S


def after_answer(
    state: State,
    policy: Policy,
    ending: FinalStatus,
    function_error: bool,
    retry_after_s: float,
    now: float,
    chance: float,
) -> tuple[State, Step]:
    """After a try; ``state.ran`` already tells whether any attempt may have run. ``chance`` in 0..1 spreads
    the pauses of calls that were refused together."""
    if ending is FinalStatus.SERVED:
        if not function_error:
            return state, Finish(Condition.SUCCESS)
        errors = state.errors + 1
        state = State(state.accepted_at, state.ran, 0, errors)
        if policy.effect is not Idempotency.IDEMPOTENT or errors > policy.maximum_retries:
            return state, Finish(Condition.RETRIES_EXHAUSTED)
        return state, _pause(state, policy, now, ERROR_PAUSE_S * 2 ** (errors - 1), chance)
    refusals = state.refusals + 1
    state = State(state.accepted_at, state.ran, refusals, state.errors)
    step = next_step(state, policy, now)
    if isinstance(step, Finish):
        return state, step
    pause_s = min(PAUSE_MOST_S, max(retry_after_s, PAUSE_FIRST_S * 2 ** min(refusals - 1, 10)))
    return state, _pause(state, policy, now, pause_s, chance)


def _pause(state: State, policy: Policy, now: float, pause_s: float, chance: float) -> Wait:
    """A pause, cut where the call's own time or its window would pass meanwhile."""
    latest = state.accepted_at + policy.maximum_age_s
    if state.ran is not None and policy.effect is Idempotency.WITH_KEY:
        latest = min(latest, state.ran.sent_at + policy.window_s - WINDOW_MARGIN_S - 2 * LEAST_S)
    return Wait(max(now, min(now + pause_s * (0.5 + chance), latest)))
