"""A gateway whose ledger is taken over while it serves answers the calls that it has taken."""

from __future__ import annotations

import json
import pathlib
import threading
from collections.abc import Iterator

import pytest

from saffronstack.cli.ledger_ownership import TAKEN_OVER_STATUS
from saffronstack.client import Response
from saffronstack.fleet.tasks.ledger_directory import LedgerDirectory
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.fleet.tasks.test_takeover_between_attempts import start_serving, write_configuration
from tests.support.operations import send
from tests.support.stack import Stack, configuration, eventually

KEY = "order-1"
WORK_S = 1.0


@pytest.fixture
def fleet() -> Iterator[StubWorkerFleet]:
    fleet = StubWorkerFleet(2, lambda n: Profile(load_s=0.01, work_s=WORK_S))
    yield fleet
    fleet.stop()


def test_synchronous_calls_are_answered_before_the_gateway_ends(
    tmp_path: pathlib.Path, fleet: StubWorkerFleet
) -> None:
    """Guards against review case 8: the process ended at once, without an answer to calls that had run."""
    content = configuration(fleet, tmp_path / "ledger", deadline_s=20.0)
    home = tmp_path / "home"
    process = start_serving(write_configuration(tmp_path / "gateway.json", content), home, 1)
    assert process.stdout is not None
    stack = Stack(None, fleet, {}, process.stdout.readline().decode().strip().rpartition("/")[2])  # type: ignore[arg-type]
    assert send(stack, "adjust-setting", KEY, kind="Event").status == 202
    responses: list[Response] = []
    functions = ("record-sale", "identify-copy")
    threads = [
        threading.Thread(target=lambda name: responses.append(stack.call(name)), args=(name,), daemon=True)
        for name in functions
    ]
    for thread in threads:
        thread.start()
    eventually(lambda: all(stack.run_count(name) for name in functions))
    LedgerDirectory(str(home)).take_ownership(2)
    assert process.wait(30.0) == TAKEN_OVER_STATUS
    process.communicate()
    for thread in threads:
        thread.join(10.0)
    assert [(response.status, "run" in json.loads(response.body)) for response in responses] == [
        (200, True)
    ] * 2
    assert LedgerDirectory(str(home)).is_orphaned()  # the later owner has not shut down
