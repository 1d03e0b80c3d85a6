"""Events that a router handles: endpoint updates, requests, outcomes of attempts, timers.

Times are in seconds on the clock that is passed to `Router.handle`. Names of times and of durations end in
``_s``. Workers, functions and requests are identified by opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Result(Enum):
    """Result of an attempt, a health check or a load command.

    Attributes:
        OK: The worker sent a complete response.
        ERROR: The worker or the function failed.
        AT_CAPACITY: The worker rejected the request before executing it.
        TIMEOUT: No complete response arrived in time; the request may have been executed.
        CONNECT_FAILED: The connection could not be established; the request was not executed.
        RESET: The connection was lost after the first byte was sent; the request may have been executed.
        CANCELLED: This gateway or the client cancelled the attempt.
        NOT_STARTED: The attempt was withdrawn before its first byte was sent.
        NOT_LOADED: The worker rejected the request because it has not loaded the function.
    """

    OK = "ok"
    ERROR = "error"
    AT_CAPACITY = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"
    NOT_LOADED = "miss"


class CacheStatus(Enum):
    """Whether an attempt found its function loaded at the worker."""

    UNKNOWN = 0
    WARM = 1
    STARTED_LOAD = 2
    JOINED_LOAD = 3
    LOAD_FAILED = 4


class WorkerState(Enum):
    """State of a worker in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointUpdateKind(Enum):
    """Kind of an endpoint update.

    Attributes:
        INCREMENTAL: Only the endpoints that changed.
        SNAPSHOT: The complete list; endpoints that are not in it are removed.
        CACHED: A complete list that may be out of date.
        FAILED: The list could not be fetched.
    """

    INCREMENTAL = 0
    SNAPSHOT = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a worker reports about itself; values that were not reported are None.

    Attributes:
        requests_in_flight: Requests being executed or queued.
        requests_queued: Requests waiting for an instance.
        cpu_utilization: Fraction of the cores in use.
        latency_s: Recent latency.
        request_rate: Requests per second.
        failure_rate: Failures per second.
        memory_in_use_fraction: Fraction of the memory held by instances that execute or load.
        loads_in_progress: Functions being loaded.
    """

    requests_in_flight: float | None = None
    requests_queued: float | None = None
    cpu_utilization: float | None = None
    latency_s: float | None = None
    request_rate: float | None = None
    failure_rate: float | None = None
    memory_in_use_fraction: float | None = None
    loads_in_progress: float | None = None


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    """One worker of an endpoint update.

    Attributes:
        worker_id: ID of the worker.
        state: Whether it is ready, draining or removed.
        capacity: Capacity relative to other workers.
        kind: Index of its worker kind, which determines its memory.
        zone: Index of its zone.
        cell: Index of its cell.
        started_s: When the worker last started; 0 means long ago.
    """

    worker_id: int
    state: WorkerState
    capacity: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The endpoint list, or changes to it."""

    kind: EndpointUpdateKind
    endpoints: tuple[WorkerEndpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class PriorAttempt:
    """An attempt that may have executed the request.

    Attributes:
        worker_id: ID of the worker.
        sent_s: When the attempt was sent.
        zone: Index of the worker's zone at that time; None if only the endpoint list can tell.
        cell: Index of its cell at that time; None like ``zone``.
    """

    worker_id: int
    sent_s: float
    zone: int | None = None
    cell: int | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a client, which is owed exactly one final answer by its deadline.

    Attributes:
        request_id: ID of the request.
        class_index: Index of its class in the settings.
        function_id: ID of the function to execute.
        deadline_s: Deadline of the final answer, on the router's clock.
        tenant: Index of its tenant in the settings.
        memory_mb: Memory of one instance of the function.
        concurrency: Requests that one instance executes concurrently.
        load_time_s: Usual time to load the function, if known.
        work_s: Time to execute the request, if known.
        is_retry: Whether the client sent the request before.
        is_write: Whether the request writes data.
        prior_attempts: Attempts that were sent before this request and may have executed it, if there are
            any: those of an earlier incarnation of the gateway or of an earlier request of the operation.
    """

    request_id: int
    class_index: int
    function_id: int
    deadline_s: float
    tenant: int = 0
    memory_mb: float = 0.0
    concurrency: float = 1.0
    load_time_s: float | None = None
    work_s: float | None = None
    is_retry: bool = False
    is_write: bool = False
    prior_attempts: tuple[PriorAttempt, ...] | None = None


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Outcome of one attempt.

    Attributes:
        request_id: ID of the request.
        attempt: Index of the attempt, counted from 0 for each request.
        worker_id: ID of the worker.
        result: Result of the attempt.
        elapsed_s: Time from the start of the attempt to its end.
        is_final: Whether the client already has its final answer.
        cache_status: Whether the function was found loaded.
        concurrency: Requests that the instance is executing, if reported.
        load_report: Load of the worker, if reported.
    """

    request_id: int
    attempt: int
    worker_id: int
    result: Result
    elapsed_s: float
    is_final: bool = False
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    concurrency: int | None = None
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """Result of a health check."""

    worker_id: int
    result: Result
    elapsed_s: float
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class LoadCommandResult:
    """Result of a load command; ``instances`` is the number of instances that the worker now holds."""

    worker_id: int
    function_id: int
    instances: int
    result: Result
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set with `SetTimer` has expired."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected or the deadline expired, so no final answer is owed any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response of this attempt has begun to stream to the client."""

    request_id: int
    attempt: int
    worker_id: int
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """A message from another gateway."""

    sender: int
    content: bytes


Event = (
    EndpointUpdate
    | Request
    | AttemptOutcome
    | HealthCheckResult
    | LoadCommandResult
    | TimerFired
    | ClientDisconnected
    | StreamStarted
    | GossipMessage
)
