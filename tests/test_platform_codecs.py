"""Readers of clients' frames, host lines and DNS: split at every byte, and fed with noise."""

from __future__ import annotations

import contextlib
import json
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronstack.discovery.dns.messages import decode_response, encode_query
from saffronstack.hosts import codec
from saffronstack.hosts.codec import HostError, LineReader
from saffronstack.net.write_buffer import OutgoingMessage, Sent, WriteBuffer, WriteLoop
from saffronstack.platform.budget import divide
from saffronstack.platform.identifiers import Tags
from saffronstack.resp.frames import CallFrame, FrameError, frame_of
from saffronstack.resp.reader import RespError, RespReader, encode
from saffronstack.routing.events import CacheStatus
from saffronstack.standin.platform import Entry, dns_answer

FIELDS = b"req=9b1f03aa5c7e2d41,timeout=1500,subject=7f3a9c21e0b4d655"
CALL = (b"CALL", b"7", b"look", FIELDS, b"\r\n$3\r\n\x00")
NAME = "_work._tcp.fleet.local"
LIST = [Entry("s-1", "127.0.0.1:100"), Entry("s-2", "127.0.0.2:200", True, 1700000000000)]


def test_frames_split_at_every_byte() -> None:
    data = encode(CALL) + encode((b"CANCEL", b"7")) + encode((b"CHECK", b"8", b""))
    for cut in range(len(data) + 1):
        reader, words = RespReader(), []
        for part in (data[:cut], data[cut:]):
            reader.feed(part)
            while (request := reader.next()) is not None:
                words.append(request)
        assert words == [CALL, (b"CANCEL", b"7"), (b"CHECK", b"8", b"")] and not reader.pending
    frame = frame_of(CALL)
    assert isinstance(frame, CallFrame) and frame.fields["timeout"] == "1500" and frame.body == CALL[-1]


@given(st.lists(st.binary(max_size=60), max_size=8))
def test_whatever_clients_send_is_a_frame_or_an_error(parts: list[bytes]) -> None:
    reader = RespReader()
    with contextlib.suppress(RespError, FrameError):
        for part in parts:
            reader.feed(part)
            while (words := reader.next()) is not None:
                frame_of(words)


@given(st.binary(max_size=40), st.integers(0, 200), st.integers(1, 4))
def test_frames_with_noise_inside_are_a_frame_or_an_error(noise: bytes, at: int, cut: int) -> None:
    data = encode(CALL)
    data = data[:at] + noise + data[at + cut :]
    reader = RespReader()
    with contextlib.suppress(RespError, FrameError):
        for place in range(len(data)):
            reader.feed(data[place : place + 1])
            while (words := reader.next()) is not None:
                frame_of(words)
    assert len(reader._buffer) < 40_000


def test_a_tag_is_new_once_and_memory_of_tags_is_bounded() -> None:
    tags = Tags()
    assert all(tags.use(tag) for tag in range(1, 5000)) and not tags._above
    assert not tags.use(17)
    assert sum(tags.use(tag) for tag in range(10_000, 20_000)) == 1024


def test_host_lines_split_at_every_byte() -> None:
    data = b'{"what":"OK","tag":"a","with":{"note":"behind","ahead":"3","load":"queue:7;util:0.6"},'
    data += b'"blob":"eA=="}\n'
    data += b'{"what":"BUSY","tag":"b"}\n'
    for cut in range(len(data) + 1):
        reader = LineReader(1000)
        lines = reader.feed(data[:cut]) + reader.feed(data[cut:])
        first, second = map(codec.answer_of, lines)
        assert (first.body, first.found, first.crowd) == (b"x", CacheStatus.JOINED_LOAD, 3)
        assert first.report is not None and (first.report.requests_queued, first.report.cpu_utilization) == (
            7.0,
            0.6,
        )
        assert (second.word, second.tag, second.crowd) == ("BUSY", "b", None)


@given(st.one_of(st.binary(max_size=200), st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
        st.sampled_from(["what", "tag", "with", "blob", "ahead", "units", "load"]), inner, max_size=5),
).map(lambda value: json.dumps(value).encode())))  # fmt: skip
def test_whatever_hosts_send_is_an_answer_or_an_error(line: bytes) -> None:
    with contextlib.suppress(HostError):
        codec.answer_of(line)


def test_a_line_without_an_end_is_an_error_before_it_fills_memory() -> None:
    reader = LineReader(1000)
    with pytest.raises(HostError):
        for _ in range(1100):
            reader.feed(b"x")
    assert len(reader._parts) <= codec.MAX_LINE_PARTS + 1


class Full:
    """A socket that takes so many bytes, and no more until told."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.taken = b""
        self.shut = False

    def send(self, data: bytes, flags: int = 0) -> int:
        if not self.room:
            raise BlockingIOError
        part = bytes(data[: self.room])
        self.room -= len(part)
        self.taken += part
        return len(part)

    def shutdown(self, how: int) -> None:
        self.shut = True

    def fileno(self) -> int:
        return 0


class Barred(OutgoingMessage):
    """Stands until it is barred."""

    __slots__ = ("barred", "passed")

    def __init__(self, data: bytes) -> None:
        super().__init__(data)
        self.barred = self.passed = False

    def may_start(self) -> bool:
        return not self.barred

    def on_dropped(self) -> None:
        self.passed = True


def write_buffer(sock: Full, now: list[float], most: int = 100) -> WriteBuffer:
    return WriteBuffer(sock, WriteLoop(lambda: now[0]), most, 2.0, lambda: now[0])  # type: ignore[arg-type]


def test_what_waits_in_an_outbox_is_asked_again_before_its_first_byte() -> None:
    sock = Full(3)
    out = write_buffer(sock, [0.0])
    first, second, third = Barred(b"first"), Barred(b"second"), Barred(b"third")
    assert out.send(first) and out.send(second) and out.send(third)
    assert (first.sent, second.sent) == (Sent.PART, Sent.NOTHING)
    first.barred = second.barred = True  # a line that has begun is finished: half of one breaks the link
    sock.room = 100
    assert out.flush() and sock.taken == b"firstthird"
    assert first.sent is Sent.WHOLE and second.sent is Sent.NOTHING and second.passed and not first.passed


def test_an_outbox_that_overflows_or_stalls_breaks_its_socket() -> None:
    sock, now = Full(1), [0.0]
    out = write_buffer(sock, now, 10)
    assert out.send(OutgoingMessage(b"12345")) and out.send(OutgoingMessage(b"123456"))
    assert not out.send(OutgoingMessage(b"7")) and sock.shut
    sock = Full(1)
    out = write_buffer(sock, now)
    assert out.send(OutgoingMessage(b"12345"))
    now[0] = 1.9
    assert not out.overdue()
    now[0] = 2.1
    assert out.overdue() and sock.shut and not out.send(OutgoingMessage(b"x"))


def test_descriptors_are_divided_within_their_number() -> None:
    for sockets in (26, 256, 384, 1024):
        budget = divide(sockets, 64, 20000)
        assert budget.clients + budget.links <= sockets and min(budget.clients, budget.links) >= 1
    assert divide(256, 64, 20000).clients >= 256 / 3


def test_stand_in_answers_are_dns(  # the stand-in itself, against the system's own reading of an address
) -> None:
    answer = decode_response(dns_answer(encode_query(5, NAME), 41, LIST))
    assert answer.addresses["s-1.east.hosts"] == socket.inet_ntoa(b"\x7f\0\0\1")
