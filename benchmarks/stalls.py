"""Stall the disk of a gateway under load and measure calls that need no disk before, during and after.

    python benchmarks/stalls.py                       # 8 clients, 64 deferred calls a second, a stall of 30 s

The gateway runs as a process. A control file of `slow_disk` makes its ledger writes hang.
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

OUTCOME_UNKNOWN = b"Saffronstack.OutcomeUnknown"


class Phase:
    """The responses of one phase of the run; client threads add to it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.lock = threading.Lock()
        self.calls: list[float] = []
        self.deferred: Counter[str] = Counter()
        self.slowest_s = 0.0

    def format_line(self, seconds: float) -> str:
        """Return the figures as readable text."""
        times = sorted(self.calls) or [0.0]
        p50, p99 = times[len(times) // 2], times[len(times) * 99 // 100]
        return (
            f"{self.name}: {len(self.calls) / seconds:.0f} calls a second that need no disk, "
            f"p50 {1000 * p50:.1f} ms, p99 {1000 * p99:.1f} ms; deferred: {dict(self.deferred)}, "
            f"slowest response {self.slowest_s:.2f} s"
        )


def main() -> int:
    """Return 1 if the rate of calls without disk use fell below 0.95 of that before the stall, else 0."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--accepts", type=float, default=64.0, help="deferred calls a second")
    parser.add_argument("--before", type=float, default=10.0)
    parser.add_argument("--stall", type=float, default=30.0)
    options = parser.parse_args()
    fleet = StubWorkerFleet(4, lambda n: Profile(load_s=0.05, work_s=0.002))
    with (
        tempfile.TemporaryDirectory(prefix="saffronstack-stalls-") as name,
        reserve_port("127.0.0.1") as port,
    ):
        directory = pathlib.Path(name)
        address = f"127.0.0.1:{port.getsockname()[1]}"
        content = sample_config(fleet.entries(), address, str(directory / "ledger"))
        content["ledger"]["commit_timeout_s"] = 5.0
        (directory / "gateway.json5").write_text(json.dumps(content))
        control_file = directory / "disk"
        slow_disk = [sys.executable, "-m", "saffronstack.harness.scenario.slow_disk", str(control_file)]
        command = [*slow_disk, "serve", "--log-level", "error"]
        process = subprocess.Popen(
            [*command, "--config", str(directory / "gateway.json5")], stdout=subprocess.PIPE
        )  # fmt: skip
        assert process.stdout is not None
        assert b"takes calls" in process.stdout.readline()
        phases = [Phase("before"), Phase("stalled"), Phase("after")]
        current_phase = [phases[0]]
        stopping = threading.Event()

        def send_calls(number: int) -> None:
            client = Client(address, 10.0)
            while not stopping.is_set():
                phase, began_s = current_phase[0], time.monotonic()
                if client.invoke("suggest-price", b"{}").status == 200:
                    with phase.lock:
                        phase.calls.append(time.monotonic() - began_s)
            client.close()

        def defer_call(number: int) -> None:
            client = Client(address, 20.0)
            phase, began_s = current_phase[0], time.monotonic()
            try:
                answer = client.invoke("record-sale", json.dumps({"op": str(number)}).encode(), "Event")
                outcome = "unknown" if OUTCOME_UNKNOWN in answer.body else str(answer.status)
            except (OSError, HttpError) as error:
                outcome = type(error).__name__
            client.close()
            with phase.lock:
                phase.deferred[outcome] += 1
                phase.slowest_s = max(phase.slowest_s, time.monotonic() - began_s)

        def defer_calls() -> None:
            number = 0
            while not stopping.wait(1.0 / options.accepts):
                number += 1
                start_thread("accept", lambda n=number: defer_call(n))  # type: ignore[misc]

        threads = [start_thread("caller", lambda n=n: send_calls(n)) for n in range(options.callers)]  # type: ignore[misc]
        threads.append(start_thread("accepts", defer_calls))
        time.sleep(2.0)
        phases[0].calls.clear()
        for phase, seconds, disk_command in (
            (0, options.before, ""),
            (1, options.stall, "hang"),
            (2, options.before, ""),
        ):
            current_phase[0] = phases[phase]
            control_file.with_suffix(".new").write_text(disk_command)
            os.replace(control_file.with_suffix(".new"), control_file)
            time.sleep(seconds)
        stopping.set()
        for thread in threads:
            thread.join(20.0)
        process.terminate()
        status = process.wait(30.0)
        process.stdout.close()
    fleet.stop()
    for phase, seconds in zip(phases, (options.before, options.stall, options.before), strict=True):
        print(phase.format_line(seconds))
    before, during = len(phases[0].calls) / options.before, len(phases[1].calls) / options.stall
    print(f"during the stall {during / before:.3f} of the rate before; the gateway exited with {status}")
    return 0 if during >= 0.95 * before and status == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
