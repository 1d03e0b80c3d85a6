"""One HTTP/1.1 connection to a worker."""

from __future__ import annotations

import socket
from collections.abc import Callable

from saffronstack.http1.messages import MessageLimits, ResponseHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import Stream, read_until


class HttpConnection:
    """An open connection, used by one thread at a time; any thread may call `abort`."""

    def __init__(self, sock: socket.socket, limits: MessageLimits) -> None:
        self._stream = Stream(sock)
        self._reader = MessageReader(limits)
        self.keep_alive = True  # whether the connection may carry another request

    def is_reusable(self) -> bool:
        """Return whether the connection is still open and has received no unsolicited bytes."""
        return not self._reader.pending and self._stream.is_idle()

    def send(self, data: bytes, deadline_s: float, clock: Callable[[], float]) -> bool:
        """Send a request; the connection is not reused unless the whole request was sent.

        Returns:
            False if the socket accepted not a single byte, so that the worker can't have received any.

        Raises:
            OSError: The socket failed after some bytes; TimeoutError if ``deadline_s`` (clock time) passed.
        """
        keep_alive, self.keep_alive = self.keep_alive, False
        if not self._stream.send(data, deadline_s, clock):
            return False
        self.keep_alive = keep_alive
        return True

    def receive(self, deadline_s: float, clock: Callable[[], float]) -> tuple[ResponseHead, bytes]:
        """Return the response's head and body.

        Raises:
            TimeoutError: The response was not complete at ``deadline_s`` (clock time).
            PeerClosed: The worker closed the connection before the response was complete.
            OSError: The connection failed.
            HttpError: The response is not valid.
        """
        self.keep_alive = False
        head = read_until(self._stream, self._reader, self._reader.response, deadline_s, clock)
        body = read_until(self._stream, self._reader, self._reader.body, deadline_s, clock)
        self.keep_alive = head.keep_alive
        return head, body

    def abort(self) -> None:
        """Abort the connection; a send or receive of another thread on it fails at once."""
        self.keep_alive = False
        self._stream.abort()

    def close(self) -> None:
        """Close the connection and its socket."""
        self._stream.close()
