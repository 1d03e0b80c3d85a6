"""Builds the state that the components of a router use."""

from __future__ import annotations

from typing import Any

from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    Request,
    Result,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.routing.state import Attempt, Fleet, PendingRequest, Worker
from tests.helpers import CLASSES, SAFE


def make_worker(number: int = 1, is_ready: bool = True, **fields: Any) -> Worker:
    """Return a worker that is listed."""
    endpoint = WorkerEndpoint(number, WorkerState.READY, **fields)
    return Worker(endpoint, is_ready=is_ready, is_listed=True)


def make_fleet(*workers: Worker) -> Fleet:
    """Return a fleet of these workers."""
    capacity = sum(worker.endpoint.capacity for worker in workers)
    return Fleet({worker.endpoint.worker_id: worker for worker in workers}, len(workers), capacity)


def make_request(number: int = 1, class_index: int = SAFE, function_id: int = 1, **fields: Any) -> Request:
    """Return a request whose deadline is 103 s, for tests that start at 100 s."""
    fields.setdefault("deadline_s", 103.0)
    fields.setdefault("memory_mb", 500.0)
    return Request(number, class_index, function_id, **fields)


def make_pending(request: Request | None = None, weight: float = 1.0) -> PendingRequest:
    """Return a request that has no final answer yet."""
    request = request or make_request()
    return PendingRequest(request, CLASSES[request.class_index], weight, request.deadline_s)


def make_attempt(
    worker: Worker, request: Request | None = None, expects_warm: bool = True, sent_s: float = 100.0
) -> Attempt:
    """Return an attempt in flight."""
    return Attempt(request or make_request(), 0, worker, sent_s, expects_warm, not expects_warm)


def make_outcome(
    result: Result = Result.OK,
    elapsed_s: float = 0.1,
    cache_status: CacheStatus = CacheStatus.WARM,
    **fields: Any,
) -> AttemptOutcome:
    """Return the outcome of an attempt."""
    return AttemptOutcome(1, 0, 1, result, elapsed_s, cache_status=cache_status, **fields)
