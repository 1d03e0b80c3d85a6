"""Outlier detection: ejects workers that are slow, failing or unreachable, and readmits them after trials.

Each worker is compared with the median of the fleet, so that an overload or a fault of all workers ejects
none. An ejected worker gets one trial request at a time and is readmitted when its trials look normal.
"""

from __future__ import annotations

from saffronstack.routing.events import AttemptOutcome, CacheStatus, Result
from saffronstack.routing.state import Attempt, Fleet, Worker

SLOWNESS_RATIO = 3.0  # multiple of the median slowness at which a worker is an outlier
ERROR_FRACTION = 0.25  # error fraction, above twice the median, at which a worker is an outlier
CONNECTION_FAILURE_THRESHOLD = 2  # consecutive connection failures that make a worker an outlier
# Factor on the thresholds above for an ejected worker. The lower thresholds prevent a worker near a threshold
# from being ejected and readmitted with every response.
RETURN_FACTOR = 0.7
MIN_SLOWNESS_SAMPLES = 8  # responses before a worker can count as slow; fewer could be slow by chance
MAX_EJECTED_FRACTION = 0.35  # maximum fraction of ready workers; the rest could not carry more load
EVALUATION_INTERVAL_S = 0.1  # time between evaluations; limits the cost of sorting a large fleet
RESPONSE_WEIGHT = 0.1  # weight of one response in a worker's moving averages
TRIAL_WEIGHT = 0.4  # weight of a trial's response; trials are rare
TRIAL_INTERVAL_S = 1.0  # time between trial requests to an ejected worker
USUAL_LATENCY_WEIGHT = 0.02  # weight of one response in the usual latency of its class
# Cap on a latency that updates the usual latency, as a multiple of the usual latency; limits the effect of
# hangs.
MAX_USUAL_RATIO = 5
MAX_SLOWNESS = 10.0  # cap on the slowness of one response; limits the effect of hangs
MIN_LATENCY_S = 1e-3  # usual latency if the first response took no measurable time
CONNECTION_FAILURES = (Result.CONNECT_FAILED, Result.RESET)
TIMED_RESULTS = (Result.OK, Result.TIMEOUT, Result.CANCELLED)


class OutlierDetection:
    """Tracks the health of workers and decides which ones are ejected.

    Detects slow, partly failing, unreachable and fast-failing workers, whatever the cause. Healthy workers
    may be ejected if the work of a request class differs much between workers.
    """

    __slots__ = ("_fleet", "_next_evaluation_s", "_usual_latency_s")

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._usual_latency_s: dict[int, float] = {}  # for loaded instances, by request class
        self._next_evaluation_s = 0.0

    def start_trial(self, now: float, worker: Worker) -> None:
        """Record that an ejected worker gets a trial request now."""
        worker.next_trial_s = now + TRIAL_INTERVAL_S

    def observe(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Update a worker's health by the outcome of one attempt; re-evaluates the fleet periodically."""
        worker = attempt.worker
        weight = TRIAL_WEIGHT if worker.is_ejected else RESPONSE_WEIGHT
        result = outcome.result
        if result is not Result.CANCELLED:
            is_connection_failure = result in CONNECTION_FAILURES
            worker.consecutive_connection_failures = (
                worker.consecutive_connection_failures + 1 if is_connection_failure else 0
            )
        is_error = result is Result.ERROR and outcome.cache_status is not CacheStatus.LOAD_FAILED
        if is_error or result is Result.OK:
            worker.error_fraction += weight * (is_error - worker.error_fraction)
        had_instance = (
            outcome.cache_status in (CacheStatus.WARM, CacheStatus.UNKNOWN) and attempt.expects_warm
        )
        if had_instance and result in TIMED_RESULTS:
            self._observe_latency(attempt, outcome, weight)
        if now >= self._next_evaluation_s:
            self._next_evaluation_s = now + EVALUATION_INTERVAL_S
            self._evaluate(now)

    def _observe_latency(self, attempt: Attempt, outcome: AttemptOutcome, weight: float) -> None:
        """Update a worker's slowness and the usual latency of the request class."""
        worker, class_index = attempt.worker, attempt.request.class_index
        is_success = outcome.result is Result.OK
        usual_s = self._usual_latency_s.get(class_index) or outcome.elapsed_s or MIN_LATENCY_S
        ratio = min(MAX_SLOWNESS, outcome.elapsed_s / usual_s)
        if is_success or ratio > worker.slowness:  # an unfinished attempt would have taken at least this long
            worker.slowness += weight * (ratio - worker.slowness)
            worker.slowness_samples = min(MIN_SLOWNESS_SAMPLES, worker.slowness_samples + 1)
        if is_success:
            latency_s = min(outcome.elapsed_s, MAX_USUAL_RATIO * usual_s)
            usual_s += USUAL_LATENCY_WEIGHT * (latency_s - usual_s)
            self._usual_latency_s[class_index] = usual_s

    def _evaluate(self, now: float) -> None:
        """Eject the worst outliers among the ready workers, and readmit the others."""
        ready = self._fleet.ready_workers()
        if not ready:
            return
        median_index = (len(ready) - 1) // 2
        median_slowness = sorted(worker.slowness for worker in ready)[median_index]
        median_errors = sorted(worker.error_fraction for worker in ready)[median_index]
        outliers = []
        for worker in ready:
            score = _score(worker, median_slowness, median_errors)
            if score >= 1:
                outliers.append((-score, worker.endpoint.worker_id))
        limit = int(MAX_EJECTED_FRACTION * len(ready))
        ejected = {worker_id for _, worker_id in sorted(outliers)[:limit]}
        for worker in ready:
            is_ejected = worker.endpoint.worker_id in ejected
            if is_ejected and not worker.is_ejected:
                worker.next_trial_s = now + TRIAL_INTERVAL_S
            worker.is_ejected = is_ejected


def _score(worker: Worker, median_slowness: float, median_errors: float) -> float:
    """Return a worker's worst metric relative to its threshold; 1 or more makes it an outlier."""
    factor = RETURN_FACTOR if worker.is_ejected else 1.0
    slowness = 0.0
    if worker.slowness_samples >= MIN_SLOWNESS_SAMPLES:
        slowness = worker.slowness / (factor * SLOWNESS_RATIO * median_slowness)
    errors = worker.error_fraction / (factor * (ERROR_FRACTION + 2 * median_errors))
    return max(slowness, errors, worker.consecutive_connection_failures / CONNECTION_FAILURE_THRESHOLD)
