"""Reading the blocks of a segment."""

from __future__ import annotations

import pytest

from saffronstack.durable.block_format import encode_block
from saffronstack.durable.segment_scan import scan_segment

FIRST = encode_block(0, [b"zero"])
SECOND = encode_block(1, [b"one"])
THIRD = encode_block(2, [b"two"])


def damaged(block: bytes) -> bytes:
    return block[:-1] + bytes([block[-1] ^ 1])


def test_each_block_is_read_from_one_of_its_copies() -> None:
    scan = scan_segment(FIRST * 2 + SECOND * 2)
    assert [block.number for block in scan.blocks] == [0, 1]
    assert (scan.damaged_copy_offsets, scan.torn_write_offset, scan.damaged_block_offset) == ([], None, None)


def test_a_block_with_one_damaged_copy_is_read_from_the_other() -> None:
    scan = scan_segment(damaged(FIRST) + FIRST + SECOND * 2)
    assert [block.number for block in scan.blocks] == [0, 1]
    assert (scan.damaged_copy_offsets, scan.torn_write_offset, scan.damaged_block_offset) == ([0], None, None)


def test_two_damaged_copies_in_the_middle_are_damage() -> None:
    scan = scan_segment(FIRST * 2 + damaged(SECOND) * 2 + THIRD * 2)
    assert [block.number for block in scan.blocks] == [0, 2]
    assert scan.damaged_block_offset is not None


def test_two_damaged_copies_at_the_end_are_damage() -> None:
    scan = scan_segment(FIRST * 2 + damaged(SECOND) * 2)
    assert (scan.torn_write_offset, scan.damaged_block_offset) == (None, 2 * len(FIRST))


@pytest.mark.parametrize("stored_bytes", [1, len(SECOND) - 1, len(SECOND) + 1])
def test_an_incomplete_tail_is_a_torn_write(stored_bytes: int) -> None:
    scan = scan_segment(FIRST * 2 + (SECOND * 2)[:stored_bytes])
    assert scan.torn_write_offset is not None
    assert scan.damaged_block_offset is None
