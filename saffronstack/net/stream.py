"""Blocking sockets with a timeout on every read and write.

The timeouts are the kernel's (SO_RCVTIMEO, SO_SNDTIMEO). Python's own timeouts cost a poll and a release of
the global interpreter lock before every read and write.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections.abc import Callable

READ_SIZE = 64 * 1024
_TIMEVAL = struct.Struct("ll")
MIN_TIMEOUT_S = 0.001  # the kernel treats a timeout of zero as none
TIMEOUT_TOLERANCE = 0.99  # reuse a set timeout that is at most 1% shorter, which saves a system call


class PeerClosed(ConnectionError):
    """The peer closed its side before a message was complete."""


class Stream:
    """A connected blocking socket with a timeout on every read and write.

    Only one thread at a time may read and write; any thread may call `abort`.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Take ownership of a connected socket and disable Nagle's algorithm."""
        sock.settimeout(None)
        with contextlib.suppress(OSError):  # not TCP
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._timeouts_s = {socket.SO_RCVTIMEO: 0.0, socket.SO_SNDTIMEO: 0.0}

    def _set_timeout(self, option: int, timeout_s: float) -> None:
        """Set a timeout, unless the current one is within `TIMEOUT_TOLERANCE`."""
        if timeout_s * TIMEOUT_TOLERANCE <= self._timeouts_s[option] <= timeout_s:
            return
        timeout_s = max(MIN_TIMEOUT_S, timeout_s)
        seconds = int(timeout_s)
        microseconds = int((timeout_s - seconds) * 1e6)
        self.sock.setsockopt(socket.SOL_SOCKET, option, _TIMEVAL.pack(seconds, microseconds))
        self._timeouts_s[option] = timeout_s

    def receive_into(self, buffer: bytearray, timeout_s: float) -> int:
        """Read available bytes into a buffer; return their number, 0 where the peer has closed its side.

        A buffer that is allocated for each read and held during the wait fragments the memory of a process
        with hundreds of connections.

        Raises:
            TimeoutError: Nothing arrived within ``timeout_s`` seconds.
            OSError: The connection failed.
        """
        self._set_timeout(socket.SO_RCVTIMEO, timeout_s)
        try:
            return self.sock.recv_into(buffer)
        except BlockingIOError as error:
            raise TimeoutError("read timed out") from error

    def receive(self, timeout_s: float, max_bytes: int = READ_SIZE) -> bytes:
        """Return available bytes, waiting for the first; empty where the peer has closed its side.

        Raises:
            TimeoutError: Nothing arrived within ``timeout_s`` seconds.
            OSError: The connection failed.
        """
        self._set_timeout(socket.SO_RCVTIMEO, timeout_s)
        try:
            return self.sock.recv(max_bytes)
        except BlockingIOError as error:
            raise TimeoutError("read timed out") from error

    def receive_now(self, max_bytes: int = READ_SIZE) -> bytes:
        """Return bytes that have already arrived; empty if there are none or the peer has closed its side."""
        try:
            return self.sock.recv(max_bytes, socket.MSG_DONTWAIT)
        except OSError:  # no data, or the connection failed: the next `receive` reports which
            return b""

    def send(self, data: bytes, deadline_s: float, clock: Callable[[], float]) -> bool:
        """Send all of the data by ``deadline_s`` (clock time).

        Returns:
            False if no byte was written to the socket, so that the peer can't have read any.

        Raises:
            OSError: The connection failed after some bytes were written.
            TimeoutError: The deadline passed after some bytes were written.
        """
        sent = 0
        view = memoryview(data)
        while sent < len(data):
            try:
                remaining_s = deadline_s - clock()
                if remaining_s <= 0:
                    raise TimeoutError("write timed out")
                self._set_timeout(socket.SO_SNDTIMEO, remaining_s)
                sent += self.sock.send(view[sent:] if sent else data)
            except BlockingIOError as error:
                if not sent:
                    return False
                raise TimeoutError("write timed out") from error
            except OSError:
                if not sent:
                    return False
                raise
        return True

    def is_peer_open(self) -> bool:
        """Return whether the peer has not closed its side, even if data is unread. Any thread may call it."""
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLRDHUP)
        except ValueError:  # closed here
            return False
        return not poll.poll(0)

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread data; does not wait or consume data."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:  # the connection failed
            return False
        return False

    def abort(self, how: int = socket.SHUT_RDWR) -> None:
        """Shut down one side or both, from any thread; a blocked read returns."""
        with contextlib.suppress(OSError):  # already closed
            self.sock.shutdown(how)

    def close(self) -> None:
        """Close the socket."""
        with contextlib.suppress(OSError):  # the connection had failed
            self.sock.close()
