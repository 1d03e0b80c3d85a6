"""Readers of clients' frames and DNS: split at every byte, and fed with noise."""

from __future__ import annotations

import contextlib
import socket
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronstack.directory.dns import DnsError, answer_of, query_message
from saffronstack.directory.membership import Change, ListedHost, Membership, listed_of, newer
from saffronstack.directory.resolver import Resolver
from saffronstack.platform.budget import divide
from saffronstack.platform.identifiers import Tags
from saffronstack.resp.frames import CallFrame, FrameError, frame_of
from saffronstack.resp.reader import RespError, RespReader, encode
from saffronstack.runtime.logs import KeyValueLogger
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


def test_a_list_from_the_directory() -> None:
    asked = query_message(5, NAME)
    serial, listed = listed_of(answer_of(dns_answer(asked, 41, LIST)), 5, NAME)
    assert serial == 41 and [one.name for one in listed] == ["s-1", "s-2"]
    assert listed[1] == ListedHost("s-2", "127.0.0.2", 200, "east", "std", 0, True, 1.0, 1700000000000)


def test_an_answer_cut_anywhere_is_refused() -> None:
    message = dns_answer(query_message(5, NAME), 41, LIST)
    for cut in range(len(message)):
        with pytest.raises(DnsError):
            listed_of(answer_of(message[:cut]), 5, NAME)


@given(st.binary(max_size=120))
def test_whatever_the_directory_sends_is_an_answer_or_an_error(message: bytes) -> None:
    with contextlib.suppress(DnsError):
        answer_of(message)


@given(st.integers(0, 300), st.binary(min_size=1, max_size=8))
def test_an_answer_with_noise_inside_is_an_answer_or_an_error(at: int, noise: bytes) -> None:
    message = dns_answer(query_message(5, NAME), 41, LIST)
    with contextlib.suppress(DnsError):
        listed_of(answer_of(message[:at] + noise + message[at + len(noise) :]), 5, NAME)


def resolver(membership: Membership, heard: list[Change]) -> Resolver:
    return Resolver(
        membership, NAME, ("127.0.0.1", 9), heard.append, KeyValueLogger("test"), lambda: 0.0, seed=1
    )


def test_only_whole_good_new_answers_are_taken() -> None:
    membership, heard = Membership(["east"], ["std"]), list[Change]()
    told = resolver(membership, heard)
    good = dns_answer(query_message(7, NAME), 10, LIST)
    assert told.apply(good, [7]) and len(heard) == 1 and len(heard[0].changed) == 2
    assert told.apply(good, [7]) and len(heard) == 1  # the same again changes nothing
    refused = [
        good[:-3],  # cut short
        good[:2] + struct.pack(">H", 0x8602) + good[4:],  # truncated by its own word
        good[:2] + struct.pack(">H", 0x8403) + good[4:],  # a failure
        dns_answer(query_message(8, NAME), 11, []),  # under another id
        dns_answer(query_message(7, "_other._tcp.fleet.local"), 11, []),
        dns_answer(query_message(7, NAME), 9, LIST[:1]),  # an older list
    ]
    assert not any(told.apply(message, [7]) for message in refused)
    assert len(heard) == 1 and len(membership.specs) == 2
    assert sum(told.counts.refused.values()) == len(refused)
    assert told.apply(dns_answer(query_message(7, NAME), 11, LIST[:1]), [7])
    assert heard[1].gone and membership.serial == 11


def test_numbers_go_round() -> None:
    assert newer(1, 2**32 - 1) and not newer(2**32 - 1, 1) and not newer(5, 5)


def test_a_name_that_returns_at_another_address_is_another_host() -> None:
    membership = Membership(["east"], ["std"])
    first = ListedHost("s-1", "127.0.0.1", 100, "east", "std")
    (old,) = membership.replace(1, [first]).changed
    change = membership.replace(2, [ListedHost("s-1", "127.0.0.1", 101, "east", "std")])
    assert change.gone == (old.number,) and change.changed[0].port == 101
    assert not membership.replace(3, [ListedHost("s-1", "127.0.0.1", 101, "east", "std")])


def test_descriptors_are_divided_within_their_number() -> None:
    for sockets in (26, 256, 384, 1024):
        budget = divide(sockets, 64, 20000)
        assert budget.clients + budget.links <= sockets and min(budget.clients, budget.links) >= 1
    assert divide(256, 64, 20000).clients >= 256 / 3


def test_stand_in_answers_are_dns(  # the stand-in itself, against the system's own reading of an address
) -> None:
    answer = answer_of(dns_answer(query_message(5, NAME), 41, LIST))
    assert answer.addresses["s-1.east.hosts"] == socket.inet_ntoa(b"\x7f\0\0\1")
