"""The connection that one thread of a worker's pool currently uses."""

from __future__ import annotations

import socket
from types import TracebackType

from saffronstack.upstream.errors import ConnectTimeoutError
from saffronstack.upstream.http.connection import HttpConnection
from saffronstack.upstream.http.idle_connections import IdleConnections
from saffronstack.upstream.http.pool_limits import HttpPoolLimits


class ConnectionSlot:
    """Holds at most one connection for one thread; closes it at the end of the `with` block."""

    def __init__(
        self,
        address: tuple[str, int],
        limits: HttpPoolLimits,
        idle_connections: IdleConnections,
    ) -> None:
        """Create an empty slot.

        Args:
            address: Host and port of the worker.
            limits: Limits of the connections to the worker.
            idle_connections: The worker's connections that no thread uses.
        """
        self._address = address
        self._limits = limits
        self._idle_connections = idle_connections
        self._clock = idle_connections.clock
        self._connection: HttpConnection | None = None

    def __enter__(self) -> ConnectionSlot:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def acquire(self, deadline_s: float) -> HttpConnection:
        """Return an idle connection that may carry a request, otherwise a new one.

        Raises:
            OSError: No connection can be opened; TimeoutError if opening one takes longer than the
                connect timeout, or beyond ``deadline_s`` (clock time).
        """
        self.close()
        self._connection = self._idle_connections.take()
        if self._connection is None:
            self._connection = self._open(deadline_s)
        return self._connection

    def _open(self, deadline_s: float) -> HttpConnection:
        try:
            remaining_s = min(self._limits.connect_timeout_s, deadline_s - self._clock())
            if remaining_s <= 0:
                raise ConnectTimeoutError("no time left to connect")
            sock = socket.create_connection(self._address, timeout=remaining_s)
        except BaseException:
            self._idle_connections.forget_used()
            raise
        return HttpConnection(sock, self._limits.messages)

    def release(self) -> None:
        """Return the connection for later requests, or close it if it can't carry one."""
        connection = self._connection
        if connection is None or not connection.keep_alive:
            self.close()
            return
        self._connection = None
        self._idle_connections.put(connection)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
            self._idle_connections.forget_used()
