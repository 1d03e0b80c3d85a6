"""Non-blocking writes: data that does not fit into the socket's send buffer waits in a bounded queue.

One thread, the write loop, flushes the queues of all sockets.
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

STALL_CHECK_S = 0.25  # interval between checks for stalled sockets, while any buffer is watched
IDLE_WAIT_S = 5.0  # maximum wait of the write loop while no buffer is watched
STOP_TIMEOUT_S = 2.0


class SendProgress(Enum):
    """How much of a message has been written to the socket."""

    NOTHING = 0
    PARTIAL = 1
    COMPLETE = 2


class OutgoingMessage:
    """Bytes that are sent contiguously, after those of earlier messages."""

    __slots__ = ("data", "progress", "size")

    def __init__(self, data: bytes, size: int | None = None) -> None:
        """Create a message.

        Args:
            data: Bytes to send.
            size: Bytes that the message counts for in a write buffer; None for the length of ``data``. Needed
                where ``data`` is only set when the message is sent.
        """
        self.data = data
        self.size = len(data) if size is None else size
        self.progress = SendProgress.NOTHING

    def prepare_to_send(self) -> bool:
        """Return whether the message should still be sent; called right before its first byte is sent.

        It must not block. It may replace ``data`` with current content.
        """
        return True

    def on_blocked(self) -> None:
        """Handle that the message was prepared but no byte was written; it will be prepared again."""

    def on_dropped(self) -> None:
        """Handle that `prepare_to_send` returned False; no byte of the message is sent."""


class WriteBuffer:
    """A bounded queue of messages for one connected socket; any thread may send."""

    def __init__(
        self,
        sock: socket.socket,
        write_loop: WriteLoop,
        max_bytes: int,
        stall_timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Create an empty buffer.

        The buffer breaks when more than ``max_bytes`` are queued, or when no byte could be written for
        ``stall_timeout_s`` seconds. A broken buffer discards its messages and shuts down the socket, which
        the socket's reader notices.
        """
        self._sock = sock
        self._write_loop = write_loop
        self._max_bytes = max_bytes
        self._stall_timeout_s = stall_timeout_s
        self._clock = clock
        self._lock = threading.Lock()  # guards all fields below, and serializes writes to the socket
        self._queue: deque[OutgoingMessage] = deque()
        self._queued_bytes = 0  # total size of queued messages, including the sent part of the first one
        self._last_progress_s = 0.0
        self._sent_bytes = 0  # bytes of the first queued message that are already sent
        self.is_broken = False

    def send(self, message: OutgoingMessage) -> bool:
        """Send a message now, or queue it for the write loop.

        Returns:
            False if the buffer is broken; ``message.progress`` then tells how much was sent.
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
        """Write queued messages until the socket is full; return True if the queue is empty or broken."""
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
        """Send as much of a message as possible without blocking; the caller holds the lock.

        Returns:
            True if the message is completely sent or was dropped.
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
        except OSError:  # the connection failed; the socket's reader reports why
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
        """Break the buffer if no byte was written for the stall timeout; return whether it is broken."""
        with self._lock:
            is_waiting = bool(self._queue) and not self.is_broken
            if is_waiting and self._clock() - self._last_progress_s > self._stall_timeout_s:
                self._break()
            return self.is_broken

    @property
    def has_pending(self) -> bool:
        """Whether some message is not completely sent yet."""
        return bool(self._queue) and not self.is_broken

    def fileno(self) -> int:
        """Return the socket's file descriptor, or -1 once the socket is closed."""
        return self._sock.fileno()

    def discard(self) -> None:
        """Drop all queued messages and send nothing more; a write in progress ends before this returns."""
        with self._lock:
            self._clear()

    def abort(self) -> None:
        """Drop all queued messages and shut down the socket, which its reader notices."""
        with self._lock:
            self._break()

    def _break(self) -> None:
        self._clear()
        with contextlib.suppress(OSError):  # already closed
            self._sock.shutdown(socket.SHUT_RDWR)

    def _clear(self) -> None:
        self.is_broken = True
        self._queue.clear()
        self._queued_bytes = 0


class WriteLoop:
    """Flushes the buffers of full sockets on one thread as the sockets become writable."""

    def __init__(self, clock: Callable[[], float], log: Logger | None = None) -> None:
        """Create a loop that logs exceptions raised by messages to ``log``, or to standard error if None."""
        self._clock = clock
        self._log = log or KeyValueLogger("net")
        self._lock = threading.Lock()  # guards `_new_buffers`, and `_wake_fd` against use after it is closed
        self._new_buffers: list[WriteBuffer] = []
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_stopping = False
        self._loop_thread: threading.Thread | None = None  # mypyc rejects `_thread`, a C keyword

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
        """Flush a buffer whenever its socket is writable, until it is empty or broken."""
        with self._lock:
            self._new_buffers.append(buffer)
        self._wake_up()

    def _wake_up(self) -> None:
        with self._lock, contextlib.suppress(OSError):
            if self._wake_fd >= 0:  # the number of a closed descriptor may belong to another file
                os.eventfd_write(self._wake_fd, 1)

    def _flush(self, buffer: WriteBuffer) -> bool:
        """Flush a buffer; an exception from one of its messages breaks this buffer but not the loop."""
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
        last_check_s = self._clock()
        while not self._is_stopping:
            for fd, _ in poll.poll(STALL_CHECK_S if watched else IDLE_WAIT_S):
                if fd == self._wake_fd:
                    with contextlib.suppress(OSError):  # an earlier read already consumed this wake-up
                        os.eventfd_read(self._wake_fd)
                elif fd in watched and self._flush(watched[fd]):
                    self._unwatch(poll, watched, fd)
            self._add_new(poll, watched)
            # Not on each wake-up: with many stalled peers, the checks would slow down writes to all others.
            now_s = self._clock()
            if now_s - last_check_s >= STALL_CHECK_S:
                last_check_s = now_s
                self._break_stalled(poll, watched)
        poll.close()
        with self._lock:
            os.close(self._wake_fd)
            self._wake_fd = -1

    def _add_new(self, poll: select.epoll, watched: dict[int, WriteBuffer]) -> None:
        """Flush newly added buffers, and watch those whose sockets are still full."""
        with self._lock:
            new_buffers, self._new_buffers = self._new_buffers, []
        for buffer in new_buffers:
            fd = buffer.fileno()
            if fd >= 0 and not self._flush(buffer):
                watched[fd] = buffer  # replaces a closed buffer that had the same descriptor
                with contextlib.suppress(OSError):  # closed in the meantime: the next stall check removes it
                    poll.register(fd, select.EPOLLOUT)

    def _break_stalled(self, poll: select.epoll, watched: dict[int, WriteBuffer]) -> None:
        """Break stalled buffers, and stop watching those that are closed or broken."""
        for fd, buffer in list(watched.items()):
            if buffer.fileno() != fd or buffer.break_if_stalled():
                self._unwatch(poll, watched, fd)

    @staticmethod
    def _unwatch(poll: select.epoll, watched: dict[int, WriteBuffer], fd: int) -> None:
        del watched[fd]
        with contextlib.suppress(OSError, ValueError):  # already closed, which unregistered it
            poll.unregister(fd)
