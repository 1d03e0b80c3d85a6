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

from saffronstack.runtime.threads import start_thread

LOOK_S = 0.25  # how often the writer looks for sockets that take nothing, while there are any
IDLE_S = 5.0  # how often it looks up without any


class Sent(Enum):
    """How much of a message has left."""

    NOTHING = 0
    PART = 1
    WHOLE = 2


class OutgoingMessage:
    """Bytes that leave in one run, after what was put in before."""

    __slots__ = ("data", "sent", "size")

    def __init__(self, data: bytes, size: int | None = None) -> None:
        """``size``: what it counts for in an outbox, where its bytes are known only once they leave."""
        self.data = data
        self.size = len(data) if size is None else size
        self.sent = Sent.NOTHING

    def may_start(self) -> bool:
        """Asked right before the first byte: whether it may still leave. It must not wait, and may set
        ``data`` to what is true at this moment."""
        return True

    def on_blocked(self) -> None:
        """It stood, but not one byte was taken: it is asked again later."""

    def on_dropped(self) -> None:
        """It did not stand: no byte of it leaves."""


class WriteBuffer:
    """The writing side of one connected socket; any thread may send."""

    def __init__(
        self,
        sock: socket.socket,
        writer: WriteLoop,
        max_bytes: int,
        stall_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Over ``max_bytes`` in the outbox, or when nothing is taken for ``stall_s``, it breaks: the socket
        is shut down, which its reader sees."""
        self._sock = sock
        self._writer = writer
        self._max_bytes = max_bytes
        self._stall_s = stall_s
        self._clock = clock
        self._lock = threading.Lock()
        self._queue: deque[OutgoingMessage] = deque()
        self._bytes = 0  # of all messages that wait, what has left of the first one included
        self._taken_s = 0.0
        self._at = 0  # bytes of the first message that have left
        self.broken = False

    def send(self, message: OutgoingMessage) -> bool:
        """Send it, now or by the writer. False: the buffer is broken; ``message.sent`` says what has left."""
        with self._lock:
            if self.broken:
                return False
            if self._queue:
                if self._bytes - self._at + message.size > self._max_bytes:
                    self._break()
                    return False
                self._queue.append(message)
                self._bytes += message.size
                return True
            if self._push(message):
                return True
            if self.broken:
                return False
            if message.size - self._at > self._max_bytes:
                self._break()
                return False
            self._queue.append(message)
            self._bytes += message.size
            self._taken_s = self._clock()
        self._writer.watch(self)
        return True

    def flush(self) -> bool:
        """Write what can be written; True where nothing is left to do (broken counts)."""
        with self._lock:
            while self._queue and not self.broken:
                message = self._queue[0]
                before = self._at
                done = self._push(message)
                if done or self._at > before:
                    self._taken_s = self._clock()
                if not done:
                    break
                self._queue.popleft()
                self._bytes -= message.size
            return self.broken or not self._queue

    def _push(self, message: OutgoingMessage) -> bool:
        """Try without waiting; True where nothing of it is left to write. The caller holds the lock."""
        if message.sent is Sent.NOTHING and not message.may_start():
            message.on_dropped()
            return True
        data = message.data
        try:
            sent = self._sock.send(memoryview(data)[self._at :] if self._at else data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            if message.sent is Sent.NOTHING:
                message.on_blocked()
            return False
        except OSError:
            self._break()
            return False
        self._at += sent
        if self._at >= len(data):
            self._at = 0
            message.sent = Sent.WHOLE
            return True
        message.sent = Sent.PART
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


class WriteLoop:
    """One thread that writes for every buffer whose socket was full."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._new: list[WriteBuffer] = []
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._stopping = False
        self._runner: threading.Thread | None = None

    def start(self) -> None:
        """Start its thread."""
        self._runner = start_thread("writer", self._run)

    def stop(self, timeout_s: float = 2.0) -> bool:
        """End it; whether it ended in time."""
        self._stopping = True
        self._wake_up()
        if self._runner is None:
            return True
        self._runner.join(timeout_s)
        return not self._runner.is_alive()

    def watch(self, buffer: WriteBuffer) -> None:
        """Write for it until its outbox is empty."""
        with self._lock:
            self._new.append(buffer)
        self._wake_up()

    def _wake_up(self) -> None:
        with self._lock, contextlib.suppress(OSError):
            if self._wake >= 0:  # once closed, its number may be another file's
                os.eventfd_write(self._wake, 1)

    @staticmethod
    def _flush(buffer: WriteBuffer) -> bool:
        """As `WriteBuffer.flush`; a fault of a message ends its buffer alone: all answers pass here."""
        try:
            return buffer.flush()
        except Exception:
            traceback.print_exc()
            buffer.abort()
            return True

    def _run(self) -> None:
        poll = select.epoll()
        poll.register(self._wake, select.EPOLLIN)
        watched: dict[int, WriteBuffer] = {}
        looked_s = self._clock()
        while not self._stopping:
            for fd, _ in poll.poll(LOOK_S if watched else IDLE_S):
                if fd == self._wake:
                    with contextlib.suppress(OSError):
                        os.eventfd_read(self._wake)
                elif fd in watched and self._flush(watched[fd]):
                    self._forget(poll, watched, fd)
            with self._lock:
                new, self._new = self._new, []
            for buffer in new:
                fd = buffer.fileno()
                if fd >= 0 and not self._flush(buffer):
                    watched[fd] = buffer  # one that had the number before is closed
                    with contextlib.suppress(OSError):  # closed meanwhile: the next look forgets it
                        poll.register(fd, select.EPOLLOUT)
            # Not on each wake: a crowd of peers that take nothing would cost whoever else is written to.
            now = self._clock()
            if now - looked_s >= LOOK_S:
                looked_s = now
                for fd, buffer in list(watched.items()):
                    if buffer.fileno() != fd or buffer.overdue():
                        self._forget(poll, watched, fd)
        poll.close()
        with self._lock:
            os.close(self._wake)
            self._wake = -1

    @staticmethod
    def _forget(poll: select.epoll, watched: dict[int, WriteBuffer], fd: int) -> None:
        del watched[fd]
        with contextlib.suppress(OSError, ValueError):  # closed: the system has forgotten it already
            poll.unregister(fd)
