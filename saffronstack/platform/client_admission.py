"""Whether a client that waits to be accepted is, and which connection makes room for it. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from saffronstack.platform.eviction import EvictionOrder, FindClosed
from saffronstack.platform.idle_order import ClientConnectionView

OVERDUE_WAIT_S = 0.1  # small beside the shortest deadlines of a third of a second
MAX_QUEUE_WAIT_S = 0.2  # of those behind, who are owed an answer from then on as well
OVER_LIMIT_LINGER_S = 0.05  # of a connection beyond the number, for its client to read the answer
MIN_RECHECK_S = 0.005  # between two looks for room
MAX_RECHECK_S = 0.05


class AdmissionOutcome(Enum):
    """What is done about a newcomer."""

    ACCEPT = auto()  # as one of the usual connections
    ACCEPT_OVER_LIMIT = auto()  # as one beyond their number, whose calls are refused at once
    WAIT = auto()  # it stays in the listener's queue


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """A verdict; which connection is to be closed first; and when to look again for a newcomer that waits."""

    outcome: AdmissionOutcome
    victim: ClientConnectionView | None = None
    recheck_s: float = 0.0


class ClientAdmission:
    """Keeps count of all connections, by whether they are beyond the number."""

    def __init__(self, silent_reserve: int, max_over_limit: int, find_closed: FindClosed = list) -> None:
        """Create it without connections.

        Args:
            silent_reserve: How many connections accepted just now may stay silent, where there is no room.
            max_over_limit: How many of those beyond the number of connections.
            find_closed: Finds those that may have been ended by their clients, cheaply.
        """
        self._regular = EvictionOrder(silent_reserve, find_closed)
        self._over_limit = EvictionOrder(max_over_limit, find_closed)
        self._waiting_since_s: float | None = None  # when there was first no room for one that waits
        self._queue_wait_s = 0.0  # of the newcomer that was accepted last

    def add(self, connection: ClientConnectionView) -> None:
        """It was accepted."""
        self._order_of(connection).add(connection)

    def touch(self, connection: ClientConnectionView) -> None:
        """Something of it was read."""
        self._order_of(connection).touch(connection)

    def remove(self, connection: ClientConnectionView) -> None:
        """It was closed."""
        self._order_of(connection).remove(connection)

    def note_accept_queue_empty(self) -> None:
        """The listener's queue is empty."""
        self._waiting_since_s = None
        self._queue_wait_s = 0.0

    def record_queue_wait(self, queue_wait_s: float) -> None:
        """How long the newcomer that was accepted now had waited in the listener's queue."""
        self._queue_wait_s = queue_wait_s

    def has_waiting_client(self) -> bool:
        """Whether a newcomer may have waited for room."""
        return self._waiting_since_s is not None

    def is_at_limit(self, connection_limit: int) -> bool:
        """Whether a newcomer has to be decided on."""
        return len(self._regular) >= connection_limit

    def decide_for_over_limit(self, now: float, connection_limit: int) -> AdmissionDecision:
        """Whether there is room now for a connection beyond the number whose client goes on: ``ACCEPT``, or
        ``OVERFLOW`` where it stays what it is.
        """
        if not self.is_at_limit(connection_limit):
            return AdmissionDecision(AdmissionOutcome.ACCEPT)
        victim = self._regular.next_idle_victim(now, overdue=False)
        return AdmissionDecision(
            AdmissionOutcome.ACCEPT_OVER_LIMIT if victim is None else AdmissionOutcome.ACCEPT, victim
        )

    def decide(self, now: float, connection_limit: int, max_over_limit: int) -> AdmissionDecision:
        """What is done about a client that waits now; how many connections may be open, and how many beyond
        that number.
        """
        if not self.is_at_limit(connection_limit):
            return AdmissionDecision(AdmissionOutcome.ACCEPT)
        overdue = self._is_overdue(now)
        if victim := self._regular.next_idle_victim(now, overdue):
            return AdmissionDecision(AdmissionOutcome.ACCEPT, victim)
        if overdue or not self._regular.has_idle():
            if len(self._over_limit) < max_over_limit:
                return AdmissionDecision(AdmissionOutcome.ACCEPT_OVER_LIMIT)
            if victim := self._over_limit_victim(now, overdue):
                return AdmissionDecision(AdmissionOutcome.ACCEPT_OVER_LIMIT, victim)
        if overdue and not self._over_limit.has_idle() and (victim := self._regular.next_victim(now)):
            return AdmissionDecision(AdmissionOutcome.ACCEPT, victim)
        return self._decide_to_wait(now, self._regular.next_idle_s(now))

    def next_victim_for_descriptor(self, now: float) -> ClientConnectionView | None:
        """One to close where the system has no descriptor for a newcomer; None where it has to wait."""
        overdue = self._is_overdue(now)
        victim = self._over_limit_victim(now, overdue) or self._regular.next_idle_victim(now, overdue)
        if victim is None and overdue:
            victim = self._regular.next_victim(now)
        if victim is None:
            self._decide_to_wait(now, None)
        return victim

    def _is_overdue(self, now: float) -> bool:
        return self._waiting_since_s is not None and now - self._waiting_since_s >= OVERDUE_WAIT_S

    def _over_limit_victim(self, now: float, overdue: bool) -> ClientConnectionView | None:
        """Clients that were refused have been told to keep away: theirs go before any that is in use."""
        victim = self._over_limit.next_idle_victim(now, overdue)
        if victim is None and overdue:
            linger_s = 0.0 if self._queue_wait_s >= MAX_QUEUE_WAIT_S else OVER_LIMIT_LINGER_S
            victim = self._over_limit.next_served_victim(now, now - linger_s)
        return victim

    def _decide_to_wait(self, now: float, next_idle_s: float | None) -> AdmissionDecision:
        if self._waiting_since_s is None:
            self._waiting_since_s = now
        recheck_s = now + MAX_RECHECK_S
        if next_idle_s is not None:
            recheck_s = min(recheck_s, next_idle_s)
        if not self._is_overdue(now):
            recheck_s = min(recheck_s, self._waiting_since_s + OVERDUE_WAIT_S)
        return AdmissionDecision(AdmissionOutcome.WAIT, recheck_s=max(recheck_s, now + MIN_RECHECK_S))

    def _order_of(self, connection: ClientConnectionView) -> EvictionOrder:
        return self._over_limit if connection.is_over_limit else self._regular
