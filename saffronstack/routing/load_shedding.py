"""Load shedding: rejects a fraction of requests immediately while responses are late, lightest first.

Load shedding is active only if instances are shared by all gateways. Then many gateways fill the queues at
the workers, each with few requests at any one worker, and the limits of a single gateway do not take effect.
"""

from __future__ import annotations

import random

from saffronstack.routing.events import AttemptOutcome, CacheStatus, Request, Result
from saffronstack.routing.rate_estimator import RATE_WINDOW_S, DecayedCounter, RequestRates
from saffronstack.routing.settings import Settings
from saffronstack.routing.shared_instances import SharedInstances
from saffronstack.routing.state import Attempt, PendingRequest

INCREASE_STEP = 0.02  # increase of the shed fraction for each late response or rejection at capacity
DECREASE_STEP = 0.01  # decrease of the shed fraction for each timely response
MAX_SHED_FRACTION = 0.75  # the rest must be sent: only responses lower the fraction
# Part of the fraction that sheds nothing: with few responses, a few late ones reach it by chance.
TOLERATED_FRACTION = 0.15
RESPONSE_WINDOW_S = 2.0  # time constant of the response count that scales the steps
# Responses per second from which the steps above apply. With fewer responses the steps are larger, so that
# the fraction adjusts as fast.
FULL_RESPONSE_RATE = 30.0
MAX_STEP_SCALE = 6.0  # upper bound, so that single late responses do not shed load
MEAN_WEIGHT_STEP = 0.01  # weight of one request in the mean priority weight


class LoadShedder:
    """Decides which requests are rejected immediately.

    If only a few workers are slow, load shedding also rejects requests that other workers could serve.

    Attributes:
        shed_fraction: Fraction of the requests of mean weight to reject, before the tolerated part.
        mean_priority_weight: Recent mean over this gateway's requests; 0 before the first request.
    """

    __slots__ = (
        "_quotas",
        "_random",
        "_rates",
        "_responses",
        "_settings",
        "_shared",
        "mean_priority_weight",
        "shed_fraction",
    )

    def __init__(
        self, settings: Settings, rates: RequestRates, shared: SharedInstances, rng: random.Random
    ) -> None:
        self._settings = settings
        self._rates = rates
        self._shared = shared
        self._random = rng
        self._quotas = sum(tenant.quota_rps for tenant in settings.tenants) or 1.0
        self._responses = DecayedCounter(RESPONSE_WINDOW_S)
        self.shed_fraction = 0.0
        self.mean_priority_weight = 0.0

    def priority_weight(self, now: float, request: Request) -> float:
        """Return the priority weight of a request: that of its class, reduced for a tenant over its quota."""
        weight = self._settings.classes[request.class_index].priority_weight
        return weight * self.quota_factor(now, request.tenant)

    def quota_factor(self, now: float, tenant: int) -> float:
        """Return the factor on priority weights for the part of a tenant's traffic within its quota.

        Gateways carry unequal traffic, so a tenant counts as over its quota only if both its rate and its
        share of this gateway's traffic exceed it. The estimate is wrong if gateways serve different tenants.
        """
        tenants = self._settings.tenants
        if tenant >= len(tenants):
            return 1.0
        quota_rps = tenants[tenant].quota_rps
        by_rate = quota_rps / self._settings.gateway_count * RATE_WINDOW_S
        by_fraction = quota_rps / self._quotas * self._rates.total.value(now)
        fair = max(by_rate, by_fraction)
        within = min(1.0, fair / max(1.0, self._rates.of_tenant(now, tenant)))
        return within + (1 - within) * self._settings.over_quota_weight

    def observe_request(self, pending: PendingRequest) -> None:
        """Update the mean priority weight with a new request."""
        weight = pending.priority_weight
        if self.mean_priority_weight:
            self.mean_priority_weight += MEAN_WEIGHT_STEP * (weight - self.mean_priority_weight)
        else:
            self.mean_priority_weight += weight

    def should_reject(self, pending: PendingRequest) -> bool:
        """Return whether to reject a new request immediately."""
        if not self._shared.are_common():
            return False
        fraction = self.shed_fraction - TOLERATED_FRACTION
        return self._random.random() * pending.priority_weight < fraction * self.mean_priority_weight

    def observe(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Adjust the shed fraction by the outcome of one attempt."""
        is_warm = outcome.cache_status is CacheStatus.WARM
        objective_s = self._settings.classes[attempt.request.class_index].latency_objective_s
        # A worker that responds to other attempts while this one times out is overloaded. A worker without
        # any response may be unreachable; then shedding would reject what other workers could serve.
        is_timeout = outcome.result is Result.TIMEOUT and attempt.worker.last_response_s > attempt.sent_s
        is_late = is_warm and outcome.elapsed_s > objective_s
        if outcome.result is Result.AT_CAPACITY or is_timeout or is_late:
            step = INCREASE_STEP * self._step_scale(now)
            self.shed_fraction = min(MAX_SHED_FRACTION, self.shed_fraction + step)
        elif is_warm:
            self.shed_fraction = max(0.0, self.shed_fraction - DECREASE_STEP * self._step_scale(now))

    def _step_scale(self, now: float) -> float:
        """Return the factor on the steps, which is larger if responses are few.

        Without the factor, a gateway with a few responses per second starts shedding long after an overload
        begins and stops long after it ends. A few late responses count more, even if they are late by chance.
        """
        responses = self._responses.increment(now)
        return min(MAX_STEP_SCALE, max(1.0, FULL_RESPONSE_RATE * RESPONSE_WINDOW_S / responses))
