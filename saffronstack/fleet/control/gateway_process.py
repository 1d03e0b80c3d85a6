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
UNCLEAN_EXIT_STATUS = 1  # `serve` has shut down by itself, but abandoned requests in flight


class ProcessEventKind(enum.Enum):
    """Kind of a change in a process's state."""

    PREPARED = "prepared"  # the process has loaded its program and configuration
    SERVING = "serving"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """A change in the state of an incarnation of a gateway.

    Attributes:
        gateway: The name of the gateway.
        incarnation: The number of the incarnation.
        kind: The kind of the change.
        reason: How the process ended; empty for the other kinds.
        has_crashed: Whether the process ended without a graceful shutdown.
    """

    gateway: str
    incarnation: int
    kind: ProcessEventKind
    reason: str = ""
    has_crashed: bool = False


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """The end of a process.

    Attributes:
        status: The exit status, negative for a signal; None if another daemon started the process.
    """

    status: int | None

    @property
    def reason(self) -> str:
        """Description of the exit status for the log."""
        return "status unknown" if self.status is None else f"status {self.status}"

    @property
    def has_crashed(self) -> bool:
        """Whether the process ended without a graceful shutdown; false if the status is unknown."""
        return self.status not in (None, 0, UNCLEAN_EXIT_STATUS)


class GatewayProcess:
    """One process, held by a pidfd so that no signal reaches another process with a reused process id.

    A process that this daemon started has a pipe for commands; a process of an earlier daemon has none. The
    daemon's thread sends signals; the thread that waits for the end of the process closes the pidfd.
    """

    def __init__(self, pid: int, release: str, pidfd: int, child: subprocess.Popen[bytes] | None) -> None:
        """Take ownership of ``pidfd``; ``child`` is None for a process of an earlier daemon."""
        self.pid, self.release = pid, release
        self._pidfd = pidfd
        self._descriptor_lock = threading.Lock()  # the number of a closed pidfd may be reused
        self._child = child

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        with self._descriptor_lock, contextlib.suppress(OSError):  # the process has ended
            if self._pidfd >= 0:
                signal.pidfd_send_signal(self._pidfd, number)

    def allow_serving(self) -> None:
        """Tell a prepared process to serve."""
        self._write_command(b"go\n")

    def has_ended(self) -> bool:
        """Return whether the process has ended, even if its end has not been handled yet; does not block."""
        with self._descriptor_lock:
            if self._pidfd < 0:
                return True
            poll = select.poll()
            poll.register(self._pidfd, select.POLLIN)
            return bool(poll.poll(0))

    def serve_after(self, predecessor: GatewayProcess) -> None:
        """Tell a prepared process to serve once another has ended, even if the daemon no longer runs then."""
        self._write_command(b"after %d\n" % predecessor.pid)

    def _write_command(self, line: bytes) -> None:
        if self._child is not None and self._child.stdin is not None:
            # OSError: the process has ended, which `report_end` reports. ValueError: `wait` closed the pipe.
            with contextlib.suppress(OSError, ValueError):
                self._child.stdin.write(line)
                self._child.stdin.flush()

    def wait(self) -> ProcessEnd:
        """Wait for the end of the process, close its descriptors, and return how it ended."""
        poll = select.poll()
        poll.register(self._pidfd, select.POLLIN)
        while not poll.poll(WAIT_POLL_MS):
            continue
        status = self._child.wait() if self._child is not None else None
        if self._child is not None and self._child.stdin is not None:
            with contextlib.suppress(OSError):  # the process no longer reads unflushed commands
                self._child.stdin.close()
        self.close()
        return ProcessEnd(status)

    def close(self) -> None:
        """Close the pidfd; the process continues to run."""
        with self._descriptor_lock:
            if self._pidfd >= 0:
                os.close(self._pidfd)
                self._pidfd = -1

    def memory_mb(self) -> float:
        """Return the resident memory in megabytes; 0 if the process has ended."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0

    def open_descriptors(self) -> int:
        """Return the number of open file descriptors; 0 if the process has ended."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0
