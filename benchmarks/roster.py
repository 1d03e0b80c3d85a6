"""From a list's write to the first routed call, from a drain to the last new call, and how long decisions
pause.

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


def put(path: pathlib.Path, entries: list[dict[str, Any]], generation: int) -> float:
    """Write a list whole; when its name was in place."""
    partial = path.with_suffix(".new")
    partial.write_text(json.dumps({"generation": generation, "workers": entries}))
    os.replace(partial, path)
    return time.monotonic()


def spread(times: list[float]) -> str:
    """p50 and p99 in milliseconds."""
    ordered = sorted(times)
    return (
        f"p50 {ordered[len(ordered) // 2] * 1e3:.1f} ms, p99 {ordered[int(len(ordered) * 0.99)] * 1e3:.1f} ms"
    )


def one(directory: pathlib.Path, size: int, rounds: int) -> None:
    """A list of so many workers, of which four are there and the others drain."""
    fleet = StubWorkerFleet(4, lambda n: Profile(work_s=0.0, load_s=0.001))
    there = fleet.entries()
    others = [
        {
            "id": f"other-{n}",
            "address": f"127.1.{n // 200 % 250}.{n % 200 + 1}:{1000 + n // 50000}",
            "kind": "standin",
            "state": "draining",
        }
        for n in range(size - len(there))
    ]
    path = directory / f"roster-{size}.json5"
    put(path, [*there[:2], *others], 1)
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
    pauses: list[float] = []
    stopping = threading.Event()
    names = count()

    def ask() -> None:
        """Calls one after another; the longest of each moment holds the pause of the decisions."""
        client = Client(f"{host}:{port}", 10.0)
        while not stopping.is_set():
            began = time.monotonic()
            # One that no worker has loaded: the worker with most room gets it.
            client.invoke(f"new-{next(names)}", b"{}")
            pauses.append(time.monotonic() - began)
        client.close()

    threads = [threading.Thread(target=ask) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    routed: list[float] = []
    drained: list[float] = []
    calm = list(pauses)
    pauses.clear()
    generation = 1
    new = fleet.workers[2]
    for _ in range(rounds):
        generation += 1
        known = len(new.log)
        at = put(path, [*there[:3], *others], generation)
        while not any(e["what"] == "arrive" for e in new.log[known:]) and time.monotonic() < at + 10:
            time.sleep(0.001)
        first = next((float(str(e["t"])) for e in new.log[known:] if e["what"] == "arrive"), at + 10)
        routed.append(first - at)
        generation += 1
        at = put(path, [*there[:2], {**there[2], "state": "draining"}, *others], generation)
        time.sleep(0.5 + size / 10_000)
        arrived = [float(str(e["t"])) for e in new.log if e["what"] == "arrive"]
        drained.append(max(0.0, arrived[-1] - at) if arrived else 0.0)
    stopping.set()
    for thread in threads:
        thread.join(10)
    print(f"{size} workers: write to first call {spread(routed)}; drain to last new call {spread(drained)}")
    print(f"  a call meanwhile: {spread(pauses)}, longest {max(pauses) * 1e3:.1f} ms; before: {spread(calm)}")
    gateway.stop()
    fleet.stop()


def main() -> None:
    """Run all sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="12,1000,10000")
    parser.add_argument("--rounds", type=int, default=20)
    options = parser.parse_args()
    print(
        f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; 4 emulated workers, the others only listed"
    )
    with tempfile.TemporaryDirectory() as name:
        for size in options.sizes.split(","):
            one(pathlib.Path(name), int(size), options.rounds)


if __name__ == "__main__":
    main()
