"""A gateway is killed while a keyed call runs that may be sent again in the cell of that worker alone.

Before, full workers in other cells may have refused attempts of the call, which certainly were not executed.
"""

from __future__ import annotations

import json
import pathlib
import shutil
import threading
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from saffronstack import config as configs
from saffronstack.deferred.ledger import open_ledger
from saffronstack.deferred.records import AttemptStarted, AttemptsVoided
from saffronstack.durable.journal_recovery import recover_journal
from saffronstack.engine.identifiers import worker_number
from saffronstack.gateway import Gateway
from saffronstack.operations.operation_log import OPERATION_LOG_CODEC, OperationLogState, open_operation_log
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.support.ledger import commit
from tests.support.operations import send, with_operation_log
from tests.support.stack import Stack, configuration, eventually
from tests.test_kill_points import FrozenDisk

FUNCTIONS = [f"adjust-{n}" for n in range(8)]  # which worker a function's first attempt goes to differs
ROOMY = Profile(load_s=0.01, work_s=0.4)
KEY = "order-1"


@pytest.fixture(params=[1, 2], ids=["one full worker", "two full workers"])
def fleet(request: pytest.FixtureRequest) -> Iterator[StubWorkerFleet]:
    """Workers of which the last alone has room, each in a cell of its own."""
    fleet = StubWorkerFleet(
        request.param + 1, lambda n: replace(ROOMY, queue=64 if n == request.param else 0)
    )
    yield fleet
    fleet.stop()


def keyed_configuration(fleet: StubWorkerFleet, directory: pathlib.Path) -> dict[str, Any]:
    """Return a configuration with a class of calls whose repeats the workers of one cell drop."""
    content = with_operation_log(configuration(fleet, directory / "ledger", 3.0), directory / "operations")
    content["classes"][1] |= {"group": "cell", "window_s": 8.0}
    content["functions"][2] = {"name": "adjust-*", "class": "setting", "memory_mb": 128, "load_s": 0.05}
    for n, worker in enumerate(content["workers"]):
        worker["cell"] = f"cell-{n}"
    return content


def start(content: dict[str, Any], fleet: StubWorkerFleet, files: FrozenDisk | None = None) -> Stack:
    gateway = Gateway(configs.parse(json.dumps(content)), files=files)
    host, port = gateway.start()
    return Stack(gateway, fleet, content, f"{host}:{port}")


def refused_function(fleet: StubWorkerFleet) -> str | None:
    """Return a function of which one worker refused an attempt, and that another worker executes."""
    executing = {entry["function"] for worker in fleet.workers for entry in worker.runs()}
    for worker in fleet.workers:
        for entry in list(worker.log):
            if entry["what"] == "answer" and entry["status"] == 429 and entry["function"] in executing:
                return str(entry["function"])
    return None


def kill_after_refusal(
    content: dict[str, Any], fleet: StubWorkerFleet, invoke: Callable[[Stack, str], None]
) -> str:
    """Invoke functions until one was refused and runs elsewhere; leave what the disk holds at that time."""
    files = FrozenDisk()
    stack = start(content, fleet, files)
    for function in FUNCTIONS:
        invoke(stack, function)
        eventually(lambda: fleet.workers[-1].runs(function))  # noqa: B023 - called at once
        if refused_function(fleet) is not None:
            break
    refused = refused_function(fleet)
    keep_stored(content, files, stack)
    assert refused is not None, "no attempt was refused"
    return refused


def keep_stored(content: dict[str, Any], files: FrozenDisk, stack: Stack) -> None:
    """Keep what the disk holds now, as a kill would, and end the gateway."""
    files.is_frozen = True
    for directory in ("ledger", "operations"):
        source = pathlib.Path(content["ledger"]["directory"]).parent / directory
        shutil.copytree(source, source.parent / "kept" / directory)
    stack.gateway.dispatcher.stop()
    stack.gateway.stop()


