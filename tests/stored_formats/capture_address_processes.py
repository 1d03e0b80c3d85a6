"""Write the state and messages that gateway processes at one address share, with the code of commit 0684301.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/stored_formats/capture_address_processes.py

`data/operation_slots` receives the files of slots that changed their holder, `data/answer_spool` a response
too large for memory, and `data/address_processes` the requests between processes, the file with a process's
address, and the numbers and digests that all processes must compute identically. The script imports modules
by the names of that commit, which differ from those of the present code.
"""

from __future__ import annotations

import importlib
import json
import pathlib
import shutil
import tempfile
import time
from typing import Any

stored_files = importlib.import_module("stored_files")

DATA = pathlib.Path(__file__).parent / "data"
KEPT_SLOT = 3
LATEST_S = 9e9  # a deadline on the monotonic clock that never expires
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Amz-Executed-Version: $LATEST\r\n"
    b"X-Saffron-Repeated: ended\r\nX-Other: 1\r\nContent-Length: 2\r\n\r\n{}"
)


def fresh(kind: str) -> pathlib.Path:
    """Create an empty directory under `data/` and return it."""
    shutil.rmtree(DATA / kind, ignore_errors=True)
    (DATA / kind).mkdir(parents=True)
    return DATA / kind


def write_slots() -> None:
    """Let three members hold the slots one after another; the second has no operation log."""
    slots = importlib.import_module("saffronstack.operations.slots")
    folder = fresh("operation_slots")

    class Keeper(slots.SlotKeeper):  # type: ignore[name-defined,misc]
        def take_over(self, taken: Any, homes: Any, memory: Any) -> None:
            pass

        def give_up(self, given: Any) -> dict[int, list[tuple[bytes, bytes]]]:
            return {slot: [(bytes([slot]) * 12, b"packed"), (b"\xff" * 12, b"")] for slot in given}

    homes = [
        slots.Home("/state/process-0/operations", "/state/process-0/ledger"),
        slots.Home("", "/state/process-1/ledger"),
        slots.Home("/state/process-2/operations", ""),
    ]
    with tempfile.TemporaryDirectory() as temporary:
        directory = pathlib.Path(temporary)
        for number, home in enumerate(homes):
            address = f"127.0.0.1:400{number}"
            member = slots.Slots(
                directory, str(number), lambda address=address: address, home, Keeper(), time.monotonic
            )
            member.start()
            shutil.copyfile(directory / f"{KEPT_SLOT}.lock", folder / f"{KEPT_SLOT}.lock.{number}")
            assert member.stop(stored_files.BUSY_MACHINE_TIMEOUT_S)
        shutil.copyfile(directory / f"{KEPT_SLOT}.memory", folder / f"{KEPT_SLOT}.memory")
        shutil.copytree(directory / "live", folder / "live")


def write_spool() -> None:
    """Spool one response."""
    spools = importlib.import_module("saffronstack.operations.spool")
    folder = fresh("answer_spool")
    body = b'{"page": "' + bytes(range(256)) * 4 + b'"}'
    spool = spools.Spool(str(folder), 1 << 20)
    assert spool.put("0123456789abcdef", body)
    (folder / "digest.txt").write_text(spools.digest_of(body))


def write_addresses_and_requests() -> None:
    """Write the address file of a process and the requests that another process sends to it."""
    members = importlib.import_module("saffronstack.daemon.members")
    folder = fresh("address_processes")
    with tempfile.TemporaryDirectory() as temporary:
        directory = pathlib.Path(temporary)
        (directory / "process-1").mkdir()
        server = stored_files.SingleResponseServer(RESPONSE)
        second = members.Members(1, 3, temporary, time.monotonic)
        second.publish(server.address)
        assert (directory / "process-1" / "peer").read_text() == server.address
        first = members.Members(0, 3, temporary, time.monotonic)
        head, body = first.ask(1, "/deferred/some-id-01", [("Host", "gateway"), ("Authorization", "text")])
        assert head.status == 200
        assert body == b"{}"
        (folder / "ask.http").write_bytes(server.request())
        second.publish("127.0.0.1:4001")
        shutil.copyfile(directory / "process-1" / "peer", folder / "peer")
    (folder / "forward.http").write_bytes(forwarded_operation())


