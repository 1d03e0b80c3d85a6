"""Dispatch of requests: send the next attempt, queue the request, or give the final answer."""

from __future__ import annotations

from saffronstack.routing.actions import Action, SendAttempt
from saffronstack.routing.components import Components
from saffronstack.routing.state import Attempt, Function, PendingRequest, Worker

# Maximum number of attempts of one request that may each begin a load. When most workers are at capacity,
# further attempts would only add to their load.
MAX_LOAD_ATTEMPTS = 3


class Dispatcher:
    """Decides the next step for a request.

    The steps are tried in this order: a warm instance, a load at a worker, the queue, the final answer.

    Attributes:
        actions: Actions decided since the current event arrived.
    """

    def __init__(self, components: Components) -> None:
        self.actions: list[Action] = []
        self._workers = components.fleet.workers
        self._functions = components.functions
        self._requests = components.requests
        self._attempts = components.attempts
        self._eligibility = components.eligibility
        self._retry_policy = components.retry_policy
        self._limiter = components.concurrency_limiter
        self._shedder = components.load_shedder
        self._outliers = components.outlier_detection
        self._warm_pool = components.warm_pool
        self._memory = components.memory
        self._placement = components.placement
        self._load_control = components.load_control
        self._load_commands = components.load_commands
        self._queue = components.request_queue

    def dispatch(self, now: float, pending: PendingRequest, can_wait: bool = True) -> None:
        """Send the next attempt of a request, queue the request, or give its final answer.

        Args:
            now: Current time in seconds.
            pending: The request, without any attempt in flight.
            can_wait: Whether the request can still wait for a busy instance.
        """
        function_id = pending.request.function_id
        function = self._functions.get(function_id)
        if function is None:
            function = self._functions[function_id] = Function()
        if not self._retry_policy.may_attempt(now, pending):
            self.give_final_answer(pending)
            return
        self._memory.expire(now)
        weight, mean_weight = pending.priority_weight, self._shedder.mean_priority_weight
        usable_fraction = self._limiter.usable_fraction(weight, mean_weight)
        instance = self._warm_pool.take(now, function, pending, usable_fraction)
        if instance is None:
            self._dispatch_without_instance(now, pending, function, can_wait)
            return
        worker, freed_s = instance
        expects_warm = function_id not in worker.loads_in_progress
        self._send(now, pending, worker, function, expects_warm, freed_s)

    def give_final_answer(self, pending: PendingRequest) -> None:
        """Give the final answer to a request that gets no further attempt."""
        del self._requests[pending.request.request_id]
        self.actions.append(self._retry_policy.final_answer(pending))

    def dispatch_queued(self, now: float) -> None:
        """Dispatch queued requests as far as free instances and load slots allow."""
        if self._queue.functions:
            self._use_free_instances(now)
            self._use_free_load_slots(now)

    def _dispatch_without_instance(
        self, now: float, pending: PendingRequest, function: Function, can_wait: bool
    ) -> None:
        # All workers are scanned only here: most requests find an instance, and fleets may be large.
        is_eligible = self._eligibility.is_eligible
        eligible = [worker for worker in self._workers.values() if is_eligible(now, pending, worker)]
        load_attempts = sum(not attempt.expects_warm for attempt in pending.attempts)
        if not eligible or load_attempts >= MAX_LOAD_ATTEMPTS:
            self.give_final_answer(pending)
        elif self._load_control.may_load(now, pending.request, function, can_wait):
            worker = self._placement.choose(now, pending.request, function, eligible)
            if self._load_commands.may_send(now):
                self.actions.append(self._load_commands.send(now, pending.request, worker, function))
                self.actions.append(self._queue.enqueue(now, pending, function))
            else:
                self._send(now, pending, worker, function, False, 0.0)
        elif self._queue.may_enqueue(now, pending):
            self.actions.append(self._queue.enqueue(now, pending, function))
        else:
            self.give_final_answer(pending)

    def _send(
        self,
        now: float,
        pending: PendingRequest,
        worker: Worker,
        function: Function,
        expects_warm: bool,
        freed_s: float,
    ) -> None:
        """Send the next attempt of a request to a worker and update all counts."""
        request, worker_id = pending.request, worker.endpoint.worker_id
        expects_no_instance = not expects_warm and not self._memory.knows_instance(
            worker, request.function_id
        )
        attempt = Attempt(
            request, len(pending.attempts), worker, now, expects_warm, expects_no_instance, freed_s
        )
        if expects_warm:
            function.warm_attempts_in_flight += 1
            worker.warm_attempts_in_flight += 1
        else:
            self._load_control.begin(worker, function, request.function_id)
        self._retry_policy.record_attempt(pending)
        pending.attempts.append(attempt)
        pending.attempts_in_flight += 1
        self._attempts[request.request_id, attempt.index] = attempt
        worker.attempts_in_flight += 1
        worker.send_credit -= 1.0
        self._memory.begin_attempt(worker, request)
        if worker.is_ejected:
            self._outliers.start_trial(now, worker)
        latest_start_s = self._retry_policy.latest_start_s(pending)
        self.actions.append(
            SendAttempt(request.request_id, worker_id, 0.0, latest_start_s, attempt.zone, attempt.cell)
        )

    def _use_free_instances(self, now: float) -> None:
        """Dispatch queued requests to free instances, by the weight of each function's newest request."""
        for function in self._queue.functions_with_instances():
            while function.waiting and function.warm_instances:
                instances_before = len(function.warm_instances)
                self._dispatch_newest(now, function, True)
                if len(function.warm_instances) >= instances_before:
                    break

    def _use_free_load_slots(self, now: float) -> None:
        """Use free load slots for the functions with the highest total weight of queued requests."""
        for _ in range(len(self._queue.functions)):
            function = self._queue.heaviest_function_without_load()
            if function is None or not self._load_control.has_free_slot():
                break
            loads_before = self._load_control.loads_in_progress
            self._dispatch_newest(now, function, False)
            if self._load_control.loads_in_progress <= loads_before:
                break

    def _dispatch_newest(self, now: float, function: Function, can_wait: bool) -> None:
        pending = self._queue.pop_newest(function)
        if pending is not None:
            self.dispatch(now, pending, can_wait)
