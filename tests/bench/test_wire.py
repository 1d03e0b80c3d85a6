"""Tests of the simulator codec with the examples of the format's documentation and with malformed input."""

from __future__ import annotations

import io
import json
import struct
import sys
from typing import Any

import pytest

from saffronstack.bench import simhost, wire
from saffronstack.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpoints,
    LoadFunction,
    Reject,
    SendAttempt,
    SetTimer,
    UnloadFunction,
    WatchEndpoints,
    WriteLog,
)
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    LoadCommandResult,
    Request,
    Result,
    TimerFired,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import Idempotency

REQUEST = (
    "13 0300 c4913a5d4fdb0100 0000 00000000 010ad2557c000000 cba145b6f34d2140 fa7e6abc7493883f "
    "0000c043 00000040 00000000 01"
)
OUTCOME = "11 0300 c4913a5d4fdb0100 00000000 0a 01 8b6ce7fba9f1923f 00 074a1203 02 0000404052b81e3f"
ENDPOINT_UPDATE = (
    "18 0300 29000000 02 02000000 0000803f 0000 074a1203 00 0000000000000000 00 01 "
    "0000c03f 0000 f211902c 00 6666666666661840 01 01"
)
REQUEST_ID = int.from_bytes(bytes.fromhex("c4913a5d4fdb0100"), "little")
FUNCTION = int.from_bytes(bytes.fromhex("010ad2557c000000"), "little")
WORKER = int.from_bytes(bytes.fromhex("074a1203"), "little")
SETTINGS: dict[str, Any] = {
    "Instances": 3,
    "RequestClasses": [{"Name": "a", "Idempotency": "safe", "DeadlineS": 3.0, "PromiseS": 0.5}],
    "LoadInfo": {"Fields": ["q", "busy"], "Via": "answers"},
}


def read(text: str) -> tuple[int, wire.WireEvent]:
    return wire.Reader(bytes.fromhex(text.replace(" ", "")), {3: ("q", "busy")}).read_record()


def test_request_example() -> None:
    instance, event = read(REQUEST)
    assert instance == 3
    assert isinstance(event, Request)
    assert (event.request_id, event.function_id, event.class_index) == (REQUEST_ID, FUNCTION, 0)
    assert (event.memory_mb, event.concurrency, event.load_time_s) == (384.0, 2.0, None)
    assert event.work_s == pytest.approx(0.012)
    assert event.deadline_s == pytest.approx(8.6522, abs=1e-4)


def test_attempt_outcome_example() -> None:
    _, event = read(OUTCOME)
    assert isinstance(event, AttemptOutcome)
    assert (event.request_id, event.worker_id, event.result, event.is_final) == (
        REQUEST_ID,
        WORKER,
        Result.OK,
        True,
    )
    assert event.load_report is not None
    assert event.load_report.requests_queued == 3.0
    assert event.load_report.cpu_utilization == pytest.approx(0.62)
    assert event.concurrency == 0


def test_cache_status_and_concurrency_share_one_field() -> None:
    _, event = read(OUTCOME.replace("00000000 0a", "1a000000 0a"))
    assert isinstance(event, AttemptOutcome)
    assert (event.cache_status, event.concurrency) == (CacheStatus.STARTED_LOAD, 3)


def test_endpoint_update_example() -> None:
    _, event = read(ENDPOINT_UPDATE)
    assert isinstance(event, EndpointUpdate)
    assert event.kind is EndpointUpdateKind.CACHED
    assert event.version == 41
    assert [w.worker_id for w in event.endpoints] == [WORKER, 0x2C9011F2]
    assert [(w.capacity, w.zone, w.started_s) for w in event.endpoints] == [(1.0, 0, 0.0), (1.5, 1, 6.1)]


def test_timer_disconnect_and_load_command_examples() -> None:
    assert read("17 0300 4d00000000000000")[1] == TimerFired(77)
    assert read("10 0500 192b6f0ef8a20b00") == (5, ClientDisconnected(0x0BA2F80E6F2B19))
    _, event = read("1a 0300 01 0a 010ad2557c000000 7b14ae47e17ae43f f211902c")
    assert isinstance(event, LoadCommandResult)
    assert event.elapsed_s == pytest.approx(0.64)
    assert (event.worker_id, event.function_id, event.instances) == (0x2C9011F2, FUNCTION, 1)


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (SendAttempt(REQUEST_ID, WORKER, 0.078), "50 0300 c4913a5d4fdb0100 2b8716d9cef7b33f 074a1203"),
        (SetTimer(0.5, 77), "54 0300 000000000000e03f 4d00000000000000"),
        (LoadFunction(0x2C9011F2, FUNCTION, 1), "5c 0300 f211902c 01 010ad2557c000000"),
        (WriteLog("two servers known"), "58 0300 1100 74776f2073657276657273206b6e6f776e"),
        (Fail(5), "52 0300 0500000000000000"),
        (Reject(5, 0.5), "51 0300 0500000000000000 000000000000e03f"),
        (CancelAttempt(5, 1), "53 0300 0500000000000000 01"),
        (CheckHealth(WORKER), "55 0300 074a1203"),
        (UnloadFunction(WORKER, FUNCTION), "5d 0300 074a1203 010ad2557c000000"),
        (WatchEndpoints(True), "5a 0300 01"),
        (FetchEndpoints(), "5b 0300"),
    ],
)
def test_actions(action: Action, text: str) -> None:
    assert wire.encode(3, action).hex() == text.replace(" ", "")


