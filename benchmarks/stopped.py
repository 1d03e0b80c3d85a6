"""Stop one of a gateway's processes (SIGSTOP) for a while, with and without `--replace-stopped`.

    python benchmarks/stopped.py                     # four processes, 16 clients, 8 s stopped

Clients open a connection for each call. Prints calls a second and the share answered in time: before the
stop, from two seconds after it until the process continues, and after that.
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

CALL_TIMEOUT_S = 1.0


def measure(processes: int, clients: int, stopped_s: float, timeout_s: str) -> None:
    """Run the gateway once with a replacement timeout and print the figures; 0 disables replacement."""
    fleet = StubWorkerFleet(4, lambda n: Profile(load_s=0.01, work_s=0.002))
    results: list[tuple[float, bool]] = []
    stopping = threading.Event()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "gateway.json5"
        path.write_text(json.dumps(sample_config(fleet.entries(), "127.0.0.1:0", f"{folder}/ledger")))
        command = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path)]
        command += ["--processes", str(processes), "--replace-stopped", timeout_s, "--log-level", "error"]
        gateway = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert gateway.stdout is not None
        address = gateway.stdout.readline().decode().strip().rpartition("/")[2]

        def send_calls() -> None:
            while not stopping.is_set():
                began_s = time.monotonic()
                client = Client(address, CALL_TIMEOUT_S, tenant="corner-books")
                try:
                    is_answered = client.invoke("identify-copy", b"{}").status == 200
                except (OSError, HttpError):
                    is_answered = False
                finally:
                    client.close()
                results.append((began_s, is_answered))

        pid = 0
        while not pid:
            client = Client(address, 2.0)
            state = msgspec.json.decode(client.request("GET", "/status?process=1").body)
            client.close()
            pid = int(state.get("pid", 0)) if state.get("process") == 1 else 0
        client_threads = [start_thread("caller", send_calls) for _ in range(clients)]
        time.sleep(4.0)
        stopped_at_s = time.monotonic()
        os.kill(pid, signal.SIGSTOP)
        time.sleep(stopped_s)
        try:
            os.kill(pid, signal.SIGCONT)
        except ProcessLookupError:
            pid = 0  # the supervisor replaced the process
        continued_at_s = time.monotonic()
        time.sleep(3.0)
        stopping.set()
        for client_thread in client_threads:
            client_thread.join(5.0)
        gateway.terminate()
        gateway.wait(30)
    fleet.stop()
    print(f"replaced after {timeout_s} s without a heartbeat" if timeout_s != "0" else "not replaced")
    spans = {
        "before": (stopped_at_s - 2.0, stopped_at_s),
        "from 2 s after the stop": (stopped_at_s + 2.0, continued_at_s),
        "after": (continued_at_s + 1.0, continued_at_s + 3.0),
    }
    for name, (since, until) in spans.items():
        answered = [is_answered for began_s, is_answered in results if since <= began_s < until]
        share = sum(answered) / max(1, len(answered))
        print(f"  {name}: {len(answered) / (until - since):.0f} calls a second, {share:.3f} answered in time")


def main() -> None:
    """Run without and with replacement of stopped processes."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    for timeout_s in ("0", "1"):
        measure(options.processes, options.clients, options.seconds, timeout_s)


if __name__ == "__main__":
    main()
