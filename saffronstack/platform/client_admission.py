"""Decides whether to accept a waiting client and which connection to evict for it. No I/O, no clock.

At the connection limit a new client is accepted if an idle connection can be evicted. Otherwise it waits in
the listener's accept queue, or it is accepted as an over-limit connection, whose calls are rejected at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from saffronstack.platform.eviction import EvictionOrder, FindClosed
from saffronstack.platform.idle_order import ClientConnectionView

# Seconds that a client waits in the accept queue before it is overdue; the shortest deadlines are 0.33 s.
OVERDUE_WAIT_S = 0.1
# Accept queue wait in seconds from which on over-limit connections are evicted without a linger time: the
# clients behind the first one need an answer before their deadlines too.
MAX_QUEUE_WAIT_S = 0.2
# Seconds that an over-limit connection stays open so that its client can read the rejection.
OVER_LIMIT_LINGER_S = 0.05
MIN_RECHECK_S = 0.005  # minimum and maximum seconds between two checks for capacity
MAX_RECHECK_S = 0.05


class AdmissionOutcome(Enum):
    """What happens to a client that waits to be accepted."""

    ACCEPT = auto()  # as a regular connection
    ACCEPT_OVER_LIMIT = auto()  # as an over-limit connection, whose calls are rejected at once
    WAIT = auto()  # it stays in the accept queue


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """What to do about a waiting client.

    Attributes:
        outcome: What happens to the client.
        victim: Connection to close first.
        recheck_s: Time of the next check for capacity, if the client waits.
    """

    outcome: AdmissionOutcome
    victim: ClientConnectionView | None = None
    recheck_s: float = 0.0


class ClientAdmission:
    """Tracks all client connections, regular and over-limit, and decides on waiting clients."""

    def __init__(self, silent_reserve: int, max_over_limit: int, find_closed: FindClosed = list) -> None:
        """Create an admission without connections.

        Args:
            silent_reserve: Recent connections that may be silent (no data received yet) at the limit.
            max_over_limit: The same for over-limit connections.
            find_closed: Finds at low cost the connections that their clients may have closed.
        """
        self._regular = EvictionOrder(silent_reserve, find_closed)
        self._over_limit = EvictionOrder(max_over_limit, find_closed)
        self._waiting_since_s: float | None = None  # when a waiting client was first not accepted
        self._queue_wait_s = 0.0  # of the client that was accepted last

    def add(self, connection: ClientConnectionView) -> None:
        """Track a connection that was accepted."""
        self._order_of(connection).add(connection)

    def touch(self, connection: ClientConnectionView) -> None:
        """Note that data was read from a connection."""
        self._order_of(connection).touch(connection)

    def remove(self, connection: ClientConnectionView) -> None:
        """Forget a connection that was closed."""
        self._order_of(connection).remove(connection)

    def note_accept_queue_empty(self) -> None:
        """Note that the accept queue is empty, so that no client waits."""
        self._waiting_since_s = None
        self._queue_wait_s = 0.0

    def record_queue_wait(self, queue_wait_s: float) -> None:
        """Note how long the client that is accepted now had waited in the accept queue."""
        self._queue_wait_s = queue_wait_s

    def has_waiting_client(self) -> bool:
        """Return whether a client may be waiting for capacity."""
        return self._waiting_since_s is not None

    def is_at_limit(self, connection_limit: int) -> bool:
        """Return whether the connection limit is reached, so that a new client needs a decision."""
        return len(self._regular) >= connection_limit

    def decide_for_over_limit(self, now: float, connection_limit: int) -> AdmissionDecision:
        """Decide whether an over-limit connection whose client sends more requests becomes a regular one.

        Returns:
            ``ACCEPT`` if there is capacity; ``ACCEPT_OVER_LIMIT`` if it stays an over-limit connection.
        """
        if not self.is_at_limit(connection_limit):
            return AdmissionDecision(AdmissionOutcome.ACCEPT)
        victim = self._regular.next_idle_victim(now, overdue=False)
        return AdmissionDecision(
            AdmissionOutcome.ACCEPT_OVER_LIMIT if victim is None else AdmissionOutcome.ACCEPT, victim
        )

    def decide(self, now: float, connection_limit: int, max_over_limit: int) -> AdmissionDecision:
        """Decide what happens to a client that waits in the accept queue.

        Args:
            now: The present time.
            connection_limit: Maximum of regular connections.
            max_over_limit: Maximum of over-limit connections.
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
        """Return the connection to close if a new client finds no free descriptor; None if it must wait."""
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
        """Return the over-limit connection to evict.

        Its client was rejected with advice when to retry, so it goes before any regular connection in use.
        """
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
