"""Who runs an operation: slots, views that differ, processes that are killed, paused, fewer than before."""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from saffronstack.client import Answer
from saffronstack.durable.journal import JournalError
from saffronstack.operations.idempotency_keys import Name
from saffronstack.operations.slot_assignment import SLOTS, owner, slot_of
from saffronstack.operations.slot_manager import Home, Peer, SlotKeeper, Slots
from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import hold_port
from tests.support.stack import Stack, configuration, eventually
from tests.test_operations import noting, send

COUNT = 3


def test_an_owner_is_the_same_for_all_and_moves_only_with_its_own() -> None:
    live = ["0", "1", "2", "3"]
    for slot in range(SLOTS):
        first = owner(slot, live)
        for _ in range(3):
            random.shuffle(live)
            assert owner(slot, live) == first
        for gone in live:
            rest = [member for member in live if member != gone]
            assert owner(slot, rest) == (first if first != gone else owner(slot, rest))
            assert first == gone or owner(slot, rest) == first
    spread = [sum(owner(slot, live) == member for slot in range(SLOTS)) for member in live]
    assert min(spread) >= 6
    assert owner(0, []) is None
    assert {slot_of(bytes([n, 1])) for n in range(256)} == set(range(SLOTS))


class Recorded(SlotKeeper):
    """Notes what is taken over and given up, and can fail."""

    def __init__(self) -> None:
        self.taken: list[tuple[frozenset[int], list[Home], list[tuple[bytes, bytes]]]] = []
        self.busy: set[int] = set()
        self.fails = False

    def take_over(self, slots: frozenset[int], homes: list[Home], memory: list[tuple[bytes, bytes]]) -> None:
        if self.fails:
            raise JournalError("unreadable")
        self.taken.append((slots, homes, memory))

    def give_up(self, slots: frozenset[int]) -> dict[int, list[tuple[bytes, bytes]]]:
        return {slot: [(bytes([slot]), b"left")] for slot in slots - self.busy}


def member(directory: pathlib.Path, name: str, **more: Any) -> tuple[Slots, Recorded]:
    keeper = Recorded()
    clock = more.get("clock", time.monotonic)
    return Slots(directory, name, lambda: f"host:{name}", Home(f"notes-{name}"), keeper, clock), keeper


def test_whatever_views_say_no_slot_has_two_holders(tmp_path: pathlib.Path) -> None:
    """Members whose lists are drawn at random each time: each takes what it believes is its own."""
    chance = random.Random(7)
    members = [member(tmp_path, str(n)) for n in range(4)]
    for slots, keeper in members:
        slots._live_directory.mkdir(exist_ok=True)
        keeper.busy = set(chance.sample(range(SLOTS), 10))
    for _ in range(120):
        slots, keeper = chance.choice(members)
        view = chance.sample(["0", "1", "2", "3"], chance.randint(1, 4))
        peers = {name: Peer(name, name) for name in view}
        slots._look = lambda peers=peers: peers  # type: ignore[method-assign,misc]
        keeper.busy ^= {chance.randrange(SLOTS)}
        slots.tick()
        ready = [set(filter(one.holds, range(SLOTS))) for one, _ in members]
        for a in range(4):
            for b in range(a):
                assert not ready[a] & ready[b]
    for slots, _ in members:
        slots.stop(0.0)


def test_a_slot_goes_to_the_next_with_its_holders_notes(tmp_path: pathlib.Path) -> None:
    first, _ = member(tmp_path, "a")
    first.start()
    assert first.held == SLOTS
    second, kept = member(tmp_path, "b")
    second.start()
    eventually(lambda: second.held and first.held + second.held == SLOTS)
    assert {home.notes for _, homes, _ in kept.taken for home in homes} == {"notes-a"}
    left = {entry for _, _, memory in kept.taken for entry in memory}
    assert left == {(bytes([slot]), b"left") for slot in range(SLOTS) if second.holds(slot)}
    peer = first.owner_of(next(slot for slot in range(SLOTS) if second.holds(slot)))
    assert peer is not None and peer.address == "host:b"
    assert second.stop()
    eventually(lambda: first.held == SLOTS)
    assert first.stop()


def test_slots_whose_notes_cannot_be_read_are_held_by_nobody(tmp_path: pathlib.Path) -> None:
    now = [0.0]
    slots, keeper = member(tmp_path, "a", clock=lambda: now[0])
    keeper.fails = True
    slots._live_directory.mkdir(exist_ok=True)
    slots.tick()
    assert slots.held == 0
    other, _ = member(tmp_path, "b")
    assert other._lock(3)  # the locks went back
    other._unlock(3)
    keeper.fails = False
    slots.tick()
    assert slots.held == 0  # not at once
    now[0] = 2.0
    slots.tick()
    assert slots.held == SLOTS
    slots.stop(0.0)


# ---- real processes


