"""Check and measure leases at full size: model checking, simulation, real processes with faults, and cost.

    python benchmarks/leases.py explore --depth 14           # every order of events to a depth
    python benchmarks/leases.py seeds --seeds 10000          # simulation in virtual time, on all cores
    python benchmarks/leases.py processes --seconds 600      # 5 lease servers, 24 candidates
    python benchmarks/leases.py processes --broken few       # a defect to be found; also: late
    python benchmarks/leases.py processes --seed 7 --shrink  # the fewest faults that still break a rule
    python benchmarks/leases.py cost --leases 1000 --clients 500

Exits with 1 if a lease rule is broken; with --broken, if the defect is not found.
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


def run_seed(seed: int) -> tuple[int, list[str], int, float]:
    """Simulate one seed; return it with the breaches, the leases acquired and the seconds held."""
    outcome = Simulation(seed, servers=(3, 5, 7)[seed % 3], candidates=3 + seed % 3).run(120.0)
    return seed, outcome.breaches, outcome.acquired, outcome.held_s


def run_seeds(count: int) -> int:
    """Simulate many seeds on all cores; return the exit status."""
    began_s, failed_count, acquired_count, total_held_s = time.monotonic(), 0, 0, 0.0
    with multiprocessing.Pool() as pool:
        for seed, breaches, acquired, held_s in pool.imap_unordered(run_seed, range(count), chunksize=20):
            acquired_count, total_held_s = acquired_count + acquired, total_held_s + held_s
            if breaches:
                failed_count += 1
                print(f"seed {seed}: {breaches[0]}")
    print(
        f"{count} seeds of 120 s: {failed_count} broke a rule, {acquired_count} leases acquired, held "
        f"{total_held_s / count / 120:.2f} of the time, {time.monotonic() - began_s:.0f} s"
    )
    return 1 if failed_count else 0


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


def explore_budget(budget_job: tuple[str, int, int]) -> tuple[str, Exploration, float]:
    """Explore all orders of events under one fault budget."""
    name, depth, max_states = budget_job
    began_s = time.monotonic()
    return name, explore(depth, BUDGETS[name], max_states=max_states), time.monotonic() - began_s


def explore_budgets(depth: int, max_states: int) -> int:
    """Explore all orders of events to a depth under each fault budget; return the exit status."""
    failed_count = 0
    with multiprocessing.Pool() as pool:
        for name, result, took_s in pool.imap_unordered(
            explore_budget, [(name, depth, max_states) for name in BUDGETS]
        ):
            print(
                f"{name}: every order to {result.completed_depth} steps, {result.states} states, "
                f"{took_s:.0f} s: {result.breach or 'no breach'}",
                flush=True,
            )
            for line in result.path:
                print("  ", line)
            failed_count += bool(result.breach)
    return 1 if failed_count else 0


def print_report(report: Report) -> None:
    """Print the figures and the breaches of a run."""
    check_result = report.check_result
    print(
        f"{report.seconds:.0f} s, {sum(n for kind, n in report.faults.items() if ':' not in kind)} faults; "
        f"{check_result.acquired} leases acquired, {check_result.acts} acts, "
        f"{check_result.rejected} rejected for older tokens, "
        f"{check_result.overran} overran; "
        f"held {check_result.held_s / max(report.seconds, 0.001):.2f} of the time, "
        f"{report.majority_held_s / max(report.majority_s, 0.001):.2f} of the {report.majority_s:.0f} s in "
        f"which a majority could communicate; longest without a holder {check_result.longest_free_s:.1f} s"
    )
    print("  " + ", ".join(f"{kind} {count}" for kind, count in report.faults.items()))
    for breach in check_result.breaches:
        print("  BROKEN:", breach)


def run_harness(
    seed: int, faults: list[Fault], seconds: float, broken: str, server_count: int, candidates: int
) -> Report:
    """Run the harness once in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        harness = LeaseHarness(
            pathlib.Path(directory), HarnessOptions(seed, server_count, candidates, broken=broken)
        )
        try:
            return harness.run(faults, seconds, until_breach=bool(broken))
        finally:
            harness.close()


def run_processes(options: argparse.Namespace) -> int:
    """Run real processes under a fault schedule; return the exit status."""
    faults = draw_schedule(options.seed, options.seconds, options.keepers, options.candidates)
    if options.schedule and pathlib.Path(options.schedule).exists():
        faults = msgspec.json.decode(pathlib.Path(options.schedule).read_bytes(), type=list[Fault])
    elif options.schedule:
        pathlib.Path(options.schedule).write_bytes(msgspec.json.encode(faults))
    report = run_harness(
        options.seed, faults, options.seconds, options.broken, options.keepers, options.candidates
    )
    print_report(report)
    has_breach = bool(report.check_result.breaches)
    if has_breach and options.shrink:

        def fails(fault_subset: list[Fault]) -> bool:
            seconds = max(fault.at_s + fault.length_s for fault in fault_subset) + 3.0
            repeated_report = run_harness(
                options.seed, fault_subset, seconds, options.broken, options.keepers, options.candidates
            )
            return bool(repeated_report.check_result.breaches)

        for fault in shrink_schedule(faults, fails, 20):
            print("  ", fault)
    return int(has_breach != bool(options.broken))


