"""Writes that never block: what a socket does not take at once waits in a bounded buffer.

One thread, the write loop, empties the buffers of all sockets.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import threading
from collections import deque
from collections.abc import Callable
from enum import Enum

from saffronstack.runtime.logs import KeyValueLogger, Logger
from saffronstack.runtime.threads import start_thread

STALL_CHECK_S = 0.25  # how often the write loop looks for sockets that take nothing, while it watches any
IDLE_WAIT_S = 5.0  # how long it waits at most while it watches none
STOP_TIMEOUT_S = 2.0


class SendProgress(Enum):
    """How much of a message the socket has taken."""

    NOTHING = 0
    PARTIAL = 1
    COMPLETE = 2


class OutgoingMessage:
    """Bytes that are sent in one run, after those of earlier messages."""

    __slots__ = ("data", "progress", "size")

    def __init__(self, data: bytes, size: int | None = None) -> None:
        """Create a message.

        Args:
            data: Its bytes.
            size: What it counts for in a write buffer, where ``data`` is known only once it is sent.
        """
        self.data = data
        self.size = len(data) if size is None else size
        self.progress = SendProgress.NOTHING

    def prepare_to_send(self) -> bool:
        """Return whether the message may still be sent; called right before its first byte is.

        It must not block, and may set ``data`` to what is true at this moment.
        """
        return True

    def on_blocked(self) -> None:
        """Note that it was prepared but not one byte was taken: it is prepared again later."""

    def on_dropped(self) -> None:
        """Note that it was not to be sent any more: no byte of it is."""


class WriteBuffer:
    """The writing side of one connected socket; any thread may send."""

    def __init__(
        self,
        sock: socket.socket,
        write_loop: WriteLoop,
        max_bytes: int,
        stall_timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Create a buffer without messages.

        Where more than ``max_bytes`` wait, or the peer takes nothing for ``stall_timeout_s`` seconds, it
        breaks: the socket is shut down, which its reader sees.
        """
        self._sock = sock
        self._write_loop = write_loop
        self._max_bytes = max_bytes
        self._stall_timeout_s = stall_timeout_s
        self._clock = clock
        self._lock = threading.Lock()  # guards all below, and orders the writes to the socket
        self._queue: deque[OutgoingMessage] = deque()
        self._queued_bytes = 0  # of all queued messages, what was sent of the first one included
        self._last_progress_s = 0.0
        self._sent_bytes = 0  # of the first message
        self.is_broken = False

    def send(self, message: OutgoingMessage) -> bool:
        """Send a message, now or by the write loop.

        Returns:
            False where the buffer is broken; ``message.progress`` then says what was sent.
        """
        with self._lock:
            if self.is_broken:
                return False
            if self._queue:
                if not self._has_capacity_for(message):
                    self._break()
                    return False
                self._enqueue(message)
                return True
            if self._send_available(message):
                return True
            if self.is_broken:
                return False
            if not self._has_capacity_for(message):
                self._break()
                return False
            self._enqueue(message)
            self._last_progress_s = self._clock()
        self._write_loop.watch(self)
        return True

    def _has_capacity_for(self, message: OutgoingMessage) -> bool:
        return self._queued_bytes - self._sent_bytes + message.size <= self._max_bytes

    def _enqueue(self, message: OutgoingMessage) -> None:
        self._queue.append(message)
        self._queued_bytes += message.size

    def flush(self) -> bool:
        """Write what the socket takes; return True where nothing is left to do, or it is broken."""
        with self._lock:
            while self._queue and not self.is_broken:
                message = self._queue[0]
                sent_before = self._sent_bytes
                is_done = self._send_available(message)
                if is_done or self._sent_bytes > sent_before:
                    self._last_progress_s = self._clock()
                if not is_done:
                    break
                self._queue.popleft()
                self._queued_bytes -= message.size
            return self.is_broken or not self._queue

    def _send_available(self, message: OutgoingMessage) -> bool:
        """Send what the socket takes without blocking; the caller holds the lock.

        Returns:
            True where nothing of the message is left to send.
        """
        if message.progress is SendProgress.NOTHING and not message.prepare_to_send():
            message.on_dropped()
            return True
        data = message.data
        remaining = memoryview(data)[self._sent_bytes :] if self._sent_bytes else data
        try:
            sent = self._sock.send(remaining, socket.MSG_DONTWAIT)
        except BlockingIOError:
            if message.progress is SendProgress.NOTHING:
                message.on_blocked()
            return False
        except OSError:  # the peer has gone; whoever reads the socket reports why
            self._break()
            return False
        self._sent_bytes += sent
        if self._sent_bytes >= len(data):
            self._sent_bytes = 0
            message.progress = SendProgress.COMPLETE
            return True
        message.progress = SendProgress.PARTIAL
        return False

    def break_if_stalled(self) -> bool:
        """Break it where the peer has taken nothing for too long; return whether it is broken."""
        with self._lock:
            is_waiting = bool(self._queue) and not self.is_broken
            if is_waiting and self._clock() - self._last_progress_s > self._stall_timeout_s:
                self._break()
            return self.is_broken

    @property
    def has_pending(self) -> bool:
        """Whether some message was not sent completely yet."""
        return bool(self._queue) and not self.is_broken

    def fileno(self) -> int:
        """Return the socket's descriptor, -1 once it is closed."""
        return self._sock.fileno()

    def discard(self) -> None:
        """Send nothing more; returns once a write that is under way has ended."""
        with self._lock:
            self._clear()

    def abort(self) -> None:
        """Send nothing more and shut the socket down, which its reader sees."""
        with self._lock:
            self._break()

    def _break(self) -> None:
        self._clear()
        with contextlib.suppress(OSError):  # closed already
            self._sock.shutdown(socket.SHUT_RDWR)

    def _clear(self) -> None:
        self.is_broken = True
        self._queue.clear()
        self._queued_bytes = 0


