"""Leases at full size: every order to a depth, many seeds in virtual time, processes under faults, the cost.

    python benchmarks/leases.py explore --depth 14           # every order, and the broken variants
    python benchmarks/leases.py seeds --seeds 10000          # virtual time, on all cores
    python benchmarks/leases.py processes --seconds 600      # 5 keepers, 24 candidates
    python benchmarks/leases.py processes --broken few       # must be found; late too
    python benchmarks/leases.py processes --seed 7 --shrink  # the fewest faults that still fail
    python benchmarks/leases.py cost --leases 1000 --clients 500

Ends with 1 where a rule of the leases is broken (with --broken: where it is not found).
"""

from __future__ import annotations

import argparse
import multiprocessing
import pathlib
import subprocess
import sys
import tempfile
import time
from dataclasses import replace

import msgspec

from saffronstack.cli.leases import create_lease_fleet
from saffronstack.config.fleet import FleetFile, LeaseServerEntry
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.harness.leases.model_checker import Exploration, explore
from saffronstack.harness.leases.model_state import NO_FAULTS, FaultBudget
from saffronstack.harness.leases.processes import HarnessOptions
from saffronstack.harness.leases.rig import LeaseHarness, Report
from saffronstack.harness.leases.schedule import Fault, draw_schedule, shrink_schedule
from saffronstack.harness.leases.simulation import Simulation
from saffronstack.standin.worker import reserve_port


def one_seed(seed: int) -> tuple[int, list[str], int, float]:
    """A seed of the world: breaches, leases gained, seconds held."""
    outcome = Simulation(seed, servers=(3, 5, 7)[seed % 3], candidates=3 + seed % 3).run(120.0)
    return seed, outcome.breaches, outcome.acquired, outcome.held_s


def seeds(count: int) -> int:
    """Many seeds on all cores."""
    began_s, bad, gained, held_s = time.monotonic(), 0, 0, 0.0
    with multiprocessing.Pool() as pool:
        for seed, breaches, more, held in pool.imap_unordered(one_seed, range(count), chunksize=20):
            gained, held_s = gained + more, held_s + held
            if breaches:
                bad += 1
                print(f"seed {seed}: {breaches[0]}")
    print(
        f"{count} seeds of 120 s: {bad} broke a rule, {gained} leases gained, held "
        f"{held_s / count / 120:.2f} of the time, {time.monotonic() - began_s:.0f} s"
    )
    return 1 if bad else 0


BUDGETS = {
    "all faults": FaultBudget(),
    "restarts and lies": replace(NO_FAULTS, restarts=2, disk_faults=1, time_steps=4),
    "restart, portions": replace(NO_FAULTS, partial_deliveries=2, restarts=1, time_steps=3),
    "late answers": replace(NO_FAULTS, partial_deliveries=1, late_responses=2, time_steps=4),
    "old requests": replace(NO_FAULTS, partial_deliveries=1, duplicates=1, time_steps=3),
    "given back, old requests": replace(NO_FAULTS, duplicates=1, time_steps=2, releases=2),
    "lie, late": replace(NO_FAULTS, late_responses=1, restarts=1, disk_faults=1, time_steps=3),
    "portions": replace(NO_FAULTS, partial_deliveries=6, time_steps=3),
}


def one_budget(job: tuple[str, int, int]) -> tuple[str, Exploration, float]:
    """One exploration."""
    name, depth, most = job
    began_s = time.monotonic()
    return name, explore(depth, BUDGETS[name], max_states=most), time.monotonic() - began_s


def explored(depth: int, most: int) -> int:
    """Every order to a depth, under several budgets of faults at a time."""
    bad = 0
    with multiprocessing.Pool() as pool:
        for name, found, took_s in pool.imap_unordered(one_budget, [(name, depth, most) for name in BUDGETS]):
            print(
                f"{name}: every order to {found.completed_depth} steps, {found.states} states, "
                f"{took_s:.0f} s: {found.breach or 'no breach'}",
                flush=True,
            )
            for line in found.path:
                print("  ", line)
            bad += bool(found.breach)
    return 1 if bad else 0


