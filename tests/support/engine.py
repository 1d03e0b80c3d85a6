"""An engine with a dispatcher that ends attempts as a test decides."""

from __future__ import annotations

import time
from dataclasses import dataclass

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, WorkerResponse
from saffronstack.engine.engine import Engine
from saffronstack.engine.messages import DecisionSink
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.routing.events import AttemptOutcome, CacheStatus, PriorAttempt, Result
from tests.helpers import settings

WORKERS = [WorkerSpec(number, f"w{number}", "127.0.0.1", number) for number in (1, 2, 3)]


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt that the engine has started."""

    call: Call
    number: int
    worker_id: int


class ScriptedDispatcher:
    """Ends each attempt at once with the next given result; if that is None, when `end` is called."""

    def __init__(self, results: list[Result | None]) -> None:
        self.results = results
        self.sent: list[SentAttempt] = []
        self.engine: Engine | None = None

    def send(self, call: Call, attempt: int, worker_id: int, timeout_s: float) -> None:
        self.sent.append(SentAttempt(call, attempt, worker_id))
        result = self.results.pop(0) if self.results else Result.OK
        if result is not None:
            self.end(self.sent[-1], result)

    def end(self, attempt: SentAttempt, result: Result) -> None:
        assert self.engine is not None
        call = attempt.call
        response = WorkerResponse(b"{}") if result is Result.OK else None
        if response is not None:
            call.finish(FinalAnswer(FinalStatus.SERVED, b"{}"))
        outcome = AttemptOutcome(
            call.number, attempt.number, attempt.worker_id, result, 0.01, call.is_finished, CacheStatus.WARM
        )
        self.engine.notify(AttemptResult(call, outcome, response))

    def cancel(self, call: Call, attempt: int) -> None: ...

    def check_health(self, worker_id: int) -> None: ...

    def load_function(self, worker_id: int, function: FunctionSpec, instances: int) -> None: ...

    def unload_function(self, worker_id: int, function: FunctionSpec) -> None: ...


def start_engine(
    results: list[Result | None], recorder: DecisionSink | None = None
) -> tuple[Engine, ScriptedDispatcher]:
    """Start an engine with three workers."""
    dispatcher = ScriptedDispatcher(results)
    engine = Engine(settings(), 1, time.monotonic, recorder)
    dispatcher.engine = engine
    engine.replace_workers(WORKERS, time.time())
    engine.start(dispatcher)
    return engine, dispatcher


def make_call(
    engine: Engine, class_index: int, deadline_s: float = 1.0, prior_attempts: tuple[PriorAttempt, ...] = ()
) -> Call:
    """Make a call of a class whose deadline is ``deadline_s`` seconds from now."""
    return new_call(engine.next_call_number(), class_index, time.monotonic() + deadline_s, prior_attempts)


def new_call(
    number: int,
    class_index: int = 0,
    deadline_s: float = 100.0,
    prior_attempts: tuple[PriorAttempt, ...] = (),
) -> Call:
    """Make a call whose deadline is an absolute time."""
    function = FunctionSpec(f"f{class_index}", 5 + class_index, class_index, 100.0)
    return Call(number, f"r{number}", function, b"{}", deadline_s, prior_attempts=prior_attempts)
