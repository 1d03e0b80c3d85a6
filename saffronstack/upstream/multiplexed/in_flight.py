"""The exchanges in flight on one connection; decides who may send and who ends each exchange."""

from __future__ import annotations

import math
import threading
from enum import Enum

from saffronstack.upstream.multiplexed.exchange import ExchangeConnection, PendingExchange

MAX_ANSWERED_TAGS = 64  # latest answered tags; not reused, as a duplicate response may still arrive
MAX_ABANDONED_TAGS = 32  # abandoned tags that may still be answered; at the limit nothing is accepted


class Admission(Enum):
    """The result of adding an exchange."""

    REJECTED = 0  # not accepted
    SEND_NOW = 1  # accepted; the caller must send it
    QUEUED = 2  # accepted; sent once the connection is established


class InFlightTable:
    """Holds exchanges by tag. The thread that removes an exchange must end it, so each ends exactly once.

    Thread-safe.
    """

    def __init__(self, max_exchanges: int) -> None:
        self._max_exchanges = max_exchanges
        self._lock = threading.Lock()  # guards all fields below
        self._exchanges: dict[str, PendingExchange] = {}
        self._queued: list[PendingExchange] = []
        self._abandoned_tags: set[str] = set()
        self._answered_tags: dict[str, None] = {}  # used as an ordered set, oldest response first
        self._is_connected = False
        self.is_closed = False  # accepts nothing; also set without the lock, as it is never reset
        self.is_draining = False  # accepts nothing; to be closed once nothing is in flight

    def __len__(self) -> int:
        """Return the number of exchanges in flight."""
        return len(self._exchanges)

    @property
    def oldest_submitted_s(self) -> float:
        """When the oldest exchange in flight was submitted (clock time); infinite if none is in flight."""
        with self._lock:
            oldest = next(iter(self._exchanges.values()), None)
        return math.inf if oldest is None else oldest.submitted_s

    def can_accept(self, tag: str) -> bool:
        """Return whether an exchange with this tag can be added."""
        return not (
            self.is_closed
            or self.is_draining
            or len(self._exchanges) >= self._max_exchanges
            or tag in self._exchanges
            or tag in self._abandoned_tags
            or tag in self._answered_tags
            or len(self._abandoned_tags) >= MAX_ABANDONED_TAGS
        )

    def add(self, exchange: PendingExchange, connection: ExchangeConnection) -> Admission:
        """Add an exchange and set its connection, unless it can't be accepted."""
        with self._lock:
            if not self.can_accept(exchange.tag):
                return Admission.REJECTED
            self._exchanges[exchange.tag] = exchange
            exchange.connection = connection
            if self._is_connected:
                return Admission.SEND_NOW
            self._queued.append(exchange)
            return Admission.QUEUED

    def on_connected(self) -> list[PendingExchange]:
        """Stop queueing; return the queued exchanges, or none if the table was closed meanwhile."""
        with self._lock:
            self._is_connected = True
            queued, self._queued = self._queued, []
            return [] if self.is_closed else queued

    def claim(self, exchange: PendingExchange) -> bool:
        """Return whether the first byte may be sent; if so, the exchange may have been executed from now on.

        The same lock guards removal, as otherwise a request that is being sent could be reported as unsent.
        """
        with self._lock:
            exchange.is_started = not exchange.is_finished
            return exchange.is_started

    def unclaim(self, exchange: PendingExchange) -> None:
        """Undo a claim because not a single byte was sent."""
        with self._lock:
            exchange.is_started = False

    def remove(self, exchange: PendingExchange, abandon: bool = False) -> bool:
        """Remove an exchange; return whether it was present, so that the caller must end it.

        Args:
            exchange: The exchange to remove.
            abandon: Whether a response may still arrive if it was sent, so that its tag must not be reused.
        """
        with self._lock:
            if self._exchanges.get(exchange.tag) is not exchange:
                return False
            del self._exchanges[exchange.tag]
            exchange.is_finished = True
            if abandon and exchange.is_started:
                self._abandoned_tags.add(exchange.tag)
        return True

    def pop_answered(self, tag: str) -> PendingExchange | None:
        """Remove and return the exchange of a response; None if it was abandoned or never sent."""
        with self._lock:
            exchange = self._exchanges.pop(tag, None)
            if exchange is None:
                self._abandoned_tags.discard(tag)
                return None
            exchange.is_finished = True
            self._answered_tags[tag] = None
            if len(self._answered_tags) > MAX_ANSWERED_TAGS:
                del self._answered_tags[next(iter(self._answered_tags))]
        return exchange

    def close_if_idle(self) -> bool:
        """Close the table unless an exchange is in flight; return whether it is closed."""
        with self._lock:
            self.is_closed = self.is_closed or not self._exchanges
            return self.is_closed

    def close(self) -> list[PendingExchange]:
        """Close the table and return the exchanges in flight; none can be claimed for sending afterwards."""
        with self._lock:
            self.is_closed = True
            lost, self._exchanges = list(self._exchanges.values()), {}
            for exchange in lost:  # `claim` reads this under the same lock
                exchange.is_finished = True
            self._queued = []
            self._abandoned_tags = set()
            self._answered_tags = {}
        return lost

    def is_drained(self) -> bool:
        """Return whether the table accepts nothing more and nothing is in flight."""
        accepts_nothing = self.is_draining or len(self._abandoned_tags) >= MAX_ABANDONED_TAGS
        return accepts_nothing and not self._exchanges
