"""Placement: choice of the worker at which a function is loaded.

Rendezvous hashing gives all gateways the same ranking of workers for a function, so that they share
instances. The ranking is weighted by free memory and idle CPU. Among the top-ranked workers, power of two
choices selects one.
"""

from __future__ import annotations

import heapq
import math
import random

from saffronstack.routing.cpu_utilization import CpuUtilization
from saffronstack.routing.events import AttemptOutcome, CacheStatus, Request, Result
from saffronstack.routing.memory_account import MemoryAccount
from saffronstack.routing.rate_estimator import RequestRates
from saffronstack.routing.shared_instances import SharedInstances
from saffronstack.routing.state import Attempt, Fleet, Function, Worker

FREE_MEMORY_EXPONENT = 1.5  # exponent of the free memory fraction in the ranking weight
MIN_FREE_MEMORY = 1e-3  # fraction of a worker's memory; keeps the rank of a full worker finite
MIN_CAPACITY = 1e-6  # keeps the rank of a worker without any capacity finite
PRIOR_REQUESTS = 10.0  # assumed requests for other functions; a few requests of this gateway prove little
INITIAL_SPREAD_FACTOR = 1.5  # see `Placement.spread_factor`
MAX_SPREAD_FACTOR = 10.0
SPREAD_INCREASE = 1.05  # factor if an attempt finds a shared instance with all its slots in use
SPREAD_SLOW_DECREASE = 0.99  # factor if an attempt finds a shared instance with a free slot
SPREAD_DECREASE = 0.8  # factor if an attempt needs a load
CPU_STEPS = 10  # steps per unit of relative idle CPU; smaller differences between workers are ignored
# Attempts in flight per unit of capacity above which a worker gets no load; a multiple of the fleet's mean.
MAX_ATTEMPTS_RATIO = 1.5
MIN_ATTEMPTS_BOUND = 3  # attempts in flight that are always allowed; with many gateways, each sees only few
MAX_LOADS_AT_WORKER = 3  # functions that one worker loads for this gateway; more would delay each other
HASH_MASK = 2**64 - 1
HASH_FUNCTION_FACTOR = 0x9E3779B97F4A7C15  # odd multipliers and mixing steps of the SplitMix64 generator
HASH_WORKER_FACTOR = 0xC2B2AE3D27D4EB4F
HASH_MIX_1 = 0xBF58476D1CE4E5B9
HASH_MIX_2 = 0x94D049BB133111EB


