"""Rollouts at full size: daemons, lease servers, leaders and gateways as processes, under load, on loopback.

    python benchmarks/rollout.py good                      # a good release, its time, and nothing lost
    python benchmarks/rollout.py harms --gateways 40       # each bad release: its reach, its time, its harm
    python benchmarks/rollout.py harms --unjudged          # the same without canary analysis
    python benchmarks/rollout.py faults --seconds 300      # good and bad releases, faults of a seed between
    python benchmarks/rollout.py reload --gateways 20      # all gateways reloaded in turn under load
    python benchmarks/rollout.py false-stops --runs 1000   # the canary analysis on fleets without harm
    python benchmarks/rollout.py orders --seeds 20000      # every order of events, in virtual time

Prints lines a person can read; exits with 1 where something that must hold did not.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from saffronstack.fleet.rollout.canary_analysis import analyze
from saffronstack.fleet.rollout.canary_types import AnalysisLimits, FailureRatio, GatewaySample, Verdict
from saffronstack.fleet.rollout.record import RolloutPhase
from saffronstack.harness.links import LinkMode
from saffronstack.harness.rollout.defects import Defect
from saffronstack.harness.rollout.exploration import explore
from saffronstack.harness.rollout.process_rig import RolloutHarness
from saffronstack.harness.rollout.random_walk import walk_randomly
from saffronstack.harness.rollout.rig_layout import HarnessSizes
from saffronstack.harness.rollout.rollout_run import RolloutRun, RunOptions
from saffronstack.harness.rollout.sample_releases import FAULTS
from saffronstack.harness.rollout.simulated_world import InvariantError, WorldSize
from saffronstack.harness.scenario.clients import Clients
from saffronstack.harness.scenario.plan import Mix
from saffronstack.runtime.threads import start_thread

BAKE_S = 10.0


def sizes(asked: argparse.Namespace) -> HarnessSizes:
    """Return the sizes of the rig that the arguments ask for."""
    return HarnessSizes(
        gateways=asked.gateways, daemons=asked.daemons, workers=asked.workers, rate=asked.rate,
        clients=max(48, int(asked.rate)), seed=asked.seed,
    )  # fmt: skip


def plan(rig: RolloutHarness, old: str, unjudged: bool = False, bake_s: float = BAKE_S) -> pathlib.Path:
    """Write a plan of four stages, or of one without an analysis."""
    stages = [
        {"count": max(1, len(rig.gateways) // 20), "bake_s": bake_s}, {"share": 0.2, "bake_s": bake_s},
        {"share": 0.5, "bake_s": bake_s}, {"share": 1.0, "bake_s": bake_s / 2},
    ]  # fmt: skip
    if unjudged:
        stages = [{"share": 1.0, "bake_s": 0.1}]
    max_unavailable = max(2, len(rig.gateways) // 20)
    return rig.write_plan(
        old,
        stages=stages,
        unavailable_most=max_unavailable,
        calls_least=50,
        settle_s=0.1 if unjudged else 2.0,
    )


def good(asked: argparse.Namespace) -> bool:
    """Play one good release."""
    with tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name:
        began = time.monotonic()
        with RolloutHarness(pathlib.Path(name), sizes(asked)) as rig:
            old, new = rig.make_release("1"), rig.make_release("2")
            rig.deploy(old)
            print(f"{asked.gateways} gateways up after {time.monotonic() - began:.1f} s", flush=True)
            outcome = RolloutRun(rig, old, new, plan(rig, old), RunOptions(timeout_s=900.0)).run()
    print("good:", outcome.summary())
    for breach in outcome.breaches[:10]:
        print("  ", breach)
    return outcome.phase is RolloutPhase.COMPLETED and not outcome.breaches and outcome.unserved_share == 0


def harms(asked: argparse.Namespace) -> bool:
    """Play each bad release."""
    fine = True
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutHarness(pathlib.Path(name), sizes(asked)) as rig,
    ):
        old = rig.make_release("1")
        rig.deploy(old)
        for number, harm in enumerate(asked.only or FAULTS):
            new = rig.make_release(f"2.{number}", harm)
            options = RunOptions(timeout_s=600.0)
            outcome = RolloutRun(rig, old, new, plan(rig, old, asked.unjudged), options).run()
            print(f"{harm}: {outcome.summary()}", flush=True)
            for breach in outcome.breaches[:3]:
                print("  ", breach)
            fine = fine and (asked.unjudged or outcome.phase is RolloutPhase.ROLLED_BACK)
            if outcome.phase is not RolloutPhase.ROLLED_BACK:  # put the old one back for the next
                rig.deploy(old)
    return fine


@dataclass(frozen=True)
class Fault:
    """Something that goes wrong for a while: how it begins and how it ends."""

    name: str
    begin: Callable[[], None]
    end: Callable[[], None] = lambda: None


def _signal_leaders(rig: RolloutHarness, number: signal.Signals) -> None:
    for name in [name for name in rig.processes if name.startswith(("rollout", "leader"))]:
        rig.signal(name, number)


def _kill_some_gateway(rig: RolloutHarness, chance: random.Random) -> None:
    statuses = rig.statuses()
    if statuses:
        os.kill(statuses[chance.choice(list(statuses))].pid, signal.SIGKILL)


def _draw_fault(chance: random.Random, rig: RolloutHarness) -> Fault:
    daemon, keeper = chance.choice(list(rig.daemons)), chance.choice(list(rig.lease_servers))
    mode = chance.choice((LinkMode.HOLD, LinkMode.LOSE))
    return chance.choice((
        Fault("kill leader", lambda: rig.kill("rollout")),
        Fault(
            "stop leader",
            lambda: _signal_leaders(rig, signal.SIGSTOP), lambda: _signal_leaders(rig, signal.SIGCONT),
        ),
        Fault("kill daemon", lambda: rig.kill(daemon), lambda: rig.start_daemon(daemon)),
        Fault(
            "stop daemon",
            lambda: rig.signal(daemon, signal.SIGSTOP), lambda: rig.signal(daemon, signal.SIGCONT),
        ),
        Fault(
            "cut",
            lambda: rig.set_link_mode("leader", daemon, mode),
            lambda: rig.set_link_mode("leader", daemon, LinkMode.PASS),
        ),
        Fault("disk lost", lambda: rig.lose_disk(daemon), lambda: rig.start_daemon(daemon)),
        Fault("kill keeper", lambda: rig.kill(keeper), lambda: rig.start_lease_server(keeper)),
        Fault("kill gateway", lambda: _kill_some_gateway(rig, chance)),
    ))  # fmt: skip


class FaultyRollouts:
    """Rollouts back and forth while faults of a seed come one after the other."""

    def __init__(self, rig: RolloutHarness, seed: int, faults_each: int) -> None:
        self._rig, self._faults_each = rig, faults_each
        self._random = random.Random(seed)
        self._relayed = rig.write_relayed_fleet_file("leader")
        self._running = rig.make_release("0")
        self._number = 0
        self.fault_counts: Counter[str] = Counter()
        self.phases: Counter[str] = Counter()
        rig.deploy(self._running)

    def play_one(self) -> bool:
        """Play one rollout; return whether all that must hold did."""
        self._number += 1
        release_fault = self._random.choice(("", "", "", "does not start", "dies", "refuses"))
        new = self._rig.make_release(str(self._number), release_fault)
        plan_path = self._rig.write_plan(self._running, on_doubt="back")
        options = RunOptions(self._cause_faults, 240.0, 2, self._relayed, waits_on_hold=True)
        outcome = RolloutRun(self._rig, self._running, new, plan_path, options).run()
        self.phases[str(outcome.phase)] += 1
        print(f"{self._number} ({release_fault or 'good'}): {outcome.summary()}", flush=True)
        for breach in outcome.breaches[:5]:
            print("  ", breach)
        running = {status.running_release for status in self._rig.statuses().values()}
        is_completed = outcome.phase is RolloutPhase.COMPLETED
        is_rolled_back = outcome.phase is RolloutPhase.ROLLED_BACK
        is_expected = is_rolled_back or (is_completed and not release_fault)
        is_fine = is_expected and not outcome.breaches and len(running) == 1
        if not is_fine:
            print("   runs:", running)
        if is_completed:
            self._running = new
        return is_fine

    def _cause_faults(self, rig: RolloutHarness) -> None:
        for _ in range(self._faults_each):
            time.sleep(self._random.uniform(1.0, 4.0))
            fault = _draw_fault(self._random, rig)
            self.fault_counts[fault.name] += 1
            fault.begin()
            time.sleep(self._random.uniform(0.2, 4.0))
            fault.end()


def faults(asked: argparse.Namespace) -> bool:
    """Good and bad rollouts, with faults between, until the time is over or something does not hold."""
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutHarness(pathlib.Path(name), sizes(asked)) as rig,
    ):
        rollouts = FaultyRollouts(rig, asked.seed, asked.each)
        deadline_s = time.monotonic() + asked.seconds
        is_fine = True
        while is_fine and time.monotonic() < deadline_s:
            is_fine = rollouts.play_one()
    print(f"faults: {dict(rollouts.fault_counts)}; {dict(rollouts.phases)}")
    return is_fine


def reload(asked: argparse.Namespace) -> bool:
    """Have all gateways reload their settings, one after the other, under load."""
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutHarness(pathlib.Path(name), sizes(asked)) as rig,
    ):
        rig.deploy(rig.make_release("1"))
        clients = Clients(
            list(rig.gateways.values()), Mix(rate=asked.rate, deferred_share=0.0, clients=64), asked.seed,
            lambda at: asked.rate, lambda name: name, ("corner-books", "campus-app"), "reload",
        )  # fmt: skip
        over = threading.Event()
        traffic = start_thread("traffic", lambda: clients.generate_load(3600.0, over))
        statuses = []
        for gateway in rig.gateways:
            ran = rig.run("fleet", "reload", "--fleet", str(rig.fleet_path), gateway, "--wait", "20")
            statuses.append(ran.returncode)
        over.set()
        traffic.join(10.0)
        clients.end(30.0)
        lost = [t for t in clients.tries if t.outcome not in ("served", "accepted")]
    print(
        f"reload: {len(statuses)} gateways, statuses {set(statuses)}, {len(clients.tries)} calls, "
        f"{len(lost)} lost"
    )
    return not lost and set(statuses) == {0}


def false_stops(asked: argparse.Namespace) -> bool:
    """Analyze fleets whose gateways differ, with and without a host fault that hits both sides."""
    for fault in (False, True):
        for new in (1, 4, 20):
            stopped = sum(_bake(seed, new, fault) for seed in range(asked.runs))
            print(
                f"false stops, 40 gateways, {new} new{', a host fault on both sides' if fault else ''}: "
                f"{stopped} of {asked.runs}, {stopped / asked.runs:.4f} where 0.01 is promised", flush=True
            )  # fmt: skip
    return True


def _bake(seed: int, canaries: int, has_host_fault: bool) -> bool:
    """Analyze a bake of 40 gateways without harm; return whether it was stopped."""
    chance = random.Random(seed)
    rates = [chance.gammavariate(9.0, 0.02 / 9.0) for _ in range(40)]
    calls = [int(chance.uniform(0.3, 2.0) * 40) for _ in range(40)]
    failures, totals, spent = [0] * 40, [0] * 40, 0.0
    for tenth in range(1, 11):
        for place in range(40):
            is_hit = has_host_fault and 3 <= tenth <= 5 and place % 3 == 0
            rate = rates[place] + (0.2 if is_hit else 0.0)
            failures[place] += sum(chance.random() < rate for _ in range(calls[place]))
            totals[place] += calls[place]
        samples = [
            GatewaySample(
                f"g{place}", f"z{place % 3}", place < canaries,
                {
                    "refused/look": FailureRatio(failures[place], totals[place]),
                    "late/look": FailureRatio(failures[place] // 2, totals[place]),
                },
            )
            for place in range(40)
        ]  # fmt: skip
        result = analyze(AnalysisLimits(), samples, tenth / 10, spent)
        spent = result.alpha_spent
        if result.verdict is Verdict.FAILED:
            return True
    return False


@dataclass(frozen=True)
class Walk:
    """A walk by chance through a simulated rollout."""

    seed: int
    defect: Defect

    def violation(self) -> str:
        """Walk; return what did not hold, or nothing."""
        try:
            walk_randomly(self.seed, 250, self.defect)
        except InvariantError as error:
            return f"seed {self.seed}: {error}"
        return ""


def _walk_all(pool: ProcessPoolExecutor, count: int, defect: Defect) -> list[str]:
    walks = [Walk(seed, defect) for seed in range(count)]
    return [violation for violation in pool.map(Walk.violation, walks, chunksize=100) if violation]


def orders(asked: argparse.Namespace) -> bool:
    """Walks by chance and every order, without processes; and how many seeds each defect takes."""
    with ProcessPoolExecutor(asked.jobs) as pool:
        started_s = time.monotonic()
        violations = _walk_all(pool, asked.seeds, Defect.NONE)
        elapsed_s = time.monotonic() - started_s
        print(f"{asked.seeds} walks of 250 steps: {len(violations)} breaches, {elapsed_s:.0f} s", flush=True)
        for line in violations[:5]:
            print("  ", line)
        tried = min(3000, asked.seeds)
        for defect in [one for one in Defect if one is not Defect.NONE]:
            hits = len(_walk_all(pool, tried, defect))
            print(f"  {defect.value}: found by {hits} of {tried} walks", flush=True)
    for size in (WorldSize(2, 2, 2), WorldSize(3, 2, 2)):
        explored = explore(asked.states, 60, size=size)
        print(
            f"every order, {size.gateways} gateways: {explored.states} states, {explored.depth} steps: "
            f"{explored.violation or 'no breach'}"
        )
        violations += [explored.violation] if explored.violation else []
    return not violations


def main() -> int:
    """Run one of the benchmarks; return the exit status."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    what = {
        "good": good, "harms": harms, "faults": faults, "reload": reload, "false-stops": false_stops,
        "orders": orders,
    }  # fmt: skip
    parser.add_argument("what", choices=list(what))
    parser.add_argument("--gateways", type=int, default=40)
    parser.add_argument("--daemons", type=int, default=8)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--rate", type=float, default=200.0, help="calls a second over all gateways")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=300.0, help="faults: for how long")
    parser.add_argument("--each", type=int, default=3, help="faults: how many in each rollout")
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--seeds", type=int, default=20_000)
    parser.add_argument("--states", type=int, default=20_000)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--only", nargs="*", default=[], help="harms: these alone")
    parser.add_argument("--unjudged", action="store_true")
    asked = parser.parse_args()
    print(json.dumps(vars(asked)))
    return 0 if what[asked.what](asked) else 1


if __name__ == "__main__":
    sys.exit(main())
