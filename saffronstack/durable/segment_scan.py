"""Reading the blocks of a segment, with copies that are damaged and a write that was torn.

Blocks are numbered without gaps over all segments, and each is written twice in one write: a flipped byte
costs one copy and no record, a gap in the numbers shows that records are lost, and a torn write leaves an
incomplete tail that was never acknowledged.
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
    """What one segment holds; positions are byte offsets."""

    blocks: list[Block] = field(default_factory=list)
    damaged_copy_offsets: list[int] = field(default_factory=list)  # where one copy of a block is damaged
    torn_write_offset: int | None = None  # where a write was torn: nothing behind it was ever acknowledged
    damaged_block_offset: int | None = None  # where both copies of a block are damaged


def scan_segment(data: bytes) -> SegmentScan:
    """Return the blocks of a segment's bytes, as far as they can be read."""
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
    """Decide whether the bytes behind the last readable block are a torn write or damage.

    A torn write leaves less than its two copies; both copies in full length are damage. Where the first copy
    was read and the second is torn, the block is complete and was stored.
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
