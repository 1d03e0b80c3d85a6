"""Measure updates of the endpoint list file and the latency of calls during them.

Prints the delay from the write of a list to the first call to an added worker, and from the write of a
draining state to the last new call to that worker.

python benchmarks/roster.py [--sizes 12,1000,10000] [--rounds 20]
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import sys
import tempfile
import threading
import time
from itertools import count
from typing import Any

import structlog

from saffronstack import config as configs
from saffronstack.client import Client
from saffronstack.gateway import Gateway
from saffronstack.standin.fleet import StubWorkerFleet, sample_config
from saffronstack.standin.model import Profile


def write_list(path: pathlib.Path, entries: list[dict[str, Any]], generation: int) -> float:
    """Write a list atomically; return the time of the rename."""
    partial = path.with_suffix(".new")
    partial.write_text(json.dumps({"generation": generation, "workers": entries}))
    os.replace(partial, path)
    return time.monotonic()


def format_percentiles(times: list[float]) -> str:
    """Return p50 and p99 in milliseconds as text."""
    ordered = sorted(times)
    return (
        f"p50 {ordered[len(ordered) // 2] * 1e3:.1f} ms, p99 {ordered[int(len(ordered) * 0.99)] * 1e3:.1f} ms"
    )


def measure(directory: pathlib.Path, size: int, rounds: int) -> None:
    """Measure with a list of `size` workers; four are running, the others are listed as draining."""
    fleet = StubWorkerFleet(4, lambda n: Profile(work_s=0.0, load_s=0.001))
    running = fleet.entries()
    unreachable = [
        {
            "id": f"other-{n}",
            "address": f"127.1.{n // 200 % 250}.{n % 200 + 1}:{1000 + n // 50000}",
            "kind": "standin",
            "state": "draining",
        }
        for n in range(size - len(running))
    ]
    path = directory / f"roster-{size}.json5"
    write_list(path, [*running[:2], *unreachable], 1)
    content = sample_config([], "127.0.0.1:0", "", 4096)
    content["functions"].append({"name": "new-*", "class": "lookup", "memory_mb": 8, "lanes": 1})
    content["roster"] = {
        "path": str(path),
        "state_directory": str(directory / f"state-{size}"),
        "removed_share": 1.0,
        "flaps": 1000000,
    }
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    gateway = Gateway(configs.parse(json.dumps(content)))
    host, port = gateway.start()
    latencies_s: list[float] = []
    stopping = threading.Event()
    names = count()

    def send_calls() -> None:
        """Send calls one after another; the longest latency shows how long decisions were blocked."""
        client = Client(f"{host}:{port}", 10.0)
        while not stopping.is_set():
            began = time.monotonic()
            # No worker has loaded the function, so the worker with the most free memory gets it.
            client.invoke(f"new-{next(names)}", b"{}")
            latencies_s.append(time.monotonic() - began)
        client.close()

    threads = [threading.Thread(target=send_calls) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    routing_delays_s: list[float] = []
    drain_delays_s: list[float] = []
    latencies_before_s = list(latencies_s)
    latencies_s.clear()
    generation = 1
    added_worker = fleet.workers[2]
    for _ in range(rounds):
        generation += 1
        log_length = len(added_worker.log)
        written_s = write_list(path, [*running[:3], *unreachable], generation)
        while (
            not any(entry["what"] == "arrive" for entry in added_worker.log[log_length:])
            and time.monotonic() < written_s + 10
        ):
            time.sleep(0.001)
        first = next(
            (float(str(entry["t"])) for entry in added_worker.log[log_length:] if entry["what"] == "arrive"),
            written_s + 10,
        )
        routing_delays_s.append(first - written_s)
        generation += 1
        written_s = write_list(
            path, [*running[:2], {**running[2], "state": "draining"}, *unreachable], generation
        )
        time.sleep(0.5 + size / 10_000)
        arrived = [float(str(entry["t"])) for entry in added_worker.log if entry["what"] == "arrive"]
        drain_delays_s.append(max(0.0, arrived[-1] - written_s) if arrived else 0.0)
    stopping.set()
    for thread in threads:
        thread.join(10)
    print(
        f"{size} workers: write to first call {format_percentiles(routing_delays_s)}; "
        f"drain to last new call {format_percentiles(drain_delays_s)}"
    )
    print(
        f"  call latency meanwhile: {format_percentiles(latencies_s)}, "
        f"longest {max(latencies_s) * 1e3:.1f} ms; before: {format_percentiles(latencies_before_s)}"
    )
    gateway.stop()
    fleet.stop()


def main() -> None:
    """Run all list sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="12,1000,10000")
    parser.add_argument("--rounds", type=int, default=20)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; 4 stub workers, the others only listed")
    with tempfile.TemporaryDirectory() as name:
        for size in options.sizes.split(","):
            measure(pathlib.Path(name), int(size), options.rounds)


if __name__ == "__main__":
    main()
