"""One of several processes of a gateway stopped (SIGSTOP) for a while, with the watch and without.

    python benchmarks/stopped.py                     # four processes, 16 clients, 8 s stopped

Clients make a connection for each call. Prints calls a second and the share answered in time before the stop,
while it lasts from two seconds on, and after it.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

import msgspec

from saffronstack.client import Client
from saffronstack.http1.messages import HttpError
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet, sample_config
from saffronstack.standin.model import Profile

PATIENCE_S = 1.0


def play(processes: int, clients: int, stopped_s: float, watch: str) -> None:
    """One run."""
    fleet = StubWorkerFleet(4, lambda n: Profile(load_s=0.01, work_s=0.002))
    told: list[tuple[float, bool]] = []
    ending = threading.Event()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "gateway.json5"
        path.write_text(json.dumps(sample_config(fleet.entries(), "127.0.0.1:0", f"{folder}/ledger")))
        command = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path)]
        command += ["--processes", str(processes), "--replace-stopped", watch, "--log-level", "error"]
        gateway = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert gateway.stdout is not None
        address = gateway.stdout.readline().decode().strip().rpartition("/")[2]

        def call() -> None:
            while not ending.is_set():
                began_s = time.monotonic()
                client = Client(address, PATIENCE_S, tenant="corner-books")
                try:
                    good = client.invoke("identify-copy", b"{}").status == 200
                except (OSError, HttpError):
                    good = False
                finally:
                    client.close()
                told.append((began_s, good))

        pid = 0
        while not pid:
            client = Client(address, 2.0)
            state = msgspec.json.decode(client.request("GET", "/status?process=1").body)
            client.close()
            pid = int(state.get("pid", 0)) if state.get("process") == 1 else 0
        callers = [start_thread("caller", call) for _ in range(clients)]
        time.sleep(4.0)
        at = time.monotonic()
        os.kill(pid, signal.SIGSTOP)
        time.sleep(stopped_s)
        try:
            os.kill(pid, signal.SIGCONT)
        except ProcessLookupError:
            pid = 0  # replaced
        over = time.monotonic()
        time.sleep(3.0)
        ending.set()
        for caller in callers:
            caller.join(5.0)
        gateway.terminate()
        gateway.wait(30)
    fleet.stop()
    print(f"replaced after {watch} s of silence" if watch != "0" else "nobody replaced")
    spans = {
        "before": (at - 2.0, at),
        "from 2 s after the stop": (at + 2.0, over),
        "after": (over + 1.0, over + 3.0),
    }
    for name, (since, until) in spans.items():
        some = [good for began_s, good in told if since <= began_s < until]
        share = sum(some) / max(1, len(some))
        print(f"  {name}: {len(some) / (until - since):.0f} calls a second, {share:.3f} answered in time")


def main() -> None:
    """See above."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=8.0)
    asked = parser.parse_args()
    for watch in ("0", "1"):
        play(asked.processes, asked.clients, asked.seconds, watch)


if __name__ == "__main__":
    main()
