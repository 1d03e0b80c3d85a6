"""Slow start: the budget of attempts that a worker gets while it warms up.

A worker that started recently gets attempts from a credit that grows with its capacity at its age. The
budgets of all gateways add up to less than what makes it fail, without any word between them; docs/design.md
gives the sum. What a gateway may send follows from its own request rate, so no figure of capacity is needed.
"""

from __future__ import annotations

import math
import random

from saffronstack.routing.cpu_utilization import CpuUtilization
from saffronstack.routing.rate_estimator import RATE_WINDOW_S, DecayedCounter, RequestRates
from saffronstack.routing.settings import Settings
from saffronstack.routing.state import Fleet, Worker

# Multiple of the own rate that a starting worker gets for its capacity: workers can do more than the present
# rate shows.
RATE_MULTIPLE = 1.2
# The same where utilization is reported: it may rise until the worker uses this fraction of its cores ...
TARGET_UTILIZATION = 0.85
MAX_RATE_MULTIPLE = 2.0  # ... but never over this multiple, for utilization that is reported too low
# Standard deviations of the number of attempts in one overload window that are kept free for chance: gateways
# that send independently add up by chance.
SAFETY_DEVIATIONS = 2.5


class SlowStart:
    """Grants attempts to workers that are warming up."""

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
        # Capacity of the workers that recent own requests went to: workers that leave take none of those
        # requests back. Guards against giving a starting worker the part of all that have left; it could
        # hurt where those were slow.
        self._capacity_in_use = DecayedCounter(RATE_WINDOW_S)

    def begin(self, now: float, worker: Worker) -> None:
        """Start the warm-up of a worker that has just started.

        The first credit is random, so that the first attempts of all gateways do not fall on one moment.
        """
        if self._rules.slow_start_s and worker.endpoint.started_s > 0:
            worker.slow_start_ends_s = worker.endpoint.started_s + self._rules.slow_start_s
            worker.send_credit = self._random.random()
            worker.credit_updated_s = now

    def observe_fleet(self, now: float, ready: list[Worker]) -> None:
        """Take in the workers that are ready after an endpoint update."""
        capacity = sum(worker.endpoint.capacity * self.capacity_fraction(now, worker) for worker in ready)
        self._capacity_in_use.reset(now, max(capacity, self._capacity_in_use.value(now)))

    def capacity_fraction(self, now: float, worker: Worker) -> float:
        """Return the fraction of its capacity that a worker of its age has at least."""
        if now >= worker.slow_start_ends_s:
            return 1.0
        minimum = self._rules.slow_start_min_fraction
        age_s = max(0.0, now - worker.endpoint.started_s)
        return minimum + (1 - minimum) * age_s / self._rules.slow_start_s

    def grants_attempt(self, now: float, worker: Worker) -> bool:
        """Return whether a worker may get an attempt now; updates its credit."""
        if now >= worker.slow_start_ends_s:
            return True
        # Credit is updated now and then: the rate half way since the last update stands for all that time.
        rate = self.attempt_rate((now + worker.credit_updated_s) / 2, worker)
        worker.send_credit = min(1.0, worker.send_credit + rate * (now - worker.credit_updated_s))
        worker.credit_updated_s = now
        return worker.send_credit >= 1.0

    def attempt_rate(self, now: float, worker: Worker) -> float:
        """Return the attempts a second that this gateway may send to a worker that is warming up.

        The own rate for each unit of capacity is at most this gateway's part of what such a worker carries.
        A starting worker can do its capacity fraction of that, more where utilization is low. The fewer
        attempts an overload window holds over all gateways, the more of it stays free for chance. It could
        hurt by using a starting worker less than it could be.
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
