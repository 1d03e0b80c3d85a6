"""Load control: limits how many function loads this gateway may have in progress.

The limit rises while loads take their usual time and falls when they are slow. Requests that would begin a
load over the limit are queued. If instances are shared by all gateways, there is no limit, because most
attempts find an instance.
"""

from __future__ import annotations

from saffronstack.routing.events import Request, Result
from saffronstack.routing.settings import Settings
from saffronstack.routing.shared_instances import SharedInstances
from saffronstack.routing.state import Fleet, Function, Worker

INITIAL_LOADS_PER_WORKER = 3.0  # initial limit on loads in progress at each worker, over all gateways
MIN_LOADS_PER_WORKER = 1.2  # minimum of this limit; with less, workers idle while requests wait
INCREASE_STEP = 0.1  # loads added for each load that takes its usual time while the limit is in use
DECREASE_FACTOR = 0.8  # on the limit for a load that is slow, times out or is rejected at capacity
DECREASE_INTERVAL_S = 0.3  # minimum time between decreases: concurrent loads become slow together
MIN_LOADS = 5  # loads that a gateway may always have in progress, however small its share of the limit
SLOW_LOAD_RATIO = 3.0  # multiple of the usual load time at which a load counts as slow
# Weights of one load time in the usual load time. Faster loads count more, so that the usual load time is
# that of an idle function store, not of an overloaded one.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.01
REQUIRED_LOAD_FRACTION = 1.0  # fraction of the usual load time that must remain before the deadline
# Queued requests for each instance slot before another instance is loaded: a busy instance becomes free
# sooner than a new one is loaded.
WAITING_PER_SLOT = 1


class LoadControl:
    """Counts the loads in progress and limits them.

    The limit protects the function store and the queues of the workers from too many loads, which come from
    releases, a slow store, functions that are called once, and bursts. It delays requests needlessly if loads
    are cheap.

    Attributes:
        loads_in_progress: Attempts and load commands of this gateway that await a load.
        loads_per_worker: Limit on loads in progress for each ready worker.
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
        """Return how many loads this gateway may have in progress."""
        return max(MIN_LOADS, self.loads_per_worker * self._fleet.ready_count)

    def has_free_slot(self) -> bool:
        """Return whether another load is within the limit."""
        return self.loads_in_progress < self.limit()

    def may_load(self, now: float, request: Request, function: Function, can_wait: bool) -> bool:
        """Return whether a request may begin a load.

        Args:
            now: Current time in seconds.
            request: The request.
            function: Function of the request.
            can_wait: Whether the request can still wait for a busy instance.
        """
        if self._shared.are_common():
            return True
        has_time = request.deadline_s - now > REQUIRED_LOAD_FRACTION * self._usual_load_s
        if not has_time or not self.has_free_slot():
            return False
        at_limit = 0  # idle instances whose workers are at their concurrency limit
        for worker, _ in function.warm_instances:
            at_limit += worker.is_ready and not worker.is_ejected
        loading = function.loads_in_progress * max(1.0, request.concurrency)
        slots = at_limit + function.warm_attempts_in_flight + loading
        if len(function.waiting) >= WAITING_PER_SLOT * slots:
            return True
        return not can_wait and not function.loads_in_progress

    def begin(self, worker: Worker, function: Function, function_id: int) -> None:
        """Record the start of a load."""
        function.loads_in_progress += 1
        self.loads_in_progress += 1
        worker.loads_in_progress[function_id] = worker.loads_in_progress.get(function_id, 0) + 1

    def end(self, worker: Worker, function: Function, function_id: int) -> None:
        """Record the end of a load, whatever its result."""
        function.loads_in_progress -= 1
        self.loads_in_progress -= 1
        worker.loads_in_progress[function_id] -= 1
        if worker.loads_in_progress[function_id] <= 0:
            del worker.loads_in_progress[function_id]

    def observe(self, now: float, result: Result, load_s: float) -> None:
        """Adjust the limit by the result of a load; ``load_s`` is 0 if no load was observed."""
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
