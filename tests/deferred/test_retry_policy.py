"""Decisions on deferred calls: the rules hold for every history."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack.deferred.retry_policy import (
    WINDOW_MARGIN_S,
    AttemptResult,
    Backoff,
    Condition,
    Finish,
    RetryPolicy,
    RetryState,
    StartAttempt,
    decide_after_attempt,
    decide_next_step,
    find_possible_executions,
)
from saffronstack.engine.calls import FinalStatus
from saffronstack.engine.possible_execution import UNKNOWN_EXECUTION, PossibleExecution
from saffronstack.routing.settings import DeduplicationScope, Idempotency


def in_order_of_sending(executions: list[PossibleExecution]) -> tuple[PossibleExecution, ...]:
    return tuple(sorted(executions, key=lambda execution: execution.sent_at))


times = st.floats(0, 100, allow_nan=False)
policies = st.builds(
    RetryPolicy,
    st.sampled_from(Idempotency),
    st.floats(0, 20),
    st.floats(0.5, 5),
    st.floats(1, 60),
    st.integers(0, 3),
    st.sampled_from(DeduplicationScope),
)
places = st.sampled_from(["", "a", "b"])
states = st.builds(
    RetryState,
    times,
    st.lists(st.builds(PossibleExecution, st.integers(0, 9), times, places, places), max_size=3).map(
        in_order_of_sending
    ),
    st.integers(0, 9),
    st.integers(0, 4),
)
NON_IDEMPOTENT = RetryPolicy(Idempotency.NON_IDEMPOTENT, 0, 3, 60, 2)
WITH_KEY = RetryPolicy(Idempotency.WITH_KEY, 10, 3, 60, 2)
IDEMPOTENT = RetryPolicy(Idempotency.IDEMPOTENT, 0, 3, 60, 2)
FUNCTION_ERROR = AttemptResult(FinalStatus.SERVED, True, 0.0)
EXECUTED = RetryState(0.0, (PossibleExecution(1, 0.5),))


def are_in_one_group(state: RetryState, scope: DeduplicationScope) -> bool:
    first, *others = state.possible_executions
    is_one_zone = bool(first.zone) and all(other.zone == first.zone for other in others)
    is_one_cell = bool(first.cell) and all(other.cell == first.cell for other in others)
    return {
        DeduplicationScope.ALL: True,
        DeduplicationScope.ZONE: is_one_zone,
        DeduplicationScope.CELL: is_one_cell,
    }[scope]


@pytest.mark.parametrize(
    ("second_place", "scope", "is_retried"),
    [
        (("zone-1", "cell-2"), DeduplicationScope.CELL, False),
        (("zone-1", "cell-2"), DeduplicationScope.ZONE, True),
        (("zone-2", "cell-1"), DeduplicationScope.ZONE, False),
        (("zone-2", "cell-2"), DeduplicationScope.ALL, True),
        (("zone-1", "cell-1"), DeduplicationScope.CELL, True),
        (("", ""), DeduplicationScope.CELL, False),
        (("", ""), DeduplicationScope.ALL, True),
    ],
)
def test_a_call_that_may_have_been_executed_in_several_groups_or_an_unknown_one_ends_at_once(
    second_place: tuple[str, str], scope: DeduplicationScope, is_retried: bool
) -> None:
    executions = (PossibleExecution(1, 0.5, "zone-1", "cell-1"), PossibleExecution(2, 0.6, *second_place))
    policy = replace(WITH_KEY, deduplication_scope=scope)
    step = decide_next_step(RetryState(0.0, executions), policy, 1.0)
    assert (step == Finish(Condition.UNKNOWN)) != is_retried
    assert isinstance(step, StartAttempt) == is_retried


@given(states, policies, times)
@settings(derandomize=True, max_examples=500)
def test_no_history_retries_what_must_not_be_executed_again(
    state: RetryState, policy: RetryPolicy, now: float
) -> None:
    step = decide_next_step(state, policy, now)
    if isinstance(step, StartAttempt):
        assert now < step.deadline_at <= state.accepted_at + policy.max_event_age_s
        if state.possible_executions and policy.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("a non-idempotent call was retried")
        if state.possible_executions and policy.idempotency is Idempotency.WITH_KEY:
            assert all(execution.sent_at <= now for execution in state.possible_executions)
            first_sent_at = min(execution.sent_at for execution in state.possible_executions)
            assert step.deadline_at <= first_sent_at + policy.deduplication_window_s - WINDOW_MARGIN_S
            assert are_in_one_group(state, policy.deduplication_scope)
    elif isinstance(step, Finish):
        is_uncertain = bool(state.possible_executions) and policy.idempotency is not Idempotency.IDEMPOTENT
        assert (step.condition is Condition.UNKNOWN) == is_uncertain


@given(
    states,
    policies,
    st.sampled_from([FinalStatus.SERVED, FinalStatus.REJECTED, FinalStatus.FAILED]),
    st.booleans(),
    st.floats(0, 10),
    times,
    st.floats(0, 1),
)
@settings(derandomize=True, max_examples=500)
def test_every_result_leads_to_a_backoff_or_the_final_record(
    state: RetryState,
    policy: RetryPolicy,
    status: FinalStatus,
    error: bool,
    retry_after_s: float,
    now: float,
    jitter: float,
) -> None:
    decision = decide_after_attempt(state, policy, AttemptResult(status, error, retry_after_s), now, jitter)
    step = decision.step
    assert not isinstance(step, StartAttempt)
    if isinstance(step, Backoff):
        assert now <= step.until <= max(now, state.accepted_at + policy.max_event_age_s)
        if state.possible_executions:
            assert policy.idempotency is not Idempotency.NON_IDEMPOTENT
    if status is FinalStatus.SERVED and not error:
        assert step == Finish(Condition.SUCCESS)
    assert decision.state.accepted_at == state.accepted_at


@given(
    states,
    policies,
    st.lists(
        st.tuples(st.sampled_from([FinalStatus.REJECTED, FinalStatus.FAILED]), st.floats(0, 1)), max_size=60
    ),
)
@settings(derandomize=True, max_examples=200)
def test_every_call_is_finished(
    state: RetryState, policy: RetryPolicy, attempt_ends: list[tuple[FinalStatus, float]]
) -> None:
    now = state.accepted_at
    for status, jitter in attempt_ends:
        step = decide_next_step(state, policy, now)
        if isinstance(step, Finish):
            return
        decision = decide_after_attempt(state, policy, AttemptResult(status, False, 0.5), now + 0.01, jitter)
        state = decision.state
        if isinstance(decision.step, Finish):
            return
        assert isinstance(decision.step, Backoff)
        now = max(now + 0.01, decision.step.until)
    assert now <= state.accepted_at + policy.max_event_age_s + 1


def test_a_function_that_is_no_longer_configured() -> None:
    assert decide_next_step(RetryState(0.0), None, 1.0) == Finish(Condition.REJECTED)
    assert decide_next_step(EXECUTED, None, 1.0) == Finish(Condition.UNKNOWN)


def test_a_non_idempotent_call_that_may_have_been_executed_ends_unknown_and_others_are_retried() -> None:
    assert decide_next_step(EXECUTED, NON_IDEMPOTENT, 1.0) == Finish(Condition.UNKNOWN)
    assert decide_next_step(RetryState(0.0), NON_IDEMPOTENT, 1.0) == StartAttempt(4.0)
    assert decide_next_step(EXECUTED, IDEMPOTENT, 1.0) == StartAttempt(4.0)


def test_a_call_with_a_key_is_retried_inside_its_window_only() -> None:
    assert decide_next_step(EXECUTED, WITH_KEY, 9.0) == StartAttempt(10.5 - WINDOW_MARGIN_S)
    assert decide_next_step(EXECUTED, WITH_KEY, 10.4) == Finish(Condition.UNKNOWN)


def test_a_clock_set_back_leaves_no_window() -> None:
    state = RetryState(0.0, (PossibleExecution(1, 50.0),))
    assert decide_next_step(state, WITH_KEY, 20.0) == Finish(Condition.UNKNOWN)


def test_function_errors_are_retried_only_where_idempotent() -> None:
    decision = decide_after_attempt(RetryState(0.0), IDEMPOTENT, FUNCTION_ERROR, 1.0, 0.5)
    assert decision.step == Backoff(2.0)
    decision = decide_after_attempt(decision.state, IDEMPOTENT, FUNCTION_ERROR, 2.0, 0.5)
    assert decision.step == Backoff(4.0)
    decision = decide_after_attempt(decision.state, IDEMPOTENT, FUNCTION_ERROR, 4.0, 0.5)
    assert decision.step == Finish(Condition.RETRIES_EXHAUSTED)
    decision = decide_after_attempt(RetryState(0.0), NON_IDEMPOTENT, FUNCTION_ERROR, 1.0, 0.5)
    assert decision.step == Finish(Condition.RETRIES_EXHAUSTED)


def test_a_call_that_was_never_executed_expires() -> None:
    assert decide_next_step(RetryState(0.0), NON_IDEMPOTENT, 60.0) == Finish(Condition.EXPIRED)
    state = RetryState(0.0, (PossibleExecution(1, 1.0),))
    assert decide_next_step(state, WITH_KEY, 60.0) == Finish(Condition.UNKNOWN)


def test_a_response_adds_no_possible_execution() -> None:
    reported = (PossibleExecution(2, 0.1),)
    assert find_possible_executions(EXECUTED, FinalStatus.SERVED, reported) == EXECUTED.possible_executions


def test_possible_executions_of_several_answers_are_all_kept() -> None:
    reported = (PossibleExecution(2, 0.1),)
    found = find_possible_executions(EXECUTED, FinalStatus.REJECTED, reported)
    assert found == (*reported, *EXECUTED.possible_executions)


def test_a_failure_without_a_known_attempt_may_have_been_an_execution_at_any_time() -> None:
    """Guards against a window that counts from the report of the failure."""
    assert find_possible_executions(RetryState(0.0), FinalStatus.FAILED, ()) == (UNKNOWN_EXECUTION,)
    assert find_possible_executions(RetryState(0.0), FinalStatus.REJECTED, ()) == ()