class Processes:
    """A gateway of several processes, whose each process can be asked by itself."""

    def __init__(self, tmp_path: pathlib.Path, fleet: StandInFleet, listen: str) -> None:
        self.directory = tmp_path
        self.fleet = fleet
        self.path = tmp_path / "gateway.json5"
        content = noting(configuration(fleet, tmp_path / "ledger"), tmp_path / "operations")
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
                "0",  # what slots do about one that is paused is shown without anyone replacing it
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
        """One process, asked where the others ask it: nobody passes its answer on but itself."""
        place = self.directory / "ledger" / (f"process-{index}" if index else "")
        address = (place / "peer").read_text().strip()
        return Stack(None, self.fleet, {}, address)  # type: ignore[arg-type]

    def pid(self, index: int) -> int:
        answer = self.peer(index).get("/status")
        return int(json.loads(answer.body)["pid"])

    def held(self, index: int) -> int:
        try:
            text = self.peer(index).get("/metrics").body.decode()
        except OSError:
            return 0  # it is dead, or not there yet
        for line in text.splitlines():
            if line.startswith("saffronstack_operation_slots "):
                return int(float(line.split()[1]))
        return 0

    def settled(self, count: int) -> None:
        """Wait until each holds what is its own."""
        live = [str(n) for n in range(count)]
        wanted = [sum(owner(slot, live) == member for slot in range(SLOTS)) for member in live]
        eventually(lambda: [self.held(n) for n in range(count)] == wanted, 20)

    def token_of(
        self, index: int, count: int, function: str = "record-sale", kind: str = "RequestResponse"
    ) -> str:
        """A name whose operation a process owns, where so many live."""
        live = [str(n) for n in range(count)]
        for n in range(10_000):
            name = Name("corner-books", function, "$LATEST", kind, f"sdk:t{n}")
            if owner(slot_of(name.digest()), live) == str(index):
                return f"t{n}"
        raise AssertionError


@contextmanager
def processes(tmp_path: pathlib.Path, profile: Profile, count: int = COUNT) -> Iterator[Processes]:
    fleet = StandInFleet(2, lambda n: profile)
    held = hold_port("127.0.0.1")
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    found = Processes(tmp_path, fleet, f"127.0.0.1:{held.getsockname()[1]}")
    held.close()
    found.start(count)
    try:
        found.settled(count)
        yield found
    finally:
        assert found.stop() == 0
        fleet.stop()


