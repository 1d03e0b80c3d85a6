"""A UDP socket to the discovery server, replaced if the server moves or does not respond."""

from __future__ import annotations

import select
import socket
from collections import deque

# Number of consecutive queries without a valid response after which the socket is replaced, because its local
# port or the network path may not work. The number doubles with each replacement, up to the maximum.
MIN_QUERIES_BEFORE_REPLACEMENT = 4
MAX_QUERIES_BEFORE_REPLACEMENT = 64
MAX_REMEMBERED_QUERIES = 64  # a response may arrive after later queries were sent
MAX_RESPONSE_BYTES = 16 * 1024  # larger than any response
MILLISECONDS_PER_S = 1000


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
    """The current socket, its predecessor and the recent queries, owned by the resolver's thread.

    A socket that was replaced for want of responses is read until its replacement receives something: its
    responses may only be late.

    Attributes:
        server: Address that the current socket is connected to; None before the first socket.
        message_ids: Identifiers of recent queries to this server.
    """

    def __init__(self) -> None:
        """Start without a socket; `open` creates it."""
        self.server: tuple[str, int] | None = None
        self.message_ids: deque[int] = deque(maxlen=MAX_REMEMBERED_QUERIES)
        self._socket: socket.socket | None = None
        self._former_socket: socket.socket | None = None
        self._unanswered_queries = 0  # consecutive
        self._replacement_threshold = MIN_QUERIES_BEFORE_REPLACEMENT

    def open(self, server: tuple[str, int]) -> socket.socket:
        """Return a socket that is connected to a server: the current one or its replacement.

        The current socket is replaced only after the replacement is connected.

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
        if has_moved:
            self.close()
            self.message_ids.clear()
            self._replacement_threshold = MIN_QUERIES_BEFORE_REPLACEMENT
        else:
            self._close_former()
            self._former_socket = current_socket
            self._replacement_threshold = min(MAX_QUERIES_BEFORE_REPLACEMENT, 2 * self._replacement_threshold)
        self._socket = replacement
        self._unanswered_queries = 0
        self.server = server
        return replacement

    def receive(self, timeout_s: float) -> bytes | None:
        """Return the next datagram; None if none arrives in time. With a timeout of 0 it does not wait.

        Raises:
            OSError: The socket can't be used, or an earlier query was refused.
        """
        current, former = self._socket, self._former_socket
        assert current is not None
        if former is None:
            return _receive(current, timeout_s)
        readable = _wait_readable((current, former), timeout_s)
        if former.fileno() in readable:  # first, since the lists on it are older
            return _receive(former, 0.0)
        message = _receive(current, 0.0) if readable else None
        if message is not None:
            self._close_former()
        return message

    def record_result(self, is_answered: bool) -> None:
        """Record whether a query received a valid response."""
        if is_answered:
            self._unanswered_queries = 0
            self._replacement_threshold = MIN_QUERIES_BEFORE_REPLACEMENT
        else:
            self._unanswered_queries += 1

    def close(self) -> None:
        """Close all sockets."""
        self._close_former()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _close_former(self) -> None:
        if self._former_socket is not None:
            self._former_socket.close()
            self._former_socket = None


def _receive(udp_socket: socket.socket, timeout_s: float) -> bytes | None:
    udp_socket.settimeout(timeout_s)
    try:
        return udp_socket.recv(MAX_RESPONSE_BYTES)
    except (TimeoutError, BlockingIOError):
        return None


def _wait_readable(sockets: tuple[socket.socket, ...], timeout_s: float) -> set[int]:
    """Return the file descriptors that have a datagram or an error to read."""
    poll = select.poll()
    for udp_socket in sockets:
        poll.register(udp_socket, select.POLLIN)
    return {descriptor for descriptor, _ in poll.poll(timeout_s * MILLISECONDS_PER_S)}
