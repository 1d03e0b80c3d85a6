"""State that a router keeps about workers, functions, requests and attempts.

These classes only hold data. The module in parentheses is the one that writes the field.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from saffronstack.routing.events import Request, WorkerEndpoint
from saffronstack.routing.settings import ClassSettings


@dataclass(eq=False, slots=True)
class Worker:
    """State of one worker; counts include only this gateway's attempts.

    Attributes:
        endpoint: Latest entry in the endpoint list (`membership`).
        is_ready: Whether the worker accepts new requests (`membership`).
        is_listed: Whether the worker is still in the endpoint list (`membership`).
        attempts_in_flight: Attempts that have not ended (`dispatcher`).
        warm_attempts_in_flight: Attempts in flight that were sent to loaded instances (`dispatcher`).
        loads_in_progress: Attempts and load commands that await a load, by function (`load_control`).
        last_response_s: When the last response arrived, -inf before the first (`outcome_feedback`).
        placed_mb: Memory of the instances that this gateway placed at the worker (`memory_account`).
        concurrency_limit: Maximum number of warm attempts in flight (`concurrency_limit`).
        limit_reduced_s: When ``concurrency_limit`` was last reduced (`concurrency_limit`).
        slowness: Recent latency as a multiple of the usual latency of the class (`outlier_detection`).
        slowness_samples: Number of responses in ``slowness``, counted up to the required minimum.
        error_fraction: Recent fraction of responses that were errors (`outlier_detection`).
        consecutive_connection_failures: Consecutive attempts whose connection failed or was lost
            (`outlier_detection`).
        is_ejected: Whether the worker is ejected as an outlier (`outlier_detection`).
        next_trial_s: When an ejected worker may get its next trial request (`outlier_detection`).
        cpu_utilization: Recent fraction of the worker's cores in use (`cpu_utilization`).
        cpu_reported_s: When utilization was last reported, -inf for never (`cpu_utilization`).
        slow_start_ends_s: When the worker has its full capacity (`slow_start`).
        send_credit: Attempts that slow start allows now (`slow_start`).
        credit_updated_s: When ``send_credit`` was last updated (`slow_start`).
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
    """The known workers, and totals over the ready ones."""

    workers: dict[int, Worker] = field(default_factory=dict)
    ready_count: int = 0
    ready_capacity: float = 0.0

    def ready_workers(self) -> list[Worker]:
        """Return the workers that accept new requests."""
        return [worker for worker in self.workers.values() if worker.is_ready]


WarmInstance = tuple[Worker, float]  # the worker that holds the instance, and when it became free


@dataclass(eq=False, slots=True)
class Function:
    """State of one function.

    Attributes:
        warm_instances: Idle loaded instances, ordered by the time they became free (`warm_pool`).
        waiting: Requests queued until an instance or a load slot is free (`request_queue`).
        warm_attempts_in_flight: Attempts sent to loaded instances (`dispatcher`).
        loads_in_progress: Attempts and load commands that await a load (`load_control`).
        load_rejected_until_s: For workers that rejected a load command, until when none is sent to them
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
        index: Index of the attempt, counted from 0 for each request.
        worker: The worker to which the attempt was sent.
        sent_s: When the attempt was sent.
        expects_warm: Whether a loaded instance is expected at the worker.
        expects_no_instance: Whether neither warm pool nor memory account knew an instance at the worker.
        instance_freed_s: When the warm instance became free, before this attempt took it.
        connection_lost: Whether the connection was lost, in which case the instance may still be loaded.
        zone: Index of the worker's zone when the attempt was sent; the endpoint list may change it later.
        cell: Index of the worker's cell when the attempt was sent.
    """

    request: Request
    index: int
    worker: Worker
    sent_s: float
    expects_warm: bool
    expects_no_instance: bool
    instance_freed_s: float = 0.0
    connection_lost: bool = False
    zone: int = field(init=False)
    cell: int = field(init=False)

    def __post_init__(self) -> None:
        """Record where the worker is now."""
        self.zone = self.worker.endpoint.zone
        self.cell = self.worker.endpoint.cell


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that is still owed its final answer.

    Attributes:
        request: The request as it arrived.
        request_class: Settings of the request's class.
        priority_weight: Weight of the class, reduced for a tenant over its quota.
        queue_deadline_s: Until when the request may stay queued if no attempt was sent.
        attempts: Attempts so far, the newest last.
        maybe_executed: The first attempt that may have executed the request.
        attempts_in_flight: Attempts that have not ended.
        has_queue_timer: Whether the request has been queued before.
    """

    request: Request
    request_class: ClassSettings
    priority_weight: float
    queue_deadline_s: float
    attempts: list[Attempt] = field(default_factory=list)
    maybe_executed: Attempt | None = None
    attempts_in_flight: int = 0
    has_queue_timer: bool = False
