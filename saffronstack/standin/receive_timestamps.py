"""Reads sockets with the kernel's receive timestamps, which do not depend on when a thread is scheduled."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from collections.abc import Callable

# If the offset between the two clocks changes by more than this many seconds between two reads, one clock was
# set, and the kernel's timestamp cannot be converted.
MAX_CLOCK_STEP_S = 0.05
SO_TIMESTAMPNS = 35  # Linux; Python's socket module does not name it
_TIMESPEC = struct.Struct("qq")


def enable_timestamps(sock: socket.socket) -> None:
    """Enable the kernel's receive timestamps.

    Connections that a listener accepts inherit the option, so that their first byte has a timestamp too.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


class TimestampedReader:
    """Reads a TCP socket and tells when the newest bytes of each read arrived, on the reader's clock.

    The result is a time and not an age, because a busy machine may delay the thread after it reads a clock.

    The kernel stamps segments by the wall clock (socket(7), SO_TIMESTAMPNS) and keeps the newest timestamp of
    segments that it merges. Without a timestamp, or if a clock was set since the last read, the time of the
    read counts as the time of arrival: the audit must not blame a gateway for an age that is not certain.
    """

    def __init__(
        self,
        sock: socket.socket,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.sock = sock
        self.received_s = clock()  # of the bytes read last
        self._wall_clock, self._clock = wall_clock, clock
        self._offset_s = self._measure_offset_s(wall_clock())
        self._last_read_end_s = clock()  # unread bytes arrived later than this
        self._buffer = b""
        enable_timestamps(sock)

    def _measure_offset_s(self, wall_s: float) -> float:
        """Return wall clock minus reader's clock; measure again if the thread was descheduled in between."""
        for _ in range(8):
            before_s = self._clock()
            wall_s = self._wall_clock()
            if self._clock() - before_s < MAX_CLOCK_STEP_S / 5:
                break
        return wall_s - before_s

    def recv(self, size: int) -> bytes:
        """Read up to ``size`` bytes, none at the end of the connection, and set ``received_s``."""
        data, ancillary, _, _ = self.sock.recvmsg(size, 64)
        self.received_s = self._clock()
        previous_offset_s, self._offset_s = self._offset_s, self._measure_offset_s(self._wall_clock())
        if abs(self._offset_s - previous_offset_s) > MAX_CLOCK_STEP_S:
            return data
        for level, kind, value in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(value) >= _TIMESPEC.size:
                seconds, nanos = _TIMESPEC.unpack(value[: _TIMESPEC.size])
                self.received_s = min(self.received_s, seconds + nanos / 1e9 - self._offset_s)
        return data

    def read_line(self, max_bytes: int) -> bytes:
        """Read a line with its newline, or what was received before the end of the connection.

        Returns at most ``max_bytes`` bytes. Peeks for the newline before it reads, so that the bytes after
        the line keep their own time of arrival. If more bytes follow, the kernel may have merged both
        segments and kept the later time: the line then counts as received right after the last read, which
        is its earliest possible time.
        """
        while True:
            size = self._buffer.find(b"\n") + 1
            if size or len(self._buffer) >= max_bytes:
                length = size or max_bytes
                line, self._buffer = self._buffer[:length], self._buffer[length:]
                return line
            peeked = self.sock.recv(max_bytes, socket.MSG_PEEK)
            size = (peeked.find(b"\n") + 1) or len(peeked)
            data = self.recv(size) if peeked else b""
            read_end_s = self._clock()
            if len(peeked) > size or (data and self._has_unread_data()):
                self.received_s = min(self.received_s, self._last_read_end_s)
            else:
                self._last_read_end_s = read_end_s
            if not data:
                line, self._buffer = self._buffer, b""
                return line
            self._buffer += data

    def _has_unread_data(self) -> bool:
        """Return whether more bytes have arrived, which the kernel may have merged with those just read."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0)) and bool(self.sock.recv(1, socket.MSG_PEEK))
