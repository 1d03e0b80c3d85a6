"""Formats shared by processes at one address: slots, spooled responses, requests, numbers, listeners."""

from __future__ import annotations

import fcntl
import json
import os
import pathlib
import shutil
import socket
import threading
import time
from typing import Any

import msgspec
import pytest

from saffronstack.cli import parent_process
from saffronstack.daemon import listener_handover
from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.daemon.state_directories import process_directory
from saffronstack.engine.identifiers import function_number, worker_number
from saffronstack.http1.messages import Headers, RequestHead
from saffronstack.invoke.operation_forwarding import ForwardableRequest, OperationForwarder
from saffronstack.invoke.response import Response
from saffronstack.operations.errors import SlotNotHeldError
from saffronstack.operations.idempotency_keys import (
    OperationIdentity,
    payload_fingerprint,
    worker_idempotency_key,
)
from saffronstack.operations.live_members import Peer
from saffronstack.operations.operation import EncodedOperation
from saffronstack.operations.response_store import ResponseStore, body_digest
from saffronstack.operations.slot_assignment import SLOT_COUNT, assigned_member, slot_for
from saffronstack.operations.slot_locks import RecordLocation
from saffronstack.operations.slot_manager import SlotHandover, SlotManager, SlotMember
from tests.stored_formats.stored_files import BUSY_MACHINE_TIMEOUT_S, DATA, SingleResponseServer

STORED_SLOT = 3
LOCATIONS = (
    RecordLocation("/state/process-0/operations", "/state/process-0/ledger"),
    RecordLocation("", "/state/process-1/ledger"),
    RecordLocation("/state/process-2/operations", ""),
)
MEMORY = [(bytes([STORED_SLOT]) * 12, b"packed"), (b"\xff" * 12, b"")]
PROCESSES = DATA / "address_processes"
NUMBERS: dict[str, Any] = json.loads((PROCESSES / "numbers.json").read_text())
LATEST_S = 9e9  # a deadline on the monotonic clock that never expires
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Amz-Executed-Version: $LATEST\r\n"
    b"X-Saffron-Repeated: ended\r\nX-Other: 1\r\nContent-Length: 2\r\n\r\n{}"
)


# ---- slots


class RecordingHandover(SlotHandover):
    """Records the locations and operations taken over; hands over the operations of the stored file."""

    def __init__(self) -> None:
        self.locations: list[RecordLocation] = []
        self.handed_over: list[EncodedOperation] = []

    def take_over(
        self, slots: frozenset[int], locations: list[RecordLocation], handed_over: list[EncodedOperation]
    ) -> None:
        self.locations += locations
        self.handed_over += handed_over

    def hand_over(self, slots: frozenset[int]) -> dict[int, list[EncodedOperation]]:
        return {slot: [(bytes([slot]) * 12, b"packed"), (b"\xff" * 12, b"")] for slot in slots}


def member(directory: pathlib.Path, number: int, handover: SlotHandover) -> SlotManager:
    own = SlotMember(str(number), lambda: f"127.0.0.1:400{number}", LOCATIONS[number])
    return SlotManager(directory, own, handover, time.monotonic)


def test_slots_that_change_hands_leave_the_same_files(tmp_path: pathlib.Path) -> None:
    stored = DATA / "operation_slots"
    for number in range(len(LOCATIONS)):
        slots = member(tmp_path, number, RecordingHandover())
        slots.start()
        lock = (tmp_path / f"{STORED_SLOT}.lock").read_bytes()
        assert lock == (stored / f"{STORED_SLOT}.lock.{number}").read_bytes()
        assert slots.stop(BUSY_MACHINE_TIMEOUT_S)
        assert (tmp_path / "live" / str(number)).read_bytes() == (stored / "live" / str(number)).read_bytes()
    assert (tmp_path / f"{STORED_SLOT}.memory").read_bytes() == (
        stored / f"{STORED_SLOT}.memory"
    ).read_bytes()
    assert len(list(tmp_path.glob("*.lock"))) == SLOT_COUNT == 64


