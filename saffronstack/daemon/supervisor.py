"""Runs a gateway's processes on one address: starts them, forwards signals, restarts them after exits."""

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

from saffronstack.daemon.errors import StartupError
from saffronstack.daemon.heartbeat_monitor import STOPPED_TIMEOUT_S, HeartbeatMonitor
from saffronstack.daemon.processor_starvation import StarvationMonitor, allow_all_cpus
from saffronstack.daemon.restart_backoff import RestartBackoff
from saffronstack.runtime.threads import start_thread

STARTUP_TIMEOUT_S = 30.0
FAILED_STARTUP_STOP_S = 2.0  # time that the other processes get to exit when one did not start
POLL_INTERVAL_S = 0.05
MIN_EXIT_WAIT_S = 0.1
log = structlog.get_logger("saffronstack.supervisor")


@dataclass(eq=False, slots=True)
class _SupervisedProcess:
    """One of the gateway's processes, across its incarnations.

    Attributes:
        index: Index of the process in the gateway.
        process: The current incarnation; None before the first start.
        is_ready: Whether the incarnation has written its first line. Set by the thread that reads its output.
        needs_reload: Whether the process must reload its configuration once it is ready.
        started_s: Start time of the incarnation.
        restart_at_s: Time of the next restart; None while the process runs or its exit has not been noticed.
        backoff: Backoff of its restarts.
    """

    index: int
    process: subprocess.Popen[bytes] | None = None
    is_ready: bool = False
    needs_reload: bool = False
    started_s: float = 0.0
    restart_at_s: float | None = None
    backoff: RestartBackoff = field(default_factory=RestartBackoff)

    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None


