"""The engine before a scripted dispatcher: one final answer whatever ends come, and in which order."""

from __future__ import annotations

import pathlib
import threading
import time
from functools import partial

import pytest

from saffronstack.engine.calls import (
    AttemptResult,
    Call,
    CommandResult,
    FinalAnswer,
    FinalStatus,
    FunctionSpec,
    WorkerObservation,
    WorkerResponse,
)
from saffronstack.engine.decision_record import DecisionRecorder, DecisionRecordError, replay
from saffronstack.engine.engine import Engine
from saffronstack.engine.timers import Timers
from saffronstack.engine.worker_registry import WorkerRegistry, WorkerSpec
from saffronstack.routing.actions import Action, Reject
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    Event,
    PriorAttempt,
    Request,
    Result,
    TimerFired,
)
from tests.helpers import KEYED_ALL, SAFE, UNSAFE, settings
from tests.support.stack import eventually

WORKERS = [WorkerSpec(n, f"w{n}", "127.0.0.1", n) for n in (1, 2, 3)]


class Script:
    """A dispatcher that ends each attempt as told, at once or when asked to."""

    def __init__(self, results: list[Result | None]) -> None:
        self.results = results
        self.sent: list[tuple[Call, int, int]] = []
        self.engine: Engine | None = None

    def send(self, call: Call, attempt: int, worker_id: int, timeout_s: float) -> None:
        self.sent.append((call, attempt, worker_id))
        result = self.results.pop(0) if self.results else Result.OK
        if result is not None:
            self.end(call, attempt, worker_id, result)

    def end(self, call: Call, attempt: int, worker: int, result: Result) -> None:
        assert self.engine is not None
        answer = WorkerResponse(b"{}") if result is Result.OK else None
        if answer is not None:
            call.finish(FinalAnswer(FinalStatus.SERVED, b"{}"))
        outcome = AttemptOutcome(
            call.number, attempt, worker, result, 0.01, call.is_finished, CacheStatus.WARM
        )
        self.engine.notify(AttemptResult(call, outcome, answer))

    def cancel(self, call: Call, attempt: int) -> None: ...

    def check_health(self, worker_id: int) -> None: ...

    def load_function(self, worker_id: int, function: FunctionSpec, instances: int) -> None: ...

    def unload_function(self, worker_id: int, function: FunctionSpec) -> None: ...


def started(results: list[Result | None], recorder: DecisionRecorder | None = None) -> tuple[Engine, Script]:
    script = Script(results)
    engine = Engine(settings(), 1, time.monotonic, recorder)
    script.engine = engine
    engine.replace_workers(WORKERS, time.time())
    engine.start(script)
    return engine, script


def _nothing_open(engine: Engine) -> bool:
    return engine.open_calls == 0


