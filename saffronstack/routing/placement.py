"""Placement: the worker at which a function is loaded.

Rendezvous hashing gives all gateways the same ranking of workers for a function, so that they meet on the
same instances. The ranking is weighted by free memory and idle CPU, and among the first of it the better of
two random workers is chosen.
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

FREE_MEMORY_EXPONENT = 1.5  # how strongly the free part of the memory counts beside the rank
MIN_FREE_MEMORY = 1e-3  # of a worker's memory, for the rank of one that is full
MIN_CAPACITY = 1e-6  # of a worker, for the rank of one without any
PRIOR_REQUESTS = 10.0  # requests for other functions that count as seen: few own requests prove little
INITIAL_SPREAD_FACTOR = 1.5  # workers for each one that a function's part of the own requests would fill
MAX_SPREAD_FACTOR = 10.0
SPREAD_INCREASE = 1.05  # by an attempt that finds a shared instance with all its slots in use
SPREAD_SLOW_DECREASE = 0.99  # by one that finds a slot free
SPREAD_DECREASE = 0.8  # by one that needs a load
CPU_STEPS = 10  # steps of the relative idle CPU; smaller differences between two workers decide nothing
# Attempts in flight, relative to a worker's capacity, over which it gets no load: a multiple of the fleet's.
MAX_ATTEMPTS_RATIO = 1.5
MIN_ATTEMPTS_BOUND = 3  # attempts that are never too many: own counts are few where gateways are many
MAX_LOADS_AT_WORKER = 3  # functions with own loads in progress there; more would wait for each other
HASH_MASK = 2**64 - 1
HASH_FUNCTION_FACTOR = 0x9E3779B97F4A7C15  # odd multipliers and steps of the SplitMix64 generator
HASH_WORKER_FACTOR = 0xC2B2AE3D27D4EB4F
HASH_MIX_1 = 0xBF58476D1CE4E5B9
HASH_MIX_2 = 0x94D049BB133111EB


class Placement:
    """Chooses workers for loads.

    Attributes:
        spread_factor: Workers for each one that a function's part of the own requests would fill.
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
        """Return the worker at which to load the function of a request; ``eligible`` is not empty."""
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
        # The better of two, not the best of all: gateways that learn of load late would all choose the same.
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
        """Move the spread by the outcome of an attempt that expected no instance.

        The spread grows only where an instance was full, if the site reports that and CPU utilization: with
        hundreds of gateways nearly every attempt finds an instance, and a spread that grows on that alone
        ends where loads crowd it. Where no utilization is reported, nothing but the spread evens the load,
        and it grows on each instance found.
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

        Guards against a worker that many functions rank first. It could hurt while own counts are few, after
        a start.
        """
        per_capacity = MAX_ATTEMPTS_RATIO * (1 + len(self._attempts)) / (self._fleet.ready_capacity or 1.0)
        return [
            worker
            for worker in workers
            if len(worker.loads_in_progress) < MAX_LOADS_AT_WORKER
            and worker.attempts_in_flight < max(MIN_ATTEMPTS_BOUND, per_capacity * worker.endpoint.capacity)
        ]

    def _candidate_count(self, now: float, function_id: int) -> int:
        """Return over how many workers a function goes.

        As many as its part of the own requests would fill times the spread, and two at least where CPU
        utilization tells them apart. Guards against all gateways sending a popular function to one worker,
        none of them seeing it. It could hurt where gateways get different functions. A part, unlike a rate,
        is alike at small and large gateways.
        """
        if not self._shared.are_common():
            return 1
        requests = self._rates.of_function(now, function_id)
        fraction = requests / (self._rates.total.value(now) + PRIOR_REQUESTS)
        minimum = 2 if self._cpu.fleet_mean else 1
        return max(minimum, round(self.spread_factor * fraction * self._fleet.ready_count))

    def _rank_weight(self, now: float, worker: Worker) -> float:
        """Return the weight of a worker in the ranking, by free memory and idle CPU.

        Where instances are shared, memory does not count: gateways see little of it, and must agree.
        """
        idle = self._cpu.relative_idle(now, worker)
        if self._shared.are_common():
            return idle
        free = 1 - worker.placed_mb / self._memory.memory_mb(worker)
        return math.pow(max(MIN_FREE_MEMORY, free), FREE_MEMORY_EXPONENT) * idle


def rendezvous_rank(worker: Worker, function_id: int) -> float:
    """Return the rank of a worker for a function, lowest first: weighted rendezvous hashing.

    Guards against gateways that each load a function elsewhere, also after a restart. It could hurt where
    popular functions rank the same worker first; the bound on attempts and the spread pass over it then.
    """
    mixed = function_id * HASH_FUNCTION_FACTOR ^ worker.endpoint.worker_id * HASH_WORKER_FACTOR
    mixed = mixed & HASH_MASK
    mixed = ((mixed ^ mixed >> 31) * HASH_MIX_1) & HASH_MASK
    mixed = ((mixed ^ mixed >> 27) * HASH_MIX_2) & HASH_MASK
    uniform = ((mixed ^ mixed >> 31) + 1) / (HASH_MASK + 2)
    return -math.log(uniform) / max(worker.endpoint.capacity, MIN_CAPACITY)
