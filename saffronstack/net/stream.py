"""Blocking sockets on which every wait is bounded.

The time-outs are the kernel's (SO_RCVTIMEO, SO_SNDTIMEO): Python's own cost a poll, and a release of the
interpreter lock, before every read and write.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

READ_SIZE = 64 * 1024
_TIMEVAL = struct.Struct("ll")
MIN_TIMEOUT_S = 0.001  # the kernel takes zero for no time-out
TIMEOUT_TOLERANCE = 0.99  # a time-out that is shorter by up to a hundredth saves a system call


class PeerClosed(ConnectionError):
    """The peer closed its side before a message was complete."""


class Stream:
    """A connected blocking socket on which every wait is bounded.

    One thread at a time reads and writes it; `abort` may be called from any.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Take over a connected socket and turn off Nagle's algorithm."""
        sock.settimeout(None)
        with contextlib.suppress(OSError):  # not TCP
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._timeouts_s = {socket.SO_RCVTIMEO: 0.0, socket.SO_SNDTIMEO: 0.0}

    def _set_timeout(self, option: int, timeout_s: float) -> None:
        """Set a time-out, unless the present one is as good."""
        if timeout_s * TIMEOUT_TOLERANCE <= self._timeouts_s[option] <= timeout_s:
            return
        timeout_s = max(MIN_TIMEOUT_S, timeout_s)
        seconds = int(timeout_s)
        microseconds = int((timeout_s - seconds) * 1e6)
        self.sock.setsockopt(socket.SOL_SOCKET, option, _TIMEVAL.pack(seconds, microseconds))
        self._timeouts_s[option] = timeout_s

    def receive_into(self, buffer: bytearray, timeout_s: float) -> int:
        """Read what has come into a buffer, as `receive`; return the number of bytes.

        A buffer that is allocated for each read, and referenced while it waits, fragments the memory of a
        program with hundreds of connections.
        """
        self._set_timeout(socket.SO_RCVTIMEO, timeout_s)
        try:
            return self.sock.recv_into(buffer)
        except BlockingIOError as error:
            raise TimeoutError("nothing came in time") from error

    def receive(self, timeout_s: float, max_bytes: int = READ_SIZE) -> bytes:
        """Return what has come; empty where the peer has closed its side.

        Raises:
            TimeoutError: Nothing came within ``timeout_s`` seconds.
            OSError: The connection failed.
        """
        self._set_timeout(socket.SO_RCVTIMEO, timeout_s)
        try:
            return self.sock.recv(max_bytes)
        except BlockingIOError as error:
            raise TimeoutError("nothing came in time") from error

    def receive_now(self, max_bytes: int = READ_SIZE) -> bytes:
        """Return what has come already; empty where nothing has, or the peer has closed its side."""
        try:
            return self.sock.recv(max_bytes, socket.MSG_DONTWAIT)
        except OSError:  # nothing has come, or the connection failed: the next `receive` says which
            return b""

    def send(self, data: bytes, deadline_s: float, clock: Callable[[], float]) -> bool:
        """Send all of the data by ``deadline_s`` (clock time).

        Returns:
            False where the socket took not one byte, so that the peer can't have read any.

        Raises:
            OSError: It took some and failed; TimeoutError where the deadline passed.
        """
        sent = 0
        view = memoryview(data)
        while sent < len(data):
            try:
                remaining_s = deadline_s - clock()
                if remaining_s <= 0:
                    raise TimeoutError("not taken in time")
                self._set_timeout(socket.SO_SNDTIMEO, remaining_s)
                sent += self.sock.send(view[sent:] if sent else data)
            except BlockingIOError as error:
                if not sent:
                    return False
                raise TimeoutError("not taken in time") from error
            except OSError:
                if not sent:
                    return False
                raise
        return True

    def is_peer_open(self) -> bool:
        """Return whether the peer has not closed its side; neither waits nor takes bytes."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:  # the connection failed
            return False

    def is_idle(self) -> bool:
        """Return whether it is open and nothing unread has come; neither waits nor takes bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:  # the connection failed
            return False
        return False

    def abort(self, how: int = socket.SHUT_RDWR) -> None:
        """Shut down one side or both, from any thread: a read that waits returns."""
        with contextlib.suppress(OSError):  # closed already
            self.sock.shutdown(how)

    def close(self) -> None:
        """Close the socket."""
        with contextlib.suppress(OSError):  # failed already
            self.sock.close()
