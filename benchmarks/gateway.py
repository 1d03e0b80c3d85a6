"""Compare a gateway with a byte proxy and the workers alone; measure deferred calls, recovery and memory.

python benchmarks/gateway.py [--seconds 4] [--open 100000]
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from saffronstack import config as configs
from saffronstack.client import Client
from saffronstack.config.build import Functions
from saffronstack.deferred.ledger import open_ledger
from saffronstack.deferred.records import CallAccepted
from saffronstack.harness.scenario.processes import StubWorkersProcess
from saffronstack.standin.fleet import sample_config

BENCHMARKS = pathlib.Path(__file__).parent
REQUEST_TEMPLATE = (
    "POST /2015-03-31/functions/{}/invocations HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n"
    "X-Amzn-RequestId: x\r\nX-Saffron-Function: identify-copy\r\nX-Saffron-Memory-Mb: 128\r\n"
    'X-Saffron-Lanes: 64\r\nX-Saffron-Left-Ms: 3000\r\n{}\r\n{{"isbn": 12}}'
)
FUNCTIONS = [f"bench-{n}" for n in range(8)]  # several, so that calls are spread over the workers
SYNCHRONOUS_REQUESTS = [REQUEST_TEMPLATE.format(name, "") for name in FUNCTIONS]
DEFERRED_REQUESTS = [REQUEST_TEMPLATE.format(name, "X-Amz-Invocation-Type: Event\r\n") for name in FUNCTIONS]
LOAD_PROCESSES = 4


def run_load(
    addresses: list[str], requests: list[str], connections: int, seconds: float
) -> tuple[float, float, float, int]:
    """Generate load from several processes; return calls a second, p50 and p99 in ms, and errors."""
    connection_counts = [
        connections // LOAD_PROCESSES + (n < connections % LOAD_PROCESSES) for n in range(LOAD_PROCESSES)
    ]
    running = []
    for number, connection_count in enumerate(connection_counts):
        if not connection_count:
            continue
        process = subprocess.Popen(
            [sys.executable, str(BENCHMARKS / "load.py")],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdin is not None
        rotated_addresses = addresses[number % len(addresses) :] + addresses[: number % len(addresses)]
        process.stdin.write(
            json.dumps(
                {
                    "addresses": rotated_addresses,
                    "requests": requests[2 * number :] + requests[: 2 * number],
                    "connections": connection_count,
                    "seconds": seconds,
                }
            )
            + "\n"
        )
        process.stdin.flush()
        running.append(process)
    latencies_s: list[float] = []
    errors: list[str] = []
    for process in running:
        output, _ = process.communicate(timeout=seconds + 60)
        result = json.loads(output)
        latencies_s += result["times"]
        errors += result["errors"]
    latencies_s.sort()
    if not latencies_s:
        return 0.0, 0.0, 0.0, len(errors)
    return (
        len(latencies_s) / seconds,
        latencies_s[len(latencies_s) // 2] * 1000,
        latencies_s[int(len(latencies_s) * 0.99)] * 1000,
        len(errors),
    )


def rss_kb(pid: int) -> int:
    """Return the resident memory of a process in KiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def start_gateway(
    directory: pathlib.Path, content: dict[str, Any], processes: int = 1, cpus: str = "one"
) -> tuple[subprocess.Popen[str], str]:
    """Start a gateway; return its process and its address.

    Gateways that are compared must have the same CPU affinity.
    """
    path = directory / "gateway.json5"
    path.write_text(json.dumps(content))
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "saffronstack.cli.main",
            "serve",
            "--config",
            str(path),
            "--listen",
            "127.0.0.1:0",
            "--log-level",
            "error",
            "--processes",
            str(processes),
            "--cpus",
            cpus,
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    return process, process.stdout.readline().strip().rpartition("/")[2]