def test_the_next_holder_reads_stored_holders_and_memory(tmp_path: pathlib.Path) -> None:
    shutil.copyfile(DATA / "operation_slots" / f"{STORED_SLOT}.lock.1", tmp_path / f"{STORED_SLOT}.lock")
    shutil.copyfile(DATA / "operation_slots" / f"{STORED_SLOT}.memory", tmp_path / f"{STORED_SLOT}.memory")
    handover = RecordingHandover()
    slots = member(tmp_path, 2, handover)
    slots.maintain()
    assert handover.locations == [LOCATIONS[0], LOCATIONS[1]]
    assert handover.handed_over == MEMORY
    assert slots.is_held(STORED_SLOT)
    slots.stop(0.0)


def test_a_live_member_is_known_by_its_stored_file(tmp_path: pathlib.Path) -> None:
    shutil.copytree(DATA / "operation_slots" / "live", tmp_path / "live")
    with (tmp_path / "live" / "0").open("rb") as first:
        fcntl.flock(first, fcntl.LOCK_EX)
        slots = member(tmp_path, 2, RecordingHandover())
        slots.maintain()
        owners = [slots.assigned_peer(slot) for slot in range(SLOT_COUNT)]
    assert {(peer.member, peer.address) for peer in owners if peer is not None} == {
        ("0", "127.0.0.1:4000"),
        ("2", "127.0.0.1:4002"),
    }
    assert [peer.member for peer in owners if peer is not None] == [
        assigned_member(slot, ["0", "2"]) for slot in range(SLOT_COUNT)
    ]
    slots.stop(0.0)


# ---- spooled responses


def test_a_spooled_answer_is_read_and_written_as_it_was(tmp_path: pathlib.Path) -> None:
    stored = DATA / "answer_spool"
    shutil.copytree(stored / "answers", tmp_path / "answers")
    digest = (stored / "digest.txt").read_text()
    store = ResponseStore(str(tmp_path), 1 << 20)
    body = store.load("0123456789abcdef", digest)
    assert body == (stored / "answers" / "0123456789abcdef").read_bytes()
    assert body_digest(body) == digest
    assert store.stored_bytes == len(body)
    assert store.save("another", body)
    assert (tmp_path / "answers" / "another").read_bytes() == body


# ---- requests between processes


def test_a_process_publishes_its_address_as_before(tmp_path: pathlib.Path) -> None:
    (tmp_path / "process-1").mkdir()
    ProcessGroup(1, 3, str(tmp_path), time.monotonic).publish_address("127.0.0.1:4001")
    assert (tmp_path / "process-1" / "peer").read_bytes() == (PROCESSES / "peer").read_bytes()


def test_a_process_asks_another_one_with_the_same_request(tmp_path: pathlib.Path) -> None:
    server = SingleResponseServer(RESPONSE)
    (tmp_path / "process-1").mkdir()
    (tmp_path / "process-1" / "peer").write_text(server.address)
    fields = [("Host", "gateway"), ("Authorization", "text")]
    answer = ProcessGroup(0, 3, str(tmp_path), time.monotonic).request_from(1, "/deferred/some-id-01", fields)
    assert server.request() == (PROCESSES / "ask.http").read_bytes()
    assert answer is not None
    assert answer[0].status == 200
    assert answer[1] == b"{}"


class KnownSlots:
    """Stub of a SlotManager whose slots are all held by another process."""

    member = "1"

    def __init__(self, address: str) -> None:
        self._address = address

    def assigned_peer(self, slot: int) -> Peer:
        return Peer("0", self._address)


def not_held() -> Response:
    raise SlotNotHeldError


def test_an_operation_is_forwarded_with_the_same_request() -> None:
    server = SingleResponseServer(RESPONSE)
    headers = Headers(
        [
            ("host", "gateway"),
            ("idempotency-key", "name-1"),
            ("x-amz-invocation-type", "RequestResponse"),
            ("connection", "keep-alive"),
            ("content-length", "9"),
            ("expect", "100-continue"),
        ]
    )
    head = RequestHead("POST", "/2015-03-31/functions/record-sale/invocations", 1, headers, True, False)
    request = ForwardableRequest(head, b'{"op": 1}', b"\x01" * 12, LATEST_S, True, not_held)
    forwarder = OperationForwarder(KnownSlots(server.address), time.monotonic)  # type: ignore[arg-type]
    answer = forwarder.execute(request, not_held)
    assert server.request() == (PROCESSES / "forward.http").read_bytes()
    assert (answer.status, answer.body) == (200, b"{}")
    assert dict(answer.headers) == {
        "content-type": "application/json",
        "x-amz-executed-version": "$LATEST",
        "x-saffron-repeated": "ended",
    }


