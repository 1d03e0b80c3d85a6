"""Load control: how many function loads this gateway may have in progress.

The limit moves by whether loads take their usual time. Requests that would begin a load over it are held
back. Where instances are shared by all gateways there is no limit: most attempts find an instance.
"""

from __future__ import annotations

from saffronstack.routing.events import Request, Result
from saffronstack.routing.settings import Settings
from saffronstack.routing.shared_instances import SharedInstances
from saffronstack.routing.state import Fleet, Function, Worker

INITIAL_LOADS_PER_WORKER = 3.0  # loads in progress over all gateways that a worker bears, until measured
MIN_LOADS_PER_WORKER = 1.2  # over all gateways; under this, workers wait for requests instead
INCREASE_STEP = 0.1  # loads, by each one that takes its usual time while the limit is in use
DECREASE_FACTOR = 0.8  # by a load that is slow, times out or meets a worker at capacity
DECREASE_INTERVAL_S = 0.3  # the limit falls this often at most: loads in progress are slow together
MIN_LOADS = 5  # loads that a gateway may always have in progress, however small its part of the limit
SLOW_LOAD_RATIO = 3.0  # multiple of the usual load time from which a load is slow
# Weights of one load time in the usual one. Faster loads count more, so that it follows an idle store and not
# a crowded one.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.01
REQUIRED_LOAD_FRACTION = 1.0  # of the usual load time that must be left before the deadline to begin a load
# Requests that wait for each slot of an instance before another instance is loaded: a busy instance is free
# sooner than a new one is loaded.
WAITING_PER_SLOT = 1


class LoadControl:
    """Counts the loads in progress and limits them.

    Guards against loads that crowd the store and the queues of the workers: releases, a slow store, functions
    called once, bursts. It could hurt where loads are cheap.

    Attributes:
        loads_in_progress: Own attempts and load commands that await a load.
        loads_per_worker: Limit of these for each ready worker.
    """

    __slots__ = (
        "_fleet",
        "_min_loads_per_worker",
        "_reduced_s",
        "_shared",
        "_usual_load_s",
        "loads_in_progress",
        "loads_per_worker",
    )

    def __init__(self, settings: Settings, fleet: Fleet, shared: SharedInstances) -> None:
        self._fleet = fleet
        self._shared = shared
        self._min_loads_per_worker = MIN_LOADS_PER_WORKER / settings.gateway_count
        self._usual_load_s = 0.0
        self._reduced_s = 0.0
        self.loads_in_progress = 0
        self.loads_per_worker = INITIAL_LOADS_PER_WORKER / settings.gateway_count

    def limit(self) -> float:
        """Return how many loads may be in progress."""
        return max(MIN_LOADS, self.loads_per_worker * self._fleet.ready_count)

    def has_free_slot(self) -> bool:
        """Return whether another load is within the limit."""
        return self.loads_in_progress < self.limit()

    def may_load(self, now: float, request: Request, function: Function, can_wait: bool) -> bool:
        """Return whether a request may begin a load.

        Args:
            now: Present time in seconds.
            request: The request.
            function: Its function.
            can_wait: Whether the request can still wait for a busy instance.
        """
        if self._shared.are_common():
            return True
        has_time = request.deadline_s - now > REQUIRED_LOAD_FRACTION * self._usual_load_s
        if not has_time or not self.has_free_slot():
            return False
        at_limit = 0  # instances that are idle, at workers that are at their concurrency limit
        for worker, _ in function.warm_instances:
            at_limit += worker.is_ready and not worker.is_ejected
        loading = function.loads_in_progress * max(1.0, request.concurrency)
        slots = at_limit + function.warm_attempts_in_flight + loading
        if len(function.waiting) >= WAITING_PER_SLOT * slots:
            return True
        return not can_wait and not function.loads_in_progress

    def begin(self, worker: Worker, function: Function, function_id: int) -> None:
        """Note that a load begins."""
        function.loads_in_progress += 1
        self.loads_in_progress += 1
        worker.loads_in_progress[function_id] = worker.loads_in_progress.get(function_id, 0) + 1

    def end(self, worker: Worker, function: Function, function_id: int) -> None:
        """Note that a load ended, whatever its result."""
        function.loads_in_progress -= 1
        self.loads_in_progress -= 1
        worker.loads_in_progress[function_id] -= 1
        if worker.loads_in_progress[function_id] <= 0:
            del worker.loads_in_progress[function_id]

    def observe(self, now: float, result: Result, load_s: float) -> None:
        """Move the limit by the result of a load; ``load_s`` is 0 where no load was seen."""
        if result is Result.OK and load_s > 0:
            self._observe_load_time(load_s)
        elif result not in (Result.AT_CAPACITY, Result.TIMEOUT):
            return
        if result is Result.OK and load_s < SLOW_LOAD_RATIO * self._usual_load_s:
            if self.loads_in_progress + 2 > self.limit():
                self.loads_per_worker += INCREASE_STEP / max(1, self._fleet.ready_count)
        elif now > self._reduced_s + DECREASE_INTERVAL_S:
            self._reduced_s = now
            self.loads_per_worker = max(self._min_loads_per_worker, DECREASE_FACTOR * self.loads_per_worker)

    def _observe_load_time(self, load_s: float) -> None:
        weight = FASTER_WEIGHT if load_s < self._usual_load_s else SLOWER_WEIGHT
        if self._usual_load_s:
            self._usual_load_s += weight * (load_s - self._usual_load_s)
        else:
            self._usual_load_s += load_s
