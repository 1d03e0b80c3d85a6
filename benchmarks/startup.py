"""Many gateways of the platform started at once: how long until each is ready, beside a load too.

    python benchmarks/startup.py                          # 30 gateways, no load beside them
    python benchmarks/startup.py --gateways 60 --load 16   # beside 16 processes that use a core each

Started by the `run` line of deploy/balancer.toml, on what `build` left. Ready: answers CHECK with UP. Ends
with 1 where fewer than nine in ten are ready within ten seconds.
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
READY_S = 10.0
READY_PART = 0.9
GIVEN_UP_S = 60.0
RETRY_S = 0.02
LOAD_FIRST_S = 0.5  # the load runs before the first gateway starts


def use_core() -> None:
    """Until it is ended."""
    while True:
        sum(range(10_000))


def seconds_until_ready(address: tuple[str, int]) -> float:
    """From now until its first answer of UP; infinity where there is none in time."""
    began_s = time.monotonic()
    while time.monotonic() - began_s < GIVEN_UP_S:
        try:
            client = Client(address)
        except OSError:
            time.sleep(RETRY_S)  # it does not listen yet
            continue
        with client.sock:
            client.send(b"CHECK", b"1", b"")
            if client.read()[1] == "UP":
                return time.monotonic() - began_s
    return float("inf")


def start(
    folder: pathlib.Path, number: int, listen: str, directory: StubDnsServer
) -> subprocess.Popen[bytes]:
    """One gateway, as the platform starts it."""
    path = folder / f"{number}.json"
    path.write_bytes(config_text(directory.address, directory.entries, listen=listen))
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    environment = {**os.environ, "LB_CONFIG": str(path), "LB_NAME": f"n{number}"}
    return subprocess.Popen(
        ["/bin/sh", "-c", line], cwd=ROOT, env=environment, stderr=subprocess.DEVNULL
    )  # fmt: skip


def measure(gateways: int) -> list[float]:
    """Start them all and wait for each on a thread of its own; seconds until ready, in ascending order."""
    host = ScriptedHost()
    directory = StubDnsServer(HostEntry("s-1", host.address))
    held = [reserve_port("127.0.0.1") for _ in range(gateways)]
    addresses = [("127.0.0.1", sock.getsockname()[1]) for sock in held]
    found: list[float] = []
    with tempfile.TemporaryDirectory(prefix="saffronstack-startup-") as name:
        waiting = []
        programs = []
        for number, address in enumerate(addresses):
            programs.append(start(pathlib.Path(name), number, f"127.0.0.1:{address[1]}", directory))
            waiting.append(threading.Thread(target=lambda at=address: found.append(seconds_until_ready(at))))
            waiting[-1].start()
        for thread in waiting:
            thread.join()
        for program in programs:
            program.send_signal(signal.SIGTERM)
        for program in programs:
            program.wait(GIVEN_UP_S)
    directory.close()
    return sorted(found)


def main() -> int:
    """See above."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--gateways", type=int, default=30)
    parser.add_argument("--load", type=int, default=0, help="processes that use a core each")
    options = parser.parse_args()
    load: list[BaseProcess] = [multiprocessing.Process(target=use_core) for _ in range(options.load)]
    for process in load:
        process.start()
    try:
        time.sleep(LOAD_FIRST_S)
        found = measure(options.gateways)
    finally:
        for process in load:
            process.kill()
    in_time = sum(seconds <= READY_S for seconds in found)
    median_s, last_s = found[len(found) // 2], found[-1]
    print(
        f"{options.gateways} gateways beside {options.load} busy processes on {os.cpu_count()} cores: "
        f"ready after {median_s:.2f} s at the median, {last_s:.2f} s at most; {in_time} within {READY_S:g} s"
    )
    return 0 if in_time >= READY_PART * options.gateways else 1


if __name__ == "__main__":
    sys.exit(main())