def forwarded_operation() -> bytes:
    """Return the request that forwards an operation to the process that holds its slot."""
    routing = importlib.import_module("saffronstack.invoke.routing")
    service = importlib.import_module("saffronstack.operations.service")
    slots = importlib.import_module("saffronstack.operations.slots")
    messages = importlib.import_module("saffronstack.http1.messages")
    server = stored_files.SingleResponseServer(RESPONSE)

    class KnownSlots:
        member = "1"

        def owner_of(self, slot: int) -> Any:
            return slots.Peer("0", server.address)

    def here() -> Any:
        raise service.NotHeldError

    headers = messages.Headers(
        [
            ("host", "gateway"),
            ("idempotency-key", "name-1"),
            ("x-amz-invocation-type", "RequestResponse"),
            ("connection", "keep-alive"),
            ("content-length", "9"),
            ("expect", "100-continue"),
        ]
    )
    target = "/2015-03-31/functions/record-sale/invocations"
    head = messages.RequestHead("POST", target, 1, headers, True, False)
    sent = routing.Sent(head, b'{"op": 1}', b"\x01" * 12, LATEST_S, True, here)
    answer = routing.Router(KnownSlots(), time.monotonic).run(sent, here)
    assert answer.status == 200
    names = [name for name, _ in answer.headers]
    assert names == ["content-type", "x-amz-executed-version", "x-saffron-repeated"], names
    request: bytes = server.request()
    return request


def write_numbers() -> None:
    """Write the numbers, digests and names that every process must compute identically."""
    names = importlib.import_module("saffronstack.operations.names")
    owners = importlib.import_module("saffronstack.operations.owners")
    numbers = importlib.import_module("saffronstack.core.names")
    handover = importlib.import_module("saffronstack.daemon.handover")
    members = importlib.import_module("saffronstack.daemon.members")
    operations = [
        ["corner-books", "record-sale", "$LATEST", "RequestResponse", "key:name-1"],
        ["campus-app", "adjust-setting", "", "Event", "sdk:0f8fad5b-d9cb-469f-a165-70867728950e"],
        ["", "f", "q", "Event", ""],
    ]
    digests = [names.Name(*parts).digest() for parts in operations]
    live = [["0"], ["0", "1"], ["0", "1", "2"], ["gateway-a", "gateway-b", "gateway-c", "gateway-d"]]
    payloads = [(b"", ""), (b'{"op": 1}', "Y29udGV4dA=="), (b"\x00\xff", "x")]
    keys = [["tenant", "key:one", "id"], ["tenant", "sdk:two", "id"], ["tenant", "", "id"]]
    content = {
        "operations": [
            {"parts": parts, "digest": digest.hex(), "slot": owners.slot_of(digest)}
            for parts, digest in zip(operations, digests, strict=True)
        ],
        "owners": [
            {"live": one, "owners": [owners.owner(slot, one) for slot in range(owners.SLOTS)]} for one in live
        ],
        "fingerprints": [
            {
                "payload": payload.hex(),
                "context": context,
                "fingerprint": names.fingerprint(payload, context).hex(),
            }
            for payload, context in payloads
        ],
        "worker_keys": [{"parts": parts, "key": names.worker_key(*parts)} for parts in keys],
        "functions": {name: numbers.function_number(name) for name in ("record-sale", "f", "a.b-c")},
        "workers": {name: numbers.worker_number(name) for name in ("worker-1", "w", "a.b-c")},
        "marks": {
            str(index): members.Members(index, 3, "", time.monotonic).mark(
                "0f8fad5b-d9cb-469f-a165-70867728950e"
            )
            for index in range(3)
        },
        "directories": [members.member_directory("/state/ledger", index) for index in range(3)],
        "handover_socket": handover._name("daemon-1/release-2", 4711),
        "handover_environment": handover.MARK,
    }
    (DATA / "address_processes" / "numbers.json").write_text(json.dumps(content, indent=1))


if __name__ == "__main__":
    write_slots()
    write_spool()
    write_addresses_and_requests()
    write_numbers()
