"""Runs a rollout on a harness under load, and checks what clients and workers observed on their sockets."""

from __future__ import annotations

import json
import pathlib
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from saffronstack.audit.rules import find_breaches
from saffronstack.audit.traffic import FunctionRule, RuleLimits, Traffic
from saffronstack.fleet.control.releases import read_release
from saffronstack.fleet.rollout.record import RolloutPhase
from saffronstack.harness.rollout.fleet_watcher import FleetWatcher
from saffronstack.harness.rollout.process_rig import SAFFRONSTACK, RolloutHarness
from saffronstack.harness.scenario.clients import Clients
from saffronstack.harness.scenario.plan import Mix
from saffronstack.runtime.threads import start_thread

NOT_STARTED = 2  # exit status of a rollout that cannot be started
POLL_INTERVAL_S = 0.1
MAX_TRAFFIC_S = 3600.0
FAULTS_JOIN_TIMEOUT_S = 30.0
CLIENTS_END_TIMEOUT_S = 30.0
TRAFFIC_JOIN_TIMEOUT_S = 60.0
LEADER_EXIT_TIMEOUT_S = 5.0
TIMING_TOLERANCE_S = 0.5  # allowed by the checker of the audit rules
TENANTS = ("corner-books", "campus-app")
RULES = {
    "identify-copy": FunctionRule("safe"),
    "suggest-price": FunctionRule("safe"),
    "adjust-setting": FunctionRule("keyed", "all", 10.0),
    "record-sale": FunctionRule("unsafe"),
}


def no_faults(harness: RolloutHarness) -> None:
    """Inject no faults."""


@dataclass(frozen=True)
class RunOptions:
    """Options of a run.

    Attributes:
        faults: Injects faults, on a thread during the rollout.
        timeout_s: Time after which the run ends, even if the rollout has not.
        standby_leaders: Number of standby leader processes.
        fleet_path: Fleet file of the leaders; None for the harness's own.
        warmup_s: Duration of the load before the rollout starts.
        waits_on_hold: Whether the run continues while the rollout is on hold, so that it can be resumed.
    """

    faults: Callable[[RolloutHarness], None] = no_faults
    timeout_s: float = 180.0
    standby_leaders: int = 0
    fleet_path: pathlib.Path | None = None
    warmup_s: float = 1.0
    waits_on_hold: bool = False


DEFAULT_OPTIONS = RunOptions()


@dataclass
class RolloutOutcome:
    """Outcome of a run.

    Attributes:
        status: Exit status of the process that started the rollout.
        phase: Last recorded phase; None if there is no record.
        elapsed_s: Time from the start of the load to the end of the rollout.
        reached: Number of gateways that have run the new release.
        max_unavailable: Maximum number of gateways that were unavailable at once.
        operations: Number of operations that clients requested.
        unserved_share: Fraction of the operations that no attempt served.
        attempt_ends: Number of the clients' attempts by how they ended.
        breaches: Breaches of the audit rules, and errors of the run itself.
        history: History in the rollout record.
    """

    status: int
    phase: RolloutPhase | None
    elapsed_s: float
    reached: int
    max_unavailable: int
    operations: int
    unserved_share: float
    attempt_ends: Counter[str] = field(default_factory=Counter)
    breaches: list[str] = field(default_factory=list)
    history: list[str] = field(default_factory=list)

    def summary(self) -> str:
        """Return a readable line."""
        return (
            f"{self.phase} (status {self.status}) after {self.elapsed_s:.1f} s; "
            f"{self.reached} gateways reached, {self.max_unavailable} down at once; "
            f"{self.operations} operations, {self.unserved_share:.4f} harmed, "
            f"attempts {dict(self.attempt_ends)}; breaches {len(self.breaches)}; {'; '.join(self.history)}"
        )


