"""Writes that never wait: what a socket does not take at once goes to a bounded outbox with one writer."""

from __future__ import annotations

import contextlib
import os
import select
import socket
import threading
import traceback
from collections import deque
from collections.abc import Callable
from enum import Enum

from saffronstack.core.threads import spawn

LOOK_S = 0.25  # how often the writer looks for sockets that take nothing, while there are any
IDLE_S = 5.0  # how often it looks up without any


class Left(Enum):
    """How much of a piece has left."""

    NOTHING = 0
    PART = 1
    WHOLE = 2


class Piece:
    """Bytes that leave in one run, after what was put in before."""

    __slots__ = ("data", "left", "size")

    def __init__(self, data: bytes, size: int | None = None) -> None:
        """``size``: what it counts for in an outbox, where its bytes are known only once they leave."""
        self.data = data
        self.size = len(data) if size is None else size
        self.left = Left.NOTHING

    def stands(self) -> bool:
        """Asked right before the first byte: whether it may still leave. It must not wait, and may set
        ``data`` to what is true at this moment."""
        return True

    def held_back(self) -> None:
        """It stood, but not one byte was taken: it is asked again later."""

    def passed_over(self) -> None:
        """It did not stand: no byte of it leaves."""


class Outlet:
    """The writing side of one connected socket; any thread may send."""

    def __init__(
        self, sock: socket.socket, writer: Writer, most_bytes: int, stall_s: float, clock: Callable[[], float]
    ) -> None:
        """Over ``most_bytes`` in the outbox, or when nothing is taken for ``stall_s``, it breaks: the socket
        is shut down, which its reader sees."""
        self._sock = sock
        self._writer = writer
        self._most = most_bytes
        self._stall_s = stall_s
        self._clock = clock
        self._lock = threading.Lock()
        self._queue: deque[Piece] = deque()
        self._bytes = 0  # of all pieces that wait, what has left of the first one included
        self._taken_s = 0.0
        self._at = 0  # bytes of the first piece that have left
        self.broken = False

    def send(self, piece: Piece) -> bool:
        """Send it, now or by the writer. False: the outlet is broken; ``piece.left`` says what has left."""
        with self._lock:
            if self.broken:
                return False
            if self._queue:
                if self._bytes - self._at + piece.size > self._most:
                    self._break()
                    return False
                self._queue.append(piece)
                self._bytes += piece.size
                return True
            if self._push(piece):
                return True
            if self.broken:
                return False
            if piece.size - self._at > self._most:
                self._break()
                return False
            self._queue.append(piece)
            self._bytes += piece.size
            self._taken_s = self._clock()
        self._writer.watch(self)
        return True

    def flush(self) -> bool:
        """Write what can be written; True where nothing is left to do (broken counts)."""
        with self._lock:
            while self._queue and not self.broken:
                piece = self._queue[0]
                before = self._at
                done = self._push(piece)
                if done or self._at > before:
                    self._taken_s = self._clock()
                if not done:
                    break
                self._queue.popleft()
                self._bytes -= piece.size
            return self.broken or not self._queue

    def _push(self, piece: Piece) -> bool:
        """Try without waiting; True where nothing of it is left to write. The caller holds the lock."""
        if piece.left is Left.NOTHING and not piece.stands():
            piece.passed_over()
            return True
        data = piece.data
        try:
            sent = self._sock.send(memoryview(data)[self._at :] if self._at else data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            if piece.left is Left.NOTHING:
                piece.held_back()
            return False
        except OSError:
            self._break()
            return False
        self._at += sent
        if self._at >= len(data):
            self._at = 0
            piece.left = Left.WHOLE
            return True
        piece.left = Left.PART
        return False

    def overdue(self) -> bool:
        """Break it where the peer has taken nothing for too long; whether it is broken."""
        with self._lock:
            if self._queue and not self.broken and self._clock() - self._taken_s > self._stall_s:
                self._break()
            return self.broken

    @property
    def waiting(self) -> bool:
        """Whether something has not left yet."""
        return bool(self._queue) and not self.broken

    def fileno(self) -> int:
        """The socket's; -1 once closed."""
        return self._sock.fileno()

    def end(self) -> None:
        """Nothing more leaves."""
        with self._lock:
            self.broken = True
            self._queue.clear()
            self._bytes = 0

    def abort(self) -> None:
        """Nothing more leaves, and the reader sees the end."""
        with self._lock:
            self._break()

    def _break(self) -> None:
        self.broken = True
        self._queue.clear()
        self._bytes = 0
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)


class Writer:
    """One thread that writes for every outlet whose socket was full."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._new: list[Outlet] = []
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._stopping = False
        self._runner: threading.Thread | None = None

    def start(self) -> None:
        """Start its thread."""
        self._runner = spawn("writer", self._run)

    def stop(self, timeout_s: float = 2.0) -> bool:
        """End it; whether it ended in time."""
        self._stopping = True
        self._rouse()
        if self._runner is None:
            return True
        self._runner.join(timeout_s)
        return not self._runner.is_alive()

    def watch(self, outlet: Outlet) -> None:
        """Write for it until its outbox is empty."""
        with self._lock:
            self._new.append(outlet)
        self._rouse()

    def _rouse(self) -> None:
        with self._lock, contextlib.suppress(OSError):
            if self._wake >= 0:  # once closed, its number may be another file's
                os.eventfd_write(self._wake, 1)

    @staticmethod
    def _flush(outlet: Outlet) -> bool:
        """As `Outlet.flush`; a fault of a piece ends its outlet alone: all answers that wait pass here."""
        try:
            return outlet.flush()
        except Exception:
            traceback.print_exc()
            outlet.abort()
            return True

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self._wake, select.POLLIN)
        watched: dict[int, Outlet] = {}
        while not self._stopping:
            for fd, _ in poll.poll((LOOK_S if watched else IDLE_S) * 1000):
                if fd == self._wake:
                    with contextlib.suppress(OSError):
                        os.eventfd_read(self._wake)
                elif fd in watched and self._flush(watched[fd]):
                    del watched[fd]
                    poll.unregister(fd)
            with self._lock:
                new, self._new = self._new, []
            for outlet in new:
                fd = outlet.fileno()
                if fd >= 0 and not self._flush(outlet):
                    watched[fd] = outlet  # one that had the number before is closed
                    poll.register(fd, select.POLLOUT)
            for fd, outlet in list(watched.items()):
                if outlet.fileno() != fd or outlet.overdue():
                    del watched[fd]
                    with contextlib.suppress(KeyError, OSError):
                        poll.unregister(fd)
        with self._lock:
            os.close(self._wake)
            self._wake = -1
