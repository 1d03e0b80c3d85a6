"""`saffronstack day run`: plays a day, gathers what the sockets saw, prints the verdict."""

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

from saffronstack.audit.rules import judge
from saffronstack.audit.traffic import Figures, FunctionRule, Seen, Traffic
from saffronstack.config import ConfigError
from saffronstack.harness.scenario import plan as plans
from saffronstack.harness.scenario.clients import Clients
from saffronstack.harness.scenario.director import Director
from saffronstack.harness.scenario.final_records import read_final_records
from saffronstack.harness.scenario.plan import Plan
from saffronstack.harness.scenario.processes import GatewayProcess, ScenarioError, StandInHost
from saffronstack.harness.scenario.relay import Relay
from saffronstack.harness.scenario.report import Report, print_report
from saffronstack.metering.merged_accounts import merge_accounts
from saffronstack.metering.usage_log import read_usage_log
from saffronstack.metering.usage_report import MB_S
from saffronstack.standin.fleet import sample

ANSWER_MARGIN_S = 0.3  # the machine runs gateways, workers and clients at once
TENANTS = ("corner-books", "campus-app")
TROUBLES_END_S = 60.0
CLIENTS_END_S = 30.0
FINALS_S = 40.0  # how long deferred calls may take to end after the last was sent
_NAMED = re.compile(rb"\r\namz-sdk-invocation-id: ([^\r]+)\r\n", re.I)
_ATTEMPT = re.compile(rb"\r\namz-sdk-request: attempt=(\d+);", re.I)


def run(path: str, seed: int, seconds: float | None, keep: str | None, membership: str | None = None) -> int:
    """Play the day in a file; 0 with all rules kept, 1 with one broken, 2 where it can't be played."""
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
            return _Day(plan, seed, directory).play()
    except (ConfigError, ScenarioError, OSError) as error:
        click.echo(f"{path}: {error}", err=True)
        return 2


@dataclass(frozen=True, slots=True)
class _PlayedDay:
    """What is left of a day that was played.

    Attributes:
        clients: They have ended.
        director: It has ended.
        finals: The conditions of deferred calls' final records.
        lost: Tries whose answers were lost behind gateways: operation and attempt.
        untaken: Tries that no gateway was there to take.
        problems: Of the day itself.
    """

    clients: Clients
    director: Director
    finals: dict[str, list[str]]
    lost: set[tuple[str, int]]
    untaken: set[tuple[str, int]]
    problems: list[str]


