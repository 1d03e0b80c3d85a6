"""Lease messages and state files keep the bytes of commit 0684301 (`capture_leases.py`)."""

from __future__ import annotations

import pathlib

import msgspec
import pytest

from saffronstack.fleet.leases import codec
from saffronstack.fleet.leases.acceptor_service import AcceptorService
from saffronstack.fleet.leases.codec import Envelope
from saffronstack.fleet.leases.disk import COPIES, AcceptorDisk
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorRecord,
    AcceptorState,
    AcceptRequest,
    AcceptResponse,
    CatchUpRequest,
    CatchUpResponse,
    DiskState,
    LeaseValue,
    Message,
    PrepareRequest,
    PrepareResponse,
    ReleaseNotification,
    ReleaseRequest,
)
from saffronstack.fleet.leases.reports import LeaseReport

DATA = pathlib.Path(__file__).parent / "data" / "leases"
SERVERS = ("k0", "k1", "k2")
VALUE = LeaseValue(7, 2, b"plan \x00\xff")
INCARNATIONS = (("k1", 2), ("k2", 1))
RECORD = AcceptorRecord("task/usage", 9, "p1.4", 7, "p1.3", 5.5, 6, VALUE)
STATE = AcceptorState((RECORD, AcceptorRecord("l")), 41, (("k1", 9), ("k2", 12)), 3, INCARNATIONS)

# In the order of `envelope.json`.
MESSAGES: dict[str, Message] = {
    "ask": PrepareRequest("task/usage", "p1.4", 9, INCARNATIONS),
    "ask_defaults": PrepareRequest("l", "a", 1),
    "promise": PrepareResponse(
        "task/usage", "k0", "p1.4", 9, True, 9, 1.25, "p1.3", VALUE, 41, 3, INCARNATIONS
    ),
    "promise_defaults": PrepareResponse("l", "k0", "a", 1, False, 2),
    "take": AcceptRequest("task/usage", "p1.4", 9, 6, 5.5, VALUE, (("k0", 41), ("k1", 9)), INCARNATIONS),
    "take_defaults": AcceptRequest("l", "a", 1, 1, 5.0),
    "taken": AcceptResponse("task/usage", "k0", "p1.4", 9, 6, True, 9, 0.5, 3, INCARNATIONS),
    "taken_defaults": AcceptResponse("l", "k0", "a", 1, 1, False, 2),
    "release": ReleaseRequest("task/usage", "p1.4", 9),
    "freed": ReleaseNotification("task/usage", "k0", "p2.1"),
    "learn": CatchUpRequest("k0", 2**62 - 1, 3),
    "learn_defaults": CatchUpRequest("k0", 7),
    "told": CatchUpResponse("k1", 2**62 - 1, True, 12, (RECORD, AcceptorRecord("l")), 3, 2, INCARNATIONS),
    "told_defaults": CatchUpResponse("k1", 7, False, 0),
}
ENVELOPES = {
    **{name: Envelope("f", "p1", (message,)) for name, message in MESSAGES.items()},
    "poll": Envelope("f", "p1", (), 4.5),
    "envelope": Envelope("f", "k0", tuple(MESSAGES.values())),
}


@pytest.mark.parametrize("name", sorted(ENVELOPES))
def test_an_envelope_of_each_message_decodes_and_encodes_to_the_same_bytes(name: str) -> None:
    data = (DATA / f"{name}.json").read_bytes()
    assert codec.decode(data) == ENVELOPES[name]
    assert codec.encode(ENVELOPES[name]) == data


def test_every_kind_of_message_is_captured() -> None:
    assert {type(message) for message in MESSAGES.values()} == set(Message.__args__)


@pytest.mark.parametrize(("kind", "state"), [("state", STATE), ("new_state", AcceptorState())])
def test_a_state_directory_is_read_and_written_as_the_same_bytes(
    tmp_path: pathlib.Path, kind: str, state: AcceptorState
) -> None:
    stored = {copy: (DATA / f"{kind}-{copy}").read_bytes() for copy in COPIES}
    for copy, data in stored.items():
        (tmp_path / copy).write_bytes(data)
    disk = AcceptorDisk(str(tmp_path), "f", "k0", SERVERS)
    read = disk.load()
    assert (read.disk_state, read.state, read.warnings) == (DiskState.INTACT, state, [])
    disk.save(state)
    assert {copy: (tmp_path / copy).read_bytes() for copy in COPIES} == stored


def test_the_page_of_leases_keeps_its_bytes() -> None:
    lines = [LeaseReport("task/usage", "p1.3", 7, 3.125, VALUE), LeaseReport("l", "", 0, 0.0, LeaseValue())]
    data = (DATA / "leases_page.json").read_bytes()
    assert msgspec.json.decode(data, type=list[LeaseReport]) == lines
    assert msgspec.json.encode(lines) == data


def test_the_page_of_a_servers_status_keeps_its_bytes(tmp_path: pathlib.Path) -> None:
    disk = AcceptorDisk(str(tmp_path), "f", "k0", SERVERS)
    disk.save(STATE)
    service = AcceptorService("k0", LeaseLimits(SERVERS), disk, 5, lambda: 100.0, lambda to, message: None)
    assert msgspec.json.encode(service.status()) == (DATA / "status_page.json").read_bytes()