def measure_throughput(directory: pathlib.Path, seconds: float, connections: list[int]) -> None:
    """Compare workers, proxy, gateway and a multi-process gateway at each number of connections."""
    hosts = [
        StubWorkersProcess(
            {
                "count": 1,
                "log": os.devnull,
                "seed": n,
                "profiles": [
                    {"work_s": 0.0, "load_s": 0.001, "cores": 64, "memory_mb": 65536, "queue": 1024}
                ],
            }
        )
        for n in range(4)
    ]
    workers = [{**host.workers[0], "id": f"w{n}"} for n, host in enumerate(hosts)]
    addresses = [str(worker["address"]) for worker in workers]
    content = sample_config(workers, "127.0.0.1:0", str(directory / "ledger"), 65536)
    lookup = {"class": "lookup", "memory_mb": 128, "lanes": 64}
    content["functions"] += [{"name": name, **lookup} for name in FUNCTIONS]
    process, address = start_gateway(directory, content)
    (directory / "four").mkdir()
    multi_process_config = {**content, "ledger": {"directory": str(directory / "four")}}
    multi_process_gateway, multi_process_address = start_gateway(
        directory / "four", multi_process_config, LOAD_PROCESSES
    )
    proxy = subprocess.Popen(
        [sys.executable, str(BENCHMARKS / "proxy.py"), *addresses], stdout=subprocess.PIPE, text=True
    )
    assert proxy.stdout is not None
    proxy_address = proxy.stdout.readline().strip()
    try:
        run_load([address], SYNCHRONOUS_REQUESTS, 8, 1.0)
        print(f"{'connections':>11} {'path':<8} {'calls/s':>9} {'p50 ms':>8} {'p99 ms':>8} {'errors':>7}")
        for count in connections:
            rows = {}
            for path, targets in (
                ("direct", addresses),
                ("proxy", [proxy_address]),
                ("gateway", [address]),
                ("4 proc.", [multi_process_address]),
            ):
                rows[path] = run_load(targets, SYNCHRONOUS_REQUESTS, count, seconds)
                rate, p50, p99, errors = rows[path]
                print(f"{count:>11} {path:<8} {rate:>9.0f} {p50:>8.2f} {p99:>8.2f} {errors:>7}", flush=True)
            added_ms = rows["gateway"][1] - rows["direct"][1], rows["gateway"][2] - rows["direct"][2]
            print(
                f"{count:>11} gateway: "
                f"{rows['gateway'][0] / max(1, rows['proxy'][0]):.2f} of the proxy's rate, "
                f"adds {added_ms[0]:.2f} ms at p50, {added_ms[1]:.2f} ms at p99"
            )
            print(
                f"{count:>11} 4 processes: "
                f"{rows['4 proc.'][0] / max(1, rows['proxy'][0]):.2f} of the proxy's rate"
            )
        for count in (8, 128):
            rate, p50, p99, errors = run_load([address], DEFERRED_REQUESTS, count, seconds)
            print(
                f"deferred calls accepted with fsync, {count} connections: {rate:.0f}/s, p50 {p50:.2f} ms, "
                f"p99 {p99:.2f} ms, {errors} errors",
                flush=True,
            )
        measure_idle_memory(process.pid, address)
    finally:
        process.kill()
        multi_process_gateway.kill()
        proxy.kill()
        for host in hosts:
            host.end()


def measure_idle_memory(pid: int, address: str) -> None:
    """Print the resident memory that each idle connection takes."""
    host, _, port = address.rpartition(":")
    before = rss_kb(pid)
    socks = [socket.create_connection((host, int(port))) for _ in range(2000)]
    time.sleep(2.0)
    after = rss_kb(pid)
    print(
        f"memory for an idle connection: {(after - before) / len(socks):.1f} KiB resident ({len(socks)} open)"
    )
    for sock in socks:
        sock.close()


def measure_recovery(directory: pathlib.Path, count: int) -> None:
    """Print how long a gateway with `count` open deferred calls takes until it serves requests."""
    ledger_directory = directory / "open"
    ledger = open_ledger(str(ledger_directory), 1000, 64 << 20)
    start = time.perf_counter()
    tickets = [
        ledger.append(
            CallAccepted(
                f"00000000-0000-0000-0000-{n:012d}",
                "record-sale",
                "corner-books",
                b'{"isbn": "978-0", "price": 12}',
                "",
                f"k{n}",
                time.time(),
            )
        )
        for n in range(count)
    ]
    assert all(ticket.done.wait(60) and ticket.is_durable for ticket in tickets)
    print(
        f"wrote {count} open deferred calls in {time.perf_counter() - start:.2f} s, "
        f"{ledger.written_bytes / count:.0f} bytes each"
    )
    ledger.close()
    content = sample_config([], "127.0.0.1:0", str(ledger_directory))
    configs.parse(json.dumps(content))
    Functions(configs.parse(json.dumps(content)))
    start = time.perf_counter()
    recovered = open_ledger(str(ledger_directory), 1000, 64 << 20)
    print(f"read back {len(recovered.state.open)} open calls in {time.perf_counter() - start:.2f} s")
    recovered.close()
    start = time.perf_counter()
    process, address = start_gateway(directory, content)
    elapsed_s = time.perf_counter() - start
    client = Client(address, 10)
    state = json.loads(client.request("GET", "/status").body)
    print(
        f"a gateway is ready {elapsed_s:.2f} s after its start with "
        f"{state['deferred']['open']} open calls, "
        f"{rss_kb(process.pid) / 1024:.0f} MiB resident"
    )
    with contextlib.suppress(OSError):
        client.close()
    process.kill()


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--open", type=int, default=100_000)
    parser.add_argument("--connections", type=int, nargs="*", default=[1, 8, 32, 128])
    options = parser.parse_args()
    print(
        f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {LOAD_PROCESSES} load processes, "
        "4 workers in processes of their own"
    )
    with tempfile.TemporaryDirectory() as name:
        measure_throughput(pathlib.Path(name), options.seconds, options.connections)
        measure_recovery(pathlib.Path(name), options.open)


if __name__ == "__main__":
    main()
