"""Events that connections to workers report to the engine."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, CommandResult, WorkerObservation
from saffronstack.routing.events import AttemptOutcome, Result

EngineEvent = AttemptResult | CommandResult | WorkerObservation
EventSink = Callable[[EngineEvent], None]


def unsent_attempt(call: Call, attempt: int, worker_id: int, result: Result, reason: str) -> AttemptResult:
    """Return the result of an attempt that was never submitted to a connection."""
    outcome = AttemptOutcome(call.number, attempt, worker_id, result, 0.0, call.is_finished)
    return AttemptResult(call, outcome, reason=reason)


def unsent_command(worker_id: int, result: Result, function: FunctionSpec | None) -> CommandResult:
    """Return the result of a load command, or health check (``function`` is None), that was never sent."""
    return CommandResult(worker_id, result, 0.0, function_id(function))


def function_id(function: FunctionSpec | None) -> int | None:
    """Return the number of a load command's function; None for a health check."""
    return None if function is None else function.number
