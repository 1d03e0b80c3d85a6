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
        payload: Its body.
        function_error: "Handled" or "Unhandled" where the function itself failed.
        log_tail: Last part of the function's log, in base64.
    """

    payload: bytes
    function_error: str = ""
    log_tail: str = ""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, as the thread that served it saw it.

    Attributes:
        call: Its call.
        outcome: The event for the router.
        response: The worker's response, if it served the attempt.
        reason: Why it did not.
        incarnation: Incarnation that the worker last reported.
        memory_time_kib_us: Memory times time that the worker reports for the attempt, in KiB microseconds;
            0 where it reports none.
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
    """How a health check or a load command ended.

    Attributes:
        worker_id: Number of the worker.
        result: Its result.
        elapsed_s: Time from its start to its end.
        function_id: Number of the function to load; None for a health check.
        instances: Instances that the worker holds now.
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
        """Tell a worker to drop idle instances; nothing is notified."""
        ...
