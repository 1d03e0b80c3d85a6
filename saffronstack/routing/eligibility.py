"""Eligibility of a worker for an attempt of a request."""

from __future__ import annotations

from saffronstack.routing.retry_policy import is_in_deduplication_scope
from saffronstack.routing.slow_start import SlowStart
from saffronstack.routing.state import PendingRequest, Worker


class Eligibility:
    """Combines the conditions of the endpoint list, outlier detection, retry policy and slow start."""

    __slots__ = ("_slow_start",)

    def __init__(self, slow_start: SlowStart) -> None:
        self._slow_start = slow_start

    def is_eligible(self, now: float, pending: PendingRequest, worker: Worker) -> bool:
        """Return whether a worker may get the next attempt of a request."""
        if not worker.is_ready or (worker.is_ejected and now < worker.next_trial_s):
            return False
        worker_id = worker.endpoint.worker_id
        for attempt in pending.attempts:
            if attempt.worker.endpoint.worker_id == worker_id:
                return False
        if pending.maybe_executed is not None and not is_in_deduplication_scope(pending, worker):
            return False
        return now >= worker.slow_start_ends_s or self._slow_start.grants_attempt(now, worker)

    def can_retry_after_disconnect(self, now: float, pending: PendingRequest, worker: Worker) -> bool:
        """Return whether a request may be retried at a worker to which it lost its connection."""
        if not worker.is_ready or worker.is_ejected:
            return False
        if not any(attempt.connection_lost and attempt.worker is worker for attempt in pending.attempts):
            return False
        return self._slow_start.grants_attempt(now, worker)
