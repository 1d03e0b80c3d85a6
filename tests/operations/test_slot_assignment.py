"""Tests of the assignment of slots to members."""

from __future__ import annotations

import random

from saffronstack.operations.slot_assignment import SLOT_COUNT, assigned_member, slot_for


def test_assignment_is_the_same_everywhere_and_moves_only_with_its_member() -> None:
    live = ["0", "1", "2", "3"]
    for slot in range(SLOT_COUNT):
        assigned = assigned_member(slot, live)
        for _ in range(3):
            random.shuffle(live)
            assert assigned_member(slot, live) == assigned
        for removed in live:
            remaining = [member for member in live if member != removed]
            assert assigned_member(slot, remaining) == (
                assigned if assigned != removed else assigned_member(slot, remaining)
            )
            assert assigned == removed or assigned_member(slot, remaining) == assigned
    slots_per_member = [
        sum(assigned_member(slot, live) == member for slot in range(SLOT_COUNT)) for member in live
    ]
    assert min(slots_per_member) >= 6
    assert assigned_member(0, []) is None
    assert {slot_for(bytes([n, 1])) for n in range(256)} == set(range(SLOT_COUNT))