def show(report: Report) -> None:
    """One run, in figures."""
    told = report.check_result
    print(
        f"{report.seconds:.0f} s, {sum(n for kind, n in report.faults.items() if ':' not in kind)} faults; "
        f"{told.acquired} leases acquired, {told.acts} acts, {told.rejected} rejected for older tokens, "
        f"{told.overran} overran; held {told.held_s / max(report.seconds, 0.001):.2f} of the time, "
        f"{report.majority_held_s / max(report.majority_s, 0.001):.2f} of the {report.majority_s:.0f} s in "
        f"which a majority could communicate; longest without a holder {told.longest_free_s:.1f} s"
    )
    print("  " + ", ".join(f"{kind} {count}" for kind, count in report.faults.items()))
    for breach in told.breaches:
        print("  BROKEN:", breach)


def run(seed: int, faults: list[Fault], seconds: float, broken: str, keepers: int, candidates: int) -> Report:
    """One run in a directory of its own."""
    with tempfile.TemporaryDirectory() as directory:
        rig = LeaseHarness(pathlib.Path(directory), HarnessOptions(seed, keepers, candidates, broken=broken))
        try:
            return rig.run(faults, seconds, until_breach=bool(broken))
        finally:
            rig.close()


def processes(options: argparse.Namespace) -> int:
    """Real processes under a schedule."""
    faults = draw_schedule(options.seed, options.seconds, options.keepers, options.candidates)
    if options.schedule and pathlib.Path(options.schedule).exists():
        faults = msgspec.json.decode(pathlib.Path(options.schedule).read_bytes(), type=list[Fault])
    elif options.schedule:
        pathlib.Path(options.schedule).write_bytes(msgspec.json.encode(faults))
    report = run(options.seed, faults, options.seconds, options.broken, options.keepers, options.candidates)
    show(report)
    found = bool(report.check_result.breaches)
    if found and options.shrink:

        def fails(fewer: list[Fault]) -> bool:
            seconds = max(fault.at_s + fault.length_s for fault in fewer) + 3.0
            again = run(options.seed, fewer, seconds, options.broken, options.keepers, options.candidates)
            return bool(again.check_result.breaches)

        for fault in shrink_schedule(faults, fails, 20):
            print("  ", fault)
    return int(found != bool(options.broken))


def cost(leases: int, clients: int, seconds: float) -> int:
    """Three keepers in processes of their own, many clients in this one; processor time of each keeper."""
    held = [reserve_port("127.0.0.1") for _ in range(3)]
    names = [f"k{number}" for number in range(3)]
    entries = tuple(
        LeaseServerEntry(name=name, address=f"127.0.0.1:{sock.getsockname()[1]}")
        for name, sock in zip(names, held, strict=True)
    )
    fleet = FleetFile(fleet="cost", keepers=entries, longest_s=10.0)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "fleet.json5"
        path.write_bytes(msgspec.json.encode(fleet))
        saffron = [sys.executable, "-m", "saffronstack.cli.main", "keeper"]
        keepers = []
        for name in names:
            told = ["--fleet", str(path), "--name", name, "--state", f"{directory}/{name}"]
            subprocess.run([*saffron, "establish", *told], check=True, stdout=subprocess.DEVNULL)
            keepers.append(subprocess.Popen([*saffron, "run", *told], stdout=subprocess.PIPE))
        try:
            return _cost(fleet, keepers, leases, clients, seconds)
        finally:
            for keeper in keepers:
                keeper.kill()
                keeper.wait()


