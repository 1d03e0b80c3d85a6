"""Updates of a router's state from the outcome of an attempt."""

from __future__ import annotations

from saffronstack.routing.components import Components
from saffronstack.routing.events import AttemptOutcome, CacheStatus, Result
from saffronstack.routing.memory_account import PlacedInstances
from saffronstack.routing.state import Attempt, Function

RESPONSES = (Result.OK, Result.AT_CAPACITY, Result.ERROR)  # results that prove that the worker responds
CONNECTION_LOSSES = (Result.RESET, Result.CONNECT_FAILED)
LOADED = (CacheStatus.STARTED_LOAD, CacheStatus.JOINED_LOAD)
WARM_OR_UNKNOWN = (CacheStatus.WARM, CacheStatus.UNKNOWN)


class OutcomeFeedback:
    """Passes the outcome of each attempt to the components that keep state about it."""

    def __init__(self, components: Components) -> None:
        self._classes = components.settings.classes
        self._functions = components.functions
        self._shared = components.shared_instances
        self._cpu = components.cpu
        self._placement = components.placement
        self._shedder = components.load_shedder
        self._limiter = components.concurrency_limiter
        self._outliers = components.outlier_detection
        self._memory = components.memory
        self._load_control = components.load_control
        self._warm_pool = components.warm_pool

    def apply(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Update the state of the router with the outcome of an attempt that has just ended."""
        worker, request = attempt.worker, attempt.request
        function = self._functions[request.function_id]
        worker.attempts_in_flight -= 1
        if attempt.expects_warm:
            function.warm_attempts_in_flight -= 1
            worker.warm_attempts_in_flight -= 1
            if outcome.cache_status in WARM_OR_UNKNOWN:
                self._limiter.observe(now, attempt, outcome)
        self._observe_worker(now, attempt, outcome)
        if not attempt.expects_warm:
            self._load_control.end(worker, function, request.function_id)
            started_load = outcome.cache_status is CacheStatus.STARTED_LOAD
            self._load_control.observe(now, outcome.result, outcome.elapsed_s if started_load else 0.0)
        placed = self._memory.instances_at(worker, request)
        placed.attempts_in_flight -= 1
        self._update_instances(now, attempt, outcome, function)
        if outcome.result is Result.OK:
            self._release_instance(now, attempt, outcome, function, placed)
        self._memory.schedule_expiry(now, worker.endpoint.worker_id, request.function_id)

    def _observe_worker(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Update the estimates of the worker's load and health."""
        worker, report = attempt.worker, outcome.load_report
        if outcome.result in RESPONSES:
            worker.last_response_s = now
        if report is not None and report.cpu_utilization is not None:
            self._cpu.observe(now, worker, min(1.0, report.cpu_utilization))
        self._shared.observe(attempt, outcome)
        self._placement.observe(attempt, outcome)
        self._shedder.observe(now, attempt, outcome)
        self._outliers.observe(now, attempt, outcome)

    def _update_instances(
        self, now: float, attempt: Attempt, outcome: AttemptOutcome, function: Function
    ) -> None:
        """Return an attempt's instance to the warm pool, or drop instances that the outcome shows to be gone.

        A lost connection or a client disconnect does not show whether the instance is still loaded. If it
        were dropped, connection resets would make loaded instances unknown and requests would wait for
        needless loads. A worker that is down is handled by outlier detection.
        """
        result = outcome.result
        attempt.connection_lost = result in CONNECTION_LOSSES
        is_cancelled = result is Result.CANCELLED
        if (attempt.connection_lost or is_cancelled) and attempt.expects_warm:
            freed_s = now if is_cancelled else attempt.instance_freed_s
            self._warm_pool.restore(function, attempt.worker, freed_s)
        elif result is not Result.OK or outcome.cache_status in LOADED:
            self._warm_pool.discard_older(function, attempt.worker, attempt.sent_s)

    def _release_instance(
        self,
        now: float,
        attempt: Attempt,
        outcome: AttemptOutcome,
        function: Function,
        placed: PlacedInstances,
    ) -> None:
        """Add the instance that served a request to the warm pool; a newly loaded one with all its slots.

        If instances are shared, a late response adds none, so that the next request does not go to an
        overloaded or slow worker. Functions that are inherently slow then have fewer known instances.
        """
        request = attempt.request
        placed.last_used_s = now
        if outcome.cache_status in LOADED:
            free = int(request.concurrency) - placed.attempts_in_flight
            self._warm_pool.release(now, function, attempt.worker, max(1, free))
            return
        objective_s = self._classes[request.class_index].latency_objective_s
        is_late = self._shared.are_common() and outcome.elapsed_s > objective_s
        if not is_late:
            self._warm_pool.release(now, function, attempt.worker, 1)
