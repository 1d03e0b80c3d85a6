"""`saffronstack day run`: runs a scenario, checks what sockets observed, and prints the report."""

from __future__ import annotations

import contextlib
import pathlib
import random
import re
import tempfile
import time
from dataclasses import dataclass
from typing import Any

import click
import msgspec

from saffronstack.audit.rules import find_breaches
from saffronstack.audit.traffic import FunctionRule, RuleLimits, Traffic, WorkerLogEntry
from saffronstack.config import ConfigError
from saffronstack.harness.scenario import plan as plans
from saffronstack.harness.scenario.clients import Clients
from saffronstack.harness.scenario.director import FaultInjector
from saffronstack.harness.scenario.final_records import read_final_records
from saffronstack.harness.scenario.plan import Plan
from saffronstack.harness.scenario.processes import GatewayProcess, ScenarioError, StubWorkersProcess
from saffronstack.harness.scenario.relay import Relay
from saffronstack.harness.scenario.report import Report, print_report
from saffronstack.metering.merged_accounts import merge_accounts
from saffronstack.metering.usage_log import read_usage_log
from saffronstack.metering.usage_report import MB_S
from saffronstack.standin.fleet import sample_config

ANSWER_MARGIN_S = 0.3  # gateways, workers and clients share one machine
TENANTS = ("corner-books", "campus-app")
FAULTS_END_TIMEOUT_S = 60.0
CLIENTS_END_TIMEOUT_S = 30.0
FINAL_RECORDS_TIMEOUT_S = 40.0  # for deferred calls, after the last one was sent
_OPERATION_HEADER = re.compile(rb"\r\namz-sdk-invocation-id: ([^\r]+)\r\n", re.I)
_ATTEMPT_HEADER = re.compile(rb"\r\namz-sdk-request: attempt=(\d+);", re.I)


def run(path: str, seed: int, seconds: float | None, keep: str | None, membership: str | None = None) -> int:
    """Run a scenario file; return 0 if all rules are kept, 1 if one is broken, 2 if the run fails."""
    try:
        plan = plans.load(path)
        if seconds is not None:
            plan = msgspec.structs.replace(plan, seconds=seconds)
        if membership is not None:
            plan = msgspec.structs.replace(plan, membership=membership)
        with contextlib.ExitStack() as stack:
            if keep is None:
                directory = pathlib.Path(
                    stack.enter_context(tempfile.TemporaryDirectory(prefix="saffronstack-day-"))
                )
            else:
                directory = pathlib.Path(keep)
                directory.mkdir(parents=True, exist_ok=True)
            return _ScenarioRun(plan, seed, directory).run()
    except (ConfigError, ScenarioError, OSError) as error:
        click.echo(f"{path}: {error}", err=True)
        return 2


@dataclass(frozen=True, slots=True)
class _RunResult:
    """The result of a scenario run.

    Attributes:
        clients: The clients, which have ended.
        fault_injector: The fault injector, which has ended.
        finals: The conditions of deferred calls' final records.
        lost: Attempts whose responses a relay dropped: idempotency key and attempt number.
        untaken: Attempts for which no gateway accepted the connection.
        problems: Failures of the run itself.
    """

    clients: Clients
    fault_injector: FaultInjector
    finals: dict[str, list[str]]
    lost: set[tuple[str, int]]
    untaken: set[tuple[str, int]]
    problems: list[str]


