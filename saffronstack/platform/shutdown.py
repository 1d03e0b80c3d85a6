"""When a graceful shutdown moves on: decided from evidence of quiet and from deadlines. No I/O.

The platform kills the process some time after it asked for the shutdown. A gateway whose clients fall quiet
ends before; one whose clients go on stays until it is killed, and answers to the last.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# The platform kills a process this long after the longest deadline that it counts, which is capped.
KILL_AFTER_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
ANSWER_MARGIN_S = 0.1  # of that, kept free to write out the last answers
MAX_FLUSH_S = 0.1


class Phase(Enum):
    """Phases of a front, in their order; none is ever left backwards."""

    ACCEPTING = auto()  # in service
    DRAINING = auto()  # asked to stop: connections and requests are still taken and answered
    REJECTING = auto()  # connections are still taken, and requests refused; what is open is answered
    FLUSHING = auto()  # nothing new is taken; what was taken is answered and written out
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class ShutdownLimits:
    """Bounds of a shutdown, in seconds from when it was asked for."""

    min_drain_s: float  # clients may not know yet, and go on sending
    quiet_s: float  # then it ends once no bytes and no connection came for this long
    run_until_s: float  # calls that are open then are answered; later ones are refused
    max_flush_s: float = MAX_FLUSH_S


def shutdown_limits_for(longest_deadline_s: float, min_drain_s: float, quiet_s: float) -> ShutdownLimits:
    """Bounds by which everything is answered when the platform kills the process, at the earliest."""
    counted_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S)
    run_until_s = counted_s + KILL_AFTER_S - ANSWER_MARGIN_S
    return ShutdownLimits(min(min_drain_s, run_until_s), quiet_s, run_until_s)


@dataclass(frozen=True, slots=True)
class Activity:
    """What the front sees at one moment."""

    last_received_s: float  # when a connection or bytes of a request came last (clock time)
    unanswered: bool  # a request was read, or a part of it, whose answer has not gone to the kernel
    calls_finished: bool  # every call has its final answer, and none can be submitted any more


class GracefulShutdown:
    """One owner calls `step`; `begin` comes from the same thread."""

    def __init__(self) -> None:
        self.phase = Phase.ACCEPTING
        self._limits = ShutdownLimits(0.0, 0.0, 0.0, 0.0)
        self._begun_s = 0.0
        self._flush_started_s = 0.0

    def begin(self, limits: ShutdownLimits, now: float) -> None:
        """Start draining; once begun, a further call changes nothing."""
        if self.phase is Phase.ACCEPTING:
            self.phase = Phase.DRAINING
            self._limits = limits
            self._begun_s = now

    def step(self, now: float, activity: Activity) -> Phase:
        """Move on by at most one phase; the phase from here on."""
        if self.phase is Phase.DRAINING and self._drained(now, activity):
            self.phase = Phase.REJECTING
        elif self.phase is Phase.REJECTING and activity.calls_finished and self._quiet(now, activity):
            self.phase = Phase.FLUSHING
            self._flush_started_s = now
        elif self.phase is Phase.FLUSHING and self._flushed(now, activity):
            self.phase = Phase.CLOSED
        return self.phase

    def _drained(self, now: float, activity: Activity) -> bool:
        since_s = now - self._begun_s
        if since_s >= self._limits.run_until_s:
            return True
        return since_s >= self._limits.min_drain_s and self._quiet(now, activity)

    def _quiet(self, now: float, activity: Activity) -> bool:
        """Whether nothing comes and nothing is owed. While clients go on, closing would cross a request."""
        return now - activity.last_received_s >= self._limits.quiet_s and not activity.unanswered

    def _flushed(self, now: float, activity: Activity) -> bool:
        return not activity.unanswered or now - self._flush_started_s >= self._limits.max_flush_s
