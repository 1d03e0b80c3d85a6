"""The engine gives each call one final answer, whatever the results of its attempts and their order."""

from __future__ import annotations

import time

import pytest

from saffronstack.engine.calls import FinalStatus
from saffronstack.routing.actions import Action
from saffronstack.routing.events import Event, PriorAttempt, Request, Result
from tests.helpers import KEYED_ALL, SAFE, UNSAFE
from tests.support.engine import make_call, start_engine
from tests.support.stack import eventually


@pytest.mark.parametrize(
    ("results", "class_index", "status", "attempts"),
    [
        ([Result.OK], SAFE, FinalStatus.SERVED, 1),
        ([Result.CONNECT_FAILED, Result.OK], UNSAFE, FinalStatus.SERVED, 2),
        ([Result.AT_CAPACITY, Result.NOT_STARTED, Result.OK], UNSAFE, FinalStatus.SERVED, 3),
        ([Result.RESET], UNSAFE, FinalStatus.FAILED, 1),
        ([Result.ERROR], UNSAFE, FinalStatus.FAILED, 1),
        ([Result.TIMEOUT, Result.OK], KEYED_ALL, FinalStatus.SERVED, 2),
        ([Result.RESET, Result.OK], SAFE, FinalStatus.SERVED, 2),
        ([Result.CONNECT_FAILED] * 9, UNSAFE, FinalStatus.REJECTED, 3),
    ],
)
def test_results_of_attempts_become_one_final_answer(
    results: list[Result | None], class_index: int, status: FinalStatus, attempts: int
) -> None:
    engine, dispatcher = start_engine(list(results))
    call = make_call(engine, class_index)
    assert engine.submit(call)
    final_answer = call.wait(3)
    assert final_answer is not None
    assert final_answer.status is status
    assert len(dispatcher.sent) == attempts
    eventually(lambda: engine.open_calls == 0)
    assert engine.stop()
    assert engine.statistics.final_answers[status.value] == 1


@pytest.mark.parametrize(
    ("class_index", "status"), [(SAFE, FinalStatus.REJECTED), (UNSAFE, FinalStatus.FAILED)]
)
def test_an_overdue_call_is_answered_by_its_class(class_index: int, status: FinalStatus) -> None:
    engine, dispatcher = start_engine([None])
    call = make_call(engine, class_index, 0.05)
    engine.submit(call)
    final_answer = call.wait(3)
    assert final_answer is not None
    assert final_answer.status is status
    assert bool(final_answer.prior_attempts) == bool(dispatcher.sent)
    dispatcher.end(
        dispatcher.sent[0], Result.OK
    )  # too late: the final answer does not change, and no call stays open
    eventually(lambda: engine.open_calls == 0)
    assert call.final_answer is final_answer
    assert engine.stop()


def test_a_disconnected_client_causes_no_further_attempts() -> None:
    engine, dispatcher = start_engine([None])
    call = make_call(engine, SAFE)
    engine.submit(call)
    eventually(lambda: dispatcher.sent)
    engine.disconnect(call)
    dispatcher.end(dispatcher.sent[0], Result.RESET)
    eventually(lambda: engine.open_calls == 0)
    assert len(dispatcher.sent) == 1
    assert engine.statistics.final_answers["gone"] == 1
    assert engine.stop()


def test_an_attempt_of_an_earlier_incarnation_counts_as_possibly_executed() -> None:
    engine, dispatcher = start_engine([])
    unsafe = make_call(engine, UNSAFE, prior_attempts=(PriorAttempt(1, time.monotonic() - 1),))
    keyed = make_call(engine, KEYED_ALL, prior_attempts=(PriorAttempt(1, time.monotonic() - 1),))
    late = make_call(engine, KEYED_ALL, prior_attempts=(PriorAttempt(1, time.monotonic() - 5),))
    for call in (unsafe, keyed, late):
        engine.submit(call)
    answers = [call.wait(3) for call in (unsafe, keyed, late)]
    # A late retry with a key is rejected, not failed: all workers deduplicate by its key, so it is harmless.
    assert [answer.status for answer in answers if answer is not None] == [
        FinalStatus.FAILED,
        FinalStatus.SERVED,
        FinalStatus.REJECTED,
    ]
    assert len(dispatcher.sent) == 1
    assert engine.stop()


def test_an_exception_in_the_router_affects_only_its_call(monkeypatch: pytest.MonkeyPatch) -> None:
    engine, _ = start_engine([])
    bad, good = make_call(engine, SAFE, 0.05), make_call(engine, SAFE)
    router = engine._loop.router
    handle = router.handle

    def failing(now: float, event: Event) -> list[Action]:
        if isinstance(event, Request) and event.request_id == bad.number:
            raise RuntimeError("router fault")
        return handle(now, event)

    monkeypatch.setattr(router, "handle", failing)
    engine.submit(bad)
    engine.submit(good)
    for call, status in ((good, FinalStatus.SERVED), (bad, FinalStatus.REJECTED)):
        final_answer = call.wait(3)
        assert final_answer is not None
        assert final_answer.status is status
    assert engine.statistics.faults == 1
    assert engine.stop()


def test_stopping_answers_open_calls_and_rejects_new_ones() -> None:
    engine, dispatcher = start_engine([None, None])
    calls = [make_call(engine, SAFE, 30.0), make_call(engine, UNSAFE, 30.0)]
    for call in calls:
        engine.submit(call)
    eventually(lambda: len(dispatcher.sent) == 2)
    assert engine.stop()
    assert [call.final_answer.status for call in calls if call.final_answer] == [
        FinalStatus.FAILED,
        FinalStatus.FAILED,
    ]
    assert not engine.submit(make_call(engine, SAFE))
