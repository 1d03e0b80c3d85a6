"""Three lease servers on loopback sockets, for tests."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from saffronstack.durable.file_operations import FileOperations
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.fleet.leases.disk import AcceptorDisk
from saffronstack.fleet.leases.lease_server import LeaseServer
from saffronstack.fleet.leases.limits import LeaseFleet, LeaseLimits
from saffronstack.standin.worker import reserve_port
from tests.support.stack import eventually

NAMES = ("k0", "k1", "k2")


def acceptor_disk(
    directory: pathlib.Path, files: FileOperations | None = None, *, fleet: str = "f", server: str = "k0"
) -> AcceptorDisk:
    return AcceptorDisk(str(directory), fleet, server, NAMES, files)


class ThreeLeaseServers:
    """Three servers in this process, on ports that stay reserved for them."""

    def __init__(self, directory: pathlib.Path, lease_s: float = 0.6) -> None:
        self.directory, self.lease_s = directory, lease_s
        self._ports = [reserve_port("127.0.0.1") for _ in NAMES]
        self.addresses = {
            name: f"127.0.0.1:{port.getsockname()[1]}" for name, port in zip(NAMES, self._ports, strict=True)
        }
        self.fleet = LeaseFleet("f", self.addresses, LeaseLimits(NAMES, max_lease_s=lease_s), timeout_s=0.5)
        self.servers: dict[str, LeaseServer] = {}
        self._clock_offset_s = 0.0
        for name in NAMES:
            AcceptorDisk(str(directory / name), "f", name, NAMES).establish()
            self.start(name)
        self._clock_offset_s = 2 * lease_s  # nothing was granted yet, so the wait of new servers is skipped
        self.wait_until_voting()

    def start(self, name: str) -> None:
        server = LeaseServer(
            name, self.fleet, str(self.directory / name),
            clock=lambda: time.monotonic() + self._clock_offset_s,
        )  # fmt: skip
        server.start()
        self.servers[name] = server

    def wait_until_voting(self) -> None:
        eventually(lambda: all(server.service.status().can_vote for server in self.servers.values()))

    def client(self, name: str) -> LeaseClient:
        return LeaseClient(replace(self.fleet, timeout_s=0.3), name, self.lease_s, 1)

    def write_config(self, **changes: object) -> str:
        path = self.directory / "fleet.json5"
        entries = [{"name": name, "address": address} for name, address in self.addresses.items()]
        content = {"fleet": "f", "keepers": entries, "lease_s": 2.0, "longest_s": 2.0, "wait_s": 0.5}
        path.write_text(json.dumps({**content, **changes}))
        return str(path)

    def stop(self) -> None:
        for server in self.servers.values():
            server.stop()
        for port in self._ports:
            port.close()


@contextmanager
def lease_servers(directory: pathlib.Path, lease_s: float = 0.6) -> Iterator[ThreeLeaseServers]:
    servers = ThreeLeaseServers(directory, lease_s)
    try:
        yield servers
    finally:
        servers.stop()


def run_saffron(*arguments: str, timeout: float = 30.0) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "saffronstack.cli.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=timeout, check=False)
