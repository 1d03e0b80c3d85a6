"""A gateway and stand-in workers in the test's own process, with short deadlines."""

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
AMPLE_DEADLINE_S = 20.0  # for tests that are not about time: a busy machine is no failure that they mean
QUICK_PROFILE = Profile(work_s=0.002, load_s=0.02)


@dataclass
class Stack:
    """A running gateway before stand-ins."""

    gateway: Gateway
    fleet: StubWorkerFleet
    content: dict[str, Any]
    address: str

    def client(self, timeout_s: float = 30.0, **more: Any) -> Client:
        """A client of the gateway."""
        return Client(self.address, timeout_s, **more)

    def call(self, function: str, payload: bytes = b"{}", kind: str = "RequestResponse") -> Response:
        """One call on a connection of its own."""
        client = self.client()
        try:
            return client.invoke(function, payload, kind)
        finally:
            client.close()

    def get(self, path: str) -> Response:
        """One GET."""
        client = self.client()
        try:
            return client.request("GET", path)
        finally:
            client.close()

    def run_count(self, function: str = "") -> int:
        """How often it ran, at all workers."""
        return sum(len(worker.runs(function)) for worker in self.fleet.workers)

    def final_record(self, request_id: str, timeout_s: float = 30.0) -> dict[str, Any]:
        """The final record of a deferred call."""

        def ready() -> Response | None:
            answer = self.get(f"/deferred/{request_id}")
            return answer if answer.status != 202 else None

        answer = eventually(ready, timeout_s)
        assert answer.status == 200, answer.body
        found: dict[str, Any] = json.loads(answer.body)
        return found

    def connect(self) -> socket.socket:
        """A bare connection to the gateway."""
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=5)
        sock.settimeout(5)
        return sock


def eventually(condition: Callable[[], Any], timeout_s: float = 30.0) -> Any:
    """What ``look`` yields once it is true; AssertionError where it stays false for so long."""
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
    """The sample configuration with short deadlines and some parts changed."""
    content = sample_config(fleet.entries(), "127.0.0.1:0", str(ledger) if ledger else "")
    for cls in content["classes"]:
        cls["deadline_s"] = deadline_s
    content["answer_margin_s"] = 0.2
    if ledger:
        content["ledger"]["commit_timeout_s"] = 25.0  # a busy disk is no failure that a test means
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
    """A gateway before so many stand-ins; both end with the test."""
    own = fleet is None
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
        if own:
            fleet.stop()


def read_all(sock: socket.socket) -> bytes:
    """Everything up to the end of the connection."""
    data = b""
    while True:
        try:
            more = sock.recv(65536)
        except ConnectionResetError:
            return data
        if not more:
            return data
        data += more
