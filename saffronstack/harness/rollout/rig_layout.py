"""Names, addresses and files of the processes of a rollout harness."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from saffronstack.standin.worker import reserve_port

FLEET = "rig"
ZONES = ("east", "west", "south")
LEASE_SERVER_COUNT = 3


@dataclass(frozen=True)
class HarnessSizes:
    """Numbers of processes, load and timeouts of a harness.

    Attributes:
        gateways: Number of gateways, distributed evenly over the daemons.
        daemons: Number of daemons, each in one zone.
        workers: Number of stub workers, shared by all gateways.
        rate: Requests per second to all gateways together.
        clients: Maximum number of client connections.
        lease_s: Duration of leases.
        wait_s: Timeout of requests to lease servers and daemons.
        drain_s: Drain grace of gateways.
        attempts: Maximum number of attempts of a client for one operation.
        seed: Seed of the load and of the workers.
    """

    gateways: int = 12
    daemons: int = 4
    workers: int = 6
    rate: float = 120.0
    clients: int = 48
    lease_s: float = 3.0
    wait_s: float = 1.0
    drain_s: float = 8.0
    attempts: int = 4
    seed: int = 1


class HarnessLayout:
    """Reserves a port for each process until it is closed."""

    def __init__(self, directory: pathlib.Path, sizes: HarnessSizes) -> None:
        self.directory, self.sizes = directory, sizes
        self.releases = directory / "releases"
        count = LEASE_SERVER_COUNT + sizes.daemons + sizes.gateways
        self._ports = [reserve_port("127.0.0.1") for _ in range(count)]
        addresses = iter([f"127.0.0.1:{port.getsockname()[1]}" for port in self._ports])
        self.lease_servers = {f"k{number}": next(addresses) for number in range(LEASE_SERVER_COUNT)}
        self.daemons = {f"d{number}": next(addresses) for number in range(sizes.daemons)}
        self.gateways = {f"g{number}": next(addresses) for number in range(sizes.gateways)}
        self.daemon_of = {f"g{number}": f"d{number % sizes.daemons}" for number in range(sizes.gateways)}

    def close(self) -> None:
        """Release the reserved ports."""
        for port in self._ports:
            port.close()

    def state_directory(self, process: str) -> pathlib.Path:
        """Return the state directory of a lease server or a daemon."""
        return self.directory / f"state-{process}"

    def log_path(self, process: str) -> pathlib.Path:
        """Return the path of the log of a process."""
        return self.directory / f"{process}.log"

    def write_fleet_file(self, name: str, daemons: Mapping[str, str]) -> pathlib.Path:
        """Write a fleet file in which the daemons have the given addresses."""
        sizes = self.sizes
        entries = [
            self._daemon_entry(daemon, address, ZONES[number % len(ZONES)])
            for number, (daemon, address) in enumerate(daemons.items())
        ]
        content = {
            "fleet": FLEET, "lease_s": sizes.lease_s, "longest_s": 2 * sizes.lease_s, "wait_s": sizes.wait_s,
            "keepers": [{"name": name, "address": address} for name, address in self.lease_servers.items()],
            "daemons": entries,
        }  # fmt: skip
        return self.write_json(name, content)

    def write_json(self, name: str, content: Mapping[str, Any]) -> pathlib.Path:
        """Write a configuration file and return its path."""
        path = self.directory / name
        path.write_text(json.dumps(content, indent=1))
        return path

    def _daemon_entry(self, daemon: str, address: str, zone: str) -> dict[str, Any]:
        gateways = [
            {
                "name": gateway, "listen": self.gateways[gateway], "zone": zone,
                "config": str(self.directory / f"{gateway}.json5"), "drain_s": self.sizes.drain_s,
            }
            for gateway, owner in self.daemon_of.items() if owner == daemon
        ]  # fmt: skip
        return {
            "name": daemon, "address": address, "releases": str(self.releases),
            "state_directory": str(self.state_directory(daemon)), "gateways": gateways,
        }  # fmt: skip
