"""What connections to workers report to the engine."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.engine.calls import AttemptEnd, Call, FunctionSpec, OrderEnd, WorkerSeen
from saffronstack.routing.events import AttemptOutcome, Result

EngineEvent = AttemptEnd | OrderEnd | WorkerSeen
EventSink = Callable[[EngineEvent], None]


def unsent_attempt(call: Call, attempt: int, worker_id: int, result: Result, reason: str) -> AttemptEnd:
    """Return the end of an attempt that was never handed to a connection."""
    outcome = AttemptOutcome(call.number, attempt, worker_id, result, 0.0, call.settled)
    return AttemptEnd(call, outcome, reason=reason)


def unsent_command(worker_id: int, result: Result, function: FunctionSpec | None) -> OrderEnd:
    """Return the end of a load command, or of a health check (no function), that was never sent."""
    return OrderEnd(worker_id, result, 0.0, function_id(function))


def function_id(function: FunctionSpec | None) -> int | None:
    """Return the number of a load command's function, None for a health check."""
    return None if function is None else function.number
