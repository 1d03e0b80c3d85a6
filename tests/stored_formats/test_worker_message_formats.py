"""Requests to workers and the parsing of their responses are the same as in commit 0684301."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import pytest

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.http1.messages import MessageLimits
from saffronstack.http1.reader import MessageReader
from saffronstack.upstream.http import protocol
from saffronstack.upstream.http.protocol import AttemptResponse
from tests.stored_formats.stored_files import DATA

MESSAGES = DATA / "worker_messages"
HOST = "host-1:9001"
SPEC = FunctionSpec("identify copy/1", 77, 1, 512.5, 3, 0.25)
PLAIN = Call(2, "id-2", SPEC, b"", 5.0)
COMPLETE = Call(
    1,
    "id-1",
    SPEC,
    b'{"op": 1}',
    5.0,
    1,
    "corner-books",
    "key-1",
    "Y29udGV4dA==",
    wants_log=True,
    class_name="sale",
)
REQUESTS = {
    "invoke": protocol.encode_invocation(HOST, COMPLETE, 2, 1.2345, "gateway-one"),
    "invoke-plain": protocol.encode_invocation(HOST, PLAIN, 0, -1.0),
    "order": protocol.encode_load_command(HOST, SPEC, 2),
    "order-asks": protocol.encode_load_command(HOST, SPEC, 0),
    "unload": protocol.encode_unload_command(HOST, SPEC),
    "probe": protocol.encode_health_check(HOST),
    "usage": protocol.encode_usage_poll(HOST, b"\x80"),
}
ANSWERS: list[dict[str, Any]] = json.loads((MESSAGES / "judged.json").read_text())


@pytest.mark.parametrize("name", sorted(REQUESTS))
def test_a_request_to_a_worker_has_the_same_bytes(name: str) -> None:
    assert REQUESTS[name] == (MESSAGES / f"{name}.http").read_bytes()


def test_every_stored_request_is_compared() -> None:
    assert set(REQUESTS) == {path.stem for path in MESSAGES.glob("*.http")}


def parse_response(answer: str) -> AttemptResponse:
    parser = MessageReader(MessageLimits())
    parser.feed(answer.encode())
    head = parser.response()
    assert head is not None
    return protocol.interpret_attempt(head, parser.body() or b"")


@pytest.mark.parametrize("number", range(len(ANSWERS)))
def test_an_answer_of_a_worker_is_understood_the_same(number: int) -> None:
    found = parse_response(ANSWERS[number]["answer"])
    report, answer = found.load_report, found.worker_response
    assert ANSWERS[number]["understood"] == {
        "result": found.result.value,
        "found": found.cache_status.value,
        "crowd": found.concurrency,
        "report": report and list(dataclasses.astuple(report)),
        "payload": answer and answer.payload.decode(),
        "function_error": answer and answer.function_error,
        "log_tail": answer and answer.log_tail,
        "incarnation": found.incarnation,
        "uptime_s": found.uptime_s,
        "usage": found.usage_records,
        "held": found.memory_time_kib_us,
    }


def test_the_stored_answers_have_every_meaning() -> None:
    parsed = [answer["understood"] for answer in ANSWERS]
    assert {one["found"] for one in parsed} == {0, 1, 2, 3, 4}
    assert {one["result"] for one in parsed} == {"ok", "full", "error", "miss"}
