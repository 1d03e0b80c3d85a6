"""An open call tracks its attempts, and is over when nothing more can happen to it."""

from __future__ import annotations

import pytest

from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.engine.open_calls import OpenCall, OpenCalls
from saffronstack.routing.events import AttemptOutcome, PriorAttempt, Result
from saffronstack.routing.retry_policy import NEVER_EXECUTED
from tests.support.engine import new_call

FIRST, SECOND = PriorAttempt(7, 1.0), PriorAttempt(8, 2.0)


def outcome(attempt: int, result: Result) -> AttemptOutcome:
    return AttemptOutcome(1, attempt, 7, result, 0.1)


def test_attempts_are_counted_from_zero() -> None:
    open_call = OpenCall(new_call(1))
    assert [open_call.start_attempt(FIRST), open_call.start_attempt(SECOND)] == [0, 1]
    assert open_call.attempts_in_flight == {0: FIRST, 1: SECOND}


def test_each_attempt_in_flight_may_have_executed() -> None:
    open_call = OpenCall(new_call(1))
    assert open_call.possibly_executed_attempts() == ()
    open_call.start_attempt(FIRST)
    open_call.start_attempt(SECOND)
    assert open_call.possibly_executed_attempts() == (FIRST, SECOND)


@pytest.mark.parametrize("result", list(Result))
def test_the_result_decides_whether_the_attempt_may_have_executed(result: Result) -> None:
    open_call = OpenCall(new_call(1))
    open_call.start_attempt(FIRST)
    open_call.end_attempt(outcome(0, result), 3.0)
    expected = () if result in NEVER_EXECUTED else (FIRST,)
    assert open_call.possibly_executed_attempts() == expected
    assert not open_call.attempts_in_flight


def test_possibly_executed_attempts_are_in_the_order_of_sending() -> None:
    """The window counts from the first send, also if that attempt's end is reported later."""
    open_call = OpenCall(new_call(1))
    open_call.start_attempt(FIRST)
    open_call.start_attempt(SECOND)
    open_call.end_attempt(outcome(1, Result.RESET), 3.0)
    open_call.end_attempt(outcome(0, Result.RESET), 4.0)
    assert open_call.possibly_executed_attempts() == (FIRST, SECOND)


def test_a_call_is_over_once_it_is_finished_and_no_attempt_is_in_flight() -> None:
    open_call = OpenCall(new_call(1))
    assert not open_call.is_over
    open_call.start_attempt(FIRST)
    open_call.call.finish(FinalAnswer(FinalStatus.SERVED))
    assert not open_call.is_over
    open_call.end_attempt(outcome(0, Result.OK), 2.0)
    assert open_call.is_over


def test_a_disconnected_call_is_over_once_the_router_knows() -> None:
    open_call = OpenCall(new_call(1))
    open_call.call.finish(FinalAnswer(FinalStatus.CLIENT_DISCONNECTED))
    assert not open_call.is_over
    open_call.router_knows_disconnect = True
    assert open_call.is_over


def test_only_calls_that_are_over_are_removed() -> None:
    open_calls = OpenCalls()
    open_calls.add(new_call(1))
    open_calls.add(new_call(2))
    open_calls[1].call.finish(FinalAnswer(FinalStatus.SERVED))
    for number in (1, 2):
        open_calls.remove_if_over(open_calls[number])
    assert 1 not in open_calls
    assert 2 in open_calls
    assert [open_call.call.number for open_call in open_calls.remove_all()] == [2]
    assert len(open_calls) == 0


def test_a_resumed_call_keeps_its_prior_attempt() -> None:
    open_calls = OpenCalls()
    open_calls.add(new_call(1, prior_attempts=(PriorAttempt(3, 0.5),)))
    assert open_calls[1].possibly_executed_attempts() == (PriorAttempt(3, 0.5),)
