"""Requests held back at the gateway until an instance or a load slot is free, the newest one first.

Newest first keeps most requests within their latency objective in an overload; the oldest ones would pass it
one after another. Holding back guards against queues at the workers. It could hurt where loads cost nothing.
"""

from __future__ import annotations

from saffronstack.routing.actions import SetTimer
from saffronstack.routing.events import Request
from saffronstack.routing.state import Function, PendingRequest

# Part of its time for which a request is held back when nothing was sent for it: a client that is rejected
# early may yet be served elsewhere.
QUEUE_TIME_FRACTION = 0.48
DEADLINE_MARGIN_S = 0.05  # a request that is held back is answered this long before its deadline
LOAD_DELAY_FRACTION = 0.3  # of the latency objective, after which it may load an instance all the same


def queue_deadline_s(now: float, request: Request) -> float:
    """Return until when a request that arrives now is held back while nothing was sent for it."""
    latest_s = request.deadline_s - DEADLINE_MARGIN_S
    return min(latest_s, now + QUEUE_TIME_FRACTION * (request.deadline_s - now))


class RequestQueue:
    """The requests that are held back; those of one function lie in `Function.waiting`.

    Attributes:
        functions: Functions with requests held back.
    """

    __slots__ = ("_requests", "functions")

    def __init__(self, requests: dict[int, PendingRequest]) -> None:
        self._requests = requests
        self.functions: dict[int, Function] = {}

    def may_enqueue(self, now: float, pending: PendingRequest) -> bool:
        """Return whether a request has time left to be held back."""
        return now < self._queue_deadline_s(pending)

    def enqueue(self, now: float, pending: PendingRequest, function: Function) -> SetTimer:
        """Hold a request back; returns the timer at which to look at it again."""
        function.waiting.append(pending)
        self.functions[pending.request.function_id] = function
        delay_s = self._queue_deadline_s(pending) - now
        if not pending.has_queue_timer:
            delay_s = min(delay_s, LOAD_DELAY_FRACTION * pending.request_class.latency_objective_s)
        pending.has_queue_timer = True
        return SetTimer(max(0.0, delay_s), pending.request.request_id)

    def remove(self, pending: PendingRequest, function: Function) -> bool:
        """Take out a request; returns whether it was held back."""
        if pending not in function.waiting:
            return False
        function.waiting.remove(pending)
        if not function.waiting:
            self.functions.pop(pending.request.function_id, None)
        return True

    def pop_newest(self, function: Function) -> PendingRequest | None:
        """Take out the newest request of a function; drops those whose clients disconnected."""
        while function.waiting:
            pending = function.waiting.pop()
            if not function.waiting:
                self.functions.pop(pending.request.function_id, None)
            if self._requests.get(pending.request.request_id) is pending:
                return pending
        return None

    def functions_with_instances(self) -> list[Function]:
        """Return the functions that have warm instances, by the weight of their newest request."""
        candidates = [f for f in self.functions.values() if f.waiting and f.warm_instances]
        return sorted(candidates, key=lambda function: -function.waiting[-1].priority_weight)

    def heaviest_function_without_load(self) -> Function | None:
        """Return the function without any load in progress for which most weight is held back."""
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
