"""Whether a client that waits to be accepted is, and which connection makes room for it. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from saffronstack.platform.eviction import EvictionOrder, FindEnded
from saffronstack.platform.idle_order import ClientConnectionView

NEWCOMER_WAIT_MAX_S = 0.1  # small beside the shortest deadlines of a third of a second
QUEUE_WAIT_MAX_S = 0.2  # of those behind, who are owed an answer from then on as well
REFUSED_STAY_S = 0.05  # of a connection beyond the number, for its client to read the answer
RETRY_MIN_S = 0.005  # between two looks for room
RETRY_MAX_S = 0.05


class Verdict(Enum):
    """What is done about a newcomer."""

    ACCEPT = auto()  # as one of the usual connections
    OVERFLOW = auto()  # as one beyond their number, whose calls are refused at once
    WAIT = auto()  # it stays in the listener's queue


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict; which connection is to be closed first; and when to look again for a newcomer that waits."""

    verdict: Verdict
    victim: ClientConnectionView | None = None
    retry_s: float = 0.0


class ClientAdmission:
    """Keeps count of all connections, by whether they are beyond the number."""

    def __init__(self, silent_reserve: int, overflow: int, find_ended: FindEnded = list) -> None:
        """Create it without connections.

        Args:
            silent_reserve: How many connections accepted just now may stay silent, where there is no room.
            overflow: How many of those beyond the number of connections.
            find_ended: Finds those that may have been ended by their clients, cheaply.
        """
        self._usual = EvictionOrder(silent_reserve, find_ended)
        self._overflow = EvictionOrder(overflow, find_ended)
        self._waiting_since_s: float | None = None  # when there was first no room for one that waits
        self._queue_wait_s = 0.0  # of the newcomer that was accepted last

    def add(self, connection: ClientConnectionView) -> None:
        """It was accepted."""
        self._group(connection).add(connection)

    def touch(self, connection: ClientConnectionView) -> None:
        """Something of it was read."""
        self._group(connection).touch(connection)

    def remove(self, connection: ClientConnectionView) -> None:
        """It was closed."""
        self._group(connection).remove(connection)

    def nobody_waits(self) -> None:
        """The listener's queue is empty."""
        self._waiting_since_s = None
        self._queue_wait_s = 0.0

    def accepted_after(self, queue_wait_s: float) -> None:
        """How long the newcomer that was accepted now had waited in the listener's queue."""
        self._queue_wait_s = queue_wait_s

    def has_kept_waiting(self) -> bool:
        """Whether a newcomer may have waited for room."""
        return self._waiting_since_s is not None

    def is_full(self, connections: int) -> bool:
        """Whether a newcomer has to be decided on."""
        return len(self._usual) >= connections

    def decide_on_refused(self, now: float, connections: int) -> Decision:
        """Whether there is room now for a connection beyond the number whose client goes on: ``ACCEPT``, or
        ``OVERFLOW`` where it stays what it is.
        """
        if not self.is_full(connections):
            return Decision(Verdict.ACCEPT)
        victim = self._usual.next_idle(now, overdue=False)
        return Decision(Verdict.OVERFLOW if victim is None else Verdict.ACCEPT, victim)

    def decide(self, now: float, connections: int, overflow: int) -> Decision:
        """What is done about a client that waits now; how many connections may be open, and how many beyond
        that number.
        """
        if not self.is_full(connections):
            return Decision(Verdict.ACCEPT)
        overdue = self._overdue(now)
        if victim := self._usual.next_idle(now, overdue):
            return Decision(Verdict.ACCEPT, victim)
        if overdue or not self._usual.has_idle():
            if len(self._overflow) < overflow:
                return Decision(Verdict.OVERFLOW)
            if victim := self._overflow_victim(now, overdue):
                return Decision(Verdict.OVERFLOW, victim)
        if overdue and not self._overflow.has_idle() and (victim := self._usual.next(now)):
            return Decision(Verdict.ACCEPT, victim)
        return self._wait(now, self._usual.due_s(now))

    def next_for_descriptor(self, now: float) -> ClientConnectionView | None:
        """One to close where the system has no descriptor for a newcomer; None where it has to wait."""
        overdue = self._overdue(now)
        victim = self._overflow_victim(now, overdue) or self._usual.next_idle(now, overdue)
        if victim is None and overdue:
            victim = self._usual.next(now)
        if victim is None:
            self._wait(now, None)
        return victim

    def _overdue(self, now: float) -> bool:
        return self._waiting_since_s is not None and now - self._waiting_since_s >= NEWCOMER_WAIT_MAX_S

    def _overflow_victim(self, now: float, overdue: bool) -> ClientConnectionView | None:
        """Clients that were refused have been told to keep away: theirs go before any that is in use."""
        victim = self._overflow.next_idle(now, overdue)
        if victim is None and overdue:
            stay_s = 0.0 if self._queue_wait_s >= QUEUE_WAIT_MAX_S else REFUSED_STAY_S
            victim = self._overflow.next_answered(now, now - stay_s)
        return victim

    def _wait(self, now: float, due_s: float | None) -> Decision:
        if self._waiting_since_s is None:
            self._waiting_since_s = now
        retry_s = now + RETRY_MAX_S
        if due_s is not None:
            retry_s = min(retry_s, due_s)
        if not self._overdue(now):
            retry_s = min(retry_s, self._waiting_since_s + NEWCOMER_WAIT_MAX_S)
        return Decision(Verdict.WAIT, retry_s=max(retry_s, now + RETRY_MIN_S))

    def _group(self, connection: ClientConnectionView) -> EvictionOrder:
        return self._overflow if connection.overflow else self._usual
