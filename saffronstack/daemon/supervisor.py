"""The parent of a gateway's processes: starts them on one address, hands on signals, revives the dead."""

from __future__ import annotations

import queue
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import structlog

from saffronstack.daemon.liveness import STOPPED_S, Liveness
from saffronstack.daemon.restarts import Restarts
from saffronstack.runtime.threads import start_thread

START_S = 30.0
POLL_S = 0.05
log = structlog.get_logger("saffronstack.supervisor")


class StartError(Exception):
    """A process did not come up at the first start; what it said is on standard error."""


@dataclass(eq=False, slots=True)
class _Member:
    index: int
    process: subprocess.Popen[bytes] | None = None
    started_s: float = 0.0
    again_s: float | None = None
    restarts: Restarts = field(default_factory=Restarts)


class Supervisor:
    """Runs ``count`` processes of ``command``, each with its member's number behind ``--member``."""

    def __init__(
        self,
        command: Sequence[str],
        count: int,
        host: str,
        port: int,
        clock: Callable[[], float] = time.monotonic,
        stopped_s: float = STOPPED_S,
    ) -> None:
        """Takes the address for all: a bound socket that never listens keeps the port while members come and
        go. OSError where it can't be had. ``stopped_s``: silence after which a stopped one is replaced."""
        self._life = Liveness(count, stopped_s)
        self._command = list(command)
        self._clock = clock
        self._members = [_Member(index) for index in range(count)]
        self._placeholder = socket.socket()
        self._placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._placeholder.bind((host, port))
        self.host, self.port = self._placeholder.getsockname()[:2]

    def start(self) -> None:
        """Start all; they take calls when this returns. StartError where one does not come up."""
        waiting = [(member, self._spawn(member)) for member in self._members]
        until_s = self._clock() + START_S
        for member, lines in waiting:
            try:
                line = lines.get(timeout=max(0.0, until_s - self._clock()))
            except queue.Empty:
                line = b""
            if not line:
                self.stop(2.0)
                raise StartError(f"process {member.index} did not come up")

    def watch(self, signals: queue.SimpleQueue[int]) -> int:
        """Keep them running until a signal other than SIGHUP comes; that signal."""
        while True:
            try:
                number = signals.get(timeout=POLL_S)
            except queue.Empty:
                self._replace_silent()
                self._revive()
                continue
            if number != signal.SIGHUP:
                return number
            for member in self._members:
                if member.process is not None and member.process.poll() is None:
                    member.process.send_signal(signal.SIGHUP)

    def stop(self, timeout_s: float) -> int:
        """Have all end; the worst of their exit statuses, 1 for one that had to be killed."""
        members = [member.process for member in self._members if member.process is not None]
        running = [
            process for process in members if process.poll() is None
        ]  # one that died says nothing of the end
        for process in running:
            process.send_signal(signal.SIGTERM)
        until_s = self._clock() + timeout_s
        worst = 0
        for process in running:
            try:
                status = process.wait(max(0.1, until_s - self._clock()))
            except subprocess.TimeoutExpired:
                process.kill()
                status = 1
            worst = max(worst, abs(status))
        self._placeholder.close()
        return worst

    def _spawn(self, member: _Member) -> queue.SimpleQueue[bytes]:
        """Start one. It ends with this process: its standard input is a pipe that ends with us."""
        command = [
            *self._command,
            "--member",
            f"{member.index}/{len(self._members)}",
            "--listen",
            f"{self.host}:{self.port}",
        ]
        process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        member.process, member.started_s, member.again_s = process, self._clock(), None
        self._life.started(member.index)
        lines: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        start_thread("member-lines", lambda: self._read(member, process, lines))
        return lines

    def _read(
        self, member: _Member, process: subprocess.Popen[bytes], lines: queue.SimpleQueue[bytes]
    ) -> None:
        """Its first line says that it takes calls, each later one that it lives."""
        assert process.stdout is not None
        first = True
        with process.stdout as stream:
            for line in stream:
                if first:
                    lines.put(line)
                    first = False
                if member.process is process:
                    self._life.heard(member.index, self._clock())
        lines.put(b"")

    def _replace_silent(self) -> None:
        """End those that show no life; `_revive` starts them again as after any other end."""
        for index, silent_s in self._life.silent(self._clock(), self._is_stopped):
            process = self._members[index].process
            self._life.started(index)
            if process is not None and process.poll() is None:
                log.error("process shows no life and is replaced", index=index, silent_s=round(silent_s, 2))
                process.kill()

    def _is_stopped(self, index: int) -> bool:
        """Whether the system has it stopped (by a signal; a debugger's is another state). False where the
        system does not say."""
        process = self._members[index].process
        if process is None:
            return False
        try:
            with open(f"/proc/{process.pid}/stat", "rb") as stat:
                return stat.read().rpartition(b")")[2].split()[0] == b"T"
        except (OSError, IndexError):
            return False

    def _revive(self) -> None:
        now = self._clock()
        for member in self._members:
            process = member.process
            if process is None or process.poll() is None:
                continue
            if member.again_s is None:
                member.again_s = member.restarts.ended(member.started_s, now)
                log.error(
                    "process ended",
                    index=member.index,
                    status=process.returncode,
                    again_in_s=round(member.again_s - now, 2),
                )
            elif now >= member.again_s:
                if process.stdin is not None:
                    process.stdin.close()
                self._spawn(member)


def command_of(arguments: Sequence[str]) -> list[str]:
    """The command line of a member, from the interpreter that runs this."""
    return [sys.executable, "-m", "saffronstack.cli.main", *arguments]
