"""Fixtures: a ledger on a disk with injected faults, and deferred calls on a scripted engine."""

from __future__ import annotations

import errno
import json
import pathlib
import threading
import time
from collections.abc import Iterator

import pytest

from saffronstack import config as configs
from saffronstack.config.build import Functions
from saffronstack.config.schema import Config
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.deferred.ledger import Ledger, open_ledger
from saffronstack.durable.file_operations import FileOperations
from saffronstack.engine.calls import Call
from saffronstack.standin.fleet import sample_config
from tests.support.stack import eventually

COMMIT_TIMEOUT_S = 0.3


class FaultyDisk(FileOperations):
    """Fails or blocks writes, as a test sets it."""

    def __init__(self) -> None:
        self.is_full = False
        self.unblocked = threading.Event()
        self.unblocked.set()

    def write(self, descriptor: int, data: bytes) -> None:
        self.unblocked.wait(30.0)
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)


class ScriptedEngine:
    """Collects submitted calls, which a test finishes."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.is_full = False

    def next_call_number(self) -> int:
        return len(self.calls) + 1

    def submit(self, call: Call) -> bool:
        if self.is_full:
            return False
        self.calls.append(call)
        return True

    def wait_for_call(self, number: int) -> Call:
        """Wait for the submission of a number of calls, and return the last of them."""
        eventually(lambda: len(self.calls) >= number)
        return self.calls[number - 1]


@pytest.fixture
def disk() -> FaultyDisk:
    return FaultyDisk()


@pytest.fixture
def ledger(tmp_path: pathlib.Path, disk: FaultyDisk) -> Iterator[Ledger]:
    with open_ledger(str(tmp_path), 100, 1 << 20, disk) as ledger:
        yield ledger
        disk.unblocked.set()


@pytest.fixture
def config(tmp_path: pathlib.Path) -> Config:
    content = sample_config([], "127.0.0.1:0", str(tmp_path))
    content["ledger"]["commit_timeout_s"] = COMMIT_TIMEOUT_S
    content["ledger"]["open_calls"] = 3
    content["ledger"]["in_flight"] = 2
    sale = next(function for function in content["functions"] if function["name"] == "record-sale")
    sale |= {"on_success": "identify-copy", "on_failure": "suggest-price"}
    return configs.parse(json.dumps(content))


@pytest.fixture
def engine() -> ScriptedEngine:
    return ScriptedEngine()


@pytest.fixture
def deferred(config: Config, ledger: Ledger, engine: ScriptedEngine) -> Iterator[DeferredCalls]:
    service = DeferredCalls(config, ledger, engine, Functions(config), time.monotonic, time.time)
    service.start()
    yield service
    service.stop(0.0)
