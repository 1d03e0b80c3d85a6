"""When what is read came: the kernel's own word, however late a busy machine lets a thread read it."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from collections.abc import Callable

STEP_S = 0.05  # two clocks that move apart by more between two reads: one was set, and tells nothing of now
SO_TIMESTAMPNS = 35  # Linux; Python's socket module does not name it
_STAMP = struct.Struct("qq")


def note_times(sock: socket.socket) -> None:
    """Have the kernel note when data comes; what a listener accepts has it noted from the first byte on."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


class Stamped:
    """Reads of one TCP socket, each with the moment at which its newest bytes came, on the reader's clock: a
    moment, not how long they lay, since a busy machine holds the thread up after each look at a clock.

    The kernel notes by the wall clock when a segment came (socket(7), SO_TIMESTAMPNS); of segments that were
    joined it keeps the newest one's moment. Where it gives none, or the clock was set since the last read,
    nothing lay: an accusation rests on it.
    """

    def __init__(
        self,
        sock: socket.socket,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.sock = sock
        self.came_s = clock()  # what was read last
        self._wall, self._clock = wall, clock
        self._apart_s = self._apart(wall())
        self._read_s = clock()  # when the last read ended: what is unread came since
        self._rest = b""
        note_times(sock)

    def _apart(self, wall_s: float) -> float:
        """The wall clock less the other one; read again where the thread lost the processor in between."""
        for _ in range(8):
            before_s = self._clock()
            wall_s = self._wall()
            if self._clock() - before_s < STEP_S / 5:
                break
        return wall_s - before_s

    def recv(self, size: int) -> bytes:
        """Up to ``size`` bytes, none at the end; ``came_s`` is theirs. OSError as of the socket."""
        data, more, _, _ = self.sock.recvmsg(size, 64)
        self.came_s = self._clock()
        apart_s, self._apart_s = self._apart_s, self._apart(self._wall())
        if abs(self._apart_s - apart_s) > STEP_S:
            return data
        for level, kind, told in more:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(told) >= _STAMP.size:
                seconds, nanos = _STAMP.unpack(told[: _STAMP.size])
                self.came_s = min(self.came_s, seconds + nanos / 1e9 - self._apart_s)
        return data

    def line(self, most: int) -> bytes:
        """The next line with its end, or what came before the connection's; at most ``most`` bytes.

        A line is looked for before it is taken, so that what follows it keeps its own moment. Where something
        follows, the kernel may have joined the two and kept the later moment: then the line counts as having
        come right after the last read, the earliest that it can have.
        """
        while True:
            size = self._rest.find(b"\n") + 1
            if size or len(self._rest) >= most:
                taken = size or most
                line, self._rest = self._rest[:taken], self._rest[taken:]
                return line
            peeked = self.sock.recv(most, socket.MSG_PEEK)
            size = (peeked.find(b"\n") + 1) or len(peeked)
            data = self.recv(size) if peeked else b""
            read_s = self._clock()
            if len(peeked) > size or (data and self._more()):
                self.came_s = min(self.came_s, self._read_s)
            else:
                self._read_s = read_s
            if not data:
                line, self._rest = self._rest, b""
                return line
            self._rest += data

    def _more(self) -> bool:
        """Whether something came after what was read, which the kernel may have joined to it meanwhile."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0)) and bool(self.sock.recv(1, socket.MSG_PEEK))
