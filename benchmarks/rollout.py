"""Rolling changes at full size: daemons, keepers, leaders and gateways as processes, under load, on loopback.

    python benchmarks/rollout.py good                      # a good change, its time, and nothing lost
    python benchmarks/rollout.py harms --gateways 40       # each bad release: how far it came, how long, harm
    python benchmarks/rollout.py harms --unjudged          # the same rolled without the judge
    python benchmarks/rollout.py faults --seconds 300      # good and bad changes, faults of a seed between
    python benchmarks/rollout.py reload --gateways 20      # all reloaded in turn under load
    python benchmarks/rollout.py false-stops --runs 1000   # the judge alone on seeded fleets without harm
    python benchmarks/rollout.py orders --seeds 20000      # every order of events, in virtual time

Prints lines a person can read; ends with 1 where something that must hold did not."""

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
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from saffronstack.fleet.rollout.canary_analysis import analyze
from saffronstack.fleet.rollout.canary_types import AnalysisLimits, FailureRatio, GatewaySample, Verdict
from saffronstack.harness.links import Mode
from saffronstack.harness.rollout.defects import Defect
from saffronstack.harness.rollout.exploration import explore
from saffronstack.harness.rollout.processes import RolloutRig, Sizes
from saffronstack.harness.rollout.random_walk import walk_randomly
from saffronstack.harness.rollout.releases import HARMS
from saffronstack.harness.rollout.simulated_world import InvariantError, WorldSize
from saffronstack.harness.scenario.clients import Clients
from saffronstack.harness.scenario.plan import Mix
from saffronstack.runtime.threads import start_thread

BAKE_S = 10.0


def sizes(asked: argparse.Namespace) -> Sizes:
    """Of the rig that was asked for."""
    return Sizes(
        gateways=asked.gateways, daemons=asked.daemons, workers=asked.workers, rate=asked.rate,
        clients=max(48, int(asked.rate)), seed=asked.seed,
    )  # fmt: skip


