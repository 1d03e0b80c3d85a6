"""Published totals of all gateways' usage logs, and their garbage collection."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from saffronstack.fleet.tasks.fleet_usage import FleetUsageTask
from saffronstack.fleet.tasks.garbage_collection import GarbageCollectionTask
from saffronstack.fleet.tasks.result_store import ResultStore
from saffronstack.standin.fleet import StubWorkerFleet
from tests.fleet.tasks.fakes import UncancelledRun
from tests.support.stack import Stack, configuration

SAFFRON = [sys.executable, "-m", "saffronstack.cli.main"]


@pytest.fixture
def workers() -> Iterator[StubWorkerFleet]:
    fleet = StubWorkerFleet(2)
    yield fleet
    fleet.stop()


def write_usage_log(directory: pathlib.Path, number: int, workers: StubWorkerFleet) -> None:
    """Run gateway ``number`` for five calls, so that it writes its usage log."""
    usage = directory / f"g{number}" / "usage"
    config = configuration(workers, directory / f"l{number}", metering={"directory": str(usage)})
    path = directory / f"g{number}.json5"
    path.write_text(json.dumps(config))
    process = subprocess.Popen([*SAFFRON, "serve", "--config", str(path), "--log-level", "error"], stdout=-1)
    assert process.stdout is not None
    address = process.stdout.readline().decode().strip().rpartition("/")[2]
    stack = Stack(None, workers, {}, address)  # type: ignore[arg-type]
    assert all(stack.call("identify-copy").status == 200 for _ in range(5))
    process.terminate()
    assert process.wait(30) == 0
    process.stdout.close()


def published_totals(output: pathlib.Path) -> dict[str, Any]:
    newest = ResultStore(str(output)).newest()
    assert newest is not None
    totals: dict[str, Any] = json.loads(bytes(newest.content))["kib_ms_by_tenant"]
    return totals


def test_totals_are_the_same_however_often_it_runs_and_garbage_collection_keeps_them(
    tmp_path: pathlib.Path, workers: StubWorkerFleet
) -> None:
    for number in range(2):
        write_usage_log(tmp_path, number, workers)
    task = FleetUsageTask([str(tmp_path / "g*" / "usage")], str(tmp_path / "out"))
    totals = []
    for _ in range(2):
        assert task.execute(UncancelledRun()).startswith("2 logs")
        totals.append(published_totals(tmp_path / "out"))
    assert totals[0] == totals[1]
    assert sum(totals[0].values()) > 0
    # A log that two patterns match counts once.
    patterns = [str(tmp_path / "g*" / "usage"), str(tmp_path / "g0" / "usage")]
    FleetUsageTask(patterns, str(tmp_path / "out2")).execute(UncancelledRun())
    assert published_totals(tmp_path / "out2") == totals[0]
    collection = GarbageCollectionTask([str(tmp_path / "out")], "")
    assert collection.execute(UncancelledRun()) == "0 removed"
