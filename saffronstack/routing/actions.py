"""Actions that a router returns for the gateway to carry out."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to a worker.

    Attributes:
        request_id: ID of the request.
        worker_id: ID of the worker.
        timeout_s: Timeout of the attempt; 0 leaves only the client's deadline as the limit.
        latest_start_s: Time from which no byte of the attempt may be sent any more. It follows from earlier
            attempts, so decision records do not contain it.
        zone: Index of the worker's zone, by the endpoint list on which the decision rests. Decision records
            contain the list, and so neither ``zone`` nor ``cell``.
        cell: Index of its cell.
    """

    request_id: int
    worker_id: int
    timeout_s: float = 0.0
    latest_start_s: float = field(default=math.inf, compare=False)
    zone: int = field(default=0, compare=False)
    cell: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request had no effect, so a retry after ``retry_after_s`` is harmless."""

    request_id: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request may or may not have been executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a worker."""

    worker_id: int


@dataclass(frozen=True, slots=True)
class LoadFunction:
    """Tell a worker to hold at least this many instances of a function; 0 only queries the number."""

    worker_id: int
    function_id: int
    instances: int


@dataclass(frozen=True, slots=True)
class UnloadFunction:
    """Tell a worker to drop the idle instances of a function."""

    worker_id: int
    function_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a `TimerFired` with the same ``timer_id`` after a delay."""

    delay_s: float
    timer_id: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start or end the subscription to endpoint updates."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | CheckHealth
    | LoadFunction
    | UnloadFunction
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | WriteLog
)
