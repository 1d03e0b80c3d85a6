"""What a router remembers of workers, functions, requests and attempts.

These records carry no behaviour. Each field of a worker or function is written by the module named beside it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from saffronstack.routing.events import Request, WorkerEndpoint
from saffronstack.routing.settings import ClassSettings


@dataclass(eq=False, slots=True)
class Worker:
    """What this gateway knows of one worker; counts are of this gateway's own attempts alone.

    Attributes:
        endpoint: Its newest entry in the endpoint list (`membership`).
        is_ready: Whether it takes new requests (`membership`).
        is_listed: Whether the endpoint list still names it (`membership`).
        attempts_in_flight: Attempts that have not ended (`dispatcher`).
        warm_attempts_in_flight: Those of them sent to a loaded instance (`dispatcher`).
        loads_in_progress: Attempts and load commands that await a load, by function (`load_control`).
        last_response_s: When it last sent a response, -inf for never (`outcome_feedback`).
        placed_mb: Memory of the instances that this gateway placed there (`memory_account`).
        concurrency_limit: Warm attempts that may be in flight (`concurrency_limit`).
        limit_reduced_s: When that limit was last reduced (`concurrency_limit`).
        slowness: Recent latency as a multiple of what is usual for the class (`outlier_detection`).
        slowness_samples: Responses behind ``slowness``, counted up to the number needed.
        error_fraction: Recent fraction of responses that were errors (`outlier_detection`).
        consecutive_connection_failures: Attempts in a row that got no response (`outlier_detection`).
        is_ejected: Whether it is taken out as an outlier (`outlier_detection`).
        next_trial_s: When an ejected worker may get its next trial request (`outlier_detection`).
        cpu_utilization: Recent fraction of its cores in use (`cpu_utilization`).
        cpu_reported_s: When that was last reported, -inf for never (`cpu_utilization`).
        slow_start_ends_s: When it has its full capacity (`slow_start`).
        send_credit: Attempts that slow start allows now (`slow_start`).
        credit_updated_s: When that credit was last updated (`slow_start`).
    """

    endpoint: WorkerEndpoint
    is_ready: bool = False
    is_listed: bool = False
    attempts_in_flight: int = 0
    warm_attempts_in_flight: int = 0
    loads_in_progress: dict[int, int] = field(default_factory=dict)
    last_response_s: float = -math.inf
    placed_mb: float = 0.0
    concurrency_limit: float = math.inf
    limit_reduced_s: float = 0.0
    slowness: float = 1.0
    slowness_samples: int = 0
    error_fraction: float = 0.0
    consecutive_connection_failures: int = 0
    is_ejected: bool = False
    next_trial_s: float = 0.0
    cpu_utilization: float = 0.0
    cpu_reported_s: float = -math.inf
    slow_start_ends_s: float = 0.0
    send_credit: float = 0.0
    credit_updated_s: float = 0.0


@dataclass(eq=False, slots=True)
class Fleet:
    """The workers that this gateway knows of, and totals over those that are ready."""

    workers: dict[int, Worker] = field(default_factory=dict)
    ready_count: int = 0
    ready_capacity: float = 0.0

    def ready_workers(self) -> list[Worker]:
        """Return the workers that take new requests."""
        return [worker for worker in self.workers.values() if worker.is_ready]


WarmInstance = tuple[Worker, float]  # the worker that holds it, and when an attempt there freed it


@dataclass(eq=False, slots=True)
class Function:
    """What this gateway knows of one function.

    Attributes:
        warm_instances: Idle loaded instances, ordered by the time they were freed (`warm_pool`).
        waiting: Requests held back until an instance or a load slot is free (`request_queue`).
        warm_attempts_in_flight: Attempts sent to loaded instances (`dispatcher`).
        loads_in_progress: Attempts and load commands that await a load (`load_control`).
        load_rejected_until_s: Workers that rejected a load command, and until when none is sent to them
            (`load_commands`).
    """

    warm_instances: list[WarmInstance] = field(default_factory=list)
    waiting: list[PendingRequest] = field(default_factory=list)
    warm_attempts_in_flight: int = 0
    loads_in_progress: int = 0
    load_rejected_until_s: dict[int, float] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request.

    Attributes:
        request: The request.
        index: Number of the attempt, counted from 0 for each request.
        worker: The worker it was sent to.
        sent_s: When it was sent.
        expects_warm: Whether a loaded instance is expected there.
        expects_no_instance: Whether neither the warm pool nor the memory account knew of an instance there.
        instance_freed_s: When the warm instance that it took had been freed.
        connection_lost: Whether its connection ended, which says nothing of the instance.
    """

    request: Request
    index: int
    worker: Worker
    sent_s: float
    expects_warm: bool
    expects_no_instance: bool
    instance_freed_s: float = 0.0
    connection_lost: bool = False


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that is still owed its final answer.

    Attributes:
        request: The request as it arrived.
        request_class: Settings of its class.
        priority_weight: Weight of its class, lower for a tenant over its quota.
        queue_deadline_s: Until when it is held back while nothing was sent.
        attempts: Its attempts so far, the newest last.
        maybe_executed: The first attempt that may have executed the request.
        attempts_in_flight: Attempts that have not ended.
        has_queue_timer: Whether it has been held back before.
    """

    request: Request
    request_class: ClassSettings
    priority_weight: float
    queue_deadline_s: float
    attempts: list[Attempt] = field(default_factory=list)
    maybe_executed: Attempt | None = None
    attempts_in_flight: int = 0
    has_queue_timer: bool = False
