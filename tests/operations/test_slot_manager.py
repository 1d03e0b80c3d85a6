"""Tests of the acquisition and hand-over of slots."""

from __future__ import annotations

import pathlib
import random
import time
from typing import Any

from saffronstack.durable.errors import JournalError
from saffronstack.operations.live_members import Peer
from saffronstack.operations.operation import EncodedOperation
from saffronstack.operations.slot_assignment import SLOT_COUNT
from saffronstack.operations.slot_locks import RecordLocation, SlotLocks
from saffronstack.operations.slot_manager import SlotHandover, SlotManager, SlotMember
from tests.support.stack import eventually


class RecordingHandover(SlotHandover):
    """Records what is taken over, hands over one operation for each slot, and can fail on demand."""

    def __init__(self) -> None:
        self.locations: list[RecordLocation] = []
        self.handed_over: list[EncodedOperation] = []
        self.busy: set[int] = set()
        self.fails = False

    def take_over(
        self, slots: frozenset[int], locations: list[RecordLocation], handed_over: list[EncodedOperation]
    ) -> None:
        if self.fails:
            raise JournalError("unreadable")
        self.locations += locations
        self.handed_over += handed_over

    def hand_over(self, slots: frozenset[int]) -> dict[int, list[EncodedOperation]]:
        return {slot: [(bytes([slot]), b"left")] for slot in slots - self.busy}


def member(directory: pathlib.Path, name: str, **options: Any) -> tuple[SlotManager, RecordingHandover]:
    handover = RecordingHandover()
    clock = options.get("clock", time.monotonic)
    own = SlotMember(name, lambda: f"host:{name}", RecordLocation(f"notes-{name}"))
    return SlotManager(directory, own, handover, clock), handover


def test_no_slot_has_two_holders_whatever_members_believe(tmp_path: pathlib.Path) -> None:
    """Each step gives one member a random list of live members, so that assignments overlap."""
    rng = random.Random(7)
    members = [member(tmp_path, str(n)) for n in range(4)]
    for _, handover in members:
        handover.busy = set(rng.sample(range(SLOT_COUNT), 10))
    for _ in range(120):
        slots, handover = rng.choice(members)
        listed = rng.sample(["0", "1", "2", "3"], rng.randint(1, 4))
        peers = {name: Peer(name, name) for name in listed}
        slots._live_members.poll = lambda peers=peers: peers  # type: ignore[method-assign,misc]
        handover.busy ^= {rng.randrange(SLOT_COUNT)}
        slots.maintain()
        ready = [set(filter(one.is_held, range(SLOT_COUNT))) for one, _ in members]
        for a in range(4):
            for b in range(a):
                assert not ready[a] & ready[b]
    for slots, _ in members:
        slots.stop(0.0)


def test_a_slot_is_handed_over_with_its_record_locations(tmp_path: pathlib.Path) -> None:
    first, _ = member(tmp_path, "a")
    first.start()
    assert first.held_count == SLOT_COUNT
    second, second_handover = member(tmp_path, "b")
    second.start()
    eventually(lambda: second.held_count and first.held_count + second.held_count == SLOT_COUNT)
    assert {location.log_directory for location in second_handover.locations} == {"notes-a"}
    handed_over = set(second_handover.handed_over)
    assert handed_over == {(bytes([slot]), b"left") for slot in range(SLOT_COUNT) if second.is_held(slot)}
    peer = first.assigned_peer(next(slot for slot in range(SLOT_COUNT) if second.is_held(slot)))
    assert peer is not None
    assert peer.address == "host:b"
    assert second.stop()
    eventually(lambda: first.held_count == SLOT_COUNT)
    assert first.stop()


def test_slots_whose_records_cannot_be_read_are_held_by_no_member(tmp_path: pathlib.Path) -> None:
    now = [0.0]
    slots, handover = member(tmp_path, "a", clock=lambda: now[0])
    handover.fails = True
    slots.maintain()
    assert slots.held_count == 0
    other = SlotLocks(tmp_path)
    assert other.acquire(3)  # the manager released its locks
    other.release(3)
    handover.fails = False
    slots.maintain()
    assert slots.held_count == 0  # the manager retries after a backoff
    now[0] = 2.0
    slots.maintain()
    assert slots.held_count == SLOT_COUNT
    slots.stop(0.0)
