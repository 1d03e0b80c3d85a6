"""Parsers of client frames and DNS messages: input split at every byte and random input."""

from __future__ import annotations

import contextlib
import socket

from hypothesis import given
from hypothesis import strategies as st

from saffronstack.discovery.dns.messages import decode_response, encode_query
from saffronstack.platform.budget import divide_budget
from saffronstack.resp.frames import CallFrame, FrameError, parse_frame, parse_tag
from saffronstack.resp.reader import RespError, RespReader, encode
from saffronstack.standin.platform import HostEntry, dns_response

FIELDS = b"req=9b1f03aa5c7e2d41,timeout=1500,subject=7f3a9c21e0b4d655"
CALL = (b"CALL", b"7", b"look", FIELDS, b"\r\n$3\r\n\x00")
NAME = "_work._tcp.fleet.local"
ENTRIES = [HostEntry("s-1", "127.0.0.1:100"), HostEntry("s-2", "127.0.0.2:200", True, 1700000000000)]


def test_frames_split_at_every_byte() -> None:
    data = encode(CALL) + encode((b"CANCEL", b"7")) + encode((b"CHECK", b"8", b""))
    for cut in range(len(data) + 1):
        reader, words = RespReader(), []
        for part in (data[:cut], data[cut:]):
            reader.feed(part)
            while (request := reader.next()) is not None:
                words.append(request)
        assert words == [CALL, (b"CANCEL", b"7"), (b"CHECK", b"8", b"")]
        assert not reader.pending
    frame = parse_frame(CALL)
    assert isinstance(frame, CallFrame)
    assert frame.fields["timeout"] == "1500"
    assert frame.body == CALL[-1]


@given(st.lists(st.binary(max_size=60), max_size=8))
def test_arbitrary_bytes_are_parsed_or_rejected(parts: list[bytes]) -> None:
    reader = RespReader()
    with contextlib.suppress(RespError, FrameError):
        for part in parts:
            reader.feed(part)
            while (words := reader.next()) is not None:
                parse_frame(words)


@given(st.binary(max_size=40), st.integers(0, 200), st.integers(1, 4))
def test_frames_with_random_bytes_inserted_are_parsed_or_rejected(noise: bytes, at: int, cut: int) -> None:
    data = encode(CALL)
    data = data[:at] + noise + data[at + cut :]
    reader = RespReader()
    with contextlib.suppress(RespError, FrameError):
        for index in range(len(data)):
            reader.feed(data[index : index + 1])
            while (words := reader.next()) is not None:
                parse_frame(words)
    assert len(reader._buffer) < 40_000


def test_a_tag_is_any_decimal_number_from_1_up() -> None:
    accepted = {b"1": 1, b"1025": 1025, b"%d" % 2**64: 2**64, b"9" * 100: 10**100 - 1}
    assert {text: parse_tag((b"CHECK", text, b"")) for text in accepted} == accepted
    for text in (b"", b"0", b"000", b"-1", b"+1", b"1.0", b"1e3", b"0x1", b"\xb2", b"9" * 5000):
        assert parse_tag((b"CHECK", text, b"")) is None


def test_the_descriptor_budget_stays_within_the_descriptor_limit() -> None:
    for sockets in (26, 256, 384, 1024):
        budget = divide_budget(sockets, 64, 20000)
        assert budget.clients + budget.links <= sockets
        assert min(budget.clients, budget.links, budget.tag_entries) >= 1
    assert divide_budget(256, 64, 20000).clients >= 256 / 3


def test_stub_directory_responses_are_valid_dns(  # checked against the system's own address parsing
) -> None:
    answer = decode_response(dns_response(encode_query(5, NAME), 41, ENTRIES))
    assert answer.addresses["s-1.east.hosts"] == socket.inet_ntoa(b"\x7f\0\0\1")
