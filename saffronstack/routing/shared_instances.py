"""Detection of whether instances that other gateways loaded also serve this gateway's requests."""

from __future__ import annotations

from saffronstack.routing.events import AttemptOutcome, CacheStatus, Result
from saffronstack.routing.state import Attempt

SAMPLE_COUNT = 30.0  # successful responses over which the fraction is averaged
# Fraction above which instances count as shared by all gateways. With hundreds of gateways nearly every
# attempt finds an unknown instance; with a few gateways, each knows nearly all instances that it finds.
SHARED_THRESHOLD = 0.2


class SharedInstances:
    """Estimates how often an attempt finds a loaded instance that was unknown to this gateway.

    Attributes:
        fraction: Recent fraction of successful attempts that found such an instance.
    """

    __slots__ = ("fraction",)

    def __init__(self) -> None:
        self.fraction = 0.0

    def are_common(self) -> bool:
        """Return whether shared instances are common enough to treat all instances as shared."""
        return self.fraction > SHARED_THRESHOLD

    def observe(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Update the fraction by the outcome of one attempt."""
        if outcome.result is Result.OK:
            is_shared = attempt.expects_no_instance and outcome.cache_status is CacheStatus.WARM
            self.fraction += (is_shared - self.fraction) / SAMPLE_COUNT
