"""Counters of an engine."""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.engine.calls import FinalStatus
from saffronstack.routing.events import Result


@dataclass(slots=True)
class EngineStatistics:
    """Counts since the engine was created; written by the decision thread, read by any thread.

    Attributes:
        calls: Calls that reached the decision thread.
        attempts: Attempts that were started.
        retries: Attempts after the first of a call.
        load_commands: Commands to load or unload a function.
        events: Events given to the router.
        deadline_answers: Calls that the engine finished because the router had not done so by the deadline.
        faults: Exceptions on the decision thread.
        final_answers: Calls by the value of their `FinalStatus`.
        attempt_results: Attempts by the value of their `Result`.
    """

    calls: int = 0
    attempts: int = 0
    retries: int = 0
    load_commands: int = 0
    events: int = 0
    deadline_answers: int = 0
    faults: int = 0
    final_answers: dict[str, int] = field(default_factory=lambda: {status.value: 0 for status in FinalStatus})
    attempt_results: dict[str, int] = field(default_factory=lambda: {result.value: 0 for result in Result})