def make(engine: Engine, class_index: int, deadline_s: float = 1.0, **more: object) -> Call:
    spec = FunctionSpec(f"f{class_index}", 5 + class_index, class_index, 100.0)
    number = engine.next_call_number()
    return Call(number, f"r{number}", spec, b"{}", time.monotonic() + deadline_s, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("results", "class_index", "ending", "attempts"),
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
def test_ends_of_attempts_become_one_final_answer(
    results: list[Result | None], class_index: int, ending: FinalStatus, attempts: int
) -> None:
    engine, script = started(list(results))
    call = make(engine, class_index)
    assert engine.submit(call)
    final = call.wait(3)
    assert final is not None
    assert final.status is ending
    assert len(script.sent) == attempts
    eventually(lambda: engine.open_calls == 0)
    assert engine.stop()
    assert engine.statistics.final_answers[ending.value] == 1


def test_the_backstop_answers_by_the_class() -> None:
    for class_index, ending in ((SAFE, FinalStatus.REJECTED), (UNSAFE, FinalStatus.FAILED)):
        engine, script = started([None])
        call = make(engine, class_index, 0.05)
        engine.submit(call)
        final = call.wait(3)
        assert final is not None
        assert final.status is ending
        assert (final.prior_attempt is not None) == bool(script.sent)
        script.end(*script.sent[0], Result.OK)  # too late: the answer stands, and nothing is left over
        eventually(partial(_nothing_open, engine))
        assert call.final_answer is final
        assert engine.stop()


def test_a_client_that_left_gets_no_more_attempts() -> None:
    engine, script = started([None])
    call = make(engine, SAFE)
    engine.submit(call)
    eventually(lambda: script.sent)
    engine.disconnect(call)
    script.end(*script.sent[0], Result.RESET)
    eventually(lambda: engine.open_calls == 0)
    assert len(script.sent) == 1
    assert engine.statistics.final_answers["gone"] == 1
    assert engine.stop()


def test_an_earlier_life_that_may_have_run_counts() -> None:
    engine, script = started([])
    unsafe = make(engine, UNSAFE, prior_attempt=PriorAttempt(1, time.monotonic() - 1))
    keyed = make(engine, KEYED_ALL, prior_attempt=PriorAttempt(1, time.monotonic() - 1))
    late = make(engine, KEYED_ALL, prior_attempt=PriorAttempt(1, time.monotonic() - 5))
    for call in (unsafe, keyed, late):
        engine.submit(call)
    endings = [final.status for call in (unsafe, keyed, late) if (final := call.wait(3)) is not None]
    assert endings == [
        FinalStatus.FAILED,
        FinalStatus.SERVED,
        FinalStatus.REJECTED,
    ]  # keyed, group all: refusing is harmless
    assert len(script.sent) == 1
    assert engine.stop()


def test_a_failing_decision_costs_only_its_call(monkeypatch: pytest.MonkeyPatch) -> None:
    engine, _ = started([])
    bad, good = make(engine, SAFE, 0.05), make(engine, SAFE)
    handle = engine._loop.router.handle

    def failing(now: float, event: Event) -> list[Action]:
        if isinstance(event, Request) and event.request_id == bad.number:
            raise RuntimeError("a fault in the module")
        return handle(now, event)

    monkeypatch.setattr(engine._loop.router, "handle", failing)
    engine.submit(bad)
    engine.submit(good)
    for call, ending in ((good, FinalStatus.SERVED), (bad, FinalStatus.REJECTED)):
        final = call.wait(3)
        assert final is not None
        assert final.status is ending
    assert engine.statistics.faults == 1
    assert engine.stop()


def test_stopping_answers_what_is_open() -> None:
    engine, script = started([None, None])
    calls = [make(engine, SAFE, 30.0), make(engine, UNSAFE, 30.0)]
    for call in calls:
        engine.submit(call)
    eventually(lambda: len(script.sent) == 2)
    assert engine.stop()
    assert [call.final_answer.status for call in calls if call.final_answer] == [
        FinalStatus.FAILED,
        FinalStatus.FAILED,
    ]
    assert not engine.submit(make(engine, SAFE))


def test_only_the_first_of_many_settles() -> None:
    engine, _ = started([])
    call = make(engine, SAFE)
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


def test_a_record_replays_and_a_changed_one_does_not(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "day.rec")
    recorder = DecisionRecorder(path, settings(), 1)
    engine, _ = started([Result.CONNECT_FAILED, Result.RESET, Result.OK] * 10, recorder)
    calls = [make(engine, n % 3) for n in range(30)]
    for call in calls:
        engine.submit(call)
        call.wait(3)
    engine.notify(CommandResult(1, Result.OK, 0.1))
    engine.notify(WorkerObservation(2, "x", 0.5))
    eventually(lambda: pathlib.Path(path).stat().st_size > 200)  # as a kill would leave it
    (tmp_path / "cut.rec").write_bytes(pathlib.Path(path).read_bytes())
    assert replay(str(tmp_path / "cut.rec"))[0] >= 60
    assert engine.stop()
    assert recorder.close()
    events, actions = replay(path)
    assert events >= 60
    assert actions >= 30
    (tmp_path / "bad.rec").write_bytes(b"nothing of the kind")
    with pytest.raises(DecisionRecordError):
        replay(str(tmp_path / "bad.rec"))
    other = DecisionRecorder(str(tmp_path / "other.rec"), settings(), 1)
    other.record(1.0, TimerFired(3), [Reject(3)])
    assert other.close()
    with pytest.raises(DecisionRecordError, match=r"entry 1, at 1\.000000"):
        replay(str(tmp_path / "other.rec"))


def test_a_worker_heard_anew_is_told_once() -> None:
    roster = WorkerRegistry()
    roster.apply_snapshot(100.0, 1000.0, WORKERS)
    assert roster.observe_worker(101.0, WorkerObservation(1, "a", 500.0)) is None
    assert roster.observe_worker(102.0, WorkerObservation(1, "a", 501.0)) is None
    update = roster.observe_worker(110.0, WorkerObservation(1, "b", 2.0))
    assert update is not None
    assert update.endpoints[0].started_s == pytest.approx(108.0)
    assert roster.observe_worker(111.0, WorkerObservation(1, "b", 3.0)) is None
    assert (
        roster.observe_worker(111.0, WorkerObservation(2, "c", 1.0)) is None
    )  # the first heard of it: the list has the word
    again = roster.apply_snapshot(112.0, 1012.0, WORKERS)
    assert {entry.worker_id: entry.started_s for entry in again.endpoints}[1] == pytest.approx(108.0)


def test_told_starts_are_on_the_modules_clock() -> None:
    roster = WorkerRegistry()
    spec = WorkerSpec(1, "w", "127.0.0.1", 1, started_at=995.0)
    assert roster.apply_snapshot(100.0, 1000.0, [spec]).endpoints[0].started_s == pytest.approx(95.0)
    ahead = WorkerSpec(2, "w", "127.0.0.1", 1, started_at=2000.0)
    assert roster.apply_snapshot(100.0, 1000.0, [ahead]).endpoints[0].started_s == pytest.approx(100.0)


def test_timers_keep_order() -> None:
    timers: Timers[str] = Timers()
    for due, name in ((2.0, "c"), (1.0, "a"), (1.0, "b")):
        timers.add(due, name)
    assert timers.next_due_s() == 1.0
    assert [timers.pop_due(1.5), timers.pop_due(1.5), timers.pop_due(1.5)] == ["a", "b", None]
    assert len(timers) == 1
