"""A platform gateway's messages with hosts, clients and the DNS server keep the format of commit 0684301."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import pytest

from saffronstack.discovery.dns.messages import encode_query
from saffronstack.platform import connection
from saffronstack.platform.calls import CallBuilder
from saffronstack.resp import frames
from saffronstack.resp.reader import encode
from saffronstack.settings_parser import parse_settings
from saffronstack.upstream.errors import LineProtocolError
from saffronstack.upstream.multiplexed import codec
from tests.stored_formats import settings_samples
from tests.stored_formats.stored_files import DATA

STORED: dict[str, Any] = json.loads((DATA / "platform_messages" / "messages.json").read_text())
SENT = {
    "call": codec.encode_request("t1", "setting", "00000000000000ff", 1500, b"\x00body\xff"),
    "cancel": codec.encode_cancel("t1"),
    "ping": codec.encode_ping("t2"),
    "load": codec.encode_load_command("t3", "00000000000000ff", 2),
    "unload": codec.encode_unload_command("00000000000000ff"),
    "query": encode_query(4711, "_call._tcp.hosts.example"),
    "reply": encode((b"17", b"BUSY", b"holdoff=250", b"")),
}


@pytest.mark.parametrize("name", sorted(STORED["sent"]))
def test_a_message_is_sent_in_the_same_bytes(name: str) -> None:
    assert SENT[name].hex() == STORED["sent"][name]


def test_words_of_hosts_and_replies_have_the_same_meaning() -> None:
    assert {word: result.value for word, result in codec.RESULT_BY_TYPE.items()} == STORED["results"]
    assert {ending.value: word.decode() for ending, word in connection.STATUS_WORDS.items()} == STORED[
        "replies"
    ]


def parsed_line(line: str) -> Any:
    """Parse a line of a host; return None if it is invalid."""
    try:
        found = codec.decode_response(line.encode())
    except LineProtocolError:
        return None
    report = found.load_report and list(dataclasses.astuple(found.load_report))
    cache_status = found.cache_status.value
    return [
        found.message_type,
        found.tag,
        found.body.decode(),
        cache_status,
        found.concurrency,
        report,
        found.instances,
    ]


@pytest.mark.parametrize("number", range(len(STORED["lines"])))
def test_a_hosts_line_is_understood_the_same(number: int) -> None:
    line, expected = STORED["lines"][number]
    assert parsed_line(line) == expected


def parsed_frame(words: list[str]) -> Any:
    """Parse a frame of a client; return None if it is invalid."""
    call_builder = CallBuilder(parse_settings(json.dumps(settings_samples.PLATFORM)).settings, lambda: 1)
    try:
        frame = frames.parse_frame(tuple(word.encode() for word in words))
        if not isinstance(frame, frames.CallFrame):
            return [words[0], frame.tag]
        call = call_builder.build(frame, 100.0)
    except (frames.FrameError, frames.FieldError):
        return None
    spec = list(dataclasses.astuple(call.function))
    return [
        frame.tag,
        call.request_id,
        spec,
        call.payload.decode(),
        call.deadline_s,
        call.tenant,
        call.class_name,
    ]


@pytest.mark.parametrize("number", range(len(STORED["frames"])))
def test_a_clients_frame_is_understood_the_same(number: int) -> None:
    words, expected = STORED["frames"][number]
    assert parsed_frame(words) == expected


def test_the_stored_messages_have_every_meaning() -> None:
    lines = [expected for _, expected in STORED["lines"] if expected is not None]
    assert {line[3] for line in lines} == {0, 1, 2, 3, 4}
    assert all(value is not None for value in lines[0][5])
    assert sum(expected is None for _, expected in STORED["frames"]) == 3
