"""Assignment of slots to members."""

from __future__ import annotations

import random

from saffronstack.operations.slot_assignment import SLOT_COUNT, assigned_member, slot_for


def test_assignment_is_the_same_everywhere_and_moves_only_with_its_member() -> None:
    live = ["0", "1", "2", "3"]
    for slot in range(SLOT_COUNT):
        first = assigned_member(slot, live)
        for _ in range(3):
            random.shuffle(live)
            assert assigned_member(slot, live) == first
        for gone in live:
            rest = [member for member in live if member != gone]
            assert assigned_member(slot, rest) == (first if first != gone else assigned_member(slot, rest))
            assert first == gone or assigned_member(slot, rest) == first
    spread = [sum(assigned_member(slot, live) == member for slot in range(SLOT_COUNT)) for member in live]
    assert min(spread) >= 6
    assert assigned_member(0, []) is None
    assert {slot_for(bytes([n, 1])) for n in range(256)} == set(range(SLOT_COUNT))