def plan(rig: RolloutRig, old: str, unjudged: bool = False, bake_s: float = BAKE_S) -> pathlib.Path:
    """One, a tenth, half, all."""
    stages = [
        {"count": max(1, len(rig.gateways) // 20), "bake_s": bake_s}, {"share": 0.2, "bake_s": bake_s},
        {"share": 0.5, "bake_s": bake_s}, {"share": 1.0, "bake_s": bake_s / 2},
    ]  # fmt: skip
    if unjudged:
        stages = [{"share": 1.0, "bake_s": 0.1}]
    most = max(2, len(rig.gateways) // 20)
    return rig.plan(
        old, stages=stages, unavailable_most=most, calls_least=50, settle_s=0.1 if unjudged else 2.0
    )


def good(asked: argparse.Namespace) -> bool:
    """One good change."""
    with tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name:
        began = time.monotonic()
        with RolloutRig(pathlib.Path(name), sizes(asked)) as rig:
            old, new = rig.make("1"), rig.make("2")
            rig.deploy(old)
            print(f"{asked.gateways} gateways up after {time.monotonic() - began:.1f} s", flush=True)
            outcome = rig.roll(old, new, plan(rig, old), most_s=900.0)
    print("good:", outcome.line())
    for breach in outcome.breaches[:10]:
        print("  ", breach)
    return outcome.way == "done" and not outcome.breaches and outcome.harmed == 0


def harms(asked: argparse.Namespace) -> bool:
    """Each bad release."""
    fine = True
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutRig(pathlib.Path(name), sizes(asked)) as rig,
    ):
        old = rig.make("1")
        rig.deploy(old)
        for number, harm in enumerate(asked.only or HARMS):
            rig.reached.clear()
            rig.down_most = 0
            new = rig.make(f"2.{number}", harm)
            outcome = rig.roll(old, new, plan(rig, old, asked.unjudged), most_s=600.0)
            print(f"{harm}: {outcome.line()}", flush=True)
            for breach in outcome.breaches[:3]:
                print("  ", breach)
            fine = fine and (asked.unjudged or outcome.way == "returned")
            if outcome.way != "returned":  # put the old one back for the next
                rig.deploy(old)
    return fine


def _pick(chance: random.Random, rig: RolloutRig) -> tuple[str, Callable[[], None], Callable[[], None]]:
    daemon = chance.choice(list(rig.daemons))
    kind = chance.choice(
        (
            "kill leader",
            "stop leader",
            "kill daemon",
            "stop daemon",
            "cut",
            "disk lost",
            "kill keeper",
            "kill gateway",
        )
    )

    def leader(number: signal.Signals) -> None:
        for name in [name for name in rig.processes if name.startswith(("rollout", "leader"))]:
            rig.signal(name, number)

    def nothing() -> None:
        return

    if kind == "kill leader":
        return kind, lambda: rig.kill("rollout"), nothing
    if kind == "stop leader":
        return kind, lambda: leader(signal.SIGSTOP), lambda: leader(signal.SIGCONT)
    if kind == "kill daemon":
        return kind, lambda: rig.kill(daemon), lambda: rig.start_daemon(daemon)
    if kind == "stop daemon":
        return kind, lambda: rig.signal(daemon, signal.SIGSTOP), lambda: rig.signal(daemon, signal.SIGCONT)
    if kind == "cut":
        mode = chance.choice((Mode.HOLD, Mode.LOSE))
        return kind, lambda: rig.cut("leader", daemon, mode), lambda: rig.cut("leader", daemon, Mode.PASS)
    if kind == "disk lost":
        return kind, lambda: rig.lose_disk(daemon), lambda: rig.start_daemon(daemon)
    if kind == "kill keeper":
        keeper = chance.choice(list(rig.keepers))
        return kind, lambda: rig.kill(keeper), lambda: rig.start_keeper(keeper)

    def gateway() -> None:
        states = rig.states()
        if states:
            os.kill(states[chance.choice(list(states))].pid, signal.SIGKILL)

    return kind, gateway, nothing


def faults(asked: argparse.Namespace) -> bool:
    """Changes back and forth while faults of a seed come one after the other."""
    chance = random.Random(asked.seed)
    fine, ways = True, {"done": 0, "returned": 0, "held": 0}
    counted: dict[str, int] = {}
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutRig(pathlib.Path(name), sizes(asked)) as rig,
    ):
        runs = rig.make("0")
        rig.deploy(runs)
        relayed = rig.behind_wires("leader")
        until_s, number = time.monotonic() + asked.seconds, 0
        while time.monotonic() < until_s:
            number += 1
            harm = chance.choice(("", "", "", "does not start", "dies", "refuses"))
            new = rig.make(str(number), harm)

            def harass(rig: RolloutRig) -> None:
                for _ in range(asked.each):
                    time.sleep(chance.uniform(1.0, 4.0))
                    kind, begin, end = _pick(chance, rig)
                    counted[kind] = counted.get(kind, 0) + 1
                    begin()
                    time.sleep(chance.uniform(0.2, 4.0))
                    end()

            path = rig.plan(runs, on_doubt="back")
            rig.reached.clear()
            outcome = rig.roll(runs, new, path, harass, 240.0, 2, relayed, hold=True)
            ways[outcome.way] = ways.get(outcome.way, 0) + 1
            print(f"{number} ({harm or 'good'}): {outcome.line()}", flush=True)
            for breach in outcome.breaches[:5]:
                print("  ", breach)
            wanted = {"done"} if outcome.way == "done" else {"returned"}
            standing = {state.running_release for state in rig.states().values()}
            fine = fine and outcome.way in wanted and not outcome.breaches and len(standing) == 1
            fine = fine and (outcome.way == "returned" or not harm)
            if len(standing) != 1 or not fine:
                print("   stands:", standing)
                break
            if outcome.way == "done":
                runs = new
    print(f"faults: {counted}; {ways}")
    return fine


def reload(asked: argparse.Namespace) -> bool:
    """All gateways reread their settings, one after the other, under load."""
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-rollout-") as name,
        RolloutRig(pathlib.Path(name), sizes(asked)) as rig,
    ):
        rig.deploy(rig.make("1"))
        clients = Clients(
            list(rig.gateways.values()), Mix(rate=asked.rate, deferred_share=0.0, clients=64), asked.seed,
            lambda at: asked.rate, lambda name: name, ("corner-books", "campus-app"), "reload",
        )  # fmt: skip
        over = threading.Event()
        traffic = start_thread("traffic", lambda: clients.play(3600.0, over))
        statuses = []
        for gateway in rig.gateways:
            ran = rig.run("fleet", "reload", "--fleet", str(rig.path), gateway, "--wait", "20")
            statuses.append(ran.returncode)
        over.set()
        traffic.join(10.0)
        clients.end(30.0)
        lost = [t for t in clients.tries if t.end not in ("served", "accepted")]
    print(
        f"reload: {len(statuses)} gateways, statuses {set(statuses)}, {len(clients.tries)} calls, "
        f"{len(lost)} lost"
    )
    return not lost and set(statuses) == {0}