# ---- values that every process computes identically


def test_operations_have_the_same_digests_and_slots() -> None:
    for operation in NUMBERS["operations"]:
        digest = OperationIdentity(*operation["parts"]).digest()
        assert digest.hex() == operation["digest"]
        assert slot_for(digest) == operation["slot"]
    for one in NUMBERS["fingerprints"]:
        assert payload_fingerprint(bytes.fromhex(one["payload"]), one["context"]).hex() == one["fingerprint"]
    for one in NUMBERS["worker_keys"]:
        assert worker_idempotency_key(*one["parts"]) == one["key"]


def test_slots_have_the_same_owners() -> None:
    for one in NUMBERS["owners"]:
        assert [assigned_member(slot, one["live"]) for slot in range(SLOT_COUNT)] == one["owners"]


def test_functions_workers_and_processes_have_the_same_numbers_and_directories() -> None:
    assert {name: function_number(name) for name in NUMBERS["functions"]} == NUMBERS["functions"]
    assert {name: worker_number(name) for name in NUMBERS["workers"]} == NUMBERS["workers"]
    request_id = "0f8fad5b-d9cb-469f-a165-70867728950e"
    marks = {
        str(index): ProcessGroup(index, 3, "", time.monotonic).add_owner(request_id) for index in range(3)
    }
    assert marks == NUMBERS["marks"]
    assert [process_directory("/state/ledger", index) for index in range(3)] == NUMBERS["directories"]


# ---- a daemon and its gateways


def test_the_handover_socket_has_the_same_name() -> None:
    assert listener_handover.socket_name("daemon-1/release-2", 4711) == NUMBERS["handover_socket"]
    assert NUMBERS["handover_environment"] == listener_handover.MARK_VARIABLE == "SAFFRON_LIFE"


def test_a_listening_socket_is_handed_over_in_the_same_message() -> None:
    mark = f"format-test-{os.getpid()}"
    listener = socket.create_server(("127.0.0.1", 0))
    handover = listener_handover.ListenerHandover(mark, listener)
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client_socket:
        client_socket.settimeout(5)
        client_socket.connect(listener_handover.socket_name(mark, os.getpid()))
        message, descriptors, _, _ = socket.recv_fds(client_socket, 64, 1)
    handover.stop()
    assert message == b"listener"
    with socket.socket(fileno=descriptors[0]) as received:
        assert received.getsockname() == listener.getsockname()
    listener.close()


def test_a_listening_socket_is_taken_from_a_gateway_that_sends_the_same_message() -> None:
    mark = f"format-test-old-{os.getpid()}"
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as server_socket:
        server_socket.bind(listener_handover.socket_name(mark, os.getpid()))
        server_socket.listen(1)
        listener = socket.create_server(("127.0.0.1", 0))
        address = listener.getsockname()
        received: list[socket.socket | None] = []
        requester = threading.Thread(
            target=lambda: received.append(listener_handover.request_listener(mark, os.getpid()))
        )
        requester.start()
        peer, _ = server_socket.accept()
        with peer:
            socket.send_fds(peer, [b"listener"], [listener.fileno()])
        requester.join(5)
        listener.close()
    (found,) = received
    assert found is not None
    assert found.getsockname() == address
    found.close()


@pytest.mark.parametrize(
    ("commands_text", "serves"),
    [("go\n", True), ("", False), ("other\ngo\n", True), ("after 999999999\n", True), ("after x\n", False)],
)
def test_a_standby_gateway_understands_its_daemon(
    commands_text: str, serves: bool, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    reading, writing = os.pipe()
    os.write(writing, commands_text.encode())
    os.close(writing)
    with os.fdopen(reading) as command_file:
        monkeypatch.setattr("sys.stdin", command_file)
        assert parent_process.wait_in_standby() is serves
    assert capsys.readouterr().out == "saffronstack is prepared\n"


def test_members_and_record_locations_have_the_same_json_fields() -> None:
    assert msgspec.json.encode(Peer("0", "h:1")) == b'{"member":"0","address":"h:1"}'
    assert msgspec.json.encode(RecordLocation("n", "l")) == b'{"notes":"n","ledger":"l"}'
