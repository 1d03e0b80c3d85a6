"""Load shedding: rejects a fraction of the requests at once while responses are late, least weight first.

Acts only where instances are shared by all gateways: there queues at the workers are filled by many
gateways, each with little at any one worker, and no own limit sees them.
"""

from __future__ import annotations

import random

from saffronstack.routing.events import AttemptOutcome, CacheStatus, Request, Result
from saffronstack.routing.rate_estimator import RATE_WINDOW_S, DecayedCounter, RequestRates
from saffronstack.routing.settings import Settings
from saffronstack.routing.shared_instances import SharedInstances
from saffronstack.routing.state import Attempt, PendingRequest

INCREASE_STEP = 0.02  # of the requests of mean weight, by each late response or one at capacity
DECREASE_STEP = 0.01  # of the same, by each timely response
MAX_SHED_FRACTION = 0.75  # some requests must go on, since responses alone lower the fraction
# Part of the fraction that should_reject nothing: where responses are few, chance alone brings it about.
TOLERATED_FRACTION = 0.15
RESPONSE_WINDOW_S = 2.0  # memory of how many responses there are to judge by
# Responses a second from which on the steps are those above; with fewer they are larger, so that all
# responses together say as much in the same time ...
FULL_RESPONSE_RATE = 30.0
MAX_STEP_SCALE = 6.0  # ... and this many times as large at most, or single late responses would shed
MEAN_WEIGHT_STEP = 0.01  # of one request in the mean priority weight


class LoadShedder:
    """Decides which requests are rejected at once.

    It could hurt where only a few workers are slow.

    Attributes:
        shed_fraction: Fraction of the requests of mean weight to reject, before the tolerated part.
        mean_priority_weight: Recent mean over this gateway's requests; 0 before the first.
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
        """Return the weight of a request: that of its class, lower for a tenant over its quota."""
        weight = self._settings.classes[request.class_index].priority_weight
        return weight * self.quota_factor(now, request.tenant)

    def quota_factor(self, now: float, tenant: int) -> float:
        """Return the factor on a request's weight by the part of its tenant's traffic within the quota.

        A tenant is over its quota only where both its rate and its part of this gateway's traffic say so:
        gateways carry unequal traffic. It could hurt where the tenants of the gateways differ.
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
        """Take the weight of a new request into the mean."""
        weight = pending.priority_weight
        if self.mean_priority_weight:
            self.mean_priority_weight += MEAN_WEIGHT_STEP * (weight - self.mean_priority_weight)
        else:
            self.mean_priority_weight += weight

    def should_reject(self, pending: PendingRequest) -> bool:
        """Return whether to reject a new request at once."""
        if not self._shared.are_common():
            return False
        fraction = self.shed_fraction - TOLERATED_FRACTION
        return self._random.random() * pending.priority_weight < fraction * self.mean_priority_weight

    def observe(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Take in the outcome of one attempt."""
        is_warm = outcome.cache_status is CacheStatus.WARM
        objective_s = self._settings.classes[attempt.request.class_index].latency_objective_s
        # A worker that responds to others and lets this attempt time out is overloaded; one that is silent
        # may be cut off from this gateway, and shedding would lose what other workers could serve.
        is_timeout = outcome.result is Result.TIMEOUT and attempt.worker.last_response_s > attempt.sent_s
        is_late = is_warm and outcome.elapsed_s > objective_s
        if outcome.result is Result.AT_CAPACITY or is_timeout or is_late:
            step = INCREASE_STEP * self._step_scale(now)
            self.shed_fraction = min(MAX_SHED_FRACTION, self.shed_fraction + step)
        elif is_warm:
            self.shed_fraction = max(0.0, self.shed_fraction - DECREASE_STEP * self._step_scale(now))

    def _step_scale(self, now: float) -> float:
        """Return the factor on the steps, larger where responses are few.

        Guards against gateways that see some responses a second each and go on shedding for long after an
        overload, or begin long after its start. It could hurt where few responses are late by chance.
        """
        responses = self._responses.increment(now)
        return min(MAX_STEP_SCALE, max(1.0, FULL_RESPONSE_RATE * RESPONSE_WINDOW_S / responses))
