"""Blocking sockets whose every wait has an end.

Time-outs are the kernel's (SO_RCVTIMEO, SO_SNDTIMEO): Python's own cost a poll, and a hand-over of the
interpreter lock, before every read and write.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

READ_SIZE = 64 * 1024
_TIMEVAL = struct.Struct("ll")
MIN_TIMEOUT_S = 0.001  # a zero time-out would mean none


class PeerClosed(ConnectionError):
    """The peer ended its side before the message was whole."""


class Stream:
    """A connected blocking socket whose every wait has an end; one thread reads and writes it at a time."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._set = {socket.SO_RCVTIMEO: 0.0, socket.SO_SNDTIMEO: 0.0}

    def _bound(self, option: int, timeout_s: float) -> None:
        """Set a time-out unless the one that stands is as good: shorter, and by no more than a hundredth."""
        now = self._set[option]
        if not timeout_s * 0.99 <= now <= timeout_s:
            timeout_s = max(MIN_TIMEOUT_S, timeout_s)
            whole = int(timeout_s)
            self.sock.setsockopt(
                socket.SOL_SOCKET, option, _TIMEVAL.pack(whole, int((timeout_s - whole) * 1e6))
            )
            self._set[option] = timeout_s

    def receive_into(self, buffer: bytearray, timeout_s: float) -> int:
        """As `receive`, into a buffer that stays: one taken anew for each read, and held while it waits,
        leaves holes in the memory of a program with hundreds of connections."""
        self._bound(socket.SO_RCVTIMEO, timeout_s)
        try:
            return self.sock.recv_into(buffer)
        except BlockingIOError as error:
            raise TimeoutError("nothing came in time") from error

    def receive(self, timeout_s: float, max_bytes: int = READ_SIZE) -> bytes:
        """What has come, empty at the peer's end; TimeoutError where nothing comes in time."""
        self._bound(socket.SO_RCVTIMEO, timeout_s)
        try:
            return self.sock.recv(max_bytes)
        except BlockingIOError as error:
            raise TimeoutError("nothing came in time") from error

    def receive_now(self, max_bytes: int = READ_SIZE) -> bytes:
        """What has come already; empty where nothing has, or the peer has ended its side."""
        try:
            return self.sock.recv(max_bytes, socket.MSG_DONTWAIT)
        except OSError:
            return b""

    def send(self, data: bytes, deadline_s: float, clock: Callable[[], float]) -> bool:
        """Write it all by ``deadline_s`` (clock time). False where not one byte was taken, so that the peer
        can't have read any; OSError (TimeoutError among them) once some were."""
        sent = 0
        view = memoryview(data)
        while sent < len(data):
            try:
                left = deadline_s - clock()
                if left <= 0:
                    raise TimeoutError("not taken in time")
                self._bound(socket.SO_SNDTIMEO, left)
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

    def open(self) -> bool:
        """Whether the peer still holds its side open; neither waits nor takes bytes."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False

    def silent(self) -> bool:
        """Whether it is open and nothing unread has come; neither waits nor takes bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self, how: int = socket.SHUT_RDWR) -> None:
        """End one side or both, from any thread: a read that waits returns."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)

    def close(self) -> None:
        """Close it."""
        with contextlib.suppress(OSError):
            self.sock.close()
