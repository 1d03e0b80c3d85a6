"""Tests of the lock files and hand-over files of slots."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.operations.slot_locks import RecordLocation, SlotLocks

FIRST = RecordLocation("log-1", "ledger-1")
WITHOUT_LOG = RecordLocation("", "ledger-2")


@pytest.fixture
def locks(tmp_path: pathlib.Path) -> SlotLocks:
    locks = SlotLocks(tmp_path)
    assert locks.acquire(3)
    return locks


def test_a_lock_has_one_holder(tmp_path: pathlib.Path, locks: SlotLocks) -> None:
    other = SlotLocks(tmp_path)
    assert not other.acquire(3)
    locks.release(3)
    assert other.acquire(3)
    assert (locks.held_slots, other.held_slots) == ([], [3])


def test_a_holder_without_a_log_is_added_to_the_earlier_ones(locks: SlotLocks) -> None:
    locks.write_locations(3, FIRST)
    locks.write_locations(3, WITHOUT_LOG)
    locks.write_locations(3, WITHOUT_LOG)
    assert locks.read_locations(3) == [FIRST, WITHOUT_LOG]


def test_a_holder_with_a_log_replaces_the_earlier_ones(locks: SlotLocks) -> None:
    locks.write_locations(3, WITHOUT_LOG)
    locks.write_locations(3, FIRST)
    assert locks.read_locations(3) == [FIRST]


def test_a_truncated_line_is_ignored(tmp_path: pathlib.Path, locks: SlotLocks) -> None:
    (tmp_path / "3.lock").write_bytes(b'{"notes":"log-1","ledger":"ledger-1"}\n{"notes":"lo')
    assert locks.read_locations(3) == [FIRST]


def test_a_hand_over_file_is_read_until_it_is_deleted(locks: SlotLocks) -> None:
    locks.write_handover(3, [(b"digest", b"record")])
    assert locks.read_handover(3) == [(b"digest", b"record")]
    locks.delete_handover(3)
    assert locks.read_handover(3) == []


def test_a_damaged_hand_over_file_hands_over_nothing(tmp_path: pathlib.Path, locks: SlotLocks) -> None:
    (tmp_path / "3.memory").write_bytes(b"\xff")
    assert locks.read_handover(3) == []
