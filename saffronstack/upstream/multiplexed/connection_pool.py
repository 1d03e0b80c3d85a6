"""The multiplexed connections to one worker, and the selection of one for each exchange."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable

from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.upstream.multiplexed.connection import ConnectionContext, MultiplexedConnection
from saffronstack.upstream.multiplexed.connection_budget import ConnectionBudget
from saffronstack.upstream.multiplexed.exchange import PendingExchange

MAX_SUBMIT_ATTEMPTS = 8  # a connection may close after it is selected and before the exchange is submitted


class MultiplexedPool:
    """Holds the connections to one worker and opens them on demand.

    Only the decision thread submits exchanges. Connections are removed on the threads that close them.
    """

    def __init__(
        self,
        spec: WorkerSpec,
        context: ConnectionContext,
        budget: ConnectionBudget,
        close_idle_connection: Callable[[], None],
    ) -> None:
        """Create a pool without connections.

        Args:
            spec: The worker.
            context: Limits and services that all connections share.
            budget: Limits the connections to all workers together.
            close_idle_connection: Closes an idle connection to any worker; called at the budget's limit.
        """
        self.spec = spec
        self.worker_id = spec.number
        self.name = spec.name
        self.is_closed = spec.is_draining  # no attempt or load command is sent, even if queued
        self.max_connections = 1
        self._context = context
        self._budget = budget
        self._close_idle_connection = close_idle_connection
        self._lock = threading.Lock()  # guards the list of connections
        self._connections: list[MultiplexedConnection] = []
        self.succeeded = 0  # successful attempts; written by the read loop
        self.failed = 0  # attempts that ended in an error, or without a response

    @property
    def in_flight(self) -> int:
        """Number of exchanges in flight on all connections."""
        return sum(connection.in_flight for connection in self.connections)

    @property
    def unresponsive_s(self) -> float:
        """Seconds since anything was received on any connection while an exchange is in flight.

        They count from the submission of the oldest exchange if that is later. Establishing a connection
        counts as receiving. The value is 0 if no exchange is in flight.
        """
        connections = self.connections
        oldest_s = min((connection.oldest_submitted_s for connection in connections), default=math.inf)
        last_received_s = max((connection.last_received_s for connection in connections), default=0.0)
        return max(0.0, self._context.clock() - max(oldest_s, last_received_s))

    @property
    def connections(self) -> list[MultiplexedConnection]:
        """A copy of the current connections, in the order in which they were opened."""
        with self._lock:
            return list(self._connections)

    def update(self, spec: WorkerSpec) -> None:
        """Apply a changed entry of the endpoint list."""
        self.spec = spec
        self.is_closed = spec.is_draining

    def submit(self, exchange: PendingExchange) -> bool:
        """Send an exchange on an idle connection, a new one, or the one with the fewest in flight.

        A connection failure fails every exchange in flight on that connection. Exchanges therefore share one
        only if no further connection may be opened.

        Returns:
            False if no connection is available, so that nothing was sent.
        """
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            connection = self._choose_connection(exchange.tag)
            if connection is None:
                return False
            if connection.submit(exchange):
                return True
        return False

    def send_one_way(self, data: bytes) -> bool:
        """Send a message that has no response on any connection; return False if none accepts it."""
        return any(connection.send_one_way(data) for connection in self.connections)

    def _choose_connection(self, tag: str) -> MultiplexedConnection | None:
        best: MultiplexedConnection | None = None
        for connection in reversed(self.connections):
            if connection.can_accept(tag):
                if not connection.in_flight:
                    return connection
                if best is None or connection.in_flight < best.in_flight:
                    best = connection
        if best is None or len(self._connections) < self.max_connections:
            best = self._open_connection(is_required=best is None) or best
        return best

    def _open_connection(self, is_required: bool) -> MultiplexedConnection | None:
        """Open a connection, over the budget only if ``is_required``; return None if that is not possible."""
        if not self._budget.try_acquire():
            self._close_idle_connection()
            if not is_required:
                return None
            self._budget.acquire_over_limit()
        address = self.spec.host, self.spec.port
        connection = MultiplexedConnection(address, self._context, self._on_connection_closed)
        with self._lock:
            self._connections.append(connection)
        try:
            connection.start()
        except RuntimeError:  # the system has no more threads
            self._on_connection_closed(connection)
            return None
        return connection

    def _on_connection_closed(self, connection: MultiplexedConnection) -> None:
        with self._lock:
            if connection in self._connections:
                self._connections.remove(connection)
        self._budget.release()

    def stop(self) -> None:
        """Stop sending; each connection closes once nothing is in flight on it."""
        self.is_closed = True
        for connection in self.connections:
            connection.close_gracefully()
