"""A call is finished exactly once."""

from __future__ import annotations

import threading

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus
from tests.helpers import SAFE
from tests.support.engine import make_call, new_call, start_engine

SERVED = FinalAnswer(FinalStatus.SERVED, b"{}")


def test_only_the_first_of_many_threads_finishes_a_call() -> None:
    engine, _ = start_engine([])
    call = make_call(engine, SAFE)
    won: list[bool] = []
    threads = [
        threading.Thread(
            target=lambda n=n: won.append(call.finish(FinalAnswer(FinalStatus.SERVED, bytes([n]))))
        )
        for n in range(16)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(5)
    assert sum(won) == 1
    assert engine.stop()


def test_an_unfinished_call_has_no_final_answer() -> None:
    call = new_call(1)
    assert not call.is_finished
    assert call.wait(0.0) is None


def test_the_final_answer_is_notified_once() -> None:
    notified: list[tuple[Call, FinalAnswer]] = []
    call = new_call(1)
    call.on_final_answer = lambda call, answer: notified.append((call, answer))
    assert call.finish(SERVED)
    assert not call.finish(FinalAnswer(FinalStatus.FAILED))
    assert call.is_finished
    assert call.wait(0.0) is SERVED
    assert notified == [(call, SERVED)]
