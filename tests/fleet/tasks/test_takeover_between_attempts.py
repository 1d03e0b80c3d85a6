"""Another gateway takes over the ledger of one that was killed after a worker had refused an attempt."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time
from typing import Any

from saffronstack.fleet.tasks.ledger_directory import LedgerDirectory
from saffronstack.standin.fleet import StubWorkerFleet
from tests.support.operations import send
from tests.support.stack import Stack, eventually
from tests.test_kill_between_attempts import (
    FUNCTIONS,
    KEY,
    ROOMY,
    fleet,
    keyed_configuration,
    refused_function,
    workers_that_executed,
)

__all__ = ["fleet"]  # a fixture
# Its rack comes first, so that a gateway that lists it gives all other racks another number.
DRAINING_WORKER = {
    "id": "worker-0",
    "address": "127.0.0.1:1",
    "kind": "standin",
    "cell": "a-cell",
    "state": "draining",
}
SERVE = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--listen", "127.0.0.1:0", "--log", "json"]


def start_serving(
    config: pathlib.Path, home: pathlib.Path, token: int, *options: str
) -> subprocess.Popen[bytes]:
    """Start a gateway on a ledger that other gateways may take over."""
    ledger_options = ["--ledger-home", str(home), "--ledger-token", str(token)]
    return subprocess.Popen(
        [*SERVE, "--config", str(config), *ledger_options, *options], stdout=subprocess.PIPE
    )


def write_configuration(path: pathlib.Path, content: dict[str, Any]) -> pathlib.Path:
    path.write_text(json.dumps(content))
    return path


def kill_after_refusal(process: subprocess.Popen[bytes], fleet: StubWorkerFleet) -> str:
    """Defer calls until one was refused and runs elsewhere; kill the gateway and return the function."""
    assert process.stdout is not None
    address = process.stdout.readline().decode().strip().rpartition("/")[2]
    stack = Stack(None, fleet, {}, address)  # type: ignore[arg-type]
    for function in FUNCTIONS:
        assert send(stack, function, KEY, kind="Event").status == 202
        eventually(lambda: fleet.workers[-1].runs(function))  # noqa: B023 - called at once
        if refused_function(fleet) is not None:
            break
    process.kill()
    process.communicate()
    refused = refused_function(fleet)
    assert refused is not None, "no attempt was refused"
    return refused


def test_a_ledger_that_is_taken_over_tells_where_a_call_may_have_run(
    tmp_path: pathlib.Path, fleet: StubWorkerFleet
) -> None:
    """Guards against a retry in another rack by a gateway that numbers the racks in another way."""
    content = keyed_configuration(fleet, tmp_path)
    home = tmp_path / "home"
    first = start_serving(write_configuration(tmp_path / "first.json", content), home, 1)
    function = kill_after_refusal(first, fleet)
    for worker in fleet.workers:
        worker.profile.queue = ROOMY.queue
    time.sleep(ROOMY.work_s)  # the call ends at its worker
    content["workers"].append(DRAINING_WORKER)
    second = start_serving(write_configuration(tmp_path / "second.json", content), home, 2, "--finish")
    assert second.wait(30.0) == 0
    second.communicate()
    assert workers_that_executed(fleet, function) == [fleet.workers[-1].name]
    assert len(fleet.workers[-1].runs(function)) == 2  # the workers of a real rack drop the second one
    assert not LedgerDirectory(str(home)).is_orphaned()
