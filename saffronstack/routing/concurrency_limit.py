"""Adaptive concurrency limit of each worker, for attempts sent to its loaded instances.

The limit is absent until the first late response. It falls when responses are late or the worker is at
capacity and rises while responses are timely and the limit is in use. Requests over it wait at the gateway.
"""

from __future__ import annotations

from saffronstack.routing.events import AttemptOutcome, Result
from saffronstack.routing.settings import Settings
from saffronstack.routing.state import Attempt

# Results that say something of the worker's load; connections that fail are left to outlier detection.
LOAD_RESULTS = (Result.OK, Result.AT_CAPACITY, Result.TIMEOUT)
LATE_FRACTION = 0.7  # of the latency objective; a slower response counts as late, before clients lose value
DECREASE_INTERVAL_S = 0.3  # the limit falls this often at most: responses in flight report the same overload
DECREASE_FACTOR = 0.85  # of the limit, or of the concurrency in use where that is less
INCREASE_STEP = 0.1  # attempts, by one timely response
IN_USE_FRACTION = 0.7  # the limit rises only while this fraction of it is in use
MIN_LIMIT = 2.0  # attempts; a worker with one slow function must stay usable
# Fraction of a worker's limit that a request without any priority weight may use; one of mean weight may use
# all of it.
MIN_USABLE_FRACTION = 0.2


class ConcurrencyLimiter:
    """Moves the concurrency limit of workers by the latency of their responses.

    Guards against queues at the workers, whatever fills them. It could hurt where only one function is slow.
    """

    __slots__ = ("_classes",)

    def __init__(self, settings: Settings) -> None:
        self._classes = settings.classes

    def usable_fraction(self, priority_weight: float, mean_priority_weight: float) -> float:
        """Return the fraction of a worker's limit that a request of this priority weight may use."""
        if mean_priority_weight <= 0:
            return 1.0
        relative = (1 - MIN_USABLE_FRACTION) * priority_weight / mean_priority_weight
        return min(1.0, MIN_USABLE_FRACTION + relative)

    def observe(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Take in the outcome of an attempt at a loaded instance."""
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
