"""The binary format of blocks."""

from __future__ import annotations

import pytest

from saffronstack.durable.block_format import (
    HEADER,
    decode_block_at,
    encode_block,
    find_next_block,
    find_unknown_version,
    read_declared_block_bytes,
)

RECORDS = [b"first", b"", b"third" * 100]


@pytest.mark.parametrize("compress", [False, True])
def test_a_block_holds_its_number_and_records(compress: bool) -> None:
    data = encode_block(7, RECORDS, compress)
    block = decode_block_at(data, 0)
    assert block is not None
    assert (block.number, block.start, block.end, block.is_compressed) == (7, 0, len(data), compress)
    assert list(block.records()) == RECORDS


@pytest.mark.parametrize("offset", [0, 5, 13, 17, HEADER.size])
def test_a_flipped_byte_makes_a_block_unreadable(offset: int) -> None:
    data = bytearray(encode_block(7, RECORDS))
    data[offset] ^= 1
    assert decode_block_at(bytes(data), 0) is None


def test_the_next_block_is_found_behind_damage() -> None:
    data = b"SfL1 no block" + encode_block(8, RECORDS)
    block = find_next_block(data, 0)
    assert block is not None
    assert (block.number, block.start) == (8, 13)
    assert find_next_block(data, 14) is None


def test_a_header_declares_the_size_of_its_block() -> None:
    data = encode_block(7, RECORDS)
    assert read_declared_block_bytes(data[: HEADER.size], 0) == len(data)
    assert read_declared_block_bytes(data[: HEADER.size - 1], 0) is None
    assert read_declared_block_bytes(b"x" * HEADER.size, 0) is None


def test_blocks_of_another_version_are_recognised() -> None:
    assert find_unknown_version(b"SfL2 rest") == "SfL2"
    assert find_unknown_version(encode_block(0, RECORDS)) == ""
    assert find_unknown_version(b"text") == ""
