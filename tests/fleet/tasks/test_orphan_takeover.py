"""Takeover of a paused gateway's calls by another process, and the end of the gateway when it resumes."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from saffronstack.deferred.call_table import CallTable
from saffronstack.deferred.ledger import CODEC
from saffronstack.deferred.records import CallFinished
from saffronstack.durable.journal_recovery import recover_journal
from saffronstack.fleet.tasks.ledger_directory import LedgerDirectory
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Faults, Profile
from tests.support.lease_servers import lease_servers
from tests.support.stack import Stack, configuration, eventually

SAFFRON = [sys.executable, "-m", "saffronstack.cli.main"]
SLOWDOWN_WHILE_OPENING = 20.0  # factor on the workers' execution time
TAKEN_OVER_STATUS = 3  # exit status of a gateway that lost its ledger to a later owner
OPEN_CALLS = int(os.environ.get("SAFFRONSTACK_OPEN", "150"))


class FinalRecords(CallTable):
    """The open calls of a ledger, and the number of final records per call."""

    def __init__(self) -> None:
        super().__init__(OPEN_CALLS * 2)
        self.count_by_call: Counter[str] = Counter()

    def apply(self, record: object) -> None:
        if isinstance(record, CallFinished):
            self.count_by_call[record.request_id] += 1
        super().apply(record)  # type: ignore[arg-type]


@pytest.fixture
def workers() -> Iterator[StubWorkerFleet]:
    fleet = StubWorkerFleet(2, lambda n: Profile(load_s=0.01, work_s=0.05))
    yield fleet
    fleet.stop()


@contextmanager
def serving(command: list[str], workers: StubWorkerFleet) -> Iterator[tuple[subprocess.Popen[bytes], Stack]]:
    """Start a gateway with ``command``; yield its process and a client for it."""
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert process.stdout is not None
    address = process.stdout.readline().decode().strip().rpartition("/")[2]
    yield process, Stack(None, workers, {}, address)  # type: ignore[arg-type]
    process.stdout.close()


def runs_by_call(workers: StubWorkerFleet) -> Counter[str]:
    return Counter(str(event["id"]) for worker in workers.workers for event in worker.runs())


def run_tasks_until_taken_over(shared: str, ledger: LedgerDirectory) -> subprocess.Popen[bytes]:
    """Start a process that runs the fleet's tasks; wait until the ledger's next owner shut down cleanly."""
    tasks = subprocess.Popen([*SAFFRON, "tasks", "run", "--fleet", shared], stdout=subprocess.PIPE)

    def is_finished() -> bool:
        path = ledger.current_path()
        return not ledger.is_orphaned() and path is not None and path.name != "place-" + "0" * 19 + "1"

    eventually(is_finished, timeout_s=90.0)
    return tasks


def open_deferred_calls(stack: Stack) -> list[str]:
    """Send `OPEN_CALLS` deferred calls, one in four idempotent; return their ids.

    The workers are slowed down meanwhile: on a busy machine they executed all calls before the last one was
    accepted.
    """
    for worker in stack.fleet.workers:
        worker.faults = Faults(slow=SLOWDOWN_WHILE_OPENING)
    functions = ("record-sale", "identify-copy")
    ids = [
        stack.call(functions[n % 4 == 3], kind="Event").headers.get("x-amzn-requestid")
        for n in range(OPEN_CALLS)
    ]
    assert (
        stack.run_count("record-sale") + stack.run_count("identify-copy") < OPEN_CALLS
    )  # some calls are still open
    for worker in stack.fleet.workers:
        worker.faults = Faults()
    return ids


def assert_one_final_record_each(path: pathlib.Path | None, ids: list[str]) -> None:
    """Assert that no call in the ledger in ``path`` is open, and that each has exactly one final record."""
    assert path is not None
    finals = FinalRecords()
    assert not recover_journal(path, finals, CODEC).has_lost_records
    assert not finals.open
    assert set(finals.count_by_call) == set(ids)
    assert set(finals.count_by_call.values()) == {1}


def assert_ends_cleanly(process: subprocess.Popen[bytes], timeout_s: float) -> None:
    process.terminate()
    assert process.wait(timeout_s) == 0


@pytest.mark.xdist_group("leases")
def test_a_stopped_gateways_open_calls_are_finished_by_another_and_it_wakes_to_nothing(
    tmp_path: pathlib.Path, workers: StubWorkerFleet
) -> None:
    """Checks the workers' executions and the last owner's ledger. SAFFRONSTACK_OPEN=1000 is the full size."""
    ledgers = tmp_path / "ledgers"
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(configuration(workers, ledgers / "g1")))
    takeover = {
        "name": "takeover", "kind": "takeover", "period_s": 0.5, "budget_s": 120,
        "ledgers": str(ledgers), "config": str(path),
    }  # fmt: skip
    with lease_servers(tmp_path / "keepers", lease_s=2.0) as servers:
        shared = servers.write_config(tasks=[takeover])
        serve = [
            *SAFFRON, "serve", "--config", str(path), "--fleet", shared, "--name", "g1",
            "--log-level", "error",
        ]  # fmt: skip
        ledger = LedgerDirectory(str(ledgers / "g1"))
        with serving(serve, workers) as (gateway, stack):
            ids = open_deferred_calls(stack)
            os.kill(gateway.pid, signal.SIGSTOP)
            tasks = run_tasks_until_taken_over(shared, ledger)
            runs_before = runs_by_call(workers)
            os.kill(gateway.pid, signal.SIGCONT)
            assert gateway.wait(10.0) == TAKEN_OVER_STATUS  # it detects the later owner and exits
        assert_ends_cleanly(tasks, 20.0)
        assert tasks.stdout is not None
        tasks.stdout.close()
        assert_one_final_record_each(ledger.current_path(), ids)
        runs = runs_by_call(workers)
        non_idempotent_calls = [call for n, call in enumerate(ids) if n % 4 != 3]
        # No non-idempotent call was executed twice, and the resumed gateway executed none.
        assert max(runs[call] for call in non_idempotent_calls) == 1
        assert runs == runs_before
        # The restarted gateway finds every final record.
        with serving(serve, workers) as (restarted, stack):
            assert all(stack.get(f"/deferred/{call}").status == 200 for call in ids)
            assert_ends_cleanly(restarted, 30.0)
