"""Reads the blocks of a segment, and detects damaged copies and torn writes.

Blocks are numbered without gaps across all segments, and each block is stored as two copies in one write. A
flipped byte damages one copy and loses no record. A gap in the numbers shows that records are lost. A torn
write leaves an incomplete tail, which was never acknowledged.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.durable.block_format import (
    HEADER,
    Block,
    decode_block_at,
    find_next_block,
    read_declared_block_bytes,
)


@dataclass(slots=True)
class SegmentScan:
    """The readable blocks of one segment, and the byte offsets at which it is damaged."""

    blocks: list[Block] = field(default_factory=list)
    damaged_copy_offsets: list[int] = field(default_factory=list)  # where one copy of a block is damaged
    torn_write_offset: int | None = None  # start of a torn write; nothing after it was acknowledged
    damaged_block_offset: int | None = None  # first block of which both copies are damaged


def scan_segment(data: bytes) -> SegmentScan:
    """Return the readable blocks of a segment's bytes, and where the bytes are damaged."""
    result = SegmentScan()
    offset = 0
    last_number = -1
    while offset < len(data):
        block = decode_block_at(data, offset)
        if block is None:
            following = find_next_block(data, offset + 1)
            if following is None:
                _classify_tail(data, offset, result)
                return result
            result.damaged_copy_offsets.append(offset)
            block = following
        if block.number > last_number:  # the second copy of a block has the number of the first
            if last_number >= 0 and block.number != last_number + 1 and result.damaged_block_offset is None:
                result.damaged_block_offset = offset
            result.blocks.append(block)
            last_number = block.number
        offset = block.end
    return result


def _classify_tail(data: bytes, offset: int, result: SegmentScan) -> None:
    """Classify the bytes after the last readable block as a torn write or as damage.

    A torn write leaves less than two full copies of a block, so two full copies that cannot be read are
    damage. If the first copy is readable and only the second is torn, the block is complete and its records
    are kept.
    """
    if result.blocks and result.blocks[-1].end == offset:
        last_copy = data[result.blocks[-1].start : offset]
        if _is_proper_prefix(data[offset:], last_copy):
            result.torn_write_offset = offset
            return
    block_bytes = read_declared_block_bytes(data, offset) or 0
    has_both_copies = block_bytes > HEADER.size and len(data) - offset >= 2 * block_bytes
    if has_both_copies and any(data[offset:]):
        result.damaged_block_offset = (
            offset if result.damaged_block_offset is None else result.damaged_block_offset
        )
    else:
        result.torn_write_offset = offset


def _is_proper_prefix(part: bytes, complete: bytes) -> bool:
    return len(part) < len(complete) and complete.startswith(part)