class Supervisor:
    """Runs several processes of one command; the option ``--member`` gives each its index."""

    def __init__(
        self,
        command: Sequence[str],
        count: int,
        host: str,
        port: int,
        clock: Callable[[], float] = time.monotonic,
        stopped_timeout_s: float = STOPPED_TIMEOUT_S,
    ) -> None:
        """Reserve the address with a bound socket that never listens; it keeps the port across restarts.

        Args:
            command: Command line of a process, as from `gateway_command`.
            count: Number of processes to run.
            host: Address to listen on.
            port: Port to listen on; 0 for any free one.
            clock: Monotonic clock in seconds.
            stopped_timeout_s: Time without a heartbeat after which a stopped process is replaced; 0: never.

        Raises:
            OSError: The address is not available.
        """
        self._monitor = HeartbeatMonitor(count, stopped_timeout_s)
        self._starvation_monitor = StarvationMonitor(clock)
        self._command = list(command)
        self._clock = clock
        self._processes = [_SupervisedProcess(index) for index in range(count)]
        self._port_reservation = socket.socket()
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._port_reservation.bind((host, port))
        self.host, self.port = self._port_reservation.getsockname()[:2]

    def start(self) -> None:
        """Start all processes and wait until they accept requests.

        Raises:
            StartupError: A process did not start in time. All processes have been stopped.
        """
        starting = [(supervised, self._spawn(supervised)) for supervised in self._processes]
        deadline_s = self._clock() + STARTUP_TIMEOUT_S
        for supervised, lines in starting:
            try:
                line = lines.get(timeout=max(0.0, deadline_s - self._clock()))
            except queue.Empty:
                line = b""
            if not line:
                self.stop(FAILED_STARTUP_STOP_S)
                raise StartupError(supervised.index)

    def run_until_signal(self, signals: queue.SimpleQueue[int]) -> int:
        """Keep all processes running. Forward SIGHUP to them, and return on any other signal.

        Args:
            signals: Receives the numbers of signals.

        Returns:
            The number of the other signal.
        """
        while True:
            try:
                number = signals.get(timeout=POLL_INTERVAL_S)
            except queue.Empty:
                self._release_starved()
                self._kill_unresponsive()
                self._restart_exited()
                self._reload_ready()
                continue
            if number != signal.SIGHUP:
                return number
            for supervised in self._processes:
                supervised.needs_reload = True
            self._reload_ready()

    def stop(self, timeout_s: float) -> int:
        """Stop all processes gracefully, and kill those that have not exited after ``timeout_s``.

        Returns:
            The greatest of their exit statuses; a killed process counts as 1. A process that exited before
            this call counts as 0. So does one that SIGTERM ended before it was ready: it had no requests.
        """
        running = [supervised for supervised in self._processes if supervised.is_running()]
        for supervised in running:
            assert supervised.process is not None
            allow_all_cpus(supervised.process.pid)  # starvation is not checked during the shutdown
            supervised.process.send_signal(signal.SIGTERM)
        deadline_s = self._clock() + timeout_s
        exit_status = max((self._wait_for_exit(supervised, deadline_s) for supervised in running), default=0)
        self._port_reservation.close()
        return exit_status

    def _wait_for_exit(self, supervised: _SupervisedProcess, deadline_s: float) -> int:
        """Wait for a terminated process and kill it at the deadline; return its exit status for `stop`."""
        assert supervised.process is not None
        try:
            status = supervised.process.wait(max(MIN_EXIT_WAIT_S, deadline_s - self._clock()))
        except subprocess.TimeoutExpired:
            supervised.process.kill()
            return 1
        if status == -signal.SIGTERM and not supervised.is_ready:
            return 0
        return abs(status)

    def _reload_ready(self) -> None:
        """Send SIGHUP to ready processes that need a reload; it would end a process that is not ready."""
        for supervised in self._processes:
            if supervised.needs_reload and supervised.is_ready and supervised.is_running():
                assert supervised.process is not None
                supervised.needs_reload = False
                supervised.process.send_signal(signal.SIGHUP)

    def _spawn(self, supervised: _SupervisedProcess) -> queue.SimpleQueue[bytes]:
        """Start a process. It exits with the supervisor: its standard input is a pipe that closes then.

        Returns:
            A queue that receives the process's first line, or an empty line if it exits before.
        """
        command = [
            *self._command,
            "--member",
            f"{supervised.index}/{len(self._processes)}",
            "--listen",
            f"{self.host}:{self.port}",
        ]
        process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        supervised.process = process
        supervised.is_ready = supervised.needs_reload = False
        supervised.started_s = self._clock()
        supervised.restart_at_s = None
        self._monitor.process_started(supervised.index)
        lines: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        start_thread("member-lines", lambda: self._read_lines(supervised, process, lines))
        return lines

    def _read_lines(
        self,
        supervised: _SupervisedProcess,
        process: subprocess.Popen[bytes],
        lines: queue.SimpleQueue[bytes],
    ) -> None:
        """Read a process's output: the first line says that it accepts requests, each line is a heartbeat."""
        assert process.stdout is not None
        is_first = True
        with process.stdout as stream:
            for line in stream:
                if is_first:
                    lines.put(line)
                    is_first = False
                if supervised.process is process:
                    supervised.is_ready = True
                    self._monitor.heartbeat_received(supervised.index, self._clock())
        lines.put(b"")

    def _release_starved(self) -> None:
        """Let starved processes run on all CPUs, before they count as unresponsive."""
        pids = [one.process.pid for one in self._processes if one.process is not None and one.is_running()]
        for pid in self._starvation_monitor.check(pids):
            log.warning("gateway process starved of CPU time, it may now use all CPUs", pid=pid)

    def _kill_unresponsive(self) -> None:
        """Kill processes that send no heartbeats; `_restart_exited` restarts them as after any other exit."""
        for unresponsive in self._monitor.check(self._clock(), self._is_stopped):
            index = unresponsive.index
            supervised = self._processes[index]
            self._monitor.process_started(index)
            if supervised.process is not None and supervised.is_running():
                silent_s = round(unresponsive.silent_s, 2)
                log.error("unresponsive process killed", process=index, silent_s=silent_s)
                supervised.process.kill()

    def _is_stopped(self, index: int) -> bool:
        """Return whether the system reports the process as stopped by a signal; False if that is unknown.

        A process that a debugger stopped has a different state.
        """
        process = self._processes[index].process
        if process is None:
            return False
        try:
            with open(f"/proc/{process.pid}/stat", "rb") as stat:
                return stat.read().rpartition(b")")[2].split()[0] == b"T"
        except (OSError, IndexError):  # the system has no /proc, or the process has just exited
            return False

    def _restart_exited(self) -> None:
        now_s = self._clock()
        for supervised in self._processes:
            process = supervised.process
            if process is None or supervised.is_running():
                continue
            if supervised.restart_at_s is None:
                supervised.restart_at_s = supervised.backoff.process_exited(supervised.started_s, now_s)
                restart_in_s = round(supervised.restart_at_s - now_s, 2)
                log.error(
                    "process exited",
                    process=supervised.index,
                    status=process.returncode,
                    restart_in_s=restart_in_s,
                )
            elif now_s >= supervised.restart_at_s:
                if process.stdin is not None:
                    process.stdin.close()
                self._spawn(supervised)


def gateway_command(arguments: Sequence[str]) -> list[str]:
    """Return the command line of a gateway process that uses the current Python interpreter."""
    return [sys.executable, "-m", "saffronstack.cli.main", *arguments]