class _ScenarioRun:
    def __init__(self, plan: Plan, seed: int, directory: pathlib.Path) -> None:
        self.plan = plan
        self.seed = seed
        self.log = directory / "workers.jsonl"
        self.log.unlink(missing_ok=True)
        self._memory_mb_s = 0.0
        self.gateways = [GatewayProcess(n, directory) for n in range(plan.gateways)]

    def content(self, gateway: GatewayProcess, workers: list[dict[str, Any]]) -> dict[str, Any]:
        """Return a gateway's configuration."""
        plan = self.plan
        content = sample_config(workers, gateway.address, str(gateway.ledger), plan.workers.memory_mb)
        content["functions"].append(
            {"name": "scan-*", "class": "lookup", "memory_mb": 256, "lanes": 1, "load_s": plan.workers.load_s}
        )
        if plan.membership == "file":
            content["workers"] = []
            content["roster"] = {
                "path": str(gateway.roster),
                "state_directory": str(gateway.roster_state),
                "poll_s": 0.2,
                "removed_share": 1.0,  # a scenario may restart all workers
                "flaps": 100,
            }
        for request_class in content["classes"]:
            request_class["note_operations"] = request_class["effect"] != "safe"
        return {
            **content,
            "instances": plan.gateways,
            "self_index": gateway.number,
            "seed": self.seed * 100 + gateway.number,
            "keep_alive_s": plan.workers.keep_alive_s,
            "answer_margin_s": ANSWER_MARGIN_S,
            "metering": {"directory": str(gateway.usage)},
            "operations": {"directory": str(gateway.operations)},
            "rules": msgspec.to_builtins(plan.rules),
        }

    def run(self) -> int:
        """Run the scenario, print the report, and return the exit status."""
        stubs = StubWorkersProcess(self._stub_settings())
        try:
            result = self._run(stubs)
        finally:
            for gateway in self.gateways:
                if gateway.process is not None and gateway.process.poll() is None:
                    gateway.kill()
            stubs.end()
        problems = result.problems + self._check_usage()
        traffic = self._observed_traffic(stubs, result)
        breaches = find_breaches(traffic, self._figures(stubs))
        title = f"{self.plan.name}, seed {self.seed}, membership by {self.plan.membership}"
        dropped = result.clients.dropped
        print_report(Report(title, self.plan, traffic, breaches, problems, dropped, self._memory_mb_s))
        return 1 if breaches or problems else 0

    def _stub_settings(self) -> dict[str, Any]:
        workers, rules = self.plan.workers, self.plan.rules
        profile = {
            "memory_mb": workers.memory_mb,
            "cores": workers.cores,
            "work_s": workers.work_s,
            "load_s": workers.load_s,
            "queue": workers.queue,
            "keep_alive_s": workers.keep_alive_s,
            "cold_share": rules.cold_share,
            "cold_s": rules.cold_s,
        }
        return {"count": workers.count, "log": str(self.log), "seed": self.seed, "profiles": [profile]}

    def _figures(self, stubs: StubWorkersProcess) -> RuleLimits:
        workers, rules = self.plan.workers, self.plan.rules
        return RuleLimits(
            drain_grace_s=rules.drain_grace_s,
            overload_multiple=rules.tip_multiple,
            overload_window_s=rules.tip_after_s,
            slow_start_min_fraction=rules.cold_share,
            slow_start_s=rules.cold_s,
            capacity_rps={worker["id"]: workers.cores / workers.work_s for worker in stubs.workers},
            gateways=self.plan.gateways,
        )

    def _run(self, stubs: StubWorkersProcess) -> _RunResult:
        """Run the scenario from the first process to the end of the last gateway."""
        plan = self.plan
        self._start_gateways(stubs)
        fault_injector = FaultInjector(plan, self.gateways, stubs, self.content, self.seed)
        lost: set[tuple[str, int]] = set()
        untaken: set[tuple[str, int]] = set()
        relays = self._relays(fault_injector, lost, untaken)
        clients = Clients(
            [relay.address for relay in relays],
            plan.traffic,
            self.seed,
            lambda at: plan.traffic.rate * fault_injector.rate_factor,
            fault_injector.choose_function,
            TENANTS,
        )
        fault_injector.begin(time.monotonic())
        clients.generate_load(plan.seconds)
        fault_injector.end(FAULTS_END_TIMEOUT_S)
        problems = fault_injector.problems
        if not clients.end(CLIENTS_END_TIMEOUT_S):
            problems.append("clients did not end")
        for relay in relays:
            relay.close()
        addresses = {gateway.number: gateway.address for gateway in self.gateways}
        finals = read_final_records(clients.tries, addresses, FINAL_RECORDS_TIMEOUT_S)
        problems += self._end_gateways()
        return _RunResult(clients, fault_injector, finals, lost, untaken, problems)

    def _start_gateways(self, stubs: StubWorkersProcess) -> None:
        for gateway in self.gateways:
            gateway.write(self.content(gateway, stubs.workers))
            gateway.write_roster(stubs.workers)
            gateway.start()

    def _end_gateways(self) -> list[str]:
        """Send SIGTERM to all gateways; return what went wrong."""
        statuses = {gateway.number: gateway.terminate() for gateway in self.gateways}
        return [
            f"gateway {number} ended with status {status} when asked to"
            for number, status in statuses.items() if status != 0
        ]  # fmt: skip

    def _relays(
        self, fault_injector: FaultInjector, lost: set[tuple[str, int]], untaken: set[tuple[str, int]]
    ) -> list[Relay]:
        """Return a relay between the clients and each gateway.

        The relays add to ``lost`` each attempt whose response they drop, and to ``untaken`` each attempt for
        which the gateway refused the connection.
        """
        rng = random.Random(self.seed)

        def record_attempt(request: bytes, attempts: set[tuple[str, int]]) -> None:
            operation = _OPERATION_HEADER.search(request)
            attempt = _ATTEMPT_HEADER.search(request)
            if operation and attempt:
                attempts.add((operation[1].decode(), int(attempt[1]) - 1))

        return [
            Relay(
                lambda gateway=gateway: gateway.address,  # type: ignore[misc]
                lambda: rng.random() < fault_injector.response_loss_probability,
                lambda: fault_injector.max_response_delay_s * rng.random(),
                lambda request: record_attempt(request, lost),
                lambda request: record_attempt(request, untaken),
            )
            for gateway in self.gateways
        ]

    def _check_usage(self) -> list[str]:
        """Return the problems of the usage that the gateways metered over all their incarnations."""
        accounts = []
        problems = []
        for gateway in self.gateways:
            account, lines = read_usage_log(gateway.usage)
            problems += [f"usage of gateway {gateway.number}: {line}" for line in lines if "cut" not in line]
            accounts.append(account)
        merged = merge_accounts(accounts)
        self._memory_mb_s = (
            sum(amount for _, amounts in merged.read_totals() for amount in amounts[:2]) / MB_S
        )
        return problems + [f"usage out of balance: {line}" for line in merged.find_imbalances()]

    def _observed_traffic(self, stubs: StubWorkersProcess, result: _RunResult) -> Traffic:
        """Return everything that was observed."""
        lines = self.log.read_bytes().splitlines()
        seen = [msgspec.json.decode(line, type=WorkerLogEntry) for line in lines]
        seen.sort(key=lambda entry: entry.t)
        functions = {
            "identify-copy": FunctionRule("safe"),
            "suggest-price": FunctionRule("safe"),
            "scan-*": FunctionRule("safe"),
            "record-sale": FunctionRule("unsafe", is_logged=True),
            "adjust-setting": FunctionRule("keyed", "all", 10.0, is_logged=True),
        }
        zones = {w["id"]: (w["zone"], w["cell"]) for w in stubs.workers}
        told, stopped = result.fault_injector.told, result.fault_injector.stopped
        traffic = Traffic(functions, zones, result.clients.tries, seen, told, stopped)
        traffic.final_records.update(result.finals)
        traffic.lost_responses |= result.lost
        traffic.unaccepted |= result.untaken
        return traffic
