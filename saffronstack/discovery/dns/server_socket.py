"""A UDP socket to the discovery server, replaced if the server moves or does not respond."""

from __future__ import annotations

import socket
from collections import deque

# Number of consecutive queries without a valid response after which the socket is replaced, because its local
# port or the network path may not work. The number doubles with each replacement, up to the maximum.
MIN_QUERIES_BEFORE_REPLACEMENT = 4
MAX_QUERIES_BEFORE_REPLACEMENT = 64
MAX_REMEMBERED_QUERIES = 64  # a response may arrive after later queries were sent


def connect_udp(server: tuple[str, int]) -> socket.socket:
    """Return a connected socket. The kernel drops datagrams from any other address.

    Raises:
        OSError: No socket can be created.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp_socket.connect(server)
    except OSError:
        udp_socket.close()
        raise
    return udp_socket


class ServerSocket:
    """The current socket and its recent queries, owned by the resolver's thread.

    Attributes:
        server: Address that the current socket is connected to; None before the first socket.
        message_ids: Identifiers of recent queries on the current socket.
    """

    def __init__(self) -> None:
        """Start without a socket; `open` creates it."""
        self.server: tuple[str, int] | None = None
        self.message_ids: deque[int] = deque(maxlen=MAX_REMEMBERED_QUERIES)
        self._socket: socket.socket | None = None
        self._unanswered_queries = 0  # consecutive
        self._replacement_threshold = MIN_QUERIES_BEFORE_REPLACEMENT

    def open(self, server: tuple[str, int]) -> socket.socket:
        """Return a socket that is connected to a server: the current one or its replacement.

        The current socket is closed only after the replacement is connected.

        Raises:
            OSError: A new socket is needed and can't be created.
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
            return current_socket  # no file descriptor is free, and the current socket may still work
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
        """Record whether a query received a valid response."""
        if is_answered:
            self._unanswered_queries = 0
            self._replacement_threshold = MIN_QUERIES_BEFORE_REPLACEMENT
        else:
            self._unanswered_queries += 1

    def close(self) -> None:
        """Close the current socket, if there is one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
