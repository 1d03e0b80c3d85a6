"""Eligibility of a worker for an attempt of a request."""

from __future__ import annotations

from saffronstack.routing.retry_policy import is_in_deduplication_scope
from saffronstack.routing.slow_start import SlowStart
from saffronstack.routing.state import PendingRequest, Worker


class Eligibility:
    """Combines the conditions of the endpoint list, outlier detection, retry policy and slow start.

    Whatever picks a worker for an attempt asks here. A first attempt at a worker and a retry at a worker that
    lost its connection differ only in what they require of the worker's health and of earlier attempts; the
    other conditions are in `_may_get_attempt` for both.
    """

    __slots__ = ("_slow_start",)

    def __init__(self, slow_start: SlowStart) -> None:
        self._slow_start = slow_start

    def is_eligible(self, now: float, pending: PendingRequest, worker: Worker) -> bool:
        """Return whether a worker may get the next attempt of a request that it has not got yet."""
        if worker.is_ejected and now < worker.next_trial_s:
            return False
        worker_id = worker.endpoint.worker_id
        for attempt in pending.attempts:
            if attempt.worker.endpoint.worker_id == worker_id:
                return False
        return self._may_get_attempt(now, pending, worker)

    def can_retry_after_disconnect(self, now: float, pending: PendingRequest, worker: Worker) -> bool:
        """Return whether a request may be retried at a worker to which it lost its connection."""
        if worker.is_ejected:
            return False
        if not any(attempt.connection_lost and attempt.worker is worker for attempt in pending.attempts):
            return False
        return self._may_get_attempt(now, pending, worker)

    def _may_get_attempt(self, now: float, pending: PendingRequest, worker: Worker) -> bool:
        """Return whether a worker meets the conditions of every attempt, whatever was sent to it before."""
        return (
            worker.is_ready
            and is_in_deduplication_scope(pending, worker)
            and self._slow_start.grants_attempt(now, worker)
        )