def measure_cost(leases: int, clients: int, seconds: float) -> int:
    """Run three lease servers as processes and many clients in this process; print the servers' CPU use."""
    reserved_ports = [reserve_port("127.0.0.1") for _ in range(3)]
    names = [f"k{number}" for number in range(3)]
    entries = tuple(
        LeaseServerEntry(name=name, address=f"127.0.0.1:{sock.getsockname()[1]}")
        for name, sock in zip(names, reserved_ports, strict=True)
    )
    fleet = FleetFile(fleet="cost", keepers=entries, longest_s=10.0)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "fleet.json5"
        path.write_bytes(msgspec.json.encode(fleet))
        command = [sys.executable, "-m", "saffronstack.cli.main", "keeper"]
        lease_servers = []
        for name in names:
            server_options = ["--fleet", str(path), "--name", name, "--state", f"{directory}/{name}"]
            subprocess.run([*command, "establish", *server_options], check=True, stdout=subprocess.DEVNULL)
            lease_servers.append(subprocess.Popen([*command, "run", *server_options], stdout=subprocess.PIPE))
        try:
            return _measure_cost(fleet, lease_servers, leases, clients, seconds)
        finally:
            for lease_server in lease_servers:
                lease_server.kill()
                lease_server.wait()


def _measure_cost(
    fleet: FleetFile, lease_servers: list[subprocess.Popen[bytes]], leases: int, clients: int, seconds: float
) -> int:
    import psutil

    servers = create_lease_fleet(fleet)
    lease_clients = [LeaseClient(servers, f"p{n}", fleet.lease_s, n) for n in range(clients)]
    first = lease_clients[0].acquire("warm", 60.0)
    assert first is not None, "no lease within a minute"
    began_s = time.monotonic()
    shares = [range(number, leases, clients) for number in range(clients)]
    import concurrent.futures

    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        acquired_by_client = list(
            pool.map(
                lambda share: [lease_clients[share[0]].acquire(f"task/{n}", 60.0) for n in share[1]],
                [(number, share) for number, share in enumerate(shares)],
            )
        )
    held_leases = [
        lease for client_leases in acquired_by_client for lease in client_leases if lease is not None
    ]
    print(
        f"{len(held_leases)} of {leases} leases acquired by {clients} clients "
        f"in {time.monotonic() - began_s:.1f} s"
    )
    before = [sum(psutil.Process(k.pid).cpu_times()[:2]) for k in lease_servers]
    began_s = time.monotonic()
    time.sleep(seconds)
    took_s = time.monotonic() - began_s
    cores_used = [
        (sum(psutil.Process(k.pid).cpu_times()[:2]) - b) / took_s
        for k, b in zip(lease_servers, before, strict=True)
    ]
    memory = [psutil.Process(k.pid).memory_info().rss / 2**20 for k in lease_servers]
    still_held_count = sum(lease.remaining_s() > 0 for lease in held_leases)
    print(
        f"renewing for {took_s:.0f} s: cores {', '.join(f'{u:.2f}' for u in cores_used)} "
        f"(sum {sum(cores_used):.2f}), "
        f"{', '.join(f'{m:.0f}' for m in memory)} MB; {still_held_count} still held"
    )
    handover_times_s = []
    for number in range(20):
        holder, next_client = lease_clients[number % clients], lease_clients[(number + 1) % clients]
        lease_to_release = holder.acquire(f"hand/{number}", 10.0)
        assert lease_to_release is not None
        pool = concurrent.futures.ThreadPoolExecutor(1)
        pending_acquire = pool.submit(next_client.acquire, f"hand/{number}", 30.0)
        time.sleep(0.5)
        released_at_s = time.monotonic()
        lease_to_release.release()
        acquired_lease = pending_acquire.result()
        assert acquired_lease is not None
        handover_times_s.append(time.monotonic() - released_at_s)
        acquired_lease.release()
    handover_times_s.sort()
    print(
        f"handed over after a release: median {handover_times_s[10]:.3f} s, "
        f"worst {handover_times_s[-1]:.3f} s"
    )
    failover_times_s = []
    for number in range(5):  # the holder stops without releasing; the next client is queued
        ending_client, next_client = lease_clients[number], lease_clients[number + 5]
        assert ending_client.acquire(f"over/{number}", 10.0) is not None
        pending_acquire = concurrent.futures.ThreadPoolExecutor(1).submit(
            next_client.acquire, f"over/{number}", 60.0
        )
        time.sleep(0.5)
        released_at_s = time.monotonic()
        for link in ending_client._links.values():
            link.stop()
        assert pending_acquire.result() is not None
        failover_times_s.append(time.monotonic() - released_at_s)
    failover_times_s.sort()
    print(
        f"fail-over: median {failover_times_s[2]:.1f} s, worst {failover_times_s[-1]:.1f} s, "
        f"leases of {fleet.lease_s:g} s"
    )
    return int(
        still_held_count < len(held_leases)
        or len(held_leases) < leases
        or failover_times_s[-1] > 2 * fleet.lease_s
    )


def main() -> int:
    """Run the chosen check; return the exit status."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
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
    one.add_argument("--schedule", help="file with the faults: read if it exists, else written")
    one.add_argument("--shrink", action="store_true")
    one = kinds.add_parser("cost")
    one.add_argument("--leases", type=int, default=1000)
    one.add_argument("--clients", type=int, default=500)
    one.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    if options.kind == "explore":
        return explore_budgets(options.depth, options.most)
    if options.kind == "seeds":
        return run_seeds(options.seeds)
    if options.kind == "processes":
        return run_processes(options)
    return measure_cost(options.leases, options.clients, options.seconds)


if __name__ == "__main__":
    sys.exit(main())
