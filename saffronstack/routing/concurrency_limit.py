"""Adaptive concurrency limit of each worker, for attempts sent to its loaded instances.

There is no limit until the first late response. The limit falls when responses are late or the worker is at
capacity. It rises while responses are timely and most of the limit is in use. Requests over the limit are
queued at the gateway.
"""

from __future__ import annotations

from saffronstack.routing.events import AttemptOutcome, Result
from saffronstack.routing.settings import Settings
from saffronstack.routing.state import Attempt

# Results that depend on the worker's load. Connection failures are handled by outlier detection.
LOAD_RESULTS = (Result.OK, Result.AT_CAPACITY, Result.TIMEOUT)
LATE_FRACTION = 0.7  # fraction of the latency objective; slower responses count as late before they miss it
DECREASE_INTERVAL_S = 0.3  # minimum time between decreases: responses in flight report the same overload
DECREASE_FACTOR = 0.85  # factor on the limit, or on the concurrency in use if that is lower
INCREASE_STEP = 0.1  # attempts added for each timely response
IN_USE_FRACTION = 0.7  # fraction of the limit that must be in use for the limit to rise
MIN_LIMIT = 2.0  # attempts; keeps a worker usable if one of its functions is slow
# Fraction of a worker's limit that a request with a priority weight of 0 may use. A request of mean weight
# may use the whole limit.
MIN_USABLE_FRACTION = 0.2


class ConcurrencyLimiter:
    """Adjusts the concurrency limits of workers to the latency of their responses.

    The limits prevent queues at the workers, whatever causes them. A limit may be too low for a worker at
    which only one function is slow.
    """

    __slots__ = ("_classes",)

    def __init__(self, settings: Settings) -> None:
        self._classes = settings.classes

    def usable_fraction(self, priority_weight: float, mean_priority_weight: float) -> float:
        """Return the fraction of a worker's concurrency limit that a request of this weight may use."""
        if mean_priority_weight <= 0:
            return 1.0
        relative = (1 - MIN_USABLE_FRACTION) * priority_weight / mean_priority_weight
        return min(1.0, MIN_USABLE_FRACTION + relative)

    def observe(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Adjust a worker's limit by the outcome of an attempt at a loaded instance."""
        worker = attempt.worker
        objective_s = self._classes[attempt.request.class_index].latency_objective_s
        is_late = outcome.result is Result.AT_CAPACITY or outcome.elapsed_s > LATE_FRACTION * objective_s
        if not is_late:
            if worker.warm_attempts_in_flight + 1 > IN_USE_FRACTION * worker.concurrency_limit:
                worker.concurrency_limit += INCREASE_STEP
        elif outcome.result in LOAD_RESULTS and now > worker.limit_reduced_s + DECREASE_INTERVAL_S:
            worker.limit_reduced_s = now
            in_use = min(worker.concurrency_limit, worker.warm_attempts_in_flight + 1)
            worker.concurrency_limit = max(MIN_LIMIT, DECREASE_FACTOR * in_use)
