"""Slow start: limits the attempts that a worker gets while it warms up.

A worker that started recently gets attempts from a credit that grows with the capacity at its age. The
budgets of all gateways add up to less than the load that makes the worker fail, without any communication
between gateways; docs/design.md derives the sum. A gateway's budget follows from its own request rate, so the
absolute capacity of workers need not be known.
"""

from __future__ import annotations

import math
import random

from saffronstack.routing.cpu_utilization import CpuUtilization
from saffronstack.routing.rate_estimator import RATE_WINDOW_S, DecayedCounter, RequestRates
from saffronstack.routing.settings import Settings
from saffronstack.routing.state import Fleet, Worker

# Multiple of this gateway's request rate per unit of capacity that a worker in slow start may get: workers
# can handle more than the current rate.
RATE_MULTIPLE = 1.2
# Fraction of its cores that a worker in slow start may use. If utilization is reported, the multiple may rise
# until this fraction is reached.
TARGET_UTILIZATION = 0.85
MAX_RATE_MULTIPLE = 2.0  # upper bound of the multiple if reported utilization is too low
# Safety margin, in standard deviations of the number of attempts in one overload window: gateways send
# independently, so their attempts may coincide by chance.
SAFETY_DEVIATIONS = 2.5


class SlowStart:
    """Limits attempts to workers that are in slow start."""

    __slots__ = ("_capacity_in_use", "_cpu", "_fleet", "_gateway_count", "_random", "_rates", "_rules")

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        rates: RequestRates,
        cpu: CpuUtilization,
        rng: random.Random,
    ) -> None:
        self._rules = settings.rules
        self._gateway_count = settings.gateway_count
        self._fleet = fleet
        self._rates = rates
        self._cpu = cpu
        self._random = rng
        # Capacity of the workers to which this gateway's recent requests went. It decays slowly after workers
        # are removed, so that a worker in slow start does not get the share of all removed workers. This
        # may be inaccurate if the removed workers were slow.
        self._capacity_in_use = DecayedCounter(RATE_WINDOW_S)

    def begin(self, now: float, worker: Worker) -> None:
        """Begin slow start of a worker that has just started.

        The initial credit is random, so that the first attempts of all gateways do not coincide.
        """
        if self._rules.slow_start_s and worker.endpoint.started_s > 0:
            worker.slow_start_ends_s = worker.endpoint.started_s + self._rules.slow_start_s
            worker.send_credit = self._random.random()
            worker.credit_updated_s = now

    def observe_fleet(self, now: float, ready: list[Worker]) -> None:
        """Update the capacity in use with the workers that are ready after an endpoint update."""
        capacity = sum(worker.endpoint.capacity * self.capacity_fraction(now, worker) for worker in ready)
        self._capacity_in_use.reset(now, max(capacity, self._capacity_in_use.value(now)))

    def capacity_fraction(self, now: float, worker: Worker) -> float:
        """Return the minimum fraction of its full capacity that a worker has at its age."""
        if now >= worker.slow_start_ends_s:
            return 1.0
        minimum = self._rules.slow_start_min_fraction
        age_s = max(0.0, now - worker.endpoint.started_s)
        return minimum + (1 - minimum) * age_s / self._rules.slow_start_s

    def grants_attempt(self, now: float, worker: Worker) -> bool:
        """Return whether a worker may get an attempt now, and update its credit."""
        if now >= worker.slow_start_ends_s:
            return True
        # Updates are irregular; the rate at the middle of the interval approximates the whole interval.
        rate = self.attempt_rate((now + worker.credit_updated_s) / 2, worker)
        worker.send_credit = min(1.0, worker.send_credit + rate * (now - worker.credit_updated_s))
        worker.credit_updated_s = now
        return worker.send_credit >= 1.0

    def attempt_rate(self, now: float, worker: Worker) -> float:
        """Return the attempts per second that this gateway may send to a worker in slow start.

        This gateway's request rate per unit of capacity is at most its share of what a warm worker handles. A
        worker in slow start can handle its capacity fraction of that, and more if utilization is low. The
        fewer attempts fit into an overload window over all gateways, the larger the part that is reserved
        for chance. The limit may leave a worker in slow start underused.
        """
        rules = self._rules
        own_rate = self._rates.total.value(now) / RATE_WINDOW_S
        capacity = max(self._fleet.ready_capacity, self._capacity_in_use.value(now))
        fraction = self.capacity_fraction(now, worker)
        worker_rate = fraction * own_rate * worker.endpoint.capacity / capacity if capacity > 0 else 0.0
        max_rate = self._rate_multiple() * worker_rate * min(1.0, rules.overload_multiple or 1.0)
        window_s = rules.overload_window_s * self._gateway_count
        if worker_rate * window_s <= 0:
            return max_rate
        margin = SAFETY_DEVIATIONS / 2 * math.sqrt(max(0.0, 1 - max_rate * rules.overload_window_s))
        mean = (math.sqrt(margin**2 + rules.overload_multiple * worker_rate * window_s) - margin) ** 2
        return min(max_rate, mean / window_s)

    def _rate_multiple(self) -> float:
        utilization = self._cpu.fleet_mean
        if not utilization:
            return RATE_MULTIPLE
        return min(MAX_RATE_MULTIPLE, max(RATE_MULTIPLE, TARGET_UTILIZATION / utilization))
