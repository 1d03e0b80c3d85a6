"""A gateway killed at a chosen point of a deferred call's way: the next life ends each call once."""

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
from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.model import Profile
from tests.support.stack import Stack, configuration, eventually, running

SLOW = Profile(load_s=0.01, work_s=0.25)


class Sealed(FileOperations):
    """Writes nothing more once it is sealed: what the disk holds is what a kill leaves."""

    sealed = False

    def write(self, descriptor: int, data: bytes) -> None:
        if self.sealed:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)


def die_at(
    tmp_path: pathlib.Path, function: str, moment: Callable[[Stack, FileOperations], object], **ledger: int
) -> tuple[StandInFleet, list[str], pathlib.Path]:
    """Start deferred calls, stop the disk at a moment, and keep what it held then."""
    fleet = StandInFleet(2, lambda n: SLOW)
    content = configuration(fleet, tmp_path / "first")
    content["ledger"] |= ledger
    files = Sealed()
    gateway = Gateway(configs.parse(json.dumps(content)), files=files)
    host, port = gateway.start()
    stack = Stack(gateway, fleet, content, f"{host}:{port}")
    ids = [stack.call(function, kind="Event").headers.get("x-amzn-requestid") for _ in range(3)]
    moment(stack, files)
    files.sealed = True
    kept = tmp_path / "kept"
    shutil.copytree(tmp_path / "first", kept)
    time.sleep(0.4)  # the first life's attempts end at the workers; its records reach no disk
    gateway.dispatcher.stop()
    gateway.stop()
    return fleet, ids, kept


def sent(stack: Stack, files: FileOperations) -> None:
    eventually(lambda: stack.runs() >= 1)


def answered(stack: Stack, files: Sealed) -> None:
    eventually(lambda: stack.runs() >= 1)
    files.sealed = True
    eventually(lambda: any(e["what"] == "answer" for w in stack.fleet.workers for e in w.log))


@pytest.mark.parametrize("moment", [sent, answered])
@pytest.mark.parametrize("function", ["record-sale", "adjust-setting", "identify-copy"])
def test_a_kill_while_sent_or_answered_but_not_recorded(
    tmp_path: pathlib.Path, function: str, moment: Callable[[Stack, FileOperations], object]
) -> None:
    fleet, ids, kept = die_at(tmp_path, function, moment, in_flight=1)
    before = {id_: sum(e["id"] == id_ for w in fleet.workers for e in w.runs()) for id_ in ids}
    assert sum(before.values()) >= 1
    with running(fleet=fleet, ledger=kept) as stack:
        conditions = {id_: stack.final(id_)["requestContext"]["condition"] for id_ in ids}
        runs = {id_: sum(e["id"] == id_ for w in fleet.workers for e in w.runs()) for id_ in ids}
    for id_ in ids:
        if function == "record-sale":
            assert runs[id_] <= 1
            assert conditions[id_] == ("OutcomeUnknown" if before[id_] else "Success")
        else:
            assert conditions[id_] == "Success"
            keys = {e["key"] for w in fleet.workers for e in w.runs() if e["id"] == id_}
            assert len(keys) == 1
    fleet.stop()


def test_a_keyed_call_whose_window_ended_between_the_lives(tmp_path: pathlib.Path) -> None:
    fleet, ids, kept = die_at(tmp_path, "adjust-setting", sent, in_flight=1)
    ran = {str(e["id"]) for w in fleet.workers for e in w.runs()}
    content = configuration(fleet)["classes"]
    content[1]["window_s"] = 0.3
    time.sleep(0.3)
    with running(fleet=fleet, ledger=kept, classes=content) as stack:
        for id_ in ids:
            condition = stack.final(id_)["requestContext"]["condition"]
            assert condition == ("OutcomeUnknown" if id_ in ran else "Success")
    fleet.stop()


def test_a_function_that_left_the_configuration_between_the_lives(tmp_path: pathlib.Path) -> None:
    fleet, ids, kept = die_at(tmp_path, "record-sale", sent, in_flight=1)
    ran = {str(e["id"]) for w in fleet.workers for e in w.runs()}
    functions = configuration(fleet)["functions"][:3]
    with running(fleet=fleet, ledger=kept, functions=functions) as stack:
        for id_ in ids:
            record = stack.final(id_)
            assert record["requestContext"]["condition"] == ("OutcomeUnknown" if id_ in ran else "Refused")
            assert "configuration" in record["responsePayload"]["errorMessage"]
    assert len(ran) == sum(len(w.runs()) for w in fleet.workers)
    fleet.stop()


def test_a_drain_told_while_the_connection_is_being_made() -> None:
    """A worker whose backlog is full lets the connect wait; when it goes through, the worker drains."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    fillers = [socket.socket() for _ in range(2)]
    for sock in fillers:
        sock.setblocking(False)
        sock.connect_ex(address)
    fleet = StandInFleet(0)
    entry = {"id": "slow", "address": f"127.0.0.1:{address[1]}", "kind": "standin"}
    changes: dict[str, Any] = {"workers": [entry], "allow": {"connect_timeout_s": 5.0}}
    classes = [{**cls, "deadline_s": 6.0} for cls in configuration(fleet)["classes"]]
    with running(fleet=fleet, classes=classes, **changes) as stack:
        client = stack.raw()
        client.sendall(
            b"POST /2015-03-31/functions/record-sale/invocations HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 2\r\n\r\n{}"
        )
        eventually(lambda: stack.gateway.engine.statistics.attempts == 1)
        drained = {**stack.content, "workers": [{**entry, "state": "draining"}]}
        stack.gateway.reload(configs.parse(json.dumps(drained)))
        listener.settimeout(0.1)
        seen = b""
        end_s = time.monotonic() + 3.5
        accepted: list[socket.socket] = []
        while time.monotonic() < end_s and stack.gateway.engine.open_calls:
            try:
                accepted.append(listener.accept()[0])
            except TimeoutError:
                continue
        for sock in accepted:
            sock.settimeout(0.05)
            try:
                seen += sock.recv(100)
            except (TimeoutError, OSError):
                continue
        assert client.recv(65536).startswith(b"HTTP/1.1 429")
        assert seen == b""
        assert stack.gateway.engine.statistics.attempt_results["moot"] == 1
        for sock in [client, *accepted, *fillers, listener]:
            sock.close()
