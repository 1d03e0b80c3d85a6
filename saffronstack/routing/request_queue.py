"""Queue of requests that wait at the gateway for an instance or a load slot, newest first.

Newest first keeps most requests within their latency objective in an overload; with oldest first, one request
after another would miss it. Queueing at the gateway avoids queues at the workers. It delays requests
needlessly if loads cost nothing.
"""

from __future__ import annotations

from saffronstack.routing.actions import SetTimer
from saffronstack.routing.events import Request
from saffronstack.routing.state import Function, PendingRequest

# Maximum fraction of the time until its deadline that a request without any attempt is queued: a client that
# is rejected early may still be served elsewhere.
QUEUE_TIME_FRACTION = 0.48
DEADLINE_MARGIN_S = 0.05  # margin before the deadline at which a queued request gets its final answer
LOAD_DELAY_FRACTION = 0.3  # fraction of the latency objective after which a queued request may load


def queue_deadline_s(now: float, request: Request) -> float:
    """Return until when a request that arrives now may stay queued without any attempt."""
    latest_s = request.deadline_s - DEADLINE_MARGIN_S
    return min(latest_s, now + QUEUE_TIME_FRACTION * (request.deadline_s - now))


class RequestQueue:
    """The queued requests; those of one function are in `Function.waiting`.

    Attributes:
        functions: Functions with queued requests, by function ID.
    """

    __slots__ = ("_requests", "functions")

    def __init__(self, requests: dict[int, PendingRequest]) -> None:
        self._requests = requests
        self.functions: dict[int, Function] = {}

    def may_enqueue(self, now: float, pending: PendingRequest) -> bool:
        """Return whether a request has time left to be queued."""
        return now < self._queue_deadline_s(pending)

    def enqueue(self, now: float, pending: PendingRequest, function: Function) -> SetTimer:
        """Queue a request and return the timer after which to dispatch it again."""
        function.waiting.append(pending)
        self.functions[pending.request.function_id] = function
        delay_s = self._queue_deadline_s(pending) - now
        if not pending.has_queue_timer:
            delay_s = min(delay_s, LOAD_DELAY_FRACTION * pending.request_class.latency_objective_s)
        pending.has_queue_timer = True
        return SetTimer(max(0.0, delay_s), pending.request.request_id)

    def remove(self, pending: PendingRequest, function: Function) -> bool:
        """Remove a request from the queue and return whether it was queued."""
        if pending not in function.waiting:
            return False
        function.waiting.remove(pending)
        if not function.waiting:
            self.functions.pop(pending.request.function_id, None)
        return True

    def pop_newest(self, function: Function) -> PendingRequest | None:
        """Remove and return the newest request of a function; drops those whose clients disconnected."""
        while function.waiting:
            pending = function.waiting.pop()
            if not function.waiting:
                self.functions.pop(pending.request.function_id, None)
            if self._requests.get(pending.request.request_id) is pending:
                return pending
        return None

    def functions_with_instances(self) -> list[Function]:
        """Return functions with queued requests and warm instances, heaviest newest request first."""
        candidates = [f for f in self.functions.values() if f.waiting and f.warm_instances]
        return sorted(candidates, key=lambda function: -function.waiting[-1].priority_weight)

    def heaviest_function_without_load(self) -> Function | None:
        """Return the function with the highest total weight of queued requests and no load in progress."""
        candidates = [f for f in self.functions.values() if f.waiting and not f.loads_in_progress]
        if not candidates:
            return None
        return max(
            candidates, key=lambda function: sum(pending.priority_weight for pending in function.waiting)
        )

    def _queue_deadline_s(self, pending: PendingRequest) -> float:
        if pending.attempts:
            return pending.request.deadline_s - DEADLINE_MARGIN_S
        return pending.queue_deadline_s
