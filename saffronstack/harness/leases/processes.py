"""Lease servers and candidates as processes, with their files and a relay between each pair."""

from __future__ import annotations

import json
import pathlib
import queue
import random
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import IO, Any

import msgspec

from saffronstack.client import Client
from saffronstack.harness.leases.judge import LeaseChecker
from saffronstack.harness.leases.peer import CandidateOptions, ServerOptions
from saffronstack.harness.links import LinkRelay
from saffronstack.harness.scenario.processes import ScenarioError
from saffronstack.http1.messages import HttpError
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.worker import reserve_port

FLEET = "rig"
LEASE = "task/rig"
START_TIMEOUT_S = 20.0
VOTING_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1
PEER_COMMAND = (sys.executable, "-m", "saffronstack.harness.leases.peer")


@dataclass
class _Process:
    name: str
    process: subprocess.Popen[bytes]
    stopped: bool = False


@dataclass(frozen=True)
class HarnessOptions:
    """Numbers of processes, and lease times in seconds.

    ``broken`` is a key of `broken_candidates.BROKEN_CANDIDATES` for all candidates, or empty.
    """

    seed: int
    servers: int = 5
    candidates: int = 24
    lease_s: float = 2.0
    wait_s: float = 0.5
    broken: str = ""


@dataclass(frozen=True)
class MajoritySample:
    """Sample of whether a majority of servers could communicate."""

    at_s: float
    has_majority: bool


