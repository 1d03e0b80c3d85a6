"""Reads without a thread for each socket: one thread waits for all and reads what has come.

What a thread costs is the machine's: hundreds of gateways with dozens of links each met its 32,768 process
numbers. A socket that mostly waits needs no thread to wait on."""

from __future__ import annotations

import contextlib
import os
import select
import threading
from collections.abc import Callable
from typing import Protocol

from saffronstack.runtime.logs import Logger
from saffronstack.runtime.threads import start_thread

LOOK_S = 1.0  # how often every socket is looked at, come what may


class ReadHandler(Protocol):
    """A connected socket as the reader sees it; all but `fileno` on the reader's thread alone."""

    def fileno(self) -> int:
        """The socket's; it stays open until `on_end`."""
        ...

    def on_readable(self, buffer: bytearray, view: memoryview) -> bool:
        """Take what has come, once and without waiting; False where it is over. All share the buffer."""
        ...

    def on_tick(self, now: float) -> bool:
        """Asked each second; False where it is over."""
        ...

    def on_end(self) -> None:
        """The reader has let go of it: it may be closed."""
        ...


class ReadLoop:
    """One thread that reads for every handler handed to it, until it is over."""

    def __init__(self, clock: Callable[[], float], log: Logger, read_bytes: int = 8 * 1024) -> None:
        self._clock = clock
        self._log = log
        self._read_bytes = read_bytes
        self._lock = threading.Lock()
        self._new: list[ReadHandler] = []
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._stopping = False
        self._runner: threading.Thread | None = None

    def start(self) -> None:
        """Start its thread."""
        self._runner = start_thread("reader", self._run)

    def stop(self, timeout_s: float = 2.0) -> bool:
        """End it, and with it all that it holds; whether it ended in time."""
        with self._lock:
            self._stopping = True
            with contextlib.suppress(OSError):
                if self._wake >= 0:
                    os.eventfd_write(self._wake, 1)
        if self._runner is None:
            return True
        self._runner.join(timeout_s)
        return not self._runner.is_alive()

    def watch(self, handler: ReadHandler) -> bool:
        """Read for it until it is over. False: the reader has stopped, the caller ends it."""
        with self._lock:
            if self._stopping:
                return False
            self._new.append(handler)
            os.eventfd_write(self._wake, 1)
            return True

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self._wake, select.POLLIN)
        held: dict[int, ReadHandler] = {}
        buffer = bytearray(self._read_bytes)
        view = memoryview(buffer)
        looked_s = self._clock()
        while not self._stopping:
            for fd, _ in poll.poll(LOOK_S * 1000):
                if fd == self._wake:
                    with contextlib.suppress(OSError):
                        os.eventfd_read(self._wake)
                elif fd in held and not self._read(held[fd], buffer, view):
                    self._let_go(poll, held, fd)
            with self._lock:
                new, self._new = self._new, []
            for handler in new:
                held[handler.fileno()] = handler
                poll.register(handler.fileno(), select.POLLIN)
            now = self._clock()
            if now - looked_s >= LOOK_S:
                looked_s = now
                for fd in [fd for fd, handler in held.items() if not handler.on_tick(now)]:
                    self._let_go(poll, held, fd)
        with self._lock:
            left = [*held.values(), *self._new]
            os.close(self._wake)
            self._wake = -1
        for handler in left:
            self._end(handler)

    def _let_go(self, poll: select.poll, held: dict[int, ReadHandler], fd: int) -> None:
        poll.unregister(fd)  # before it is closed: its number may be another's at once
        self._end(held.pop(fd))

    def _read(self, handler: ReadHandler, buffer: bytearray, view: memoryview) -> bool:
        try:
            return handler.on_readable(buffer, view)
        except Exception:  # the others go on: all answers pass here
            self._log.exception("reading a socket failed")
            return False

    def _end(self, handler: ReadHandler) -> None:
        try:
            handler.on_end()
        except Exception:
            self._log.exception("ending a socket failed")
