"""Runs one schedule on a process of the platform gateway, with stub hosts and a directory on loopback."""

from __future__ import annotations

import contextlib
import gc
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from saffronstack.harness.soak.clients import SoakClients
from saffronstack.harness.soak.hosts import DelayedWrites, SoakHost
from saffronstack.harness.soak.judge import CheckReport, check_run
from saffronstack.harness.soak.platform_config import write_config
from saffronstack.harness.soak.schedule import HostBehaviour, Schedule, SignalAt
from saffronstack.harness.soak.thread_sampler import ThreadSampler
from saffronstack.harness.soak.traffic import ObservedRun
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.platform import HostEntry, StubDnsServer
from saffronstack.standin.worker import reserve_port

START_TIMEOUT_S = 30.0
KILLED_TIMEOUT_S = 10.0
DISCONNECT_WAIT_S = 0.1  # in which clients can notice that their connections have ended
READY_TEXT = "takes calls"


class GatewayStartError(Exception):
    """The gateway of a run did not start."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """The checker's report of a run, and the gateway's log."""

    report: CheckReport
    log: str


def earliest_times_s(times_s: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return the earliest time of each key."""
    first_s: dict[str, float] = {}
    for times_by_key in times_s:
        for key, at_s in times_by_key.items():
            first_s[key] = min(at_s, first_s.get(key, at_s))
    return first_s


@contextlib.contextmanager
def _without_garbage_collection() -> Iterator[None]:
    """Disable garbage collection: a full collection visits all objects and would pause the clients."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


class _Gateway:
    """The gateway's process and its log."""

    def __init__(self, config_path: pathlib.Path, program: str) -> None:
        command = ["-c", program] if program else ["-m", "saffronstack.platform"]
        environment = {**os.environ, "LB_CONFIG": str(config_path), "LB_NAME": "soak"}
        self.process = subprocess.Popen(
            [sys.executable, *command], env=environment, stderr=subprocess.PIPE, text=True
        )
        self.lines: list[str] = []
        self._is_ready = threading.Event()
        self._reader = start_thread("gateway-log", self._read)

    def wait_until_ready(self) -> None:
        """Wait until the gateway accepts calls.

        Raises:
            GatewayStartError: It ended or did not start in time.
        """
        if not self._is_ready.wait(START_TIMEOUT_S) or self.process.poll() is not None:
            self.process.kill()
            raise GatewayStartError("".join(self.lines))

    def send_signal(self, name: str) -> None:
        """Send a signal, unless the process has ended."""
        self.process.send_signal(signal.Signals[name])

    def stop(self) -> str:
        """Kill the process if it still runs; return its log."""
        self.process.kill()
        self.process.wait(KILLED_TIMEOUT_S)
        self._reader.join(KILLED_TIMEOUT_S)
        return "".join(self.lines)

    def _read(self) -> None:
        assert self.process.stderr is not None
        with self.process.stderr as stream:
            for line in stream:
                self.lines.append(line)
                if READY_TEXT in line:
                    self._is_ready.set()
        self._is_ready.set()


class PlatformRun:
    """One run; not reusable."""

    def __init__(self, schedule: Schedule, folder: pathlib.Path, program: str = "") -> None:
        """``program`` is code to run in place of the gateway, for broken variants."""
        self._schedule = schedule
        self._folder = folder
        self._program = program
        self._writes = DelayedWrites()
        self._hosts = [self._make_host(behaviour, number) for number, behaviour in enumerate(schedule.hosts)]
        self._entries = [HostEntry(f"s-{number}", host.address) for number, host in enumerate(self._hosts)]
        self._directory = StubDnsServer(*self._entries)

    def run(self) -> RunResult:
        """Execute the run and check it.

        Raises:
            GatewayStartError: The gateway did not start.
        """
        try:
            with _without_garbage_collection(), reserve_port("127.0.0.1") as holder:
                return self._run_on(f"127.0.0.1:{holder.getsockname()[1]}")
        finally:
            self._directory.close()
            self._writes.close()
            for host in self._hosts:
                host.close()

    def _run_on(self, listen: str) -> RunResult:
        schedule = self._schedule
        gateway = _Gateway(self._write_config(listen), self._program)
        try:
            gateway.wait_until_ready()
            sampler = ThreadSampler(gateway.process.pid)
            host, _, port = listen.rpartition(":")
            timeout_s = schedule.longest_deadline_s
            clients = SoakClients((host, int(port)), schedule.clients, schedule.seed, timeout_s)
            time.sleep(schedule.before_s)
            clients.stop_reconnecting()
            terminated_s, killed_s = self._shut_down(gateway)
            time.sleep(DISCONNECT_WAIT_S)
            requests = clients.stop()
        finally:
            log = gateway.stop()
        observed = ObservedRun(
            requests,
            sum((host.calls for host in self._hosts), Counter[str]()),
            terminated_s,
            killed_s,
            exit_status=gateway.process.returncode if killed_s is None else None,
            failed_connects=clients.failed_connects,
            busy_clients_fit=schedule.busy_clients_fit,
            host_response_times_s=earliest_times_s(host.response_times_s for host in self._hosts),
            samples=sampler.samples(),
        )
        ended_after_s = self._ended_s - terminated_s if killed_s is None else None
        return RunResult(replace(check_run(observed), ended_after_s=ended_after_s), log)

    def _shut_down(self, gateway: _Gateway) -> tuple[float, float | None]:
        """Send the signals and the kill; return the times of SIGTERM and of the kill.

        The latter is None if the gateway exited before.
        """
        schedule = self._schedule
        first_s = min([0.0, *(one.at_s for one in schedule.signals)])
        terminate_s = time.monotonic() - first_s
        steps = [*schedule.signals, SignalAt("SIGTERM", 0.0), SignalAt("SIGKILL", schedule.kill_s)]
        if schedule.host_replaced_at_s is not None:
            timer = threading.Timer(max(0.0, schedule.host_replaced_at_s - first_s), self._replace_host)
            timer.daemon = True
            timer.start()
        for step in sorted(steps, key=lambda one: one.at_s):
            if self._has_ended_before(gateway, terminate_s + step.at_s):
                return terminate_s, None
            at_s = time.monotonic()
            if step.name == "SIGTERM" and step.at_s == 0.0:
                terminate_s = at_s  # the kill is timed from when SIGTERM was really sent
            gateway.send_signal(step.name)
        return terminate_s, at_s

    def _has_ended_before(self, gateway: _Gateway, until_s: float) -> bool:
        try:
            gateway.process.wait(max(0.0, until_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            return False
        self._ended_s = time.monotonic()
        return True

    def _replace_host(self) -> None:
        """Mark the last host of the endpoint list as draining, and add a new host."""
        removed = self._entries[-1]
        replacement = self._make_host(HostBehaviour.QUICK, len(self._hosts))
        self._hosts.append(replacement)
        draining = replace(removed, draining=True)
        self._directory.update(*self._entries[:-1], draining, HostEntry("s-new", replacement.address))

    def _make_host(self, behaviour: HostBehaviour, number: int) -> SoakHost:
        schedule = self._schedule
        return SoakHost(
            behaviour,
            schedule.host_delay_s,
            schedule.longest_deadline_s,
            self._writes,
            schedule.seed * 100 + number,
        )

    def _write_config(self, listen: str) -> pathlib.Path:
        schedule = self._schedule
        path = self._folder / f"soak-{schedule.seed}.json"
        nameserver = self._directory.address
        content = write_config(
            listen, nameserver, self._entries, schedule.descriptor_limit, schedule.longest_deadline_s
        )
        path.write_bytes(content)
        return path
