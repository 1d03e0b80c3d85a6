"""Harness that runs daemons, lease servers and leaders as processes; the daemons start the gateways.

`rollout_run` runs a rollout on it under load.
"""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import msgspec

from saffronstack.audit.traffic import WorkerLogEntry
from saffronstack.fleet.control.daemon_answers import merge_responses
from saffronstack.fleet.control.messages import LEADER_LEASE, GatewayStatus
from saffronstack.fleet.control.releases import read_release
from saffronstack.fleet.control.status_poller import poll_daemons
from saffronstack.fleet.leases.quorum_read import read_leases
from saffronstack.fleet.rollout.record import RolloutRecord, decode_record
from saffronstack.harness.links import LinkMode, LinkRelay
from saffronstack.harness.rollout.fleet_watcher import FleetObservations
from saffronstack.harness.rollout.rig_layout import HarnessLayout, HarnessSizes
from saffronstack.harness.rollout.sample_releases import write_release
from saffronstack.harness.scenario.processes import ScenarioError
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet, sample_config
from saffronstack.standin.model import Profile

SAFFRONSTACK = [sys.executable, "-m", "saffronstack.cli.main"]
START_TIMEOUT_S = 60.0
COMMAND_TIMEOUT_S = 60.0
DEPLOY_TIMEOUT_S = 90.0
END_MARGIN_S = 10.0  # on top of a gateway's drain grace
MIN_WAIT_S = 0.1
MEMORY_MB = 8192.0


