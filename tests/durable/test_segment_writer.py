"""Segments: blocks, rotation and compaction."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.deferred.call_table import CallTable
from saffronstack.deferred.ledger import CODEC
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal_recovery import RecoveredJournal
from saffronstack.durable.segment_scan import scan_segment
from saffronstack.durable.segment_writer import MAX_BLOCK_BYTES, SegmentWriter, split_into_blocks
from saffronstack.durable.segments import list_segment_numbers, segment_name


def block_numbers(directory: pathlib.Path, segment: int) -> list[int]:
    return [block.number for block in scan_segment((directory / segment_name(segment)).read_bytes()).blocks]


@pytest.fixture
def writer(tmp_path: pathlib.Path) -> SegmentWriter:
    return SegmentWriter(tmp_path, FileOperations(), CODEC, RecoveredJournal(CallTable(1)))


def test_blocks_are_numbered_over_all_segments(writer: SegmentWriter, tmp_path: pathlib.Path) -> None:
    writer.write_block([b"a"])
    writer.write_block([b"b"])
    writer.close_segment()
    writer.write_block([b"c"])
    writer.close_segment()
    assert list_segment_numbers(tmp_path) == [1, 2]
    assert (block_numbers(tmp_path, 1), block_numbers(tmp_path, 2)) == ([0, 1], [2])
    assert writer.commits == 3
    assert (
        writer.written_bytes == writer.closed_bytes == sum(path.stat().st_size for path in tmp_path.iterdir())
    )


def test_a_snapshot_replaces_all_segments(writer: SegmentWriter, tmp_path: pathlib.Path) -> None:
    writer.write_block([b"a"])
    writer.close_segment()
    writer.write_block([b"b"])
    assert writer.replace_segments([b"ab"]) == 2
    assert list_segment_numbers(tmp_path) == [3]
    assert block_numbers(tmp_path, 3) == [2]
    assert writer.closed_bytes == (tmp_path / segment_name(3)).stat().st_size


def test_a_block_ends_with_the_record_that_reaches_its_bound() -> None:
    large = bytes(MAX_BLOCK_BYTES)
    assert [len(block) for block in split_into_blocks([b"a", large, b"b"])] == [2, 1]
    assert list(split_into_blocks([])) == []
