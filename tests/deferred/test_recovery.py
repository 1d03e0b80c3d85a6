"""Decisions on deferred calls: the rules hold for every history."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack.deferred.recovery import (
    WINDOW_MARGIN_S,
    Condition,
    Finish,
    MayHaveRun,
    Policy,
    State,
    Try,
    Wait,
    after_answer,
    next_step,
)
from saffronstack.engine.calls import FinalStatus
from saffronstack.routing.settings import Idempotency

times = st.floats(0, 100, allow_nan=False)
policies = st.builds(
    Policy,
    st.sampled_from(Idempotency),
    st.floats(0, 20),
    st.floats(0.5, 5),
    st.floats(1, 60),
    st.integers(0, 3),
)
states = st.builds(
    State,
    times,
    st.none() | st.builds(MayHaveRun, st.integers(0, 9), times),
    st.integers(0, 9),
    st.integers(0, 4),
)
UNSAFE = Policy(Idempotency.NON_IDEMPOTENT, 0, 3, 60, 2)
KEYED = Policy(Idempotency.WITH_KEY, 10, 3, 60, 2)
SAFE = Policy(Idempotency.IDEMPOTENT, 0, 3, 60, 2)


@given(states, policies, times)
@settings(derandomize=True, max_examples=500)
def test_no_history_sends_what_must_not_go_again(state: State, policy: Policy, now: float) -> None:
    step = next_step(state, policy, now)
    if isinstance(step, Try):
        assert now < step.until <= state.accepted_at + policy.maximum_age_s
        if state.ran is not None and policy.effect is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("unsafe went again")
        if state.ran is not None and policy.effect is Idempotency.WITH_KEY:
            assert state.ran.sent_at <= now
            assert step.until <= state.ran.sent_at + policy.window_s - WINDOW_MARGIN_S
    elif isinstance(step, Finish):
        ran_for_nothing = state.ran is not None and policy.effect is not Idempotency.IDEMPOTENT
        assert (step.condition is Condition.UNKNOWN) == ran_for_nothing


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
def test_every_answer_leads_on(
    state: State, policy: Policy, ending: FinalStatus, error: bool, stay: float, now: float, chance: float
) -> None:
    after, step = after_answer(state, policy, ending, error, stay, now, chance)
    assert not isinstance(step, Try)
    if isinstance(step, Wait):
        assert now <= step.until <= max(now, state.accepted_at + policy.maximum_age_s)
        if state.ran is not None:
            assert policy.effect is not Idempotency.NON_IDEMPOTENT
    if ending is FinalStatus.SERVED and not error:
        assert step == Finish(Condition.SUCCESS)
    assert after.accepted_at == state.accepted_at


@given(
    states,
    policies,
    st.lists(
        st.tuples(st.sampled_from([FinalStatus.REJECTED, FinalStatus.FAILED]), st.floats(0, 1)), max_size=60
    ),
)
@settings(derandomize=True, max_examples=200)
def test_every_call_comes_to_an_end(
    state: State, policy: Policy, answers: list[tuple[FinalStatus, float]]
) -> None:
    now = state.accepted_at
    for ending, chance in answers:
        step = next_step(state, policy, now)
        if isinstance(step, Finish):
            return
        state, step = after_answer(state, policy, ending, False, 0.5, now + 0.01, chance)
        if isinstance(step, Finish):
            return
        assert isinstance(step, Wait)
        now = max(now + 0.01, step.until)
    assert now <= state.accepted_at + policy.maximum_age_s + 1


def test_a_function_that_is_gone() -> None:
    assert next_step(State(0.0), None, 1.0) == Finish(Condition.REFUSED)
    assert next_step(State(0.0, MayHaveRun(1, 0.5)), None, 1.0) == Finish(Condition.UNKNOWN)


def test_unsafe_that_may_have_run_ends_unknown_and_one_that_did_not_goes_again() -> None:
    assert next_step(State(0.0, MayHaveRun(1, 0.5)), UNSAFE, 1.0) == Finish(Condition.UNKNOWN)
    assert next_step(State(0.0), UNSAFE, 1.0) == Try(4.0)
    assert next_step(State(0.0, MayHaveRun(1, 0.5)), SAFE, 1.0) == Try(4.0)


def test_keyed_goes_again_inside_its_window_only() -> None:
    ran = State(0.0, MayHaveRun(1, 0.5))
    assert next_step(ran, KEYED, 9.0) == Try(10.5 - WINDOW_MARGIN_S)
    assert next_step(ran, KEYED, 10.4) == Finish(Condition.UNKNOWN)


def test_a_clock_set_back_leaves_no_window() -> None:
    assert next_step(State(0.0, MayHaveRun(1, 50.0)), KEYED, 20.0) == Finish(Condition.UNKNOWN)


def test_errors_of_the_function_are_tried_again_only_where_safe() -> None:
    state, step = after_answer(State(0.0), SAFE, FinalStatus.SERVED, True, 0.0, 1.0, 0.5)
    assert step == Wait(2.0)
    state, step = after_answer(state, SAFE, FinalStatus.SERVED, True, 0.0, 2.0, 0.5)
    assert step == Wait(4.0)
    assert after_answer(state, SAFE, FinalStatus.SERVED, True, 0.0, 4.0, 0.5)[1] == Finish(
        Condition.RETRIES_EXHAUSTED
    )
    assert after_answer(State(0.0), UNSAFE, FinalStatus.SERVED, True, 0.0, 1.0, 0.5)[1] == Finish(
        Condition.RETRIES_EXHAUSTED
    )


def test_what_never_ran_expires_and_says_so() -> None:
    assert next_step(State(0.0), UNSAFE, 60.0) == Finish(Condition.EXPIRED)
    assert next_step(State(0.0, MayHaveRun(1, 1.0)), KEYED, 60.0) == Finish(Condition.UNKNOWN)
