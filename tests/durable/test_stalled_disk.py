"""Disks that stop answering: known by their time, told at once, and nothing uncertain is told as refused."""

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
from dataclasses import dataclass

from saffronstack.client import Answer, Client
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import hold_port
from tests.support.stack import configuration, eventually

COMMIT_S = 6.0
UNKNOWN = b"Saffronstack.OutcomeUnknown"


@dataclass
class Sent:
    """One deferred sale, as its client saw it."""

    op: str
    answer: Answer
    took_s: float


class Served:
    """A gateway process with a ledger on a disk that a file rules."""

    def __init__(self, folder: pathlib.Path, fleet: StandInFleet, notes: bool = False) -> None:
        self.word = folder / "disk"
        self.path = folder / "gateway.json5"
        content = configuration(fleet, folder / "ledger")
        content["ledger"]["commit_timeout_s"] = COMMIT_S
        if notes:
            content["operations"] = {"directory": str(folder / "operations"), "commit_timeout_s": COMMIT_S}
            sale = next(cls for cls in content["classes"] if cls["name"] == "sale")
            sale |= {"note_operations": True, "operation_window_s": 60.0, "deadline_s": 20.0}
        self.path.write_text(json.dumps(content))
        self._held = hold_port("127.0.0.1")
        self.address = f"127.0.0.1:{self._held.getsockname()[1]}"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable, "-m", "saffronstack.harness.scenario.slow_disk", str(self.word), "serve",
                "--config", str(self.path), "--listen", self.address, "--log-level", "error",
            ],
            stdout=subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stdout is not None and b"takes calls" in self.process.stdout.readline()

    def end(self, number: signal.Signals) -> None:
        assert self.process is not None and self.process.stdout is not None
        os.kill(self.process.pid, number)
        self.process.wait(30.0)
        self.process.stdout.close()

    def close(self) -> None:
        self._held.close()

    def disk(self, word: str) -> None:
        partial = self.word.with_suffix(".new")
        partial.write_text(word)
        os.replace(partial, self.word)

    def defer(self, op: str) -> Sent:
        client = Client(self.address, 30.0)
        began_s = time.monotonic()
        try:
            answer = client.invoke("record-sale", json.dumps({"op": op}).encode(), "Event")
        finally:
            client.close()
        return Sent(op, answer, time.monotonic() - began_s)

    def status(self) -> dict[str, object]:
        client = Client(self.address, 10.0)
        try:
            return dict(json.loads(client.request("GET", "/status").body))
        finally:
            client.close()


def test_a_hanging_disk_refuses_at_once_and_leaves_no_sale_that_is_refused_and_runs(
    tmp_path: pathlib.Path,
) -> None:
    fleet = StandInFleet(2, lambda n: Profile(load_s=0.01, work_s=0.005))
    served = Served(tmp_path, fleet)
    served.start()
    sent: list[Sent] = [served.defer(f"before-{n}") for n in range(3)]
    assert all(one.answer.status == 202 for one in sent)
    served.disk("hang")
    lock = threading.Lock()

    def defer(op: str) -> None:
        one = served.defer(op)
        with lock:
            sent.append(one)

    first = [start_thread("sale", lambda n=n: defer(f"first-{n}")) for n in range(4)]  # type: ignore[misc]
    eventually(lambda: served.status()["deferred"]["ledger_stalled_s"] > 0)  # type: ignore[index]
    later = [served.defer(f"later-{n}") for n in range(8)]
    for one in later:  # long before a commit's time is up
        assert one.answer.status == 429 and one.took_s < COMMIT_S / 2, one
        assert int(one.answer.headers.get("retry-after")) >= 1 and b"has not answered for" in one.answer.body
    client = Client(served.address, 10.0)
    for _ in range(50):  # what needs no disk goes on
        assert client.invoke("identify-copy", b'{"op": "look"}').status == 200
    client.close()
    for thread in first:
        thread.join(30.0)
    began = [one for one in sent if one.op.startswith("first")]
    unknown = [one for one in began if UNKNOWN in one.answer.body]
    assert len(began) == 4 and unknown  # at least the one that the disk had under way
    assert all(one.answer.status == 429 for one in began if one not in unknown)
    served.end(signal.SIGKILL)  # what the system's memory holds of the hanging write, the next life reads
    served.disk("")
    served.start()
    again = [served.defer(one.op) for one in [*began, *later] if one.answer.status == 429]
    assert all(one.answer.status == 202 for one in again)
    eventually(lambda: served.status()["deferred"]["open"] == 0)  # type: ignore[index]
    runs = Counter(str(entry["op"]) for worker in fleet.workers for entry in worker.runs())
    assert runs.pop("look") == 50
    taken = [one.op for one in [*sent, *again] if one.answer.status == 202]
    assert all(runs[op] == 1 for op in taken), (runs, taken)
    assert max(runs.values()) == 1 and any(runs[one.op] for one in unknown), runs
    served.end(signal.SIGTERM)
    served.close()
    fleet.stop()


