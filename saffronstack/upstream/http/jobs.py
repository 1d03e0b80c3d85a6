"""Jobs that the threads of a worker's pool run; each is one request and its response."""

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
    connection: HttpConnection | None = None  # set while the attempt uses the connection

    def cancel(self) -> None:
        """Cancel from any thread: abort the connection, so that a thread waiting on it continues at once."""
        self.is_cancelled = True
        connection = self.connection
        if connection is not None:
            connection.abort()


@dataclass(frozen=True, slots=True)
class HealthCheckJob:
    """Request the worker's load report."""


@dataclass(frozen=True, slots=True)
class LoadJob:
    """Command the worker to load ``instances`` instances; 0 only queries the number loaded."""

    function: FunctionSpec
    instances: int


@dataclass(frozen=True, slots=True)
class UnloadJob:
    """Command the worker to unload a function's idle instances; no result is reported."""

    function: FunctionSpec


@dataclass(frozen=True, slots=True)
class UsageJob:
    """Poll the worker for usage records; ``on_response`` gets the body, or None without a response."""

    body: bytes
    on_response: Callable[[bytes | None], None]


CommandJob = HealthCheckJob | LoadJob | UnloadJob
Job = AttemptJob | CommandJob | UsageJob


def command_function(job: CommandJob) -> FunctionSpec | None:
    """Return the function of a load or unload command; None for a health check."""
    return None if isinstance(job, HealthCheckJob) else job.function
