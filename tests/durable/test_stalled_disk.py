"""Gateway processes on a stalled disk: clients are rejected at once, and no rejected call is executed."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from saffronstack.client import Client, Response
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import reserve_port
from tests.support.stack import configuration, eventually

COMMIT_TIMEOUT_S = 6.0
OUTCOME_UNKNOWN = b"Saffronstack.OutcomeUnknown"


@dataclass
class SentSale:
    """A sale that was sent, its response, and how long the response took."""

    op: str
    response: Response
    elapsed_s: float


class GatewayProcess:
    """A gateway process with a ledger on a disk whose faults a file controls."""

    def __init__(self, folder: pathlib.Path, fleet: StubWorkerFleet, stores_operations: bool = False) -> None:
        self._disk_state = folder / "disk"
        self.path = folder / "gateway.json5"
        content = configuration(fleet, folder / "ledger")
        content["ledger"]["commit_timeout_s"] = COMMIT_TIMEOUT_S
        if stores_operations:
            content["operations"] = {
                "directory": str(folder / "operations"),
                "commit_timeout_s": COMMIT_TIMEOUT_S,
            }
            sale = next(
                request_class for request_class in content["classes"] if request_class["name"] == "sale"
            )
            sale |= {"note_operations": True, "operation_window_s": 60.0, "deadline_s": 20.0}
        self.path.write_text(json.dumps(content))
        self._reserved_port = reserve_port("127.0.0.1")
        self.address = f"127.0.0.1:{self._reserved_port.getsockname()[1]}"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable, "-m", "saffronstack.harness.scenario.slow_disk", str(self._disk_state),
                "serve", "--config", str(self.path), "--listen", self.address, "--log-level", "error",
            ],
            stdout=subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stdout is not None
        assert b"takes calls" in self.process.stdout.readline()

    def stop(self, signal_number: signal.Signals) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        if self.process.returncode is not None:  # the process was stopped before
            return
        os.kill(self.process.pid, signal_number)
        self.process.wait(30.0)
        self.process.stdout.close()

    def close(self) -> None:
        self._reserved_port.close()

    def set_disk(self, state: str) -> None:
        partial = self._disk_state.with_suffix(".new")
        partial.write_text(state)
        os.replace(partial, self._disk_state)

    def defer(self, op: str) -> SentSale:
        client = Client(self.address, 30.0)
        started_s = time.monotonic()
        try:
            response = client.invoke("record-sale", json.dumps({"op": op}).encode(), "Event")
        finally:
            client.close()
        return SentSale(op, response, time.monotonic() - started_s)

    def status(self) -> dict[str, object]:
        client = Client(self.address, 10.0)
        try:
            return dict(json.loads(client.request("GET", "/status").body))
        finally:
            client.close()


@pytest.fixture
def fleet() -> Iterator[StubWorkerFleet]:
    fleet = StubWorkerFleet(2, lambda n: Profile(load_s=0.01, work_s=0.005))
    yield fleet
    fleet.stop()


@pytest.fixture
def gateway(
    request: pytest.FixtureRequest, tmp_path: pathlib.Path, fleet: StubWorkerFleet
) -> Iterator[GatewayProcess]:
    gateway = GatewayProcess(tmp_path, fleet, stores_operations=getattr(request, "param", False))
    gateway.start()
    yield gateway
    gateway.stop(signal.SIGTERM)
    gateway.close()


def executions(fleet: StubWorkerFleet) -> Counter[str]:
    """Count the executions of each operation."""
    return Counter(str(entry["op"]) for worker in fleet.workers for entry in worker.runs())


def test_a_stalled_disk_rejects_sales_at_once_and_none_of_them_is_executed(
    gateway: GatewayProcess, fleet: StubWorkerFleet
) -> None:
    sent: list[SentSale] = [gateway.defer(f"before-{n}") for n in range(3)]
    assert all(sale.response.status == 202 for sale in sent)
    eventually(lambda: gateway.status()["deferred"]["open"] == 0)  # type: ignore[index]
    gateway.set_disk(
        "hang"
    )  # once the calls above are final; else their records stall the disk before the next sales
    sent_lock = threading.Lock()

    def defer(op: str) -> None:
        sale = gateway.defer(op)
        with sent_lock:
            sent.append(sale)

    first_threads = [start_thread("sale", lambda n=n: defer(f"first-{n}")) for n in range(4)]  # type: ignore[misc]
    eventually(lambda: gateway.status()["deferred"]["ledger_stalled_s"] > 0)  # type: ignore[index]
    later_sales = [gateway.defer(f"later-{n}") for n in range(8)]
    for sale in later_sales:  # long before the commit timeout
        assert sale.response.status == 429, sale
        assert sale.elapsed_s < COMMIT_TIMEOUT_S / 2, sale
        assert int(sale.response.headers.get("retry-after")) >= 1
        assert b"has not answered for" in sale.response.body
    client = Client(gateway.address, 10.0)
    for _ in range(50):  # requests that need no disk are served
        assert client.invoke("identify-copy", b'{"op": "look"}').status == 200
    client.close()
    for thread in first_threads:
        thread.join(30.0)
    first_sales = [sale for sale in sent if sale.op.startswith("first")]
    unknown_sales = [sale for sale in first_sales if OUTCOME_UNKNOWN in sale.response.body]
    assert len(first_sales) == 4
    assert unknown_sales
    assert all(sale.response.status == 429 for sale in first_sales if sale not in unknown_sales)
    gateway.stop(signal.SIGKILL)  # the next incarnation reads what the page cache has of the hanging write
    gateway.set_disk("")
    gateway.start()
    retried_sales = [
        gateway.defer(sale.op) for sale in [*first_sales, *later_sales] if sale.response.status == 429
    ]
    assert all(sale.response.status == 202 for sale in retried_sales)
    eventually(lambda: gateway.status()["deferred"]["open"] == 0)  # type: ignore[index]
    runs = executions(fleet)
    assert runs.pop("look") == 50
    accepted_ops = [sale.op for sale in [*sent, *retried_sales] if sale.response.status == 202]
    assert all(runs[op] == 1 for op in accepted_ops), (runs, accepted_ops)
    assert max(runs.values()) == 1, runs
    assert any(runs[sale.op] for sale in unknown_sales), runs


def test_a_stall_that_ends_changes_nothing_for_the_gateway(
    gateway: GatewayProcess, fleet: StubWorkerFleet
) -> None:
    gateway.set_disk("hang")
    delayed_sales: list[SentSale] = []
    thread = start_thread("sale", lambda: delayed_sales.append(gateway.defer("waits")))
    eventually(lambda: gateway.status()["deferred"]["ledger_stalled_s"] > 0)  # type: ignore[index]
    assert gateway.defer("refused").response.status == 429
    gateway.set_disk("")
    thread.join(30.0)
    assert [sale.response.status for sale in delayed_sales] == [202]  # within the commit timeout
    eventually(lambda: gateway.status()["deferred"]["ledger_stalled_s"] == 0)  # type: ignore[index]
    assert gateway.defer("refused").response.status == 202
    eventually(lambda: gateway.status()["deferred"]["open"] == 0)  # type: ignore[index]
    runs = executions(fleet)
    assert runs == {"waits": 1, "refused": 1}
    gateway.stop(signal.SIGTERM)
    assert gateway.process is not None
    assert gateway.process.returncode == 0


@pytest.mark.parametrize("gateway", [True], indirect=True, ids=["with notes"])
def test_a_sale_whose_attempt_cannot_be_stored_first_is_rejected_at_once(
    gateway: GatewayProcess, fleet: StubWorkerFleet
) -> None:

    def invoke_sale(op: str) -> SentSale:
        client = Client(gateway.address, 30.0)
        started_s = time.monotonic()
        try:
            key_header = (("Idempotency-Key", op),)
            response = client.invoke("record-sale", json.dumps({"op": op}).encode(), extra=key_header)
        finally:
            client.close()
        return SentSale(op, response, time.monotonic() - started_s)

    assert invoke_sale("before").response.status == 200
    gateway.set_disk("hang")
    first_sales: list[SentSale] = []
    thread = start_thread("sale", lambda: first_sales.append(invoke_sale("first")))
    eventually(lambda: gateway.status()["notes"]["stalled_s"] > 0)  # type: ignore[index]
    later_sales = [invoke_sale(f"later-{n}") for n in range(4)]
    for sale in later_sales:
        assert sale.response.status == 429, sale
        assert sale.elapsed_s < COMMIT_TIMEOUT_S / 2, sale
    gateway.set_disk("")
    thread.join(30.0)
    eventually(lambda: gateway.status()["notes"]["stalled_s"] == 0)  # type: ignore[index]
    retried_sales = [
        invoke_sale(sale.op) for sale in [*first_sales, *later_sales] if sale.response.status == 429
    ]
    assert all(
        sale.response.status == 200 and OUTCOME_UNKNOWN not in sale.response.body for sale in retried_sales
    ), retried_sales
    runs = executions(fleet)
    assert max(runs.values()) == 1, runs
    assert all(runs[sale.op] == 1 for sale in retried_sales), runs
