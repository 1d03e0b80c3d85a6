"""Ends or kills a `saffronstack serve` process under deferred calls, restarts it, and checks the run.

The calls that are open when the first process ends are in its ledger; the second process finishes them.
"""

from __future__ import annotations

import pathlib
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass

import msgspec

from saffronstack.audit.rules import find_breaches
from saffronstack.audit.traffic import FunctionRule, GatewayStop, RuleLimits, Traffic, WorkerLogEntry
from saffronstack.harness.scenario.clients import Clients
from saffronstack.harness.scenario.final_records import read_final_records
from saffronstack.harness.scenario.plan import Mix
from saffronstack.harness.scenario.processes import GatewayProcess
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet, sample_config
from saffronstack.standin.model import Profile

RULES = {
    "identify-copy": FunctionRule("safe"),
    "adjust-setting": FunctionRule("keyed", "all", 10.0),
    "record-sale": FunctionRule("unsafe"),
}
TENANTS = ("corner-books", "campus-app")
MIX = Mix(
    rate=60.0, deferred_share=0.7, tries=1, clients=32,
    functions={"identify-copy": 0.3, "adjust-setting": 0.2, "record-sale": 0.5},
)  # fmt: skip
WORK_S = 0.2  # long enough that some calls are open at any time
LOAD_AFTER_RESTART_S = 0.5
MIN_ACCEPTED = 10  # deferred calls accepted before the end, so that some are open then
MAX_LOAD_S = 60.0
POLL_INTERVAL_S = 0.02
CLIENTS_END_S = 20.0
FINAL_RECORDS_S = 20.0
CHECK_SLACK_S = 0.5


@dataclass(frozen=True, slots=True)
class RestartSchedule:
    """The parameters of one run, drawn from a seed.

    Attributes:
        seed: The seed.
        is_killed: Whether the first process is killed; otherwise it gets SIGTERM.
        before_s: Minimum seconds of load before that.
    """

    seed: int
    is_killed: bool
    before_s: float


def draw(seed: int) -> RestartSchedule:
    """Draw the schedule of a seed; the same seed always gives the same schedule."""
    rng = random.Random(seed)
    return RestartSchedule(seed, seed % 2 == 1, rng.uniform(0.8, 1.4))


@dataclass(frozen=True, slots=True)
class RestartReport:
    """The result of a run: breached rules, outcomes of attempts, and the conditions of final records."""

    breaches: tuple[str, ...]
    outcomes: Counter[str]
    conditions: Counter[str]


class RestartRun:
    """One run; not reusable."""

    def __init__(self, schedule: RestartSchedule, folder: pathlib.Path, program: str = "") -> None:
        """``program`` is code to run in place of the second process, for a broken variant."""
        self._schedule, self._program = schedule, program
        self._worker_log: list[WorkerLogEntry] = []
        profile = Profile(work_s=WORK_S, load_s=0.05, cores=16, queue=256)
        self._workers = StubWorkerFleet(
            3, lambda number: profile, seed=schedule.seed,
            log=lambda entry: self._worker_log.append(msgspec.convert(entry, WorkerLogEntry, strict=False)),
        )  # fmt: skip
        folder.mkdir(exist_ok=True)
        self._gateway = GatewayProcess(0, folder)

    def run(self) -> RestartReport:
        """Execute the run and check it.

        Raises:
            ScenarioError: A process did not start.
        """
        gateway = self._gateway
        gateway.write(sample_config(self._workers.entries(), gateway.address, str(gateway.ledger)))
        try:
            return self._run()
        finally:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.kill()
            self._workers.stop()

    def _run(self) -> RestartReport:
        schedule, gateway = self._schedule, self._gateway
        gateway.start()
        clients = Clients(
            [gateway.address], MIX, schedule.seed, lambda at: MIX.rate, lambda name: name, TENANTS
        )  # fmt: skip
        stop_event = threading.Event()
        load = start_thread("load", lambda: clients.generate_load(MAX_LOAD_S, stop_event))
        _wait_for_load(clients, schedule.before_s)
        ended_s, problems = time.monotonic(), []
        if schedule.is_killed:
            gateway.kill()
        elif status := gateway.terminate():
            problems.append(f"the first process ended with status {status}")
        gateway.start(self._program)
        restart_record = GatewayStop(0, ended_s, schedule.is_killed, time.monotonic())
        time.sleep(LOAD_AFTER_RESTART_S)
        stop_event.set()
        load.join(CLIENTS_END_S)
        if not clients.end(CLIENTS_END_S):
            problems.append("clients did not end")
        finals = read_final_records(clients.tries, {0: gateway.address}, FINAL_RECORDS_S)
        if status := gateway.terminate():
            problems.append(f"the second process ended with status {status}")
        return self._check(clients, restart_record, finals, problems)

    def _check(
        self, clients: Clients, restart_record: GatewayStop, finals: dict[str, list[str]], problems: list[str]
    ) -> RestartReport:
        seen = sorted(self._worker_log, key=lambda entry: entry.t)
        traffic = Traffic(RULES, requests=clients.tries, worker_log=seen, gateway_stops=[restart_record])
        traffic.final_records.update(finals)
        found = find_breaches(traffic, RuleLimits(slack_s=CHECK_SLACK_S))
        breaches = [f"rule {breach.rule}: {breach.text}" for breach in found]
        conditions = Counter(condition for conditions in finals.values() for condition in conditions)
        return RestartReport(
            tuple(breaches + problems), Counter(one.outcome for one in clients.tries), conditions
        )


def _wait_for_load(clients: Clients, before_s: float) -> None:
    """Wait for ``before_s`` and for `MIN_ACCEPTED` accepted calls, which take longer on a busy machine."""
    started_s = time.monotonic()
    while time.monotonic() < started_s + MAX_LOAD_S:
        accepted = sum(one.outcome == "accepted" for one in list(clients.tries))
        if accepted >= MIN_ACCEPTED and time.monotonic() >= started_s + before_s:
            return
        time.sleep(POLL_INTERVAL_S)