class RolloutHarness:
    """A fleet of processes, as a context manager; stub workers and clients run in this process."""

    def __init__(self, directory: pathlib.Path, sizes: HarnessSizes) -> None:
        self.sizes = sizes
        self.layout = HarnessLayout(directory, sizes)
        self.worker_log: list[WorkerLogEntry] = []
        profile = Profile(memory_mb=MEMORY_MB, cores=8, work_s=0.01, load_s=0.1, keep_alive_s=30.0, queue=256)
        self._workers = StubWorkerFleet(
            sizes.workers, lambda number: profile, seed=sizes.seed,
            log=lambda entry: self.worker_log.append(msgspec.convert(entry, WorkerLogEntry, strict=False)),
        )  # fmt: skip
        self.link_relay = LinkRelay()
        self.fleet_path = self.layout.write_fleet_file("fleet.json5", self.daemons)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.observations = FleetObservations()

    def __enter__(self) -> RolloutHarness:
        for name, address in self.gateways.items():
            content = sample_config(self._workers.entries(), address, memory_mb=MEMORY_MB)
            content["instances"] = self.sizes.gateways
            self.layout.write_json(f"{name}.json5", content)
        for name in self.lease_servers:
            self.run("keeper", "establish", *self._lease_server_options(name))
            self.start_lease_server(name)
        for name in self.daemons:
            self.start_daemon(name)
        return self

    def __exit__(self, *exc: object) -> None:
        for name in self.daemons:  # SIGINT also ends the gateways of a daemon
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGINT)
        deadline_s = time.monotonic() + self.sizes.drain_s + END_MARGIN_S
        for name, process in self.processes.items():
            if name not in self.daemons:
                process.kill()
            try:
                process.wait(max(MIN_WAIT_S, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._workers.stop()
        self.link_relay.close()
        self.layout.close()

    @property
    def lease_servers(self) -> dict[str, str]:
        """Addresses of lease servers by name."""
        return self.layout.lease_servers

    @property
    def daemons(self) -> dict[str, str]:
        """Addresses of daemons by name."""
        return self.layout.daemons

    @property
    def gateways(self) -> dict[str, str]:
        """Addresses of gateways by name."""
        return self.layout.gateways

    @property
    def daemon_of(self) -> dict[str, str]:
        """Names of daemons by gateway."""
        return self.layout.daemon_of

    # ---- processes

    def start(self, name: str, *arguments: str) -> None:
        """Start a saffronstack command and wait for its first line of output.

        Raises:
            ScenarioError: The process writes no line before the timeout.
        """
        with open(self.layout.log_path(name), "ab") as log_file:
            process = subprocess.Popen(
                [*SAFFRONSTACK, *arguments], stdout=subprocess.PIPE, stderr=log_file
            )  # fmt: skip
        self.processes[name] = process
        assert process.stdout is not None
        output = process.stdout
        first_lines: list[bytes] = []
        reader = start_thread("first-line", lambda: first_lines.append(output.readline()))
        reader.join(START_TIMEOUT_S)
        if not first_lines or not first_lines[0]:
            raise ScenarioError(f"{name} did not start; see {self.layout.log_path(name)}")
        start_thread("drain-output", lambda: [None for _ in output])

    def start_lease_server(self, name: str) -> None:
        """Start or restart a lease server."""
        self.start(name, "keeper", "run", *self._lease_server_options(name))

    def start_daemon(self, name: str) -> None:
        """Start or restart a daemon."""
        self.start(name, "fleet", "daemon", "--fleet", str(self.fleet_path), "--name", name, "--log", "json")

    def lose_disk(self, name: str) -> None:
        """Kill a daemon and remove its stored desired state."""
        self.kill(name)
        (self.layout.state_directory(name) / "wanted").unlink(missing_ok=True)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, unless it has exited."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL)."""
        self.processes[name].kill()
        self.processes[name].wait()

    def run(self, *arguments: str, timeout_s: float = COMMAND_TIMEOUT_S) -> subprocess.CompletedProcess[str]:
        """Run a saffronstack command until it exits."""
        command = [*SAFFRONSTACK, *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=timeout_s, check=False)

    def _lease_server_options(self, name: str) -> list[str]:
        state = str(self.layout.state_directory(name))
        return ["--fleet", str(self.fleet_path), "--name", name, "--state", state]

    # ---- releases, plans and observations

    def make_release(self, version: str, fault: str = "") -> str:
        """Write a release, optionally with a fault of `sample_releases.FAULTS`; return its directory."""
        return write_release(self.layout.releases, version, fault)

    def deploy(self, release: str) -> None:
        """Start the first release on all gateways.

        Raises:
            ScenarioError: The command fails.
        """
        options = ("--fleet", str(self.fleet_path), "--release", release, "--wait", "60")
        completed = self.run("fleet", "start", *options, timeout_s=DEPLOY_TIMEOUT_S)
        if completed.returncode:
            raise ScenarioError(f"fleet start: {completed.stdout}{completed.stderr}")

    def write_plan(self, base: str, **overrides: Any) -> pathlib.Path:
        """Write a plan file for a fleet that runs the release in ``base``; ``overrides`` replace its keys."""
        content: dict[str, Any] = {
            "name": f"plan-{time.monotonic_ns()}", "base": read_release(base).release.digest,
            "stages": [
                {"count": 2, "bake_s": 4.0}, {"share": 0.5, "bake_s": 4.0}, {"share": 1.0, "bake_s": 2.0},
            ],
            "unavailable_most": 2, "calls_least": 20, "memory_least_mb": 1.5, "settle_s": 1.5,
        }  # fmt: skip
        return self.layout.write_json("plan.json5", content | overrides)

    def statuses(self) -> dict[str, GatewayStatus]:
        """Poll all daemons and return the status of their gateways, without those of unreachable daemons."""
        return merge_responses(poll_daemons(self.daemons, self.sizes.wait_s)).gateways

    def record(self) -> RolloutRecord | None:
        """Return the stored rollout record, or None if it cannot be read."""
        observed = read_leases(self.lease_servers, self.sizes.wait_s).leases.get(LEADER_LEASE)
        return decode_record(observed.value.content) if observed is not None else None

    # ---- links between a leader and daemons

    def set_link_mode(self, leader: str, daemon: str, mode: LinkMode) -> None:
        """Hold, drop or pass the traffic between a leader and a daemon."""
        self.link_relay.set_mode(self.link_relay.directions_between({leader}, {daemon}), mode)
        self.link_relay.set_mode(self.link_relay.directions_between({daemon}, {leader}), mode)

    def write_relayed_fleet_file(self, leader: str) -> pathlib.Path:
        """Write a fleet file in which the addresses of the daemons are those of relays."""
        relayed = {
            name: self.link_relay.add_link(leader, name, address) for name, address in self.daemons.items()
        }
        return self.layout.write_fleet_file(f"fleet-{leader}.json5", relayed)