def restart(
    content: dict[str, Any], fleet: StubWorkerFleet, workers: list[dict[str, Any]] | None = None
) -> Stack:
    """Start the next incarnation on what the disk held, at workers that all have room."""
    kept = pathlib.Path(content["ledger"]["directory"]).parent / "kept"
    content = json.loads(json.dumps(content))
    content["ledger"]["directory"] = str(kept / "ledger")
    content["operations"]["directory"] = str(kept / "operations")
    content["workers"] = workers or content["workers"]
    for worker in fleet.workers:
        worker.profile.queue = ROOMY.queue
    return start(content, fleet)


def workers_that_executed(fleet: StubWorkerFleet, function: str) -> list[str]:
    return [worker.name for worker in fleet.workers if worker.runs(function)]


def test_a_deferred_call_is_sent_again_only_where_it_may_have_run(
    tmp_path: pathlib.Path, fleet: StubWorkerFleet
) -> None:
    """Guards against review case 9: recovery took the refused attempt for the one that may have executed."""
    content = keyed_configuration(fleet, tmp_path)
    request_ids: dict[str, str] = {}

    def invoke(stack: Stack, function: str) -> None:
        response = send(stack, function, KEY, kind="Event")
        request_ids[function] = str(response.headers.get("x-amzn-requestid"))

    function = kill_after_refusal(content, fleet, invoke)
    stack = restart(content, fleet)
    record = stack.final_record(request_ids[function])
    stack.gateway.stop()
    assert record["requestContext"]["condition"] == "Success"
    assert workers_that_executed(fleet, function) == [fleet.workers[-1].name]


def test_a_logged_operation_is_sent_again_only_where_it_may_have_run(
    tmp_path: pathlib.Path, fleet: StubWorkerFleet
) -> None:
    """Guards against the same fault in the operation log, which kept the first attempt alone."""
    content = keyed_configuration(fleet, tmp_path)

    def invoke(stack: Stack, function: str) -> None:
        threading.Thread(target=send, args=(stack, function, KEY), daemon=True).start()

    function = kill_after_refusal(content, fleet, invoke)
    stack = restart(content, fleet)
    response = send(stack, function, KEY)
    stack.gateway.stop()
    assert response.status == 200
    assert not response.headers.get("x-amz-function-error"), response.body
    assert workers_that_executed(fleet, function) == [fleet.workers[-1].name]


@pytest.mark.parametrize(("scope", "runs"), [("cell", 1), ("all", 2)])
def test_a_log_of_an_earlier_version_names_no_cell_to_send_an_operation_to(
    tmp_path: pathlib.Path, roomy_fleet: StubWorkerFleet, scope: str, runs: int
) -> None:
    """Guards against a second run: that version logged the first attempt alone, also if it was refused."""
    content = keyed_configuration(roomy_fleet, tmp_path)
    content["classes"][1]["group"] = scope
    files = FrozenDisk()
    stack = start(content, roomy_fleet, files)
    threading.Thread(target=send, args=(stack, FUNCTIONS[0], KEY), daemon=True).start()
    eventually(lambda: workers_that_executed(roomy_fleet, FUNCTIONS[0]))
    keep_stored(content, files, stack)
    write_as_earlier_version(tmp_path / "kept" / "operations", roomy_fleet)
    stack = restart(content, roomy_fleet)
    response = send(stack, FUNCTIONS[0], KEY)
    stack.gateway.stop()
    # Where the workers of all cells drop repeats, the operation is sent again.
    assert ("OutcomeUnknown" in response.body.decode()) == (scope == "cell")
    assert sum(len(worker.runs()) for worker in roomy_fleet.workers) == runs


def write_as_earlier_version(directory: pathlib.Path, fleet: StubWorkerFleet) -> None:
    """Log an attempt at the worker that did not execute the operation, in place of the one that did."""
    state = OperationLogState()
    recover_journal(directory, state, OPERATION_LOG_CODEC)
    ((attempt,),) = state.in_flight.values()
    shutil.rmtree(directory)
    (other,) = [worker.name for worker in fleet.workers if not worker.runs()]
    with open_operation_log(str(directory), 1 << 20) as log:
        refused = msgspec.structs.replace(attempt, worker_id=worker_number(other), zone="", cell="")
        ticket = log.append(refused)
        assert ticket.done.wait(5.0)