def test_a_disk_that_answers_again_finds_the_gateway_as_it_was(tmp_path: pathlib.Path) -> None:
    fleet = StandInFleet(2, lambda n: Profile(load_s=0.01, work_s=0.005))
    served = Served(tmp_path, fleet)
    served.start()
    served.disk("hang")
    waiting: list[Sent] = []
    thread = start_thread("sale", lambda: waiting.append(served.defer("waits")))
    eventually(lambda: served.status()["deferred"]["ledger_stalled_s"] > 0)  # type: ignore[index]
    assert served.defer("refused").answer.status == 429
    served.disk("")
    thread.join(30.0)
    assert [one.answer.status for one in waiting] == [202]  # within its time
    eventually(lambda: served.status()["deferred"]["ledger_stalled_s"] == 0)  # type: ignore[index]
    assert served.defer("refused").answer.status == 202
    eventually(lambda: served.status()["deferred"]["open"] == 0)  # type: ignore[index]
    runs = Counter(str(entry["op"]) for worker in fleet.workers for entry in worker.runs())
    assert runs == {"waits": 1, "refused": 1}
    served.end(signal.SIGTERM)
    assert served.process is not None and served.process.returncode == 0
    served.close()
    fleet.stop()


def test_a_sale_that_must_be_noted_first_is_refused_at_once_while_notes_can_not_be_written(
    tmp_path: pathlib.Path,
) -> None:
    fleet = StandInFleet(2, lambda n: Profile(load_s=0.01, work_s=0.005))
    served = Served(tmp_path, fleet, notes=True)
    served.start()

    def sell(op: str) -> Sent:
        client = Client(served.address, 30.0)
        began_s = time.monotonic()
        try:
            named = (("Idempotency-Key", op),)
            answer = client.invoke("record-sale", json.dumps({"op": op}).encode(), extra=named)
        finally:
            client.close()
        return Sent(op, answer, time.monotonic() - began_s)

    assert sell("before").answer.status == 200
    served.disk("hang")
    first: list[Sent] = []
    thread = start_thread("sale", lambda: first.append(sell("first")))
    eventually(lambda: served.status()["notes"]["stalled_s"] > 0)  # type: ignore[index]
    later = [sell(f"later-{n}") for n in range(4)]
    for one in later:
        assert one.answer.status == 429 and one.took_s < COMMIT_S / 2, one
    served.disk("")
    thread.join(30.0)
    eventually(lambda: served.status()["notes"]["stalled_s"] == 0)  # type: ignore[index]
    again = [sell(one.op) for one in [*first, *later] if one.answer.status == 429]
    assert all(one.answer.status == 200 and UNKNOWN not in one.answer.body for one in again), again
    runs = Counter(str(entry["op"]) for worker in fleet.workers for entry in worker.runs())
    assert max(runs.values()) == 1 and all(runs[one.op] == 1 for one in again), runs
    served.end(signal.SIGTERM)
    served.close()
    fleet.stop()
