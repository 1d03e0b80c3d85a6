"""One process of a gateway, as its reconciler sees it."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass


class IncarnationPhase(enum.Enum):
    """How far one process of a gateway is."""

    PREPARING = "preparing"  # loads its program and configuration
    PREPARED = "prepared"  # waits until it may serve
    FOLLOWING = "following"  # serves once its predecessor has ended, which may not be known here yet
    ACTIVATING = "activating"  # may serve and has not reported yet that it does
    SERVING = "serving"
    DRAINING = "draining"


STANDBY_PHASES = (IncarnationPhase.PREPARING, IncarnationPhase.PREPARED)


@dataclass(slots=True)
class Incarnation:
    """One process of the gateway.

    Attributes:
        number: Its number; each process has a greater one.
        release: The digest that it runs.
        started_s: When it was started, or began to serve.
        phase: How far it is.
        deadline_s: Past this in its phase it is killed.
        is_killed: Whether it was, for that.
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
        """Whether it serves."""
        return self.phase is IncarnationPhase.SERVING

    def enter(self, phase: IncarnationPhase, deadline_s: float = math.inf) -> None:
        """Pass to a phase, to be left by ``deadline_s``."""
        self.phase, self.deadline_s = phase, deadline_s
