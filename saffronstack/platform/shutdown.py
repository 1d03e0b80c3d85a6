"""When a graceful shutdown moves on: decided from evidence of quiet and from deadlines. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# The platform kills a process this long after the longest deadline that it counts, which is capped.
KILL_AFTER_S = 0.7
COUNTED_DEADLINE_MAX_S = 3.0
KILL_MARGIN_S = 0.15  # of that, kept free for the last answers and the exit
FLUSH_MAX_S = 0.1


class Phase(Enum):
    """Phases of a front, in their order; none is ever left backwards."""

    ACCEPTING = auto()  # in service
    DRAINING = auto()  # asked to stop: connections and requests are still taken and answered
    FLUSHING = auto()  # nothing new is taken; what was taken is answered and written out
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class ShutdownLimits:
    """Bounds of a shutdown, in seconds from when it was asked for."""

    min_drain_s: float  # clients may not know yet, and go on sending
    quiet_s: float  # then it ends once no bytes and no connection came for this long
    max_drain_s: float
    max_flush_s: float = FLUSH_MAX_S


def limits_for(longest_deadline_s: float, min_drain_s: float, quiet_s: float) -> ShutdownLimits:
    """Bounds that end before the platform kills the process."""
    counted_s = min(longest_deadline_s, COUNTED_DEADLINE_MAX_S)
    killed_s = counted_s + KILL_AFTER_S
    max_drain_s = killed_s - KILL_MARGIN_S - FLUSH_MAX_S
    return ShutdownLimits(min(min_drain_s, max_drain_s), quiet_s, max_drain_s)


@dataclass(frozen=True, slots=True)
class Activity:
    """What the front sees at one moment."""

    last_received_s: float  # when a connection or bytes of a request came last (clock time)
    unanswered: bool  # a request was read whose answer has not gone to the kernel, and whose client is there
    settled: bool  # every call has its final answer, and none can be submitted any more


class GracefulShutdown:
    """One owner calls `step`; `begin` comes from the same thread."""

    def __init__(self) -> None:
        self.phase = Phase.ACCEPTING
        self._limits = ShutdownLimits(0.0, 0.0, 0.0, 0.0)
        self._begun_s = 0.0
        self._flushing_s = 0.0

    def begin(self, limits: ShutdownLimits, now: float) -> None:
        """Start draining; once begun, a further call changes nothing."""
        if self.phase is Phase.ACCEPTING:
            self.phase = Phase.DRAINING
            self._limits = limits
            self._begun_s = now

    def step(self, now: float, activity: Activity) -> Phase:
        """Move on by at most one phase; the phase from here on."""
        if self.phase is Phase.DRAINING and self._drained(now, activity):
            self.phase = Phase.FLUSHING
            self._flushing_s = now
        elif self.phase is Phase.FLUSHING and self._flushed(now, activity):
            self.phase = Phase.CLOSED
        return self.phase

    def _drained(self, now: float, activity: Activity) -> bool:
        since_s = now - self._begun_s
        if since_s >= self._limits.max_drain_s:
            return True
        quiet = now - activity.last_received_s >= self._limits.quiet_s
        return since_s >= self._limits.min_drain_s and quiet and not activity.unanswered

    def _flushed(self, now: float, activity: Activity) -> bool:
        """The time for writing counts from when everything is settled: settling has a time-out of its own."""
        if not activity.settled:
            self._flushing_s = now
            return False
        return not activity.unanswered or now - self._flushing_s >= self._limits.max_flush_s