class RolloutRun:
    """One rollout from the release in the directory ``old`` to the one in the directory ``new``."""

    def __init__(
        self,
        harness: RolloutHarness,
        old: str,
        new: str,
        plan: pathlib.Path,
        options: RunOptions = DEFAULT_OPTIONS,
    ) -> None:
        self._harness, self._old, self._new, self._plan, self._options = harness, old, new, plan, options
        self._name = str(json.loads(plan.read_text())["name"])
        self._fleet_path = str(options.fleet_path or harness.fleet_path)
        self._run_errors: list[str] = []
        sizes = harness.sizes
        self._clients = Clients(
            list(harness.gateways.values()),
            Mix(rate=sizes.rate, deferred_share=0.0, tries=sizes.attempts, clients=sizes.clients),
            sizes.seed, lambda at: sizes.rate, lambda name: name, TENANTS, self._name,
        )  # fmt: skip
        harness.observations.reset()
        self._watcher = FleetWatcher(harness.observations, harness.statuses, read_release(new).release.digest)

    def run(self) -> RolloutOutcome:
        """Run the rollout under load; return its outcome."""
        started_s = time.monotonic()
        traffic_stopped = threading.Event()
        traffic = start_thread("traffic", lambda: self._run_clients(traffic_stopped))
        self._watcher.start()
        for number in range(self._options.standby_leaders):
            self._harness.start(f"leader-{number}", "rollout", "lead", "--fleet", self._fleet_path)
        time.sleep(self._options.warmup_s)
        leader = self._start_rollout()
        faults = start_thread("faults", self._inject_faults)
        self._wait_for_end(leader)
        faults.join(FAULTS_JOIN_TIMEOUT_S)
        elapsed_s = time.monotonic() - started_s
        traffic_stopped.set()
        traffic.join(TRAFFIC_JOIN_TIMEOUT_S)
        self._watcher.stop()
        return self._evaluate(_end_process(leader), elapsed_s)

    def _start_rollout(self) -> subprocess.Popen[bytes]:
        command = [
            *SAFFRONSTACK, "rollout", "start", str(self._plan), "--fleet", self._fleet_path,
            "--from", self._old, "--to", self._new, "--log", "json",
        ]  # fmt: skip
        with open(self._harness.layout.log_path("rollout"), "ab") as log_file:
            process = subprocess.Popen(command, stdout=log_file, stderr=log_file)
        self._harness.processes["rollout"] = process
        return process

    def _inject_faults(self) -> None:
        try:
            self._options.faults(self._harness)
        except Exception as error:  # noqa: BLE001 - the outcome reports it
            self._run_errors.append(f"faults: {error!r}")

    def _run_clients(self, traffic_stopped: threading.Event) -> None:
        self._clients.generate_load(MAX_TRAFFIC_S, traffic_stopped)
        if not self._clients.end(CLIENTS_END_TIMEOUT_S):
            self._run_errors.append("clients did not end")

    def _wait_for_end(self, leader: subprocess.Popen[bytes]) -> None:
        """Wait until the rollout has ended, no process leads it, or the run times out."""
        deadline_s = time.monotonic() + self._options.timeout_s
        while time.monotonic() < deadline_s and not self._has_ended():
            has_exited = leader.poll() is not None
            if has_exited and (not self._options.standby_leaders or leader.returncode == NOT_STARTED):
                return
            time.sleep(POLL_INTERVAL_S)

    def _has_ended(self) -> bool:
        record = self._harness.record()
        if record is None or record.plan.name != self._name:
            return False
        is_on_hold = record.phase is RolloutPhase.ON_HOLD
        return record.is_finished or (is_on_hold and not self._options.waits_on_hold)

    def _evaluate(self, status: int, elapsed_s: float) -> RolloutOutcome:
        record, attempts = self._harness.record(), self._clients.tries
        observations = self._harness.observations
        operations = {one.op for one in attempts}
        served = {one.op for one in attempts if one.outcome in ("served", "accepted")}
        traffic = Traffic(
            RULES,
            requests=attempts,
            worker_log=list(self._harness.worker_log),
            gateway_stops=list(observations.crashes),
        )
        breaches = find_breaches(
            traffic, RuleLimits(slack_s=TIMING_TOLERANCE_S, gateways=len(self._harness.gateways))
        )
        return RolloutOutcome(
            status=status,
            phase=record.phase if record is not None else None,
            elapsed_s=elapsed_s,
            reached=len(observations.reached),
            max_unavailable=observations.max_unavailable,
            operations=len(operations),
            unserved_share=1 - len(served) / max(1, len(operations)),
            attempt_ends=Counter(one.outcome for one in attempts),
            breaches=[f"rule {breach.rule}: {breach.text}" for breach in breaches] + self._run_errors,
            history=list(record.history) if record is not None else [],
        )


def _end_process(process: subprocess.Popen[bytes]) -> int:
    """Return the exit status of a leader; one that does not exit before the timeout is killed."""
    try:
        return process.wait(LEADER_EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