class _Day:
    def __init__(self, plan: Plan, seed: int, directory: pathlib.Path) -> None:
        self.plan = plan
        self.seed = seed
        self.log = directory / "workers.jsonl"
        self.log.unlink(missing_ok=True)
        self._memory_mb_s = 0.0
        self.gateways = [GatewayProcess(n, directory) for n in range(plan.gateways)]

    def content(self, gateway: GatewayProcess, workers: list[dict[str, Any]]) -> dict[str, Any]:
        """A gateway's configuration."""
        plan = self.plan
        content = sample(workers, gateway.address, str(gateway.ledger), plan.workers.memory_mb)
        content["functions"].append(
            {"name": "scan-*", "class": "lookup", "memory_mb": 256, "lanes": 1, "load_s": plan.workers.load_s}
        )
        if plan.membership == "file":
            content["workers"] = []
            content["roster"] = {
                "path": str(gateway.roster),
                "state_directory": str(gateway.roster_state),
                "poll_s": 0.2,
                "removed_share": 1.0,  # the day restarts as many as it likes
                "flaps": 100,
            }
        for cls in content["classes"]:
            cls["note_operations"] = cls["effect"] != "safe"
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

    def play(self) -> int:
        """Play it, print the report, and return the exit status."""
        host = StandInHost(self._host_settings())
        try:
            played = self._play(host)
        finally:
            for gateway in self.gateways:
                if gateway.process is not None and gateway.process.poll() is None:
                    gateway.kill()
            host.end()
        problems = played.problems + self._unbalanced()
        traffic = self._traffic(host, played)
        breaches = judge(traffic, self._figures(host))
        title = f"{self.plan.name}, seed {self.seed}, membership by {self.plan.membership}"
        dropped = played.clients.dropped
        print_report(Report(title, self.plan, traffic, breaches, problems, dropped, self._memory_mb_s))
        return 1 if breaches or problems else 0

    def _host_settings(self) -> dict[str, Any]:
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

    def _figures(self, host: StandInHost) -> Figures:
        workers, rules = self.plan.workers, self.plan.rules
        return Figures(
            drain_grace_s=rules.drain_grace_s,
            tip_multiple=rules.tip_multiple,
            tip_after_s=rules.tip_after_s,
            cold_share=rules.cold_share,
            cold_s=rules.cold_s,
            capacity_rps={worker["id"]: workers.cores / workers.work_s for worker in host.workers},
            gateways=self.plan.gateways,
        )

    def _play(self, host: StandInHost) -> _PlayedDay:
        """Play it from the first process to the end of the last gateway."""
        plan = self.plan
        self._start_gateways(host)
        director = Director(plan, self.gateways, host, self.content, self.seed)
        lost: set[tuple[str, int]] = set()
        untaken: set[tuple[str, int]] = set()
        relays = self._relays(director, lost, untaken)
        clients = Clients(
            [relay.address for relay in relays],
            plan.traffic,
            self.seed,
            lambda at: plan.traffic.rate * director.rate_factor,
            director.name_of,
            TENANTS,
        )
        director.begin(time.monotonic())
        clients.play(plan.seconds)
        director.end(TROUBLES_END_S)
        problems = director.problems
        if not clients.end(CLIENTS_END_S):
            problems.append("clients did not end")
        for relay in relays:
            relay.close()
        addresses = {gateway.number: gateway.address for gateway in self.gateways}
        finals = read_final_records(clients.tries, addresses, FINALS_S)
        problems += self._end_gateways()
        return _PlayedDay(clients, director, finals, lost, untaken, problems)

    def _start_gateways(self, host: StandInHost) -> None:
        for gateway in self.gateways:
            gateway.write(self.content(gateway, host.workers))
            gateway.write_roster(host.workers)
            gateway.start()

    def _end_gateways(self) -> list[str]:
        """Ask all to end; return what went wrong."""
        statuses = {gateway.number: gateway.ask_to_end() for gateway in self.gateways}
        return [
            f"gateway {number} ended with status {status} when asked to"
            for number, status in statuses.items() if status != 0
        ]  # fmt: skip

    def _relays(
        self, director: Director, lost: set[tuple[str, int]], untaken: set[tuple[str, int]]
    ) -> list[Relay]:
        """What stands between clients and each gateway; ``lost`` gets the tries whose answers it loses,
        ``untaken`` those that no gateway was there to take.
        """
        chance = random.Random(self.seed)

        def note(request: bytes, into: set[tuple[str, int]]) -> None:
            named = _NAMED.search(request)
            attempt = _ATTEMPT.search(request)
            if named and attempt:
                into.add((named[1].decode(), int(attempt[1]) - 1))

        return [
            Relay(
                lambda gateway=gateway: gateway.address,  # type: ignore[misc]
                lambda: chance.random() < director.reply_lost,
                lambda: director.reply_late_s * chance.random(),
                lambda request: note(request, lost),
                lambda request: note(request, untaken),
            )
            for gateway in self.gateways
        ]

    def _unbalanced(self) -> list[str]:
        """What is wrong with the usage that the gateways metered, over all their lives."""
        accounts = []
        problems = []
        for gateway in self.gateways:
            account, lines = read_usage_log(gateway.usage)
            problems += [f"usage of gateway {gateway.number}: {line}" for line in lines if "cut" not in line]
            accounts.append(account)
        whole = merge_accounts(accounts)
        self._memory_mb_s = sum(amount for _, amounts in whole.read_totals() for amount in amounts[:2]) / MB_S
        return problems + [f"usage out of balance: {line}" for line in whole.find_imbalances()]

    def _traffic(self, host: StandInHost, played: _PlayedDay) -> Traffic:
        """All that was seen."""
        lines = self.log.read_bytes().splitlines()
        seen = [msgspec.json.decode(line, type=Seen) for line in lines]
        seen.sort(key=lambda entry: entry.t)
        functions = {
            "identify-copy": FunctionRule("safe"),
            "suggest-price": FunctionRule("safe"),
            "scan-*": FunctionRule("safe"),
            "record-sale": FunctionRule("unsafe", noted=True),
            "adjust-setting": FunctionRule("keyed", "all", 10.0, noted=True),
        }
        zones = {w["id"]: (w["zone"], w["cell"]) for w in host.workers}
        told, stopped = played.director.told, played.director.stopped
        traffic = Traffic(functions, zones, played.clients.tries, seen, told, stopped)
        traffic.finals.update(played.finals)
        traffic.lost |= played.lost
        traffic.untaken |= played.untaken
        return traffic
