"""The interface between the engine and the threads that talk to workers: commands and their results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.routing.events import AttemptOutcome, LoadReport, Result


@dataclass(frozen=True, slots=True)
class WorkerResponse:
    """Response of a worker that served an attempt.

    Attributes:
        payload: Body of the response.
        function_error: "Handled" or "Unhandled" if the function itself failed.
        log_tail: Last part of the function's log, in base64.
    """

    payload: bytes
    function_error: str = ""
    log_tail: str = ""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt, from the thread that sent it.

    Attributes:
        call: Call of the attempt.
        outcome: The event for the router.
        response: Response of the worker, if it served the attempt.
        reason: Why the worker did not serve the attempt.
        incarnation: Incarnation that the worker last reported.
        memory_time_kib_us: Memory multiplied by time that the worker reports for the attempt, in KiB
            microseconds; 0 if it reports none.
    """

    call: Call
    outcome: AttemptOutcome
    response: WorkerResponse | None = None
    reason: str = ""
    incarnation: str = ""
    memory_time_kib_us: int = 0


@dataclass(frozen=True, slots=True)
class WorkerObservation:
    """The incarnation and uptime that a worker reported with a response."""

    worker_id: int
    incarnation: str
    uptime_s: float


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Result of a health check or a load command.

    Attributes:
        worker_id: Number of the worker.
        result: How it ended.
        elapsed_s: Time from its start to its end.
        function_id: Number of the function to load; None for a health check.
        instances: Instances that the worker has loaded now.
        load_report: Load of the worker, if reported.
    """

    worker_id: int
    result: Result
    elapsed_s: float
    function_id: int | None = None
    instances: int = 0
    load_report: LoadReport | None = None


class Dispatcher(Protocol):
    """Carries out the router's decisions on the workers. No method blocks."""

    def send(self, call: Call, attempt: int, worker_id: int, timeout_s: float) -> None:
        """Start an attempt; the engine is notified of exactly one `AttemptResult`."""
        ...

    def cancel(self, call: Call, attempt: int) -> None:
        """Stop waiting for an attempt."""
        ...

    def check_health(self, worker_id: int) -> None:
        """Send a health check; the engine is notified of exactly one `CommandResult`."""
        ...

    def load_function(self, worker_id: int, function: FunctionSpec, instances: int) -> None:
        """Send a load command; the engine is notified of exactly one `CommandResult`."""
        ...

    def unload_function(self, worker_id: int, function: FunctionSpec) -> None:
        """Send a command to unload idle instances; the engine is not notified of a result."""
        ...
