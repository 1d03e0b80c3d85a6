"""What the threads of a worker's pool carry out: one request, and one response, each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.upstream.http.connection import HttpConnection


@dataclass(eq=False, slots=True)
class AttemptJob:
    """One attempt of a call; ``deadline_s`` is clock time."""

    call: Call
    attempt: int
    deadline_s: float
    worker_id: int
    is_cancelled: bool = False
    connection: HttpConnection | None = None  # while it is sent on and read from

    def cancel(self) -> None:
        """Stop waiting, from any thread: the read of the thread that waits ends at once."""
        self.is_cancelled = True
        connection = self.connection
        if connection is not None:
            connection.abort()


@dataclass(frozen=True, slots=True)
class HealthCheckJob:
    """Ask the worker for its load report."""


@dataclass(frozen=True, slots=True)
class LoadJob:
    """Command the worker to load so many instances; 0 only asks how many are loaded."""

    function: FunctionSpec
    instances: int


@dataclass(frozen=True, slots=True)
class UnloadJob:
    """Command the worker to unload idle instances; no end is reported."""

    function: FunctionSpec


@dataclass(frozen=True, slots=True)
class UsageJob:
    """Poll the worker for usage records; ``on_response`` gets the body, None where there is no response."""

    body: bytes
    on_response: Callable[[bytes | None], None]


CommandJob = HealthCheckJob | LoadJob | UnloadJob
Job = AttemptJob | CommandJob | UsageJob


def command_function(job: CommandJob) -> FunctionSpec | None:
    """Return the function that a command is about, None for a health check."""
    return None if isinstance(job, HealthCheckJob) else job.function