@pytest.fixture
def roomy_fleet() -> Iterator[StubWorkerFleet]:
    """Two workers with room, each in a cell of its own."""
    fleet = StubWorkerFleet(2, lambda n: replace(ROOMY))
    yield fleet
    fleet.stop()


def kill_while_running(
    content: dict[str, Any], fleet: StubWorkerFleet
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Kill a gateway while a deferred call runs; return the entry of its worker, and the other one."""
    files = FrozenDisk()
    stack = start(content, fleet, files)
    assert send(stack, FUNCTIONS[0], KEY, kind="Event").status == 202
    eventually(lambda: workers_that_executed(fleet, FUNCTIONS[0]))
    keep_stored(content, files, stack)
    executing = workers_that_executed(fleet, FUNCTIONS[0])
    first, second = content["workers"]
    return (first, second) if executing == [first["id"]] else (second, first)


def test_a_worker_that_moved_does_not_take_the_cell_of_its_attempt_along(
    tmp_path: pathlib.Path, roomy_fleet: StubWorkerFleet
) -> None:
    """Guards against retries in the cell where the worker stands after the restart."""
    content = keyed_configuration(roomy_fleet, tmp_path)
    executing, other = kill_while_running(content, roomy_fleet)
    moved = [{**executing, "cell": other["cell"]}, {**other, "cell": executing["cell"]}]
    stack = restart(content, roomy_fleet, moved)
    eventually(lambda: sum(len(worker.runs()) for worker in roomy_fleet.workers) == 2)
    stack.gateway.stop()
    # The workers of a real cell drop the repeat; these tell where it went.
    assert sorted(workers_that_executed(roomy_fleet, FUNCTIONS[0])) == ["worker-1", "worker-2"]


def rewrite_as_earlier_version(content: dict[str, Any]) -> str:
    """Replace the stored attempt of the open call by one without its place; return the call's id."""
    kept = pathlib.Path(content["ledger"]["directory"]).parent / "kept" / "ledger"
    with open_ledger(str(kept), 100, 1 << 20) as ledger:
        ((request_id, call),) = ledger.state.open.items()
        (attempt,) = call.attempts
        execution = attempt.execution
        started = AttemptStarted(request_id, execution.worker_id, execution.sent_at)
        commit(ledger, AttemptsVoided(request_id), started)
    return request_id


def test_a_ledger_of_an_earlier_version_names_no_cell_that_its_worker_has_left(
    tmp_path: pathlib.Path, roomy_fleet: StubWorkerFleet
) -> None:
    """Guards against a second run: that version stored no places, and the worker moves with the update."""
    content = keyed_configuration(roomy_fleet, tmp_path)
    executing, other = kill_while_running(content, roomy_fleet)
    request_id = rewrite_as_earlier_version(content)
    moved = [{**executing, "cell": other["cell"]}, {**other, "cell": executing["cell"]}]
    stack = restart(content, roomy_fleet, moved)
    stack.final_record(request_id)
    stack.gateway.stop()
    (first,) = [worker for worker in roomy_fleet.workers if worker.name == executing["id"]]
    assert len(first.runs()) == 1  # it stands in the other cell now, which knows nothing of the first run


def test_a_worker_that_left_is_replaced_by_one_of_the_same_cell(
    tmp_path: pathlib.Path, roomy_fleet: StubWorkerFleet
) -> None:
    """Guards against giving up a call because its worker is no longer listed."""
    content = keyed_configuration(roomy_fleet, tmp_path)
    executing, other = kill_while_running(content, roomy_fleet)
    stack = restart(content, roomy_fleet, [{**other, "cell": executing["cell"]}])
    eventually(lambda: len(workers_that_executed(roomy_fleet, FUNCTIONS[0])) == 2)
    stack.gateway.stop()