def test_two_sends_to_two_processes_at_once_run_once(tmp_path: pathlib.Path) -> None:
    with processes(tmp_path, Profile(work_s=0.2, load_s=0.02)) as gateway:
        for kind in ("RequestResponse", "Event"):
            token = gateway.token_of(1, COUNT, kind=kind)
            found: list[Answer] = []
            gate = threading.Barrier(COUNT)

            def one(index: int, into: list[Answer], gate: threading.Barrier, kind: str, token: str) -> None:
                gate.wait(5)
                into.append(send(gateway.peer(index), "record-sale", token, kind=kind))

            common = found, gate, kind, token
            threads = [threading.Thread(target=one, args=(n, *common)) for n in range(COUNT)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(15)
            assert len({(a.status, a.headers.get("x-amzn-requestid"), a.body) for a in found}) == 1
            assert sum("x-saffron-repeated" in a.headers for a in found) == COUNT - 1
            id_ = found[0].headers.get("x-amzn-requestid")
            if kind == "Event":
                assert gateway.stack.final(id_)["requestContext"]["condition"] == "Success"
            runs = [r for w in gateway.fleet.workers for r in w.runs("record-sale") if r["id"] == id_]
            assert len(runs) == 1


def test_the_owner_is_killed_in_the_middle(tmp_path: pathlib.Path) -> None:
    with processes(tmp_path, Profile(work_s=0.4, load_s=0.02)) as gateway:
        token = gateway.token_of(2, COUNT)
        found: list[Answer] = []
        sender = threading.Thread(target=lambda: found.append(send(gateway.peer(0), "record-sale", token)))
        sender.start()
        eventually(lambda: gateway.stack.runs("record-sale") == 1)
        os.kill(gateway.pid(2), signal.SIGKILL)
        sender.join(15)
        answers = [*found, *(send(gateway.peer(n), "record-sale", token) for n in (0, 1))]
        gateway.settled(COUNT)  # it came back, and has its slots again
        answers.append(send(gateway.peer(2), "record-sale", token))
        assert {a.status for a in answers} == {200}
        assert all(b"OutcomeUnknown" in a.body for a in answers), [(a.status, a.body) for a in answers]
        assert gateway.stack.runs("record-sale") == 1
        kept = gateway.token_of(2, COUNT, kind="Event")
        taken = [send(gateway.peer(0), "record-sale", kept, kind="Event")]
        os.kill(gateway.pid(2), signal.SIGKILL)
        for index in (0, 1):
            eventually(lambda index=index: _status(gateway, index, kept, taken) == 202)  # type: ignore[misc]
        assert len({a.headers.get("x-amzn-requestid") for a in taken}) == 1
        gateway.settled(COUNT)


def _status(gateway: Processes, index: int, token: str, into: list[Answer]) -> int:
    answer = send(gateway.peer(index), "record-sale", token, kind="Event")
    if answer.status == 202:
        into.append(answer)
    return answer.status


def test_the_owner_is_paused_and_resumed(tmp_path: pathlib.Path) -> None:
    """Its slots stay its own; who asks meanwhile is answered in time, and nothing of that runs later."""
    with processes(tmp_path, Profile(work_s=0.01, load_s=0.02)) as gateway:
        token, fresh = gateway.token_of(1, COUNT), f"{gateway.token_of(1, COUNT)}"
        first = send(gateway.peer(0), "record-sale", token)
        assert first.status == 200
        pid = gateway.pid(1)
        names = [f"x{n}" for n in range(3000)]
        live = [str(n) for n in range(COUNT)]
        mine = [
            n
            for n in names
            if owner(
                slot_of(
                    Name("corner-books", "record-sale", "$LATEST", "RequestResponse", f"sdk:{n}").digest()
                ),
                live,
            )
            == "1"
        ][:4]
        before = gateway.stack.runs("record-sale")
        os.kill(pid, signal.SIGSTOP)
        try:
            began_s = time.monotonic()
            answers = [send(gateway.peer(0), "record-sale", name) for name in mine]
            assert time.monotonic() - began_s < 4 * 1.6  # the class's deadline each
            assert {a.status for a in answers} <= {200, 429}
            assert all(a.status == 429 or b"OutcomeUnknown" in a.body for a in answers)
            assert gateway.held(0) + gateway.held(2) < SLOTS
            time.sleep(max(0.0, began_s + 10.0 - time.monotonic()))
        finally:
            os.kill(pid, signal.SIGCONT)
        gateway.settled(COUNT)
        time.sleep(0.5)
        assert (
            gateway.stack.runs("record-sale") == before
        )  # what came while it slept was too late to be begun
        assert send(gateway.peer(2), "record-sale", fresh).body == first.body


def test_fewer_processes_know_what_more_of_them_did(tmp_path: pathlib.Path) -> None:
    with processes(tmp_path, Profile(work_s=0.005, load_s=0.02)) as gateway:
        tokens = [gateway.token_of(n, COUNT) for n in range(COUNT)]
        firsts = [send(gateway.peer(0), "record-sale", token) for token in tokens]
        assert {a.status for a in firsts} == {200}
        assert gateway.stop() == 0
        gateway.start(2)
        gateway.settled(2)
        again = [send(gateway.peer(n % 2), "record-sale", token) for n, token in enumerate(tokens)]
        assert [a.body for a in again] == [a.body for a in firsts]
        assert gateway.stack.runs("record-sale") == COUNT


def test_a_stale_process_that_lives_keeps_its_slots_from_the_others(tmp_path: pathlib.Path) -> None:
    """One of three outlives its supervisor, paused; a new gateway of two starts beside it."""
    with processes(tmp_path, Profile(work_s=0.005, load_s=0.02)) as gateway:
        token = gateway.token_of(2, COUNT)
        first = send(gateway.peer(0), "record-sale", token)
        assert first.status == 200
        stale = gateway.pid(2)
        os.kill(stale, signal.SIGSTOP)
        assert gateway.process is not None
        os.kill(gateway.process.pid, signal.SIGKILL)
        gateway.process.wait(10)
        eventually(lambda: not _lives(tmp_path, "0") and not _lives(tmp_path, "1"))
        gateway.start(2)
        eventually(lambda: gateway.held(0) and gateway.held(1))
        assert gateway.held(0) + gateway.held(1) < SLOTS
        answer = send(gateway.peer(0), "record-sale", token)
        assert answer.status == 429 or b"OutcomeUnknown" in answer.body
        os.kill(stale, signal.SIGCONT)  # it finds its supervisor gone, and ends
        eventually(lambda: gateway.held(0) + gateway.held(1) == SLOTS)
        again = send(gateway.peer(1), "record-sale", token)
        assert again.body == first.body
        assert gateway.stack.runs("record-sale") == 1


def _lives(tmp_path: pathlib.Path, member: str) -> bool:
    looking, _ = member_of(tmp_path)
    return member in looking._look()


def member_of(tmp_path: pathlib.Path) -> tuple[Slots, Recorded]:
    return member(tmp_path / "ledger" / "operation-slots", "looker")


@pytest.mark.parametrize("header", ["nonsense", "1.0", ""])
def test_nobody_outside_can_claim_to_be_a_process(tmp_path: pathlib.Path, header: str) -> None:
    with processes(tmp_path, Profile(work_s=0.005, load_s=0.02), 2) as gateway:
        token = gateway.token_of(1, 2)
        client = gateway.peer(0).client()
        extra = (("amz-sdk-invocation-id", token), ("x-saffron-forwarded", "1"), ("x-saffron-until", header))
        answer = client.invoke("record-sale", b"{}", "RequestResponse", extra)
        assert answer.status == 421  # it may name itself forwarded; the slot is not held here all the same
        assert gateway.stack.runs("record-sale") == 0
        client.close()