class Placement:
    """Chooses workers for loads.

    Attributes:
        spread_factor: Multiple of the workers that a function's share of this gateway's requests would fill.
    """

    __slots__ = ("_attempts", "_cpu", "_fleet", "_memory", "_random", "_rates", "_shared", "spread_factor")

    def __init__(
        self,
        fleet: Fleet,
        attempts: dict[tuple[int, int], Attempt],
        memory: MemoryAccount,
        rates: RequestRates,
        cpu: CpuUtilization,
        shared: SharedInstances,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._attempts = attempts
        self._memory = memory
        self._rates = rates
        self._cpu = cpu
        self._shared = shared
        self._random = rng
        self.spread_factor = INITIAL_SPREAD_FACTOR

    def choose(self, now: float, request: Request, function: Function, eligible: list[Worker]) -> Worker:
        """Return the worker at which to load a request's function; ``eligible`` must not be empty."""
        function_id = request.function_id
        rejected_until_s = function.load_rejected_until_s
        if rejected_until_s:
            accepting = [w for w in eligible if rejected_until_s.get(w.endpoint.worker_id, 0.0) <= now]
            eligible = accepting or eligible
        candidates = self._below_attempts_bound(eligible) or eligible
        needed_mb = request.memory_mb
        with_free_memory = [w for w in candidates if self._memory.memory_mb(w) - w.placed_mb >= needed_mb]
        if not with_free_memory:
            return min(
                candidates,
                key=lambda worker: (worker.attempts_in_flight, rendezvous_rank(worker, function_id)),
            )
        top_ranked = heapq.nsmallest(
            self._candidate_count(now, function_id),
            with_free_memory,
            key=lambda worker: rendezvous_rank(worker, function_id) / self._rank_weight(now, worker),
        )
        # Power of two choices: gateways see load late and would all choose the same best worker.
        if len(top_ranked) > 2:
            top_ranked = self._random.sample(top_ranked, 2)
        return min(
            top_ranked,
            key=lambda worker: (
                worker.attempts_in_flight,
                -round(CPU_STEPS * self._cpu.relative_idle(now, worker)),
                self._random.random(),
            ),
        )

    def observe(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Adjust the spread factor by the outcome of an attempt that expected no instance.

        If workers report concurrency and CPU utilization, the factor rises only when an instance was full.
        With hundreds of gateways nearly every attempt finds an instance; if that alone raised the factor, it
        would rise until loads overwhelm the workers. Without reported utilization only the spread balances
        the load, so the factor rises for each instance found.
        """
        if outcome.result is not Result.OK or not attempt.expects_no_instance:
            return
        if outcome.cache_status is CacheStatus.WARM:
            concurrency = outcome.concurrency
            is_full = (
                not self._cpu.fleet_mean
                or concurrency is None
                or concurrency >= max(1.0, attempt.request.concurrency)
            )
            factor = SPREAD_INCREASE if is_full else SPREAD_SLOW_DECREASE
        else:
            factor = SPREAD_DECREASE
        self.spread_factor = min(MAX_SPREAD_FACTOR, max(1.0, self.spread_factor * factor))

    def _below_attempts_bound(self, workers: list[Worker]) -> list[Worker]:
        """Return the workers with few loads and attempts in flight for their capacity.

        This protects a worker that many functions rank first. It is inaccurate shortly after a start, while
        this gateway's counts are low.
        """
        per_capacity = MAX_ATTEMPTS_RATIO * (1 + len(self._attempts)) / (self._fleet.ready_capacity or 1.0)
        return [
            worker
            for worker in workers
            if len(worker.loads_in_progress) < MAX_LOADS_AT_WORKER
            and worker.attempts_in_flight < max(MIN_ATTEMPTS_BOUND, per_capacity * worker.endpoint.capacity)
        ]

    def _candidate_count(self, now: float, function_id: int) -> int:
        """Return the number of top-ranked workers among which a function's loads are spread.

        The number is the function's share of this gateway's requests times the number of ready workers and
        the spread factor. It is at least two if CPU utilization is reported, which then decides between them.
        The spread prevents all gateways from sending a popular function to one worker without noticing. A
        share, unlike a rate, is similar at small and large gateways. It is misleading if gateways get
        requests for different functions.
        """
        if not self._shared.are_common():
            return 1
        requests = self._rates.of_function(now, function_id)
        fraction = requests / (self._rates.total.value(now) + PRIOR_REQUESTS)
        minimum = 2 if self._cpu.fleet_mean else 1
        return max(minimum, round(self.spread_factor * fraction * self._fleet.ready_count))

    def _rank_weight(self, now: float, worker: Worker) -> float:
        """Return the weight of a worker in the ranking, by free memory and idle CPU.

        If instances are shared, memory is ignored: each gateway knows only a small part of its use, and all
        gateways must rank alike.
        """
        idle = self._cpu.relative_idle(now, worker)
        if self._shared.are_common():
            return idle
        free = 1 - worker.placed_mb / self._memory.memory_mb(worker)
        return math.pow(max(MIN_FREE_MEMORY, free), FREE_MEMORY_EXPONENT) * idle


def rendezvous_rank(worker: Worker, function_id: int) -> float:
    """Return the weighted rendezvous rank of a worker for a function; the lowest rank comes first.

    All gateways rank alike, also after a restart, and so load a function at the same workers. If popular
    functions rank the same worker first, the limit on attempts and the spread divert loads from it.
    """
    mixed = function_id * HASH_FUNCTION_FACTOR ^ worker.endpoint.worker_id * HASH_WORKER_FACTOR
    mixed = mixed & HASH_MASK
    mixed = ((mixed ^ mixed >> 31) * HASH_MIX_1) & HASH_MASK
    mixed = ((mixed ^ mixed >> 27) * HASH_MIX_2) & HASH_MASK
    uniform = ((mixed ^ mixed >> 31) + 1) / (HASH_MASK + 2)
    return -math.log(uniform) / max(worker.endpoint.capacity, MIN_CAPACITY)