def test_unknown_keys_and_absent_fields_are_accepted() -> None:
    parsed = wire.parse_settings(json.dumps({**SETTINGS, "Brand": {"New": 1}}))
    settings, names = parsed.settings, parsed.load_report_fields
    assert names == ("q", "busy")
    assert settings.gateway_count == 3
    assert settings.classes[0].idempotency is Idempotency.IDEMPOTENT
    assert settings.keep_alive_s == 0.0


@pytest.mark.parametrize(
    "text", ["{", "[]", '{"RequestClasses": [{"Idempotency": "odd"}]}', '{"RequestClasses": 5}']
)
def test_malformed_settings(text: str) -> None:
    with pytest.raises(wire.WireError, match="settings"):
        wire.parse_settings(text)


def batch(body: bytes, records: int, length: int | None = None, number: int = 1) -> bytes:
    return wire.BATCH_HEADER.pack(8.5, len(body) if length is None else length, records, number) + body


def instance_started(instance: int, settings: dict[str, Any]) -> bytes:
    text = json.dumps(settings).encode()
    return struct.pack("<BHQI", 21, instance, 5, len(text)) + text


def run(*batches: bytes) -> bytes:
    sink = io.BytesIO()
    simhost.serve(io.BytesIO(b"".join(batches)), sink)
    return sink.getvalue()


def test_empty_batch() -> None:
    header = bytes.fromhex("508d976e12d32040000000000000000001000000")
    assert run(header) == bytes.fromhex("0000000001000000")


def test_an_instance_sends_its_first_request() -> None:
    body = instance_started(3, SETTINGS) + bytes.fromhex((ENDPOINT_UPDATE + REQUEST).replace(" ", ""))
    reply = run(batch(body, 3))
    assert reply[8] == 80
    assert len(reply) == 8 + 23


def test_a_restart_in_the_same_batch_forgets_all_state() -> None:
    start = instance_started(3, SETTINGS) + bytes.fromhex((ENDPOINT_UPDATE + REQUEST).replace(" ", ""))
    restart = (
        bytes([20, 3, 0])
        + instance_started(3, SETTINGS)
        + bytes.fromhex((ENDPOINT_UPDATE + OUTCOME).replace(" ", ""))
    )
    assert run(batch(start, 3), batch(restart, 4, number=2))[-8:] == wire.REPLY_HEADER.pack(0, 2)


@pytest.mark.parametrize(
    ("body", "records", "length"),
    [
        (b"\xff\x00\x00", 1, None),
        (bytes.fromhex(REQUEST.replace(" ", ""))[:-1], 1, None),
        (bytes.fromhex("17 0300 4d00000000000000".replace(" ", "")) + b"x", 1, None),
        (b"", 1, None),
        (b"abc", 0, 10),
        (bytes.fromhex(OUTCOME.replace(" 0a ", " 0b ").replace(" ", "")), 1, None),
    ],
)
def test_malformed_batches_end_the_process(
    body: bytes,
    records: int,
    length: int | None,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    class Stream:
        def __init__(self, content: bytes = b"") -> None:
            self.buffer = io.BytesIO(content)

    monkeypatch.setattr(sys, "stdin", Stream(batch(body, records, length)))
    monkeypatch.setattr(sys, "stdout", Stream())
    assert simhost.main() != 0
    assert len(capsys.readouterr().err.strip().splitlines()) == 1


def test_a_fault_of_the_router_has_its_own_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: object, now: float, event: object) -> list[Action]:
        raise RuntimeError("out of luck")

    monkeypatch.setattr(Router, "handle", broken)
    reply = run(batch(instance_started(3, SETTINGS) + bytes.fromhex(ENDPOINT_UPDATE.replace(" ", "")), 2))
    assert reply[8] == 89
    assert b"out of luck" in reply
