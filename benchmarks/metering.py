"""Measure metering: throughput with and without it, the size of the usage log, recovery and memory.

python benchmarks/metering.py [--rounds 4] [--seconds 3] [--records 1000000] [--tenants 100000] [--only PART]
"""

from __future__ import annotations

import argparse
import os
import pathlib
import statistics
import sys
import tempfile
import time

import psutil
from gateway import FUNCTIONS, SYNCHRONOUS_REQUESTS, run_load, start_gateway

from saffronstack.harness.scenario.processes import StubWorkersProcess
from saffronstack.metering.ledger_entries import RecordConfirmed, RecordReceived
from saffronstack.metering.usage_log import open_usage_log, read_usage_log
from saffronstack.metering.worker_messages import CallReference, UsageRecord
from saffronstack.standin.fleet import sample_config

CPU = str(max(os.sched_getaffinity(0)))  # all gateways run on this CPU; only one is under load at a time
PROFILE = {"work_s": 0.0, "load_s": 0.001, "cores": 64, "memory_mb": 65536, "queue": 1024}


def measure_throughput(directory: pathlib.Path, rounds: int, seconds: float) -> None:
    """Load two gateways with the same workers in turn; print the throughput ratio of each round."""
    hosts = [
        StubWorkersProcess({"count": 1, "log": os.devnull, "seed": n, "first": n, "profiles": [PROFILE]})
        for n in range(4)
    ]
    workers = [host.workers[0] for host in hosts]
    content = sample_config(workers, "127.0.0.1:0", "", 65536)
    lookup = {"class": "lookup", "memory_mb": 128, "lanes": 64}
    content["functions"] += [{"name": name, **lookup} for name in FUNCTIONS]
    (directory / "with").mkdir()
    unmetered, unmetered_address = start_gateway(directory, content, cpus=CPU)
    metered_content = {**content, "metering": {"directory": str(directory / "usage")}}
    metered, metered_address = start_gateway(directory / "with", metered_content, cpus=CPU)
    ratios = []
    calls = 0.0
    try:
        for address in (unmetered_address, metered_address):
            run_load([address], SYNCHRONOUS_REQUESTS, 8, 1.0)
        for round_number in range(rounds):
            unmetered_load = run_load([unmetered_address], SYNCHRONOUS_REQUESTS, 8, seconds)
            metered_load = run_load([metered_address], SYNCHRONOUS_REQUESTS, 8, seconds)
            calls += metered_load[0] * seconds
            ratios.append(metered_load[0] / unmetered_load[0])
            print(
                f"round {round_number + 1}: {unmetered_load[0]:.0f} calls/s without, "
                f"{metered_load[0]:.0f} with, {ratios[-1]:.3f}"
            )
    finally:
        unmetered.kill()
        metered.kill()
        for host in hosts:
            host.end()
    size = sum(path.stat().st_size for path in (directory / "usage").glob("*.seg"))
    print(
        f"median {statistics.median(ratios):.3f}, 8 connections; {size / max(1, calls):.0f} log bytes a call"
    )


def measure_recovery(directory: pathlib.Path, count: int) -> None:
    """Write records and their later confirmations as a busy gateway does, and read them back."""
    journal = open_usage_log(str(directory), 256 << 20)
    start = time.perf_counter()
    for n in range(1, count + 1):
        call_reference = CallReference(f"00000000-0000-0000-0000-{n:012d}", f"tenant-{n % 100}", "lookup")
        usage = UsageRecord(
            "w1", "i", n, "identify-copy", 131072, n * 1000, n * 1000 + 700, 0, 1, 0, (), (call_reference,)
        )
        ticket = journal.append(RecordReceived(usage, 1e9))
        if n % 500 == 0:
            ticket = journal.append(*(RecordConfirmed("w1", "i", seq) for seq in range(n - 499, n + 1)))
            ticket.done.wait(60)
    print(
        f"wrote {count} records in {time.perf_counter() - start:.1f} s, "
        f"{journal.written_bytes / count:.0f} bytes each with both copies"
    )
    journal.close()
    start = time.perf_counter()
    account, _ = read_usage_log(directory)
    elapsed_s = time.perf_counter() - start
    print(f"read {count} records back in {elapsed_s:.1f} s; in balance: {account.find_imbalances() == []}")


def resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    return psutil.Process().memory_info().rss / 1e6


def measure_tenants(directory: pathlib.Path, count: int, records: int) -> None:
    """Measure memory with many tenants that have budgets, and the lookup of one that is not in memory."""
    budget_windows = {f"tenant-{n}": 3600.0 for n in range(count)}
    before = resident_mb()
    journal = open_usage_log(str(directory), 64 << 20, budget_windows=budget_windows)
    start = time.perf_counter()
    peak_mb = 0.0
    for n in range(1, records + 1):
        name = f"tenant-{n * 7919 % count}"
        call_reference = CallReference(f"00000000-0000-0000-0000-{n:012d}", name, "lookup")
        usage = UsageRecord(
            f"w{n % 50}", "i", n, f"f{n % 10}", 1024, n, n + 700, 0, 1, 0, (), (call_reference,)
        )
        received_s = 1e9 + n * 3600 / records
        ticket = journal.append(
            RecordReceived(usage, received_s, received_s), RecordConfirmed(f"w{n % 50}", "i", n)
        )
        if n % 2000 == 0:
            ticket.done.wait(60)
            peak_mb = max(peak_mb, resident_mb())
    elapsed_s = time.perf_counter() - start
    journal.close()
    account = journal.state
    assert account.windows is not None
    print(
        f"{count} tenants, {records} records in {elapsed_s:.0f} s: "
        f"{peak_mb - before:.0f} MB more resident at most, "
        f"{len(account.totals)} sums and {account.windows.bucket_count} window buckets in memory, "
        f"{account.run_count} runs"
    )
    start = time.perf_counter()
    for n in range(200):
        account.windows.total(f"tenant-{n * 499 % count}", 1e9 + 3600)
    print(f"lookup of a budget window not in memory: {(time.perf_counter() - start) / 200 * 1e3:.2f} ms")
    start = time.perf_counter()
    total = sum(load_mb_ms + run_mb_ms for _, (load_mb_ms, run_mb_ms, _, _) in account.read_totals())
    is_exact = total == records * 700 * 1024
    print(f"all sums read in {time.perf_counter() - start:.1f} s; exact: {is_exact}")


def main() -> None:
    """Run the chosen measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--records", type=int, default=1_000_000)
    parser.add_argument("--tenants", type=int, default=100_000)
    parser.add_argument("--only", choices=["throughput", "recovery", "tenants"])
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; 4 emulated workers")
    with tempfile.TemporaryDirectory() as name:
        if options.only in (None, "throughput"):
            measure_throughput(pathlib.Path(name), options.rounds, options.seconds)
        if options.only in (None, "recovery"):
            measure_recovery(pathlib.Path(name) / "million", options.records)
        if options.only in (None, "tenants"):
            measure_tenants(pathlib.Path(name) / "tenants", options.tenants, options.records)


if __name__ == "__main__":
    main()
