"""Start many platform gateways at once, also on a busy machine, and measure the time until each is ready.

    python benchmarks/startup.py                          # 30 gateways, no other load
    python benchmarks/startup.py --gateways 60 --load 16   # beside 16 processes that use a core each

Gateways are started by the `run` line of deploy/balancer.toml on an existing build. A gateway is ready when
it responds to CHECK with UP. Exits with 1 if fewer than 90 % are ready within ten seconds.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from multiprocessing.process import BaseProcess

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))
from saffronstack.standin.platform import HostEntry, StubDnsServer
from saffronstack.standin.worker import reserve_port
from tests.support.platform import Client, ScriptedHost, config_text

ROOT = pathlib.Path(__file__).parent.parent
MAX_READY_S = 10.0
MIN_READY_SHARE = 0.9
START_TIMEOUT_S = 60.0
RETRY_S = 0.02
LOAD_LEAD_S = 0.5  # time for which the load runs before the first gateway starts


def use_core() -> None:
    """Use a core until the process is killed."""
    while True:
        sum(range(10_000))


def seconds_until_ready(address: tuple[str, int]) -> float:
    """Return the seconds until a gateway first responds UP, or infinity after a timeout."""
    began_s = time.monotonic()
    while time.monotonic() - began_s < START_TIMEOUT_S:
        try:
            client = Client(address)
        except OSError:
            time.sleep(RETRY_S)  # the gateway does not listen yet
            continue
        with client.sock:
            client.send(b"CHECK", b"1", b"")
            if client.read()[1] == "UP":
                return time.monotonic() - began_s
    return float("inf")


def start_gateway(
    folder: pathlib.Path, number: int, listen: str, directory: StubDnsServer
) -> subprocess.Popen[bytes]:
    """Start one gateway as the platform does."""
    path = folder / f"{number}.json"
    path.write_bytes(config_text(directory.address, directory.entries, listen=listen))
    run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    environment = {**os.environ, "LB_CONFIG": str(path), "LB_NAME": f"n{number}"}
    return subprocess.Popen(
        ["/bin/sh", "-c", run_command], cwd=ROOT, env=environment, stderr=subprocess.DEVNULL
    )  # fmt: skip


def measure(gateways: int) -> list[float]:
    """Start all gateways; return the seconds until each was ready, in ascending order."""
    host = ScriptedHost()
    directory = StubDnsServer(HostEntry("s-1", host.address))
    ports = [reserve_port("127.0.0.1") for _ in range(gateways)]
    addresses = [("127.0.0.1", sock.getsockname()[1]) for sock in ports]
    ready_times_s: list[float] = []
    with tempfile.TemporaryDirectory(prefix="saffronstack-startup-") as name:
        waiting = []
        started = []
        for number, address in enumerate(addresses):
            started.append(start_gateway(pathlib.Path(name), number, f"127.0.0.1:{address[1]}", directory))
            waiting.append(
                threading.Thread(
                    target=lambda address=address: ready_times_s.append(seconds_until_ready(address))
                )
            )
            waiting[-1].start()
        for thread in waiting:
            thread.join()
        for gateway in started:
            gateway.send_signal(signal.SIGTERM)
        for gateway in started:
            gateway.wait(START_TIMEOUT_S)
    directory.close()
    return sorted(ready_times_s)


def main() -> int:
    """Measure and print the times; return the exit status."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--gateways", type=int, default=30)
    parser.add_argument("--load", type=int, default=0, help="processes that use a core each")
    options = parser.parse_args()
    load: list[BaseProcess] = [multiprocessing.Process(target=use_core) for _ in range(options.load)]
    for process in load:
        process.start()
    try:
        time.sleep(LOAD_LEAD_S)
        ready_times_s = measure(options.gateways)
    finally:
        for process in load:
            process.kill()
    in_time = sum(seconds <= MAX_READY_S for seconds in ready_times_s)
    median_s, last_s = ready_times_s[len(ready_times_s) // 2], ready_times_s[-1]
    print(
        f"{options.gateways} gateways with {options.load} busy processes on {os.cpu_count()} cores: "
        f"ready after {median_s:.2f} s at the median, {last_s:.2f} s at most; "
        f"{in_time} within {MAX_READY_S:g} s"
    )
    return 0 if in_time >= MIN_READY_SHARE * options.gateways else 1


if __name__ == "__main__":
    sys.exit(main())