class WriteLoop:
    """One thread that writes for every buffer whose socket was full."""

    def __init__(self, clock: Callable[[], float], log: Logger | None = None) -> None:
        """Create a loop that logs faults of messages to ``log``, to standard error if None."""
        self._clock = clock
        self._log = log or KeyValueLogger("net")
        self._lock = threading.Lock()  # guards the new buffers, and the descriptor against its reuse
        self._new_buffers: list[WriteBuffer] = []
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_stopping = False
        self._loop_thread: threading.Thread | None = None  # `_thread` would not compile: a keyword of C

    def start(self) -> None:
        """Start the thread."""
        self._loop_thread = start_thread("writer", self._run)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Stop the thread; return whether it ended within ``timeout_s`` seconds."""
        self._is_stopping = True
        self._wake_up()
        if self._loop_thread is None:
            return True
        self._loop_thread.join(timeout_s)
        return not self._loop_thread.is_alive()

    def watch(self, buffer: WriteBuffer) -> None:
        """Write for a buffer until it is empty or broken."""
        with self._lock:
            self._new_buffers.append(buffer)
        self._wake_up()

    def _wake_up(self) -> None:
        with self._lock, contextlib.suppress(OSError):
            if self._wake_fd >= 0:  # once closed, its number may be another file's
                os.eventfd_write(self._wake_fd, 1)

    def _flush(self, buffer: WriteBuffer) -> bool:
        """Flush a buffer; a fault of one of its messages breaks it alone, and not the loop."""
        try:
            return buffer.flush()
        except Exception:  # noqa: BLE001 - see above
            self._log.exception("writing to a socket failed")
            buffer.abort()
            return True

    def _run(self) -> None:
        poll = select.epoll()
        poll.register(self._wake_fd, select.EPOLLIN)
        watched: dict[int, WriteBuffer] = {}
        checked_s = self._clock()
        while not self._is_stopping:
            for fd, _ in poll.poll(STALL_CHECK_S if watched else IDLE_WAIT_S):
                if fd == self._wake_fd:
                    with contextlib.suppress(OSError):  # another wake-up was read with this one
                        os.eventfd_read(self._wake_fd)
                elif fd in watched and self._flush(watched[fd]):
                    self._unwatch(poll, watched, fd)
            self._add_new(poll, watched)
            # Not on each wake-up: many peers that take nothing would slow down writing to all others.
            now_s = self._clock()
            if now_s - checked_s >= STALL_CHECK_S:
                checked_s = now_s
                self._break_stalled(poll, watched)
        poll.close()
        with self._lock:
            os.close(self._wake_fd)
            self._wake_fd = -1

    def _add_new(self, poll: select.epoll, watched: dict[int, WriteBuffer]) -> None:
        """Write for buffers that came since the last round, and watch those whose sockets are still full."""
        with self._lock:
            new_buffers, self._new_buffers = self._new_buffers, []
        for buffer in new_buffers:
            fd = buffer.fileno()
            if fd >= 0 and not self._flush(buffer):
                watched[fd] = buffer  # a buffer that had the number before is closed
                with contextlib.suppress(OSError):  # closed meanwhile: the next check forgets it
                    poll.register(fd, select.EPOLLOUT)

    def _break_stalled(self, poll: select.epoll, watched: dict[int, WriteBuffer]) -> None:
        """Break buffers whose peers take nothing, and forget those that are closed or broken."""
        for fd, buffer in list(watched.items()):
            if buffer.fileno() != fd or buffer.break_if_stalled():
                self._unwatch(poll, watched, fd)

    @staticmethod
    def _unwatch(poll: select.epoll, watched: dict[int, WriteBuffer], fd: int) -> None:
        del watched[fd]
        with contextlib.suppress(OSError, ValueError):  # closed: the system has forgotten it already
            poll.unregister(fd)
