"""A UDP socket to the discovery server, replaced where the server moves or stays silent."""

from __future__ import annotations

import socket
from collections import deque

# The port of a socket or the path to it may be dead: after so many queries in a row without a valid response
# the socket is replaced; each time the number doubles, up to the largest.
MIN_QUERIES_BEFORE_REPLACEMENT = 4
MAX_QUERIES_BEFORE_REPLACEMENT = 64
MAX_REMEMBERED_QUERIES = 64  # a response may come after later queries were sent


def connect_udp(server: tuple[str, int]) -> socket.socket:
    """Return a socket that receives from one server alone: the system drops datagrams of any other.

    Raises:
        OSError: No socket is to be had.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp_socket.connect(server)
    except OSError:
        udp_socket.close()
        raise
    return udp_socket


class ServerSocket:
    """The present socket, and the queries sent on it; the resolver's thread owns it.

    Attributes:
        server: Address that the present socket is connected to; None before the first.
        message_ids: Identifiers of recent queries on the present socket.
    """

    def __init__(self) -> None:
        """Start without a socket; `open` makes the first."""
        self.server: tuple[str, int] | None = None
        self.message_ids: deque[int] = deque(maxlen=MAX_REMEMBERED_QUERIES)
        self._socket: socket.socket | None = None
        self._unanswered_queries = 0  # queries in a row
        self._replacement_threshold = MIN_QUERIES_BEFORE_REPLACEMENT

    def open(self, server: tuple[str, int]) -> socket.socket:
        """Return a socket connected to a server: the present one, or another that replaces it.

        The present one is closed only once there is another.

        Raises:
            OSError: A new socket is needed, and none is to be had.
        """
        current_socket = self._socket
        has_moved = self.server != server
        if (
            current_socket is not None
            and not has_moved
            and self._unanswered_queries < self._replacement_threshold
        ):
            return current_socket
        try:
            replacement = connect_udp(server)
        except OSError:
            if current_socket is None or has_moved:
                raise
            return current_socket  # without a free descriptor: the present socket may work yet
        self.close()
        self._socket = replacement
        if has_moved:
            self._replacement_threshold = MIN_QUERIES_BEFORE_REPLACEMENT
        else:
            self._replacement_threshold = min(MAX_QUERIES_BEFORE_REPLACEMENT, 2 * self._replacement_threshold)
        self._unanswered_queries = 0
        self.message_ids.clear()
        self.server = server
        return replacement

    def record_result(self, is_answered: bool) -> None:
        """Count a query that did or did not bring a valid response."""
        if is_answered:
            self._unanswered_queries = 0
            self._replacement_threshold = MIN_QUERIES_BEFORE_REPLACEMENT
        else:
            self._unanswered_queries += 1

    def close(self) -> None:
        """Close the present socket, if there is one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
