"""A handle on one process of a gateway."""

from __future__ import annotations

import contextlib
import enum
import os
import pathlib
import select
import signal
import subprocess
import threading
from dataclasses import dataclass

WAIT_POLL_MS = 1000
UNCLEAN_EXIT_STATUS = 1  # `serve` ended by itself, with calls that it had to give up


class ProcessEventKind(enum.Enum):
    """What happened to a process."""

    PREPARED = "prepared"  # it loaded its program and configuration
    SERVING = "serving"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """Something that happened to an incarnation of a gateway.

    Attributes:
        gateway: Its name.
        incarnation: Its number.
        kind: What happened.
        reason: Why it ended.
        has_crashed: Whether it ended without having stopped by itself.
    """

    gateway: str
    incarnation: int
    kind: ProcessEventKind
    reason: str = ""
    has_crashed: bool = False


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """How a process ended.

    Attributes:
        status: Its exit status, negative for a signal; None where another daemon had started it.
    """

    status: int | None

    @property
    def reason(self) -> str:
        """A phrase for the log."""
        return "status unknown" if self.status is None else f"status {self.status}"

    @property
    def has_crashed(self) -> bool:
        """Whether it ended without having stopped by itself, as far as that is known."""
        return self.status not in (None, 0, UNCLEAN_EXIT_STATUS)


class GatewayProcess:
    """One process by its descriptor (pidfd), so that no signal reaches another one that got its number.

    A process that this daemon started has a pipe for commands; one that an earlier daemon left has none. The
    daemon's thread signals; the thread that waits for the end closes the descriptor.
    """

    def __init__(self, pid: int, release: str, pidfd: int, child: subprocess.Popen[bytes] | None) -> None:
        """Take over ``pidfd``; ``child`` is None for a process of an earlier daemon."""
        self.pid, self.release = pid, release
        self._pidfd = pidfd
        self._descriptor_lock = threading.Lock()  # a closed descriptor's number may soon be another process's
        self._child = child

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        with self._descriptor_lock, contextlib.suppress(OSError):  # it has ended
            if self._pidfd >= 0:
                signal.pidfd_send_signal(self._pidfd, number)

    def allow_serving(self) -> None:
        """Let a prepared process serve."""
        self._write_command(b"go\n")

    def has_ended(self) -> bool:
        """Return whether the process has ended, known or not; does not wait."""
        with self._descriptor_lock:
            if self._pidfd < 0:
                return True
            poll = select.poll()
            poll.register(self._pidfd, select.POLLIN)
            return bool(poll.poll(0))

    def serve_after(self, predecessor: GatewayProcess) -> None:
        """Let a prepared process serve once another has ended, even without a daemon to say so."""
        self._write_command(b"after %d\n" % predecessor.pid)

    def _write_command(self, line: bytes) -> None:
        if self._child is not None and self._child.stdin is not None:
            # The process has ended, which is reported elsewhere; ValueError: `wait` closed the pipe.
            with contextlib.suppress(OSError, ValueError):
                self._child.stdin.write(line)
                self._child.stdin.flush()

    def wait(self) -> ProcessEnd:
        """Wait for the end of the process, release its descriptors, and return how it ended."""
        poll = select.poll()
        poll.register(self._pidfd, select.POLLIN)
        while not poll.poll(WAIT_POLL_MS):
            continue
        status = self._child.wait() if self._child is not None else None
        if self._child is not None and self._child.stdin is not None:
            with contextlib.suppress(OSError):  # what was not flushed is of no use any more
                self._child.stdin.close()
        self.close()
        return ProcessEnd(status)

    def close(self) -> None:
        """Release the descriptor; the process goes on."""
        with self._descriptor_lock:
            if self._pidfd >= 0:
                os.close(self._pidfd)
                self._pidfd = -1

    def memory_mb(self) -> float:
        """Return the resident memory in megabytes; 0 where the process is gone."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0

    def open_descriptors(self) -> int:
        """Return the number of open file descriptors; 0 where the process is gone."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0