def false_stops(asked: argparse.Namespace) -> bool:
    """The judge alone: fleets whose gateways differ, with and without a host fault that hits both sides."""
    for fault in (False, True):
        for new in (1, 4, 20):
            stopped = sum(_bake(seed, new, fault) for seed in range(asked.runs))
            print(
                f"false stops, 40 gateways, {new} new{', a host fault on both sides' if fault else ''}: "
                f"{stopped} of {asked.runs}, {stopped / asked.runs:.4f} where 0.01 is promised", flush=True
            )  # fmt: skip
    return True


def _bake(seed: int, new: int, fault: bool) -> bool:
    chance = random.Random(seed)
    rates = [chance.gammavariate(9.0, 0.02 / 9.0) for _ in range(40)]
    calls = [int(chance.uniform(0.3, 2.0) * 40) for _ in range(40)]
    bad, of, spent = [0] * 40, [0] * 40, 0.0
    for part in range(1, 11):
        for place in range(40):
            rate = rates[place] + (0.2 if fault and 3 <= part <= 5 and place % 3 == 0 else 0.0)
            bad[place] += sum(chance.random() < rate for _ in range(calls[place]))
            of[place] += calls[place]
        units = [
            GatewaySample(
                f"g{place}", f"z{place % 3}", place < new,
                {
                    "refused/look": FailureRatio(bad[place], of[place]),
                    "late/look": FailureRatio(bad[place] // 2, of[place]),
                },
            )
            for place in range(40)
        ]  # fmt: skip
        found = analyze(AnalysisLimits(), units, part / 10, spent)
        spent = found.alpha_spent
        if found.verdict is Verdict.FAILED:
            return True
    return False


def _walk(asked: tuple[int, Defect]) -> str:
    try:
        walk_randomly(asked[0], 250, asked[1])
    except InvariantError as error:
        return f"seed {asked[0]}: {error}"
    return ""


def orders(asked: argparse.Namespace) -> bool:
    """Walks by chance and every order, without processes; and how many seeds each broken variant takes."""
    with ProcessPoolExecutor(asked.jobs) as pool:
        began = time.monotonic()
        found = [
            line
            for line in pool.map(_walk, ((seed, Defect.NONE) for seed in range(asked.seeds)), chunksize=100)
            if line
        ]
        print(
            f"{asked.seeds} walks of 250 steps: {len(found)} breaches, {time.monotonic() - began:.0f} s",
            flush=True,
        )
        for line in found[:5]:
            print("  ", line)
        for defect in Defect:
            if defect is Defect.NONE:
                continue
            tried = min(3000, asked.seeds)
            hits = [
                line
                for line in pool.map(_walk, ((seed, defect) for seed in range(tried)), chunksize=100)
                if line
            ]
            print(f"  {defect.value}: found by {len(hits)} of {tried} walks", flush=True)
        for size in (WorldSize(2, 2, 2), WorldSize(3, 2, 2)):
            told = explore(asked.states, 60, size=size)
            print(
                f"every order, {size.gateways} gateways: {told.states} states, {told.depth} steps: "
                f"{told.violation or 'no breach'}"
            )
            found += [told.violation] if told.violation else []
    return not found


def main() -> int:
    """See above."""
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
