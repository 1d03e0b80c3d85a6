"""Decides when a graceful shutdown enters its next phase, from client activity and deadlines. No I/O.

The platform kills the process some time after SIGTERM. If clients stop sending before that, the gateway exits
early. If they go on sending, it keeps running and answering until the kill.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# The kill deadline, counted from SIGTERM: the longest class deadline, capped, plus KILL_AFTER_S.
KILL_AFTER_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
ANSWER_MARGIN_S = 0.1  # seconds before the kill deadline that are reserved for writing the last answers
MAX_FLUSH_S = 0.1


class Phase(Enum):
    """Phases of the frontend in order; it never returns to an earlier one."""

    ACCEPTING = auto()  # normal operation
    DRAINING = auto()  # shutdown requested: connections and requests are still accepted and answered
    REJECTING = auto()  # connections are accepted, new requests are rejected, open calls are answered
    FLUSHING = auto()  # the listener is closed; pending answers are written
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class ShutdownLimits:
    """Bounds of a shutdown; times in seconds."""

    # Minimum duration of the drain: until then clients may not know of the shutdown, and they still send.
    min_drain_s: float
    quiet_s: float  # after the minimum, the drain ends once no bytes or connections arrive for this long
    run_until_s: float  # time since the request after which new calls are rejected; open ones are answered
    max_flush_s: float = MAX_FLUSH_S


def shutdown_limits_for(longest_deadline_s: float, min_drain_s: float, quiet_s: float) -> ShutdownLimits:
    """Return bounds that leave time to answer every call before the earliest possible kill."""
    counted_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S)
    run_until_s = counted_s + KILL_AFTER_S - ANSWER_MARGIN_S
    return ShutdownLimits(min(min_drain_s, run_until_s), quiet_s, run_until_s)


@dataclass(frozen=True, slots=True)
class Activity:
    """What the frontend observes at one time."""

    last_received_s: float  # clock time of the last new connection or received bytes
    unanswered: bool  # a request was read, at least in part, and its answer is not yet written to a socket
    calls_finished: bool  # every call has its final answer, and the engine accepts no more calls


class GracefulShutdown:
    """The state of one shutdown. `begin` and `step` must be called from the same thread."""

    def __init__(self) -> None:
        self.phase = Phase.ACCEPTING
        self._limits = ShutdownLimits(0.0, 0.0, 0.0, 0.0)
        self._begun_s = 0.0
        self._flush_started_s = 0.0

    def begin(self, limits: ShutdownLimits, now: float) -> None:
        """Start draining; later calls have no effect."""
        if self.phase is Phase.ACCEPTING:
            self.phase = Phase.DRAINING
            self._limits = limits
            self._begun_s = now

    def step(self, now: float, activity: Activity) -> Phase:
        """Enter the next phase if its condition holds; return the current phase."""
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
        """Return whether clients are quiet and every request is answered.

        While clients send, closing a connection could lose a request that is on its way.
        """
        return now - activity.last_received_s >= self._limits.quiet_s and not activity.unanswered

    def _flushed(self, now: float, activity: Activity) -> bool:
        return not activity.unanswered or now - self._flush_started_s >= self._limits.max_flush_s
