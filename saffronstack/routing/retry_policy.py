"""Retry policy: when and where a request may be retried, and its final answer if it may not.

A request is executed at most once unless a second execution is harmless. An attempt that may have executed is
retried only for idempotent requests, or with an idempotency key within the scope and the window in which
workers recognise the key.
"""

from __future__ import annotations

import math

from saffronstack.routing.actions import Fail, Reject
from saffronstack.routing.events import Result
from saffronstack.routing.settings import DeduplicationScope, Idempotency, Settings
from saffronstack.routing.state import PendingRequest, Worker

# Results after which the request was certainly not executed.
NEVER_EXECUTED = (Result.AT_CAPACITY, Result.CONNECT_FAILED, Result.NOT_STARTED, Result.NOT_LOADED)
# Retry budget. Without it, workers at capacity turn each request into several attempts, which load more
# instances. If many responses are lost, the budget denies retries that would succeed.
RETRIES_PER_REQUEST = 0.1
MAX_RETRY_BUDGET = 5.0
WINDOW_MARGIN_S = 0.05  # margin before workers forget the idempotency key of a retry
RETRY_AFTER_S = 0.5  # retry delay suggested to rejected clients, as far as the site permits


def is_in_deduplication_scope(pending: PendingRequest, worker: Worker) -> bool:
    """Return whether a worker would recognise a retry of a request that may have executed."""
    first, request_class = pending.maybe_executed, pending.request_class
    scope = request_class.deduplication_scope
    is_limited = request_class.idempotency is Idempotency.WITH_KEY and scope is not DeduplicationScope.ALL
    if first is None or not is_limited:
        return True
    if scope is DeduplicationScope.ZONE:
        return worker.endpoint.zone == first.zone
    return worker.endpoint.cell == first.cell


class RetryPolicy:
    """Decides on retries and final answers, and keeps the retry budget.

    Attributes:
        retry_budget: Number of retries that are allowed now.
    """

    __slots__ = ("_max_attempts", "_retry_after_s", "retry_budget")

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.permissions.max_attempts
        self._retry_after_s = min(RETRY_AFTER_S, settings.permissions.max_retry_after_s)
        self.retry_budget = MAX_RETRY_BUDGET

    def record_request(self) -> None:
        """Increase the retry budget for a new request."""
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)

    def record_attempt(self, pending: PendingRequest) -> None:
        """Reduce the retry budget if the attempt that is about to be sent is a retry."""
        if pending.attempts:
            self.retry_budget -= 1

    def may_attempt(self, now: float, pending: PendingRequest) -> bool:
        """Return whether deadline, attempt limit, retry budget and idempotency allow another attempt."""
        attempts = len(pending.attempts)
        if now >= pending.request.deadline_s or 0 < self._max_attempts <= attempts:
            return False
        if attempts and self.retry_budget < 1:
            return False
        return now < self.latest_start_s(pending)

    def latest_start_s(self, pending: PendingRequest) -> float:
        """Return the time from which no further attempt may start; infinite without such a limit.

        An attempt may wait for its connection after it was decided. Workers must still know its key then.
        """
        first, request_class = pending.maybe_executed, pending.request_class
        if first is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return -math.inf
        return first.sent_s + request_class.deduplication_window_s - WINDOW_MARGIN_S

    def final_answer(self, pending: PendingRequest) -> Reject | Fail:
        """Return the final answer to a request that gets no further attempt.

        The request is rejected only if a retry by its client is harmless; otherwise it fails.
        """
        request_class = pending.request_class
        is_harmless = request_class.idempotency is Idempotency.IDEMPOTENT or (
            request_class.idempotency is Idempotency.WITH_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        if (is_harmless or pending.maybe_executed is None) and not pending.attempts_in_flight:
            return Reject(pending.request.request_id, self._retry_after_s)
        return Fail(pending.request.request_id)
