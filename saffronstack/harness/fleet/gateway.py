"""One gateway of a fleet, which can be started again."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Iterable

from saffronstack.harness.fleet.plan import FleetPlan
from saffronstack.standin.platform import HostEntry
from saffronstack.standin.worker import reserve_port


class Gateway:
    """One gateway process. Its address and configuration file stay the same over restarts."""

    def __init__(self, number: int, folder: pathlib.Path, plan: FleetPlan) -> None:
        self.number = number
        self.plan = plan
        self.path = folder / f"gateway-{number}.json"
        self.log = folder / f"gateway-{number}.log"
        self._port_holder = reserve_port("127.0.0.1")  # reserves the port between two incarnations
        self.address = ("127.0.0.1", self._port_holder.getsockname()[1])
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0

    def write(self, nameserver: str, entries: Iterable[HostEntry], serial: int) -> None:
        """Replace the configuration file atomically."""
        states = {True: "Terminating", False: "Ready"}
        endpoints = [
            {
                "name": entry.name, "address": entry.address, "zone": entry.zone, "type": "std", "group": 0,
                "status": states[entry.draining], "weight": entry.weight, "since_ms": entry.started,
            }
            for entry in entries
        ]  # fmt: skip
        pool = {"index": 0, "snapshot": True, "endpoints": endpoints}
        content = {
            "name": f"n{self.number}", "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": f"{self.plan.seed * 100_000 + self.number * 100 + self.start_count:016x}",
            "nameserver": nameserver, "known": {"rev": serial, "notices": [{"rev": serial, "pool": pool}]},
            "limits": {
                "cores": 1.0, "memory_mb": self.plan.memory_limit_mb, "sockets": self.plan.sockets,
            },
            "settings": self.plan.settings(self.number),
        }  # fmt: skip
        partial = self.path.with_suffix(".tmp")
        partial.write_text(json.dumps(content))
        os.replace(partial, self.path)

    def start(self) -> None:
        """Start the process; `is_ready` returns whether it accepts calls."""
        self.start_count += 1
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "saffronstack.platform"], stderr=log,
                env={**os.environ, "LB_CONFIG": str(self.path), "LB_NAME": f"n{self.number}"},
            )  # fmt: skip

    def is_ready(self) -> bool:
        """Return whether this incarnation accepts calls.

        Raises:
            AssertionError: The process has ended.
        """
        assert self.process is not None, self.log.read_text()
        assert self.process.poll() is None, self.log.read_text()
        return self.log.read_text().count("takes calls") >= self.start_count

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = 20.0) -> int:
        """Wait for the process; return its exit status. A process that does not end in time is killed."""
        assert self.process is not None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return -int(signal.SIGKILL)

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors; 0 if the process has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        return 0

    def memory_mb(self) -> float:
        """Return the resident memory; 0 if the process has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0
