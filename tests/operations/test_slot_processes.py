"""Tests of operations across several gateway processes that crash, are paused or are restarted with fewer."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from saffronstack.client import Response
from saffronstack.operations.idempotency_keys import OperationIdentity
from saffronstack.operations.live_members import LiveMembers
from saffronstack.operations.slot_assignment import SLOT_COUNT, assigned_member, slot_for
from saffronstack.operations.slot_manager import LIVE_DIRECTORY
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import reserve_port
from tests.support.operations import send, with_operation_log
from tests.support.stack import Stack, configuration, eventually

COUNT = 3


class Processes:
    """A gateway with several processes; a test can send requests to each of them."""

    def __init__(self, tmp_path: pathlib.Path, fleet: StubWorkerFleet, listen: str) -> None:
        self.directory = tmp_path
        self.fleet = fleet
        self.path = tmp_path / "gateway.json5"
        content = with_operation_log(configuration(fleet, tmp_path / "ledger"), tmp_path / "operations")
        self.path.write_text(json.dumps({**content, "listen": listen}))
        self.stack = Stack(None, fleet, content, listen)  # type: ignore[arg-type]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, count: int) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "saffronstack.cli.main",
                "serve",
                "--config",
                str(self.path),
                "--processes",
                str(count),
                "--replace-stopped",
                "0",  # the supervisor must not replace a paused process
                "--log-level",
                "error",
            ],
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        assert b"http://" in self.process.stdout.readline()

    def stop(self) -> int:
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        assert self.process.stdout is not None
        self.process.stdout.close()
        return self.process.wait(40)

    def peer(self, index: int) -> Stack:
        """Return one process, addressed where the other processes forward requests to it."""
        ledger_directory = self.directory / "ledger" / (f"process-{index}" if index else "")
        address = (ledger_directory / "peer").read_text().strip()
        return Stack(None, self.fleet, {}, address)  # type: ignore[arg-type]

    def pid(self, index: int) -> int:
        answer = self.peer(index).get("/status")
        return int(json.loads(answer.body)["pid"])

    def held_slot_count(self, index: int) -> int:
        try:
            text = self.peer(index).get("/metrics").body.decode()
        except OSError:
            return 0  # the process has crashed or has not started yet
        for line in text.splitlines():
            if line.startswith("saffronstack_operation_slots "):
                return int(float(line.split()[1]))
        return 0

    def wait_for_assigned_slots(self, count: int) -> None:
        """Wait until each process holds its assigned slots."""
        live = [str(n) for n in range(count)]
        expected = [
            sum(assigned_member(slot, live) == member for slot in range(SLOT_COUNT)) for member in live
        ]
        eventually(lambda: [self.held_slot_count(n) for n in range(count)] == expected, 20)

    def key_of(
        self, index: int, count: int, function: str = "record-sale", invocation_type: str = "RequestResponse"
    ) -> str:
        """Return a key whose operation is assigned to process ``index`` of ``count``."""
        live = [str(n) for n in range(count)]
        for n in range(10_000):
            identity = OperationIdentity("corner-books", function, "$LATEST", invocation_type, f"sdk:t{n}")
            if assigned_member(slot_for(identity.digest()), live) == str(index):
                return f"t{n}"
        raise AssertionError


@contextmanager
def processes(tmp_path: pathlib.Path, profile: Profile, count: int = COUNT) -> Iterator[Processes]:
    fleet = StubWorkerFleet(2, lambda n: profile)
    reserved_port = reserve_port("127.0.0.1")
    reserved_port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    gateway = Processes(tmp_path, fleet, f"127.0.0.1:{reserved_port.getsockname()[1]}")
    reserved_port.close()
    gateway.start(count)
    try:
        gateway.wait_for_assigned_slots(count)
        yield gateway
    finally:
        assert gateway.stop() == 0
        fleet.stop()


def test_concurrent_requests_to_several_processes_execute_once(tmp_path: pathlib.Path) -> None:
    with processes(tmp_path, Profile(work_s=0.2, load_s=0.02)) as gateway:
        for invocation_type in ("RequestResponse", "Event"):
            key = gateway.key_of(1, COUNT, invocation_type=invocation_type)
            responses: list[Response] = []
            barrier = threading.Barrier(COUNT)

            def send_one(
                index: int,
                results: list[Response],
                barrier: threading.Barrier,
                invocation_type: str,
                key: str,
            ) -> None:
                barrier.wait(5)
                results.append(send(gateway.peer(index), "record-sale", key, kind=invocation_type))

            common = responses, barrier, invocation_type, key
            threads = [threading.Thread(target=send_one, args=(n, *common)) for n in range(COUNT)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(15)
            assert len({(a.status, a.headers.get("x-amzn-requestid"), a.body) for a in responses}) == 1
            assert sum("x-saffron-repeated" in a.headers for a in responses) == COUNT - 1
            request_id = responses[0].headers.get("x-amzn-requestid")
            if invocation_type == "Event":
                assert gateway.stack.final_record(request_id)["requestContext"]["condition"] == "Success"
            runs = [r for w in gateway.fleet.workers for r in w.runs("record-sale") if r["id"] == request_id]
            assert len(runs) == 1


def test_the_slot_holder_crashes_during_an_execution(tmp_path: pathlib.Path) -> None:
    with processes(tmp_path, Profile(work_s=0.4, load_s=0.02)) as gateway:
        key = gateway.key_of(2, COUNT)
        forwarded: list[Response] = []
        sender = threading.Thread(target=lambda: forwarded.append(send(gateway.peer(0), "record-sale", key)))
        sender.start()
        eventually(lambda: gateway.stack.run_count("record-sale") == 1)
        os.kill(gateway.pid(2), signal.SIGKILL)
        sender.join(15)
        responses = [*forwarded, *(send(gateway.peer(n), "record-sale", key) for n in (0, 1))]
        gateway.wait_for_assigned_slots(COUNT)  # the process has restarted and acquired its slots again
        responses.append(send(gateway.peer(2), "record-sale", key))
        assert {a.status for a in responses} == {200}
        assert all(b"OutcomeUnknown" in a.body for a in responses), [(a.status, a.body) for a in responses]
        assert gateway.stack.run_count("record-sale") == 1
        event_key = gateway.key_of(2, COUNT, invocation_type="Event")
        event_responses = [send(gateway.peer(0), "record-sale", event_key, kind="Event")]
        os.kill(gateway.pid(2), signal.SIGKILL)
        for index in (0, 1):
            eventually(lambda index=index: _send_event(gateway, index, event_key, event_responses) == 202)  # type: ignore[misc]
        assert len({a.headers.get("x-amzn-requestid") for a in event_responses}) == 1
        gateway.wait_for_assigned_slots(COUNT)


def _send_event(gateway: Processes, index: int, key: str, accepted: list[Response]) -> int:
    response = send(gateway.peer(index), "record-sale", key, kind="Event")
    if response.status == 202:
        accepted.append(response)
    return response.status


def test_the_slot_holder_is_paused_and_resumed(tmp_path: pathlib.Path) -> None:
    """A paused process keeps its slots.

    Requests during the pause are answered in time, and none is executed when the process resumes.
    """
    with processes(tmp_path, Profile(work_s=0.01, load_s=0.02)) as gateway:
        key, same_key = gateway.key_of(1, COUNT), f"{gateway.key_of(1, COUNT)}"
        first = send(gateway.peer(0), "record-sale", key)
        assert first.status == 200
        pid = gateway.pid(1)
        candidate_keys = [f"x{n}" for n in range(3000)]
        live = [str(n) for n in range(COUNT)]
        assigned_keys = [
            n
            for n in candidate_keys
            if assigned_member(
                slot_for(
                    OperationIdentity(
                        "corner-books", "record-sale", "$LATEST", "RequestResponse", f"sdk:{n}"
                    ).digest()
                ),
                live,
            )
            == "1"
        ][:4]
        before = gateway.stack.run_count("record-sale")
        os.kill(pid, signal.SIGSTOP)
        try:
            paused_at_s = time.monotonic()
            responses = [send(gateway.peer(0), "record-sale", name) for name in assigned_keys]
            assert time.monotonic() - paused_at_s < 4 * 1.6  # the class's deadline for each request
            assert {a.status for a in responses} <= {200, 429}
            assert all(a.status == 429 or b"OutcomeUnknown" in a.body for a in responses)
            assert gateway.held_slot_count(0) + gateway.held_slot_count(2) < SLOT_COUNT
            time.sleep(max(0.0, paused_at_s + 10.0 - time.monotonic()))
        finally:
            os.kill(pid, signal.SIGCONT)
        gateway.wait_for_assigned_slots(COUNT)
        time.sleep(0.5)
        assert (
            gateway.stack.run_count("record-sale") == before
        )  # requests of the pause have expired and are not executed
        assert send(gateway.peer(2), "record-sale", same_key).body == first.body


def test_fewer_processes_know_the_operations_of_more(tmp_path: pathlib.Path) -> None:
    with processes(tmp_path, Profile(work_s=0.005, load_s=0.02)) as gateway:
        keys = [gateway.key_of(n, COUNT) for n in range(COUNT)]
        first_responses = [send(gateway.peer(0), "record-sale", key) for key in keys]
        assert {a.status for a in first_responses} == {200}
        assert gateway.stop() == 0
        gateway.start(2)
        gateway.wait_for_assigned_slots(2)
        replayed = [send(gateway.peer(n % 2), "record-sale", key) for n, key in enumerate(keys)]
        assert [a.body for a in replayed] == [a.body for a in first_responses]
        assert gateway.stack.run_count("record-sale") == COUNT


def test_a_stale_process_keeps_its_slots_while_it_lives(tmp_path: pathlib.Path) -> None:
    """One of three processes is paused while its supervisor dies and a gateway of two processes starts."""
    with processes(tmp_path, Profile(work_s=0.005, load_s=0.02)) as gateway:
        key = gateway.key_of(2, COUNT)
        first = send(gateway.peer(0), "record-sale", key)
        assert first.status == 200
        stale_pid = gateway.pid(2)
        os.kill(stale_pid, signal.SIGSTOP)
        assert gateway.process is not None
        os.kill(gateway.process.pid, signal.SIGKILL)
        gateway.process.wait(10)
        eventually(lambda: not _is_live(tmp_path, "0") and not _is_live(tmp_path, "1"))
        gateway.start(2)
        eventually(lambda: gateway.held_slot_count(0) and gateway.held_slot_count(1))
        assert gateway.held_slot_count(0) + gateway.held_slot_count(1) < SLOT_COUNT
        response = send(gateway.peer(0), "record-sale", key)
        assert response.status == 429 or b"OutcomeUnknown" in response.body
        os.kill(stale_pid, signal.SIGCONT)  # it detects that its supervisor has died, and stops
        eventually(lambda: gateway.held_slot_count(0) + gateway.held_slot_count(1) == SLOT_COUNT)
        replayed = send(gateway.peer(1), "record-sale", key)
        assert replayed.body == first.body
        assert gateway.stack.run_count("record-sale") == 1


def _is_live(tmp_path: pathlib.Path, member: str) -> bool:
    directory = tmp_path / "ledger" / "operation-slots" / LIVE_DIRECTORY
    return member in LiveMembers(directory, "observer", lambda: "").poll()


@pytest.mark.parametrize("header", ["nonsense", "1.0", ""])
def test_a_client_cannot_claim_to_be_a_process(tmp_path: pathlib.Path, header: str) -> None:
    with processes(tmp_path, Profile(work_s=0.005, load_s=0.02), 2) as gateway:
        key = gateway.key_of(1, 2)
        client = gateway.peer(0).client()
        headers = (("amz-sdk-invocation-id", key), ("x-saffron-forwarded", "1"), ("x-saffron-until", header))
        response = client.invoke("record-sale", b"{}", "RequestResponse", headers)
        assert response.status == 421  # marked as forwarded, but this process does not hold the slot
        assert gateway.stack.run_count("record-sale") == 0
        client.close()
