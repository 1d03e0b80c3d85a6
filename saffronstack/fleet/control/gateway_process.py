"""Processes of gateways: started with the daemon's listening socket, watched, signalled by descriptor.

What runs is asked of the system, never of a file: each process carries a mark in its environment, by which a
daemon that comes up again finds the gateways that its last life left serving."""

from __future__ import annotations

import contextlib
import os
import pathlib
import select
import signal
import socket
import subprocess
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import IO

import structlog

from saffronstack.daemon.handover import MARK
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.daemon")
PREPARED, TAKES_CALLS = "prepared", "takes calls"
LOG_MOST = 4 << 20  # bytes of a gateway's log, past which a life starts a new one
BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class Told:
    """What a life showed: prepared, up, or ended, and then why."""

    gateway: str
    number: int
    what: str
    why: str = ""


class Process:
    """One process by its descriptor (pidfd): a signal never reaches another one that got its number."""

    def __init__(self, pid: int, release: str, pidfd: int, child: subprocess.Popen[bytes] | None) -> None:
        self.pid, self.release = pid, release
        self._pidfd = pidfd
        self._child = child

    def send(self, number: signal.Signals) -> None:
        """A signal, where it still runs."""
        with contextlib.suppress(ProcessLookupError, OSError):
            signal.pidfd_send_signal(self._pidfd, number)

    def go(self) -> None:
        """Let a prepared one take calls."""
        self._say(b"go\n")

    def follow(self, other: Process) -> None:
        """Should nobody be there to say ``go``, it goes once the other one has ended."""
        self._say(b"after %d\n" % other.pid)

    def _say(self, word: bytes) -> None:
        if self._child is not None and self._child.stdin is not None:
            with contextlib.suppress(OSError):  # it ended meanwhile, which is told elsewhere
                self._child.stdin.write(word)
                self._child.stdin.flush()

    def wait(self) -> str:
        """Wait for its end; how it ended."""
        poll = select.poll()
        poll.register(self._pidfd, select.POLLIN)
        while not poll.poll(1000):
            continue
        status = self._child.wait() if self._child is not None else None
        if self._child is not None and self._child.stdin is not None:
            with contextlib.suppress(OSError):
                self._child.stdin.close()
        self.forget()
        return "status unknown" if status is None else f"status {status}"

    def forget(self) -> None:
        """It is not looked at any more."""
        if self._pidfd >= 0:
            os.close(self._pidfd)
            self._pidfd = -1

    def memory_mb(self) -> float:
        """Resident; 0 where it is gone."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0

    def descriptors(self) -> int:
        """How many it holds; 0 where it is gone."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0


def listener(address: str) -> socket.socket:
    """A bound socket for a gateway's lives to listen on, one after the other: connections that come between
    two wait in its queue. It shares the address, since a life that an earlier daemon left may hold it too.
    OSError where it can't be had."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, int(port)))
    except OSError:
        sock.close()
        raise
    return sock


def start(
    gateway: str,
    number: int,
    release: str,
    command: Sequence[str],
    mark: str,
    listening: socket.socket,
    log_path: pathlib.Path,
    tell: Callable[[Told], None],
) -> Process:
    """Start a life; ``tell`` hears of it on threads of its own. OSError where it can't be started."""
    with contextlib.suppress(OSError):
        if log_path.stat().st_size > LOG_MOST:
            os.replace(log_path, log_path.with_suffix(".log.1"))
    with open(log_path, "ab") as said:
        child = subprocess.Popen(
            [*command, "--listen-fd", str(listening.fileno()), "--standby"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=said, pass_fds=(listening.fileno(),),
            start_new_session=True, env={**os.environ, MARK: f"{mark}/{release}"},
        )  # fmt: skip
    process = Process(child.pid, release, os.pidfd_open(child.pid), child)
    assert child.stdout is not None
    stream = child.stdout
    start_thread("life-lines", lambda: _read(gateway, number, stream, tell))
    start_thread("life-end", lambda: tell(Told(gateway, number, "ended", process.wait())))
    return process


def _read(gateway: str, number: int, stream: IO[bytes], tell: Callable[[Told], None]) -> None:
    """Its first line says that it is prepared, the next that it takes calls."""
    with stream:
        for line in stream:
            text = line.decode("utf-8", "replace")
            if TAKES_CALLS in text:
                tell(Told(gateway, number, "up"))
            elif PREPARED in text:
                tell(Told(gateway, number, "prepared"))


def left(mark: str) -> list[Process]:
    """Processes that carry a mark, the newest last: an earlier daemon's. Only this user's are looked at."""
    found: list[tuple[int, Process]] = []
    wanted = f"{MARK}={mark}/".encode()
    for entry in os.scandir("/proc"):
        if not entry.name.isdigit() or int(entry.name) == os.getpid():
            continue
        try:
            if entry.stat().st_uid != os.geteuid():
                continue
            pidfd = os.pidfd_open(int(entry.name))
        except OSError:
            continue
        try:
            # Read after its descriptor is held: the mark is of the process that signals will reach.
            fields = pathlib.Path(entry.path, "environ").read_bytes().split(b"\0")
            release = next(field[len(wanted) :].decode() for field in fields if field.startswith(wanted))
            began = int(pathlib.Path(entry.path, "stat").read_text().rpartition(")")[2].split()[19])
            found.append((began, Process(int(entry.name), release, pidfd, None)))
        except (OSError, StopIteration, ValueError, IndexError):
            os.close(pidfd)
    return [process for _, process in sorted(found, key=lambda one: one[0])]
