"""Reads from many sockets on one thread.

A thread for each socket would exceed the machine's limit on threads: hundreds of gateways with dozens of
connections each exhausted its 32,768 process IDs.
"""

from __future__ import annotations

import contextlib
import os
import select
import threading
from collections.abc import Callable
from typing import Protocol

from saffronstack.runtime.logs import Logger
from saffronstack.runtime.threads import start_thread

TICK_S = 1.0  # interval between calls of each handler's `on_tick`
STOP_TIMEOUT_S = 2.0
READ_BYTES = 8 * 1024


class ReadHandler(Protocol):
    """Callbacks for one connected socket; all but `fileno` are only called on the loop's thread."""

    def fileno(self) -> int:
        """Return the socket's file descriptor, which must stay open until `on_released`."""
        ...

    def on_readable(self, buffer: bytearray, view: memoryview) -> bool:
        """Read once without blocking into a buffer that all handlers share; return False at end of stream."""
        ...

    def on_tick(self, now_s: float) -> bool:
        """Return False to have the socket released; called every `TICK_S` seconds."""
        ...

    def on_released(self) -> None:
        """Clean up: the loop no longer uses the socket, so it may be closed."""
        ...


class ReadLoop:
    """Calls each watched handler on one thread whenever its socket is readable."""

    def __init__(self, clock: Callable[[], float], log: Logger, read_bytes: int = READ_BYTES) -> None:
        """Create a loop with a shared read buffer of ``read_bytes``."""
        self._clock = clock
        self._log = log
        self._read_bytes = read_bytes
        self._lock = threading.Lock()  # guards `_new_handlers`, and `_wake_fd` against use after it is closed
        self._new_handlers: list[ReadHandler] = []
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_stopping = False
        self._loop_thread: threading.Thread | None = None  # mypyc rejects `_thread`, a C keyword

    def start(self) -> None:
        """Start the thread."""
        self._loop_thread = start_thread("reader", self._run)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Stop the thread and release every handler; return whether it ended within ``timeout_s`` seconds."""
        with self._lock:
            self._is_stopping = True
            with contextlib.suppress(OSError):
                if self._wake_fd >= 0:
                    os.eventfd_write(self._wake_fd, 1)
        if self._loop_thread is None:
            return True
        self._loop_thread.join(timeout_s)
        return not self._loop_thread.is_alive()

    def watch(self, handler: ReadHandler) -> bool:
        """Watch a handler's socket until it is released; return False if the loop was stopped."""
        with self._lock:
            if self._is_stopping:
                return False
            self._new_handlers.append(handler)
            os.eventfd_write(self._wake_fd, 1)
            return True

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self._wake_fd, select.POLLIN)
        handlers: dict[int, ReadHandler] = {}
        buffer = bytearray(self._read_bytes)
        view = memoryview(buffer)
        last_tick_s = self._clock()
        while not self._is_stopping:
            for fd, _ in poll.poll(TICK_S * 1000):
                if fd == self._wake_fd:
                    with contextlib.suppress(OSError):  # an earlier read already consumed this wake-up
                        os.eventfd_read(self._wake_fd)
                elif fd in handlers and not self._read(handlers[fd], buffer, view):
                    self._release(poll, handlers, fd)
            self._add_new(poll, handlers)
            now_s = self._clock()
            if now_s - last_tick_s >= TICK_S:
                last_tick_s = now_s
                for fd in [fd for fd, handler in handlers.items() if not handler.on_tick(now_s)]:
                    self._release(poll, handlers, fd)
        with self._lock:
            remaining = [*handlers.values(), *self._new_handlers]
            os.close(self._wake_fd)
            self._wake_fd = -1
        for handler in remaining:
            self._notify_released(handler)

    def _add_new(self, poll: select.poll, handlers: dict[int, ReadHandler]) -> None:
        with self._lock:
            new_handlers, self._new_handlers = self._new_handlers, []
        for handler in new_handlers:
            handlers[handler.fileno()] = handler
            poll.register(handler.fileno(), select.POLLIN)

    def _release(self, poll: select.poll, handlers: dict[int, ReadHandler], fd: int) -> None:
        poll.unregister(fd)  # before it is closed: the system may reuse its number at once
        self._notify_released(handlers.pop(fd))

    def _read(self, handler: ReadHandler, buffer: bytearray, view: memoryview) -> bool:
        try:
            return handler.on_readable(buffer, view)
        except Exception:  # noqa: BLE001 - an error in one handler must not stop the others
            self._log.exception("reading a socket failed")
            return False

    def _notify_released(self, handler: ReadHandler) -> None:
        try:
            handler.on_released()
        except Exception:  # noqa: BLE001 - an error in one handler must not stop the others
            self._log.exception("releasing a socket failed")
