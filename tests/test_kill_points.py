"""A gateway that is killed during a deferred call: the next incarnation ends each call exactly once."""

from __future__ import annotations

import errno
import json
import pathlib
import shutil
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from saffronstack import config as configs
from saffronstack.durable.file_operations import FileOperations
from saffronstack.gateway import Gateway
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.support.stack import Stack, configuration, eventually, running_gateway

SLOW = Profile(load_s=0.01, work_s=0.25)


class FrozenDisk(FileOperations):
    """Fails all writes once it is frozen, so that the disk holds what a kill at that time would leave."""

    is_frozen = False

    def write(self, descriptor: int, data: bytes) -> None:
        if self.is_frozen:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)


def run_until_kill(
    tmp_path: pathlib.Path,
    function: str,
    wait_for_kill: Callable[[Stack, FileOperations], object],
    **ledger: int,
) -> tuple[StubWorkerFleet, list[str], pathlib.Path]:
    """Start deferred calls, freeze the disk at the time of the kill, and copy what the disk holds."""
    fleet = StubWorkerFleet(2, lambda n: SLOW)
    content = configuration(fleet, tmp_path / "first")
    content["ledger"] |= ledger
    files = FrozenDisk()
    gateway = Gateway(configs.parse(json.dumps(content)), files=files)
    host, port = gateway.start()
    stack = Stack(gateway, fleet, content, f"{host}:{port}")
    ids = [stack.call(function, kind="Event").headers.get("x-amzn-requestid") for _ in range(3)]
    wait_for_kill(stack, files)
    files.is_frozen = True
    ledger_copy = tmp_path / "kept"
    shutil.copytree(tmp_path / "first", ledger_copy)
    time.sleep(0.4)  # attempts in flight end at the workers; their records reach no disk
    gateway.dispatcher.stop()
    gateway.stop()
    return fleet, ids, ledger_copy


def wait_until_sent(stack: Stack, files: FileOperations) -> None:
    eventually(lambda: stack.run_count() >= 1)


def wait_until_answered(stack: Stack, files: FrozenDisk) -> None:
    eventually(lambda: stack.run_count() >= 1)
    files.is_frozen = True
    eventually(lambda: any(e["what"] == "answer" for w in stack.fleet.workers for e in w.log))


@pytest.mark.parametrize("wait_for_kill", [wait_until_sent, wait_until_answered])
@pytest.mark.parametrize("function", ["record-sale", "adjust-setting", "identify-copy"])
def test_a_kill_while_sent_or_answered_but_not_recorded(
    tmp_path: pathlib.Path, function: str, wait_for_kill: Callable[[Stack, FileOperations], object]
) -> None:
    fleet, ids, ledger_copy = run_until_kill(tmp_path, function, wait_for_kill, in_flight=1)
    runs_before_kill = {
        request_id: sum(e["id"] == request_id for w in fleet.workers for e in w.runs()) for request_id in ids
    }
    assert sum(runs_before_kill.values()) >= 1
    with running_gateway(fleet=fleet, ledger=ledger_copy) as stack:
        conditions = {
            request_id: stack.final_record(request_id)["requestContext"]["condition"] for request_id in ids
        }
        runs = {
            request_id: sum(e["id"] == request_id for w in fleet.workers for e in w.runs())
            for request_id in ids
        }
    for request_id in ids:
        if function == "record-sale":
            assert runs[request_id] <= 1
            assert conditions[request_id] == ("OutcomeUnknown" if runs_before_kill[request_id] else "Success")
        else:
            assert conditions[request_id] == "Success"
            keys = {e["key"] for w in fleet.workers for e in w.runs() if e["id"] == request_id}
            assert len(keys) == 1
    fleet.stop()


def test_a_call_with_a_key_whose_window_ends_before_the_restart(tmp_path: pathlib.Path) -> None:
    fleet, ids, ledger_copy = run_until_kill(tmp_path, "adjust-setting", wait_until_sent, in_flight=1)
    executed_ids = {str(e["id"]) for w in fleet.workers for e in w.runs()}
    content = configuration(fleet)["classes"]
    content[1]["window_s"] = 0.3
    time.sleep(0.3)
    with running_gateway(fleet=fleet, ledger=ledger_copy, classes=content) as stack:
        for request_id in ids:
            condition = stack.final_record(request_id)["requestContext"]["condition"]
            assert condition == ("OutcomeUnknown" if request_id in executed_ids else "Success")
    fleet.stop()


def test_a_function_that_is_removed_from_the_configuration_before_the_restart(tmp_path: pathlib.Path) -> None:
    fleet, ids, ledger_copy = run_until_kill(tmp_path, "record-sale", wait_until_sent, in_flight=1)
    executed_ids = {str(e["id"]) for w in fleet.workers for e in w.runs()}
    functions = configuration(fleet)["functions"][:3]
    with running_gateway(fleet=fleet, ledger=ledger_copy, functions=functions) as stack:
        for request_id in ids:
            record = stack.final_record(request_id)
            assert record["requestContext"]["condition"] == (
                "OutcomeUnknown" if request_id in executed_ids else "Refused"
            )
            assert "configuration" in record["responsePayload"]["errorMessage"]
    assert len(executed_ids) == sum(len(w.runs()) for w in fleet.workers)
    fleet.stop()


def test_a_worker_starts_draining_while_a_connection_to_it_is_pending() -> None:
    """A full accept queue delays the connect; once connected, the worker is draining and gets no request."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    backlog_fillers = [socket.socket() for _ in range(2)]
    for connection in backlog_fillers:
        connection.setblocking(False)
        connection.connect_ex(address)
    fleet = StubWorkerFleet(0)
    entry = {"id": "slow", "address": f"127.0.0.1:{address[1]}", "kind": "standin"}
    changes: dict[str, Any] = {"workers": [entry], "allow": {"connect_timeout_s": 5.0}}
    classes = [{**request_class, "deadline_s": 6.0} for request_class in configuration(fleet)["classes"]]
    with running_gateway(fleet=fleet, classes=classes, **changes) as stack:
        client = stack.connect()
        client.sendall(
            b"POST /2015-03-31/functions/record-sale/invocations HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 2\r\n\r\n{}"
        )
        eventually(lambda: stack.gateway.engine.statistics.attempts == 1)
        drained = {**stack.content, "workers": [{**entry, "state": "draining"}]}
        stack.gateway.reload(configs.parse(json.dumps(drained)))
        listener.settimeout(0.1)
        received_bytes = b""
        end_s = time.monotonic() + 3.5
        accepted: list[socket.socket] = []
        while time.monotonic() < end_s and stack.gateway.engine.open_calls:
            try:
                accepted.append(listener.accept()[0])
            except TimeoutError:
                continue
        for connection in accepted:
            connection.settimeout(0.05)
            try:
                received_bytes += connection.recv(100)
            except (TimeoutError, OSError):
                continue
        assert client.recv(65536).startswith(b"HTTP/1.1 429")
        assert received_bytes == b""
        assert stack.gateway.engine.statistics.attempt_results["moot"] == 1
        for connection in [client, *accepted, *backlog_fillers, listener]:
            connection.close()
