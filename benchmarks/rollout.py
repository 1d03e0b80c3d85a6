"""Run rollouts at full size under load, with daemons, lease servers, leaders and gateways as processes.

    python benchmarks/rollout.py good                      # a good release: its duration, no lost calls
    python benchmarks/rollout.py harms --gateways 40       # each bad release: reach, duration, harm
    python benchmarks/rollout.py harms --unjudged          # the same without canary analysis
    python benchmarks/rollout.py faults --seconds 300      # good and bad releases, with seeded faults
    python benchmarks/rollout.py reload --gateways 20      # all gateways reloaded in turn under load
    python benchmarks/rollout.py false-stops --runs 1000   # the canary analysis on healthy fleets
    python benchmarks/rollout.py orders --seeds 20000      # every order of events, simulated

Prints readable lines. Exits with 1 if a rule was broken.
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


def harness_sizes(arguments: argparse.Namespace) -> HarnessSizes:
    """Return the sizes of the test harness from the arguments."""
    return HarnessSizes(
        gateways=arguments.gateways, daemons=arguments.daemons, workers=arguments.workers,
        rate=arguments.rate, clients=max(48, int(arguments.rate)), seed=arguments.seed,
    )  # fmt: skip


def write_plan(
    harness: RolloutHarness, old: str, skips_analysis: bool = False, bake_s: float = BAKE_S
) -> pathlib.Path:
    """Write a plan with four stages, or with one stage without canary analysis."""
    stages = [
        {"count": max(1, len(harness.gateways) // 20), "bake_s": bake_s}, {"share": 0.2, "bake_s": bake_s},
        {"share": 0.5, "bake_s": bake_s}, {"share": 1.0, "bake_s": bake_s / 2},
    ]  # fmt: skip
    if skips_analysis:
        stages = [{"share": 1.0, "bake_s": 0.1}]
    max_unavailable = max(2, len(harness.gateways) // 20)
    return harness.write_plan(
        old,
        stages=stages,
        unavailable_most=max_unavailable,
        calls_least=50,
        settle_s=0.1 if skips_analysis else 2.0,
    )


def run_good_release(arguments: argparse.Namespace) -> bool:
    """Roll out a good release; return whether it completed without a breach."""
    with tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name:
        began = time.monotonic()
        with RolloutHarness(pathlib.Path(name), harness_sizes(arguments)) as harness:
            old, new = harness.make_release("1"), harness.make_release("2")
            harness.deploy(old)
            print(f"{arguments.gateways} gateways up after {time.monotonic() - began:.1f} s", flush=True)
            outcome = RolloutRun(
                harness, old, new, write_plan(harness, old), RunOptions(timeout_s=900.0)
            ).run()
    print("good:", outcome.summary())
    for breach in outcome.breaches[:10]:
        print("  ", breach)
    return outcome.phase is RolloutPhase.COMPLETED and not outcome.breaches and outcome.unserved_share == 0


def run_bad_releases(arguments: argparse.Namespace) -> bool:
    """Roll out each bad release; return whether every one was rolled back."""
    is_passed = True
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutHarness(pathlib.Path(name), harness_sizes(arguments)) as harness,
    ):
        old = harness.make_release("1")
        harness.deploy(old)
        for number, fault in enumerate(arguments.only or FAULTS):
            new = harness.make_release(f"2.{number}", fault)
            options = RunOptions(timeout_s=600.0)
            outcome = RolloutRun(
                harness, old, new, write_plan(harness, old, arguments.unjudged), options
            ).run()
            print(f"{fault}: {outcome.summary()}", flush=True)
            for breach in outcome.breaches[:3]:
                print("  ", breach)
            is_passed = is_passed and (arguments.unjudged or outcome.phase is RolloutPhase.ROLLED_BACK)
            if (
                outcome.phase is not RolloutPhase.ROLLED_BACK
            ):  # restore the old release before the next rollout
                harness.deploy(old)
    return is_passed


@dataclass(frozen=True)
class Fault:
    """An injected fault: how it begins and how it ends."""

    name: str
    begin: Callable[[], None]
    end: Callable[[], None] = lambda: None


def _signal_leaders(harness: RolloutHarness, number: signal.Signals) -> None:
    for name in [name for name in harness.processes if name.startswith(("rollout", "leader"))]:
        harness.signal(name, number)


def _kill_some_gateway(harness: RolloutHarness, rng: random.Random) -> None:
    statuses = harness.statuses()
    if statuses:
        os.kill(statuses[rng.choice(list(statuses))].pid, signal.SIGKILL)


def _draw_fault(rng: random.Random, harness: RolloutHarness) -> Fault:
    daemon, keeper = rng.choice(list(harness.daemons)), rng.choice(list(harness.lease_servers))
    mode = rng.choice((LinkMode.HOLD, LinkMode.LOSE))
    return rng.choice((
        Fault("kill leader", lambda: harness.kill("rollout")),
        Fault(
            "stop leader",
            lambda: _signal_leaders(harness, signal.SIGSTOP),
            lambda: _signal_leaders(harness, signal.SIGCONT),
        ),
        Fault("kill daemon", lambda: harness.kill(daemon), lambda: harness.start_daemon(daemon)),
        Fault(
            "stop daemon",
            lambda: harness.signal(daemon, signal.SIGSTOP), lambda: harness.signal(daemon, signal.SIGCONT),
        ),
        Fault(
            "cut",
            lambda: harness.set_link_mode("leader", daemon, mode),
            lambda: harness.set_link_mode("leader", daemon, LinkMode.PASS),
        ),
        Fault("disk lost", lambda: harness.lose_disk(daemon), lambda: harness.start_daemon(daemon)),
        Fault("kill keeper", lambda: harness.kill(keeper), lambda: harness.start_lease_server(keeper)),
        Fault("kill gateway", lambda: _kill_some_gateway(harness, rng)),
    ))  # fmt: skip


class FaultyRollouts:
    """Runs rollouts one after another while it injects faults drawn from a seed."""

    def __init__(self, harness: RolloutHarness, seed: int, faults_each: int) -> None:
        self._harness, self._faults_each = harness, faults_each
        self._random = random.Random(seed)
        self._relayed = harness.write_relayed_fleet_file("leader")
        self._running = harness.make_release("0")
        self._number = 0
        self.fault_counts: Counter[str] = Counter()
        self.phases: Counter[str] = Counter()
        harness.deploy(self._running)

    def run_one(self) -> bool:
        """Run one rollout; return whether no rule was broken."""
        self._number += 1
        release_fault = self._random.choice(("", "", "", "does not start", "dies", "refuses"))
        new = self._harness.make_release(str(self._number), release_fault)
        plan_path = self._harness.write_plan(self._running, on_doubt="back")
        options = RunOptions(self._cause_faults, 240.0, 2, self._relayed, waits_on_hold=True)
        outcome = RolloutRun(self._harness, self._running, new, plan_path, options).run()
        self.phases[str(outcome.phase)] += 1
        print(f"{self._number} ({release_fault or 'good'}): {outcome.summary()}", flush=True)
        for breach in outcome.breaches[:5]:
            print("  ", breach)
        running = {status.running_release for status in self._harness.statuses().values()}
        is_completed = outcome.phase is RolloutPhase.COMPLETED
        is_rolled_back = outcome.phase is RolloutPhase.ROLLED_BACK
        is_expected = is_rolled_back or (is_completed and not release_fault)
        is_fine = is_expected and not outcome.breaches and len(running) == 1
        if not is_fine:
            print("   running releases:", running)
        if is_completed:
            self._running = new
        return is_fine

    def _cause_faults(self, harness: RolloutHarness) -> None:
        for _ in range(self._faults_each):
            time.sleep(self._random.uniform(1.0, 4.0))
            fault = _draw_fault(self._random, harness)
            self.fault_counts[fault.name] += 1
            fault.begin()
            time.sleep(self._random.uniform(0.2, 4.0))
            fault.end()


def run_faulty_rollouts(arguments: argparse.Namespace) -> bool:
    """Run good and bad rollouts with faults until the time expires or a rule is broken."""
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutHarness(pathlib.Path(name), harness_sizes(arguments)) as harness,
    ):
        rollouts = FaultyRollouts(harness, arguments.seed, arguments.each)
        deadline_s = time.monotonic() + arguments.seconds
        is_fine = True
        while is_fine and time.monotonic() < deadline_s:
            is_fine = rollouts.run_one()
    print(f"faults: {dict(rollouts.fault_counts)}; {dict(rollouts.phases)}")
    return is_fine


def run_reload(arguments: argparse.Namespace) -> bool:
    """Reload all gateways one after another under load; return whether no call was lost."""
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutHarness(pathlib.Path(name), harness_sizes(arguments)) as harness,
    ):
        harness.deploy(harness.make_release("1"))
        clients = Clients(
            list(harness.gateways.values()), Mix(rate=arguments.rate, deferred_share=0.0, clients=64),
            arguments.seed,
            lambda at: arguments.rate, lambda name: name, ("corner-books", "campus-app"), "reload",
        )  # fmt: skip
        stopping = threading.Event()
        traffic = start_thread("traffic", lambda: clients.generate_load(3600.0, stopping))
        statuses = []
        for gateway in harness.gateways:
            ran = harness.run("fleet", "reload", "--fleet", str(harness.fleet_path), gateway, "--wait", "20")
            statuses.append(ran.returncode)
        stopping.set()
        traffic.join(10.0)
        clients.end(30.0)
        lost = [attempt for attempt in clients.tries if attempt.outcome not in ("served", "accepted")]
    print(
        f"reload: {len(statuses)} gateways, statuses {set(statuses)}, {len(clients.tries)} calls, "
        f"{len(lost)} lost"
    )
    return not lost and set(statuses) == {0}


def measure_false_stops(arguments: argparse.Namespace) -> bool:
    """Print how often the canary analysis stops the rollout of a good release.

    Gateways differ in load and failure rate; a host fault hits canaries and the other gateways alike.
    """
    for fault in (False, True):
        for new in (1, 4, 20):
            stopped = sum(_bake(seed, new, fault) for seed in range(arguments.runs))
            print(
                f"false stops, 40 gateways, {new} new{', a host fault on both sides' if fault else ''}: "
                f"{stopped} of {arguments.runs}, {stopped / arguments.runs:.4f} with a limit of 0.01",
                flush=True,
            )  # fmt: skip
    return True


def _bake(seed: int, canaries: int, has_host_fault: bool) -> bool:
    """Analyze the bake time of a good release on 40 gateways; return whether the analysis stopped it."""
    rng = random.Random(seed)
    rates = [rng.gammavariate(9.0, 0.02 / 9.0) for _ in range(40)]
    calls = [int(rng.uniform(0.3, 2.0) * 40) for _ in range(40)]
    failures, totals, alpha_spent = [0] * 40, [0] * 40, 0.0
    for tenth in range(1, 11):
        for index in range(40):
            is_hit = has_host_fault and 3 <= tenth <= 5 and index % 3 == 0
            rate = rates[index] + (0.2 if is_hit else 0.0)
            failures[index] += sum(rng.random() < rate for _ in range(calls[index]))
            totals[index] += calls[index]
        samples = [
            GatewaySample(
                f"g{index}", f"z{index % 3}", index < canaries,
                {
                    "refused/look": FailureRatio(failures[index], totals[index]),
                    "late/look": FailureRatio(failures[index] // 2, totals[index]),
                },
            )
            for index in range(40)
        ]  # fmt: skip
        result = analyze(AnalysisLimits(), samples, tenth / 10, alpha_spent)
        alpha_spent = result.alpha_spent
        if result.verdict is Verdict.FAILED:
            return True
    return False


@dataclass(frozen=True)
class Walk:
    """A random walk through a simulated rollout."""

    seed: int
    defect: Defect

    def violation(self) -> str:
        """Run the walk; return the violated rule, or an empty string."""
        try:
            walk_randomly(self.seed, 250, self.defect)
        except InvariantError as error:
            return f"seed {self.seed}: {error}"
        return ""


def _walk_all(pool: ProcessPoolExecutor, count: int, defect: Defect) -> list[str]:
    walks = [Walk(seed, defect) for seed in range(count)]
    return [violation for violation in pool.map(Walk.violation, walks, chunksize=100) if violation]


def check_orders(arguments: argparse.Namespace) -> bool:
    """Check simulated rollouts by random walks and by exploring every order of events.

    Prints how many walks find each defect; returns whether no rule was broken without a defect.
    """
    with ProcessPoolExecutor(arguments.jobs) as pool:
        started_s = time.monotonic()
        violations = _walk_all(pool, arguments.seeds, Defect.NONE)
        elapsed_s = time.monotonic() - started_s
        print(
            f"{arguments.seeds} walks of 250 steps: {len(violations)} breaches, {elapsed_s:.0f} s", flush=True
        )
        for line in violations[:5]:
            print("  ", line)
        walk_count = min(3000, arguments.seeds)
        for defect in [defect for defect in Defect if defect is not Defect.NONE]:
            hits = len(_walk_all(pool, walk_count, defect))
            print(f"  {defect.value}: found by {hits} of {walk_count} walks", flush=True)
    for size in (WorldSize(2, 2, 2), WorldSize(3, 2, 2)):
        explored = explore(arguments.states, 60, size=size)
        print(
            f"every order, {size.gateways} gateways: {explored.states} states, {explored.depth} steps: "
            f"{explored.violation or 'no breach'}"
        )
        violations += [explored.violation] if explored.violation else []
    return not violations


def main() -> int:
    """Run one of the benchmarks; return the exit status."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    benchmarks = {
        "good": run_good_release, "harms": run_bad_releases, "faults": run_faulty_rollouts,
        "reload": run_reload, "false-stops": measure_false_stops,
        "orders": check_orders,
    }  # fmt: skip
    parser.add_argument("what", choices=list(benchmarks))
    parser.add_argument("--gateways", type=int, default=40)
    parser.add_argument("--daemons", type=int, default=8)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--rate", type=float, default=200.0, help="calls a second over all gateways")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=300.0, help="faults: duration of the run")
    parser.add_argument("--each", type=int, default=3, help="faults: number in each rollout")
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--seeds", type=int, default=20_000)
    parser.add_argument("--states", type=int, default=20_000)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--only", nargs="*", default=[], help="harms: run only these")
    parser.add_argument("--unjudged", action="store_true")
    arguments = parser.parse_args()
    print(json.dumps(vars(arguments)))
    return 0 if benchmarks[arguments.what](arguments) else 1


if __name__ == "__main__":
    sys.exit(main())
