"""Whether instances that other gateways loaded serve this gateway's requests as well."""

from __future__ import annotations

from saffronstack.routing.events import AttemptOutcome, CacheStatus, Result
from saffronstack.routing.state import Attempt

SAMPLE_COUNT = 30.0  # successful responses that the estimate rests on
# Above this fraction, instances count as shared by all gateways. With hundreds of gateways nearly every
# attempt finds an instance; with a few, the own account of instances is nearly complete.
SHARED_THRESHOLD = 0.2


class SharedInstances:
    """Estimates how often an attempt finds a loaded instance that this gateway did not know of.

    Attributes:
        fraction: Recent fraction of successful responses that did.
    """

    __slots__ = ("fraction",)

    def __init__(self) -> None:
        self.fraction = 0.0

    def are_common(self) -> bool:
        """Return whether instances count as shared by all gateways."""
        return self.fraction > SHARED_THRESHOLD

    def observe(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Take in the outcome of one attempt."""
        if outcome.result is Result.OK:
            is_shared = attempt.expects_no_instance and outcome.cache_status is CacheStatus.WARM
            self.fraction += (is_shared - self.fraction) / SAMPLE_COUNT