def _cost(
    fleet: FleetFile, keepers: list[subprocess.Popen[bytes]], leases: int, clients: int, seconds: float
) -> int:
    import psutil

    servers = create_lease_fleet(fleet)
    crowd = [LeaseClient(servers, f"p{n}", fleet.lease_s, n) for n in range(clients)]
    first = crowd[0].acquire("warm", 60.0)
    assert first is not None, "no lease within a minute"
    began_s = time.monotonic()
    shares = [range(number, leases, clients) for number in range(clients)]
    import concurrent.futures

    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        gained = list(
            pool.map(
                lambda share: [crowd[share[0]].acquire(f"task/{n}", 60.0) for n in share[1]],
                [(number, share) for number, share in enumerate(shares)],
            )
        )
    held = [one for some in gained for one in some if one is not None]
    print(f"{len(held)} of {leases} leases gained by {clients} clients in {time.monotonic() - began_s:.1f} s")
    before = [sum(psutil.Process(k.pid).cpu_times()[:2]) for k in keepers]
    began_s = time.monotonic()
    time.sleep(seconds)
    took_s = time.monotonic() - began_s
    used = [
        (sum(psutil.Process(k.pid).cpu_times()[:2]) - b) / took_s
        for k, b in zip(keepers, before, strict=True)
    ]
    memory = [psutil.Process(k.pid).memory_info().rss / 2**20 for k in keepers]
    kept = sum(one.remaining_s() > 0 for one in held)
    print(
        f"renewing for {took_s:.0f} s: cores {', '.join(f'{u:.2f}' for u in used)} (sum {sum(used):.2f}), "
        f"{', '.join(f'{m:.0f}' for m in memory)} MB; {kept} still held"
    )
    waits = []
    for number in range(20):
        one, other = crowd[number % clients], crowd[(number + 1) % clients]
        mine = one.acquire(f"hand/{number}", 10.0)
        assert mine is not None
        pool = concurrent.futures.ThreadPoolExecutor(1)
        waiting = pool.submit(other.acquire, f"hand/{number}", 30.0)
        time.sleep(0.5)
        at = time.monotonic()
        mine.release()
        got = waiting.result()
        assert got is not None
        waits.append(time.monotonic() - at)
        got.release()
    waits.sort()
    print(f"handed over after a release: median {waits[10]:.3f} s, worst {waits[-1]:.3f} s")
    taken = []
    for number in range(5):  # a holder that ends without a word; the next one waits in line
        ends, next_one = crowd[number], crowd[number + 5]
        assert ends.acquire(f"over/{number}", 10.0) is not None
        waiting = concurrent.futures.ThreadPoolExecutor(1).submit(next_one.acquire, f"over/{number}", 60.0)
        time.sleep(0.5)
        at = time.monotonic()
        for link in ends._links.values():
            link.stop()
        assert waiting.result() is not None
        taken.append(time.monotonic() - at)
    taken.sort()
    print(f"fail-over: median {taken[2]:.1f} s, worst {taken[-1]:.1f} s, leases of {fleet.lease_s:g} s")
    return int(kept < len(held) or len(held) < leases or taken[-1] > 2 * fleet.lease_s)


def main() -> int:
    """See above."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    kinds = parser.add_subparsers(dest="kind", required=True)
    one = kinds.add_parser("explore")
    one.add_argument("--depth", type=int, default=12)
    one.add_argument("--most", type=int, default=3_000_000)
    one = kinds.add_parser("seeds")
    one.add_argument("--seeds", type=int, default=10_000)
    one = kinds.add_parser("processes")
    one.add_argument("--seconds", type=float, default=600.0)
    one.add_argument("--seed", type=int, default=1)
    one.add_argument("--keepers", type=int, default=5)
    one.add_argument("--candidates", type=int, default=24)
    one.add_argument("--broken", default="", choices=["", "late", "few"])
    one.add_argument("--schedule", help="A file: written with the seed's faults, or read where it is there.")
    one.add_argument("--shrink", action="store_true")
    one = kinds.add_parser("cost")
    one.add_argument("--leases", type=int, default=1000)
    one.add_argument("--clients", type=int, default=500)
    one.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    if options.kind == "explore":
        return explored(options.depth, options.most)
    if options.kind == "seeds":
        return seeds(options.seeds)
    if options.kind == "processes":
        return processes(options)
    return cost(options.leases, options.clients, options.seconds)


if __name__ == "__main__":
    sys.exit(main())