class LeaseProcesses:
    """Processes, files and links of one run.

    The lock guards the active faults, the stopped servers and the number of started candidates.
    """

    def __init__(self, directory: pathlib.Path, options: HarnessOptions) -> None:
        """Start all servers and candidates.

        Raises:
            ScenarioError: A process fails to start.
        """
        self._directory = directory
        self._options = options
        self._random = random.Random(options.seed)
        self._server_names = [f"k{number}" for number in range(options.servers)]
        self._link_relay = LinkRelay()
        self.checker = LeaseChecker()
        self._reserved_ports = {name: reserve_port("127.0.0.1") for name in self._server_names}
        self._addresses = {
            name: f"127.0.0.1:{port.getsockname()[1]}" for name, port in self._reserved_ports.items()
        }
        self._servers: dict[str, _Process] = {}
        self._replacement_counts = dict.fromkeys(self._server_names, 0)  # replaced machines by server
        self._replaced: list[_Process] = []  # resumed servers that were replaced while paused
        self._candidates: list[_Process] = []
        self._started_candidates = 0
        self._active_faults: dict[str, int] = dict.fromkeys(self._server_names, 0)
        self._snapshots: dict[str, list[pathlib.Path]] = {name: [] for name in self._server_names}
        self._total_snapshots = 0
        self._fault_end_threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._is_closed = False
        self._stopped_servers: set[str] = set()
        self._failure = ""  # first error of a thread that ends a fault
        self._fault_counts: dict[str, int] = {}
        self._majority_samples: list[MajoritySample] = []
        self._clock_rates = {name: 1 + 0.009 * (self._random.random() - 0.5) for name in self._server_names}
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise

    def _start_all(self) -> None:
        for name in self._server_names:
            self._write_fleet(name)
            server = ["--name", name, "--state", str(self._state_directory(name))]
            self._run_saffron("keeper", "establish", "--fleet", str(self._fleet_file(name)), *server)
        for name in self._server_names:
            self._start_server(name)
        for _ in range(self._options.candidates):
            self._candidates.append(self._start_candidate())

    def _state_directory(self, server: str) -> pathlib.Path:
        return self._directory / f"state-{server}-{self._replacement_counts[server]}"

    def _clock_steps_file(self, candidate: str) -> pathlib.Path:
        return self._directory / f"steps-{candidate}"

    def _fleet_file(self, name: str) -> pathlib.Path:
        return self._directory / f"fleet-{name}.json5"

    def _write_fleet(self, name: str) -> None:
        """Write a process's fleet file, in which the addresses of the other processes are those of relays."""
        entries = []
        for server, address in self._addresses.items():
            own = address if server == name else self._link_relay.add_link(name, server, address)
            entries.append({"name": server, "address": own})
        content = {
            "fleet": FLEET,
            "keepers": entries,
            "lease_s": self._options.lease_s,
            "longest_s": self._options.lease_s,
            "wait_s": self._options.wait_s,
        }
        self._fleet_file(name).write_text(json.dumps(content))

    @staticmethod
    def _run_saffron(*arguments: str) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "saffronstack.cli.main", *arguments],
            check=False,
            capture_output=True,
            timeout=START_TIMEOUT_S,
        )
        if completed.returncode:
            raise ScenarioError(completed.stderr.decode("utf-8", "replace"))

    def _start(self, name: str, options: ServerOptions | CandidateOptions) -> _Process:
        with open(self._directory / f"{name}.log", "ab") as errors:
            process = subprocess.Popen(
                [*PEER_COMMAND, msgspec.json.encode(options).decode()],
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors,
            )  # fmt: skip
        assert process.stdout is not None
        lines: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        stdout: IO[bytes] = process.stdout
        start_thread("ready", lambda: lines.put(stdout.readline()))
        try:
            line = lines.get(timeout=START_TIMEOUT_S)
        except queue.Empty:
            line = b""
        if not line:
            process.kill()
            raise ScenarioError(f"{name} did not start; see {self._directory / name}.log")
        return _Process(name, process)

    def _start_server(self, name: str) -> None:
        options = ServerOptions(
            fleet=str(self._fleet_file(name)),
            name=name,
            state=str(self._state_directory(name)),
            clock_rate=self._clock_rates[name],
            disk_fault=str(self._directory / f"disk-{name}.json"),
            trace=str(self._directory / f"trace-{name}.jsonl"),
        )
        self._servers[name] = self._start(name, options)

    def _start_candidate(self) -> _Process:
        with self._lock:
            number, self._started_candidates = self._started_candidates, self._started_candidates + 1
        name = f"c{number}"
        self._write_fleet(name)
        options = CandidateOptions(
            fleet=str(self._fleet_file(name)),
            name=name,
            lease=LEASE,
            resource=self.checker.address,
            seed=self._random.randrange(2**31),
            clock_rate=1 + 0.009 * (self._random.random() - 0.5),
            clock_steps=str(self._clock_steps_file(name)),
            broken=self._options.broken,
        )
        return self._start(name, options)

    def status(self, server: str) -> dict[str, Any]:
        """Return a server's status, requested without a relay; empty if the server does not respond."""
        client = Client(self._addresses[server], 1.0)
        try:
            status: dict[str, Any] = msgspec.json.decode(client.request("GET", "/status").body)
        except (OSError, HttpError, msgspec.MsgspecError):
            return {}
        finally:
            client.close()
        return status

    def wait_until_voting(
        self, servers: Sequence[str] | None = None, timeout_s: float = VOTING_TIMEOUT_S
    ) -> bool:
        """Wait until all given servers, by default all servers, vote; return False on timeout."""
        deadline_s = time.monotonic() + timeout_s
        awaited_servers = list(servers or self._server_names)
        while time.monotonic() < deadline_s:
            if all(self.status(server).get("votes") for server in awaited_servers):
                return True
            time.sleep(POLL_INTERVAL_S)
        return False

    def _reserve_replacement(self, server: str) -> socket.socket:
        """Reserve an address and a state directory for a server's next machine; return its former port."""
        self._replacement_counts[server] += 1
        self._snapshots[server].clear()
        before, self._reserved_ports[server] = self._reserved_ports[server], reserve_port("127.0.0.1")
        address = f"127.0.0.1:{self._reserved_ports[server].getsockname()[1]}"
        content = json.loads(self._fleet_file(server).read_text())
        for entry in content["keepers"]:
            if entry["name"] == server:
                entry["address"] = address
        self._fleet_file(server).write_text(json.dumps(content))
        self._addresses[server] = address
        return before

    @staticmethod
    def _signal(one: _Process, number: int) -> None:
        if one.process.poll() is None:
            one.process.send_signal(number)

    @staticmethod
    def _kill(one: _Process) -> None:
        one.process.kill()
        one.process.wait(10.0)
        for stream in (one.process.stdin, one.process.stdout):
            if stream is not None:
                stream.close()

    def close(self) -> None:
        """Kill all processes and close the relays."""
        self._is_closed = True
        for one in [*self._servers.values(), *self._candidates, *self._replaced]:
            self._kill(one)
        self.checker.close()
        self._link_relay.close()
        for port in self._reserved_ports.values():
            port.close()
