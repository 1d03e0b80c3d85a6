"""Charges for calls at workers that discovery removed before their attempts ended."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import pytest

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.identifiers import worker_number
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.metering.ledger_entries import ProvisionalChargeVoided
from saffronstack.metering.loss_charger import KIB_PER_MB, LossCharger
from saffronstack.metering.metered_workers import MAX_REMOVED_WORKERS, MeterClock, MeteredWorkers
from saffronstack.metering.usage_log import UsageLog, open_usage_log
from saffronstack.routing.events import AttemptOutcome, Result

WORKER = WorkerSpec(worker_number("w1"), "w1", "127.0.0.1", 9001)
NOW_S, NOW_UNIX_S = 100.0, 1_000_000.0
MEMORY_MB, ELAPSED_S = 128.0, 1.5
CHARGE = int(MEMORY_MB * KIB_PER_MB) * int(ELAPSED_S * 1e6)


@pytest.fixture
def journal(tmp_path: pathlib.Path) -> Iterator[UsageLog]:
    log = open_usage_log(str(tmp_path), 1 << 20)
    yield log
    log.close()


def attempt_result(result: Result) -> AttemptResult:
    function = FunctionSpec("f", 1, 0, MEMORY_MB)
    call = Call(1, "id-1", function, b"", NOW_S, tenant_name="a", class_name="c")
    outcome = AttemptOutcome(1, 0, WORKER.number, result, ELAPSED_S, is_final=True)
    return AttemptResult(call, outcome, incarnation="i")


def wait_for_commits(journal: UsageLog) -> None:
    assert journal.append(ProvisionalChargeVoided("", "")).done.wait(10)


@pytest.mark.parametrize("result", [Result.RESET, Result.OK])
def test_an_attempt_that_ends_after_its_workers_removal_is_charged_once(
    journal: UsageLog, result: Result
) -> None:
    """Guards against calls that nobody is charged for: their worker vanished and left the list first."""
    workers = MeteredWorkers()
    losses = LossCharger(journal, workers, MeterClock(lambda: NOW_S, lambda: NOW_UNIX_S))
    workers.replace([WORKER])
    workers.incarnations[WORKER.name] = "i"
    assert workers.replace([]) == [WORKER.name]
    losses.end_incarnation(WORKER.name, "")
    if result is Result.OK:
        losses.add_answered_call(attempt_result(result))
    else:
        losses.charge_lost_attempt(attempt_result(result), NOW_S, NOW_UNIX_S)
    for _ in range(3):
        wait_for_commits(journal)
        losses.end_removed_workers()
    wait_for_commits(journal)
    account = journal.state
    assert account.charges_by_tenant() == {"a": CHARGE}
    assert not account.provisional
    assert [amount for _, amount in account.charges.estimated_charges()] == [CHARGE]


def test_removed_workers_are_remembered_up_to_a_limit_and_forgotten_once_listed_again() -> None:
    workers = MeteredWorkers()
    names = [f"w{number}" for number in range(MAX_REMOVED_WORKERS + 1)]
    for name in names:
        workers.replace([WorkerSpec(worker_number(name), name, "127.0.0.1", 9001)])
    workers.replace([])
    assert len(workers.removed) == MAX_REMOVED_WORKERS
    assert workers.find_name(worker_number(names[0])) == ""
    assert workers.find_name(worker_number(names[-1])) == names[-1]
    workers.replace([WorkerSpec(worker_number(names[-1]), names[-1], "127.0.0.1", 9001)])
    assert worker_number(names[-1]) not in workers.removed
