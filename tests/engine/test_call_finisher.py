"""Final answers that the gateway gives, depending on which attempts may have executed."""

from __future__ import annotations

import pytest

from saffronstack.engine.call_finisher import CallFinisher
from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.engine.engine_state import EngineState
from saffronstack.routing.events import PriorAttempt
from tests.helpers import KEYED_ALL, SAFE, UNSAFE, settings
from tests.support.engine import new_call


@pytest.fixture
def state() -> EngineState:
    return EngineState()


@pytest.fixture
def finisher(state: EngineState) -> CallFinisher:
    return CallFinisher(settings(), state.open_calls, state.statistics)


def test_a_rejection_names_attempts_and_the_time_to_wait(state: EngineState, finisher: CallFinisher) -> None:
    call = new_call(1)
    state.open_calls.add(call)
    state.open_calls[1].start_attempt(PriorAttempt(7, 1.0))
    finisher.finish(1, FinalStatus.REJECTED, 0.5)
    assert call.final_answer == FinalAnswer(
        FinalStatus.REJECTED,
        retry_after_s=0.5,
        reason="no worker could take it",
        prior_attempts=(PriorAttempt(7, 1.0),),
        attempts=1,
        attempt_in_flight_until_s=call.deadline_s,
    )
    assert state.statistics.final_answers["refused"] == 1
    assert 1 in state.open_calls  # its attempt is still in flight


def test_a_second_final_answer_is_ignored(state: EngineState, finisher: CallFinisher) -> None:
    call = new_call(1)
    state.open_calls.add(call)
    call.finish(FinalAnswer(FinalStatus.SERVED))
    finisher.finish(1, FinalStatus.FAILED)
    assert call.final_answer == FinalAnswer(FinalStatus.SERVED)
    assert not any(state.statistics.final_answers.values())
    assert not len(state.open_calls)


def test_an_answer_for_an_unknown_call_is_ignored(state: EngineState, finisher: CallFinisher) -> None:
    finisher.finish(77, FinalStatus.FAILED)
    assert not any(state.statistics.final_answers.values())


@pytest.mark.parametrize(
    ("class_index", "has_attempt", "status"),
    [
        (SAFE, False, FinalStatus.REJECTED),
        (SAFE, True, FinalStatus.REJECTED),
        (KEYED_ALL, False, FinalStatus.REJECTED),
        (KEYED_ALL, True, FinalStatus.FAILED),
        (UNSAFE, False, FinalStatus.REJECTED),
        (UNSAFE, True, FinalStatus.FAILED),
    ],
)
def test_an_overdue_call_fails_if_a_retry_could_do_harm(
    state: EngineState, finisher: CallFinisher, class_index: int, has_attempt: bool, status: FinalStatus
) -> None:
    call = new_call(1, class_index)
    state.open_calls.add(call)
    if has_attempt:
        state.open_calls[1].start_attempt(PriorAttempt(7, 1.0))
    finisher.finish_overdue(state.open_calls[1])
    assert call.final_answer is not None
    assert call.final_answer.status is status


@pytest.mark.parametrize(
    ("has_attempt", "status"), [(False, FinalStatus.REJECTED), (True, FinalStatus.FAILED)]
)
def test_shutdown_answers_all_open_calls(
    state: EngineState, finisher: CallFinisher, has_attempt: bool, status: FinalStatus
) -> None:
    call = new_call(1, SAFE)
    state.open_calls.add(call)
    if has_attempt:
        state.open_calls[1].start_attempt(PriorAttempt(7, 1.0))
    finisher.finish_all_at_shutdown()
    assert call.final_answer is not None
    assert (call.final_answer.status, call.final_answer.reason) == (status, "the gateway stops")
    assert not len(state.open_calls)
