"""A gateway and stub workers in the test's own process, with short deadlines."""

from __future__ import annotations

import json
import pathlib
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from saffronstack import config as configs
from saffronstack.client import Client, Response
from saffronstack.gateway import Gateway
from saffronstack.standin.fleet import StubWorkerFleet, sample_config
from saffronstack.standin.model import Profile

DEADLINE_S = 1.2
AMPLE_DEADLINE_S = 20.0  # for tests that must also pass on a busy machine
QUICK_PROFILE = Profile(work_s=0.002, load_s=0.02)


@dataclass
class Stack:
    """A running gateway with its stub workers."""

    gateway: Gateway
    fleet: StubWorkerFleet
    content: dict[str, Any]
    address: str

    def client(self, timeout_s: float = 30.0, **options: Any) -> Client:
        """Return a client of the gateway."""
        return Client(self.address, timeout_s, **options)

    def call(self, function: str, payload: bytes = b"{}", kind: str = "RequestResponse") -> Response:
        """Send one request on a new connection."""
        client = self.client()
        try:
            return client.invoke(function, payload, kind)
        finally:
            client.close()

    def get(self, path: str) -> Response:
        """Send one GET request on a new connection."""
        client = self.client()
        try:
            return client.request("GET", path)
        finally:
            client.close()

    def run_count(self, function: str = "") -> int:
        """Return how often a function, or any function, ran at all workers."""
        return sum(len(worker.runs(function)) for worker in self.fleet.workers)

    def final_record(self, request_id: str, timeout_s: float = 30.0) -> dict[str, Any]:
        """Wait for the final record of a deferred call and return it."""

        def ready() -> Response | None:
            response = self.get(f"/deferred/{request_id}")
            return response if response.status != 202 else None

        response = eventually(ready, timeout_s)
        assert response.status == 200, response.body
        found: dict[str, Any] = json.loads(response.body)
        return found

    def connect(self) -> socket.socket:
        """Open a TCP connection to the gateway."""
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=5)
        sock.settimeout(5)
        return sock


def eventually(condition: Callable[[], Any], timeout_s: float = 30.0) -> Any:
    """Wait until ``condition`` returns a true value and return it; fail after ``timeout_s``."""
    end_s = time.monotonic() + timeout_s
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < end_s, "it did not come about in time"
        time.sleep(0.005)


def configuration(
    fleet: StubWorkerFleet, ledger: pathlib.Path | None = None, deadline_s: float = DEADLINE_S, **changes: Any
) -> dict[str, Any]:
    """Return the sample configuration with short deadlines and with some keys replaced."""
    content = sample_config(fleet.entries(), "127.0.0.1:0", str(ledger) if ledger else "")
    for class_settings in content["classes"]:
        class_settings["deadline_s"] = deadline_s
    content["answer_margin_s"] = 0.2
    if ledger:
        content["ledger"]["commit_timeout_s"] = 25.0  # tests must also pass beside a busy disk
    content.update(changes)
    return content


@contextmanager
def running_gateway(
    count: int = 2,
    ledger: pathlib.Path | None = None,
    profile: Profile = QUICK_PROFILE,
    fleet: StubWorkerFleet | None = None,
    **changes: Any,
) -> Iterator[Stack]:
    """Run a gateway with ``count`` stub workers, or with those of ``fleet``, until the block ends."""
    owns_fleet = fleet is None
    fleet = fleet or StubWorkerFleet(count, lambda n: profile)
    try:
        content = configuration(fleet, ledger, **changes)
        gateway = Gateway(configs.parse(json.dumps(content)))
        host, port = gateway.start()
        try:
            yield Stack(gateway, fleet, content, f"{host}:{port}")
        finally:
            gateway.stop()
    finally:
        if owns_fleet:
            fleet.stop()


def read_all(sock: socket.socket) -> bytes:
    """Read all bytes up to the end of the connection."""
    data = b""
    while True:
        try:
            chunk = sock.recv(65536)
        except ConnectionResetError:
            return data
        if not chunk:
            return data
        data += chunk
