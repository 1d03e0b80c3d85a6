"""State of one process of a gateway in the reconciler."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass


class IncarnationPhase(enum.Enum):
    """Phase of one process of a gateway."""

    PREPARING = "preparing"  # loads its program and configuration
    PREPARED = "prepared"  # waits for permission to serve
    FOLLOWING = "following"  # serves once its predecessor ends, possibly before the daemon knows of that end
    ACTIVATING = "activating"  # may serve, but has not reported yet that it serves
    SERVING = "serving"
    DRAINING = "draining"


STANDBY_PHASES = (IncarnationPhase.PREPARING, IncarnationPhase.PREPARED)


@dataclass(slots=True)
class Incarnation:
    """One process of the gateway.

    Attributes:
        number: Its number, greater than that of any earlier process of the gateway.
        release: The digest of the release that it runs.
        started_s: The time at which it was started; once it serves, the time at which it started to serve.
        phase: Its phase.
        deadline_s: The time at which it is killed unless it has left the phase.
        is_killed: Whether it was killed at this deadline.
    """

    number: int
    release: str
    started_s: float
    phase: IncarnationPhase = IncarnationPhase.PREPARING
    deadline_s: float = math.inf
    is_killed: bool = False

    @property
    def is_standby(self) -> bool:
        """Whether it has opened nothing and may not serve yet."""
        return self.phase in STANDBY_PHASES

    @property
    def is_serving(self) -> bool:
        """Whether it is in phase ``SERVING``."""
        return self.phase is IncarnationPhase.SERVING

    def enter(self, phase: IncarnationPhase, deadline_s: float = math.inf) -> None:
        """Enter a phase, which the process must leave by ``deadline_s``."""
        self.phase, self.deadline_s = phase, deadline_s
