"""When what is read came: the kernel's own word, however late a busy machine lets a thread read it."""

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
    """Have the kernel note when data comes; what a listener accepts has it noted from the first byte on."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


class TimestampedReader:
    """Reads of one TCP socket, each with the moment at which its newest bytes came, on the reader's clock: a
    moment, not how long they lay, since a busy machine holds the thread up after each look at a clock.

    The kernel notes by the wall clock when a segment came (socket(7), SO_TIMESTAMPNS); of segments that were
    joined it keeps the newest one's moment. Where it gives none, or the clock was set since the last read,
    nothing lay: an accusation rests on it.
    """

    def __init__(
        self,
        sock: socket.socket,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.sock = sock
        self.received_s = clock()  # what was read last
        self._wall_clock, self._clock = wall_clock, clock
        self._offset_s = self._measure_offset_s(wall_clock())
        self._last_read_end_s = clock()  # when the last read ended: what is unread came since
        self._buffer = b""
        enable_timestamps(sock)

    def _measure_offset_s(self, wall_s: float) -> float:
        """The wall clock less the other one; read again where the thread lost the processor in between."""
        for _ in range(8):
            before_s = self._clock()
            wall_s = self._wall_clock()
            if self._clock() - before_s < MAX_CLOCK_STEP_S / 5:
                break
        return wall_s - before_s

    def recv(self, size: int) -> bytes:
        """Up to ``size`` bytes, none at the end; ``came_s`` is theirs. OSError as of the socket."""
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
        """Whether something came after what was read, which the kernel may have joined to it meanwhile."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0)) and bool(self.sock.recv(1, socket.MSG_PEEK))
