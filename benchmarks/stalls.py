"""A gateway whose disk hangs for a while under load: what calls without a disk get, before, during and after.

    python benchmarks/stalls.py                       # 8 callers, 64 deferred calls a second, a stall of 30 s

The gateway is a process of its own with a ledger on a disk that a file rules: `slow_disk`.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter

from saffronstack.client import Client
from saffronstack.http1.messages import HttpError
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet, sample_config
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import reserve_port

UNKNOWN = b"Saffronstack.OutcomeUnknown"


class Phase:
    """What came back in a part of the run; threads add to it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.lock = threading.Lock()
        self.calls: list[float] = []
        self.deferred: Counter[str] = Counter()
        self.slowest_s = 0.0

    def line(self, seconds: float) -> str:
        """For a person."""
        times = sorted(self.calls) or [0.0]
        p50, p99 = times[len(times) // 2], times[len(times) * 99 // 100]
        return (
            f"{self.name}: {len(self.calls) / seconds:.0f} calls a second without a disk, "
            f"p50 {1000 * p50:.1f} ms, p99 {1000 * p99:.1f} ms; deferred: {dict(self.deferred)}, "
            f"slowest answer {self.slowest_s:.2f} s"
        )


def main() -> int:
    """1 where calls without a disk fell under 0.95 of their rate before."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--accepts", type=float, default=64.0, help="deferred calls a second")
    parser.add_argument("--before", type=float, default=10.0)
    parser.add_argument("--stall", type=float, default=30.0)
    asked = parser.parse_args()
    fleet = StubWorkerFleet(4, lambda n: Profile(load_s=0.05, work_s=0.002))
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-stalls-") as name,
        reserve_port("127.0.0.1") as held,
    ):
        folder = pathlib.Path(name)
        address = f"127.0.0.1:{held.getsockname()[1]}"
        content = sample_config(fleet.entries(), address, str(folder / "ledger"))
        content["ledger"]["commit_timeout_s"] = 5.0
        (folder / "gateway.json5").write_text(json.dumps(content))
        word = folder / "disk"
        slow = [sys.executable, "-m", "saffronstack.harness.scenario.slow_disk", str(word)]
        command = [*slow, "serve", "--log-level", "error"]
        process = subprocess.Popen(
            [*command, "--config", str(folder / "gateway.json5")], stdout=subprocess.PIPE
        )  # fmt: skip
        assert process.stdout is not None
        assert b"takes calls" in process.stdout.readline()
        phases = [Phase("before"), Phase("stalled"), Phase("after")]
        now = [phases[0]]
        over = threading.Event()

        def call(number: int) -> None:
            client = Client(address, 10.0)
            while not over.is_set():
                phase, began_s = now[0], time.monotonic()
                if client.invoke("suggest-price", b"{}").status == 200:
                    with phase.lock:
                        phase.calls.append(time.monotonic() - began_s)
            client.close()

        def accept(number: int) -> None:
            client = Client(address, 20.0)
            phase, began_s = now[0], time.monotonic()
            try:
                answer = client.invoke("record-sale", json.dumps({"op": str(number)}).encode(), "Event")
                end = "unknown" if UNKNOWN in answer.body else str(answer.status)
            except (OSError, HttpError) as error:
                end = type(error).__name__
            client.close()
            with phase.lock:
                phase.deferred[end] += 1
                phase.slowest_s = max(phase.slowest_s, time.monotonic() - began_s)

        def accepts() -> None:
            number = 0
            while not over.wait(1.0 / asked.accepts):
                number += 1
                start_thread("accept", lambda n=number: accept(n))  # type: ignore[misc]

        threads = [start_thread("caller", lambda n=n: call(n)) for n in range(asked.callers)]  # type: ignore[misc]
        threads.append(start_thread("accepts", accepts))
        time.sleep(2.0)
        phases[0].calls.clear()
        for phase, seconds, told in ((0, asked.before, ""), (1, asked.stall, "hang"), (2, asked.before, "")):
            now[0] = phases[phase]
            word.with_suffix(".new").write_text(told)
            os.replace(word.with_suffix(".new"), word)
            time.sleep(seconds)
        over.set()
        for thread in threads:
            thread.join(20.0)
        process.terminate()
        status = process.wait(30.0)
        process.stdout.close()
    fleet.stop()
    for phase, seconds in zip(phases, (asked.before, asked.stall, asked.before), strict=True):
        print(phase.line(seconds))
    before, during = len(phases[0].calls) / asked.before, len(phases[1].calls) / asked.stall
    print(f"during the stall {during / before:.3f} of the rate before; the gateway ended with {status}")
    return 0 if during >= 0.95 * before and status == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
