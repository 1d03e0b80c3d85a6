"""Recovery of a journal's state from its segments when it is opened."""

from __future__ import annotations

import pathlib
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic

from saffronstack.durable import segments
from saffronstack.durable.block_format import Block, find_unknown_version
from saffronstack.durable.errors import JournalError
from saffronstack.durable.journal_state import RecordCodec, RecordT, StateT
from saffronstack.durable.segment_scan import SegmentScan, scan_segment

MAX_READS = 10  # of a journal without its lock: each time its owner may have replaced the segments meanwhile


@dataclass(slots=True)
class RecoveredJournal(Generic[StateT]):
    """The recovered state, the damage found in the segments, and where writing continues."""

    state: StateT
    has_lost_records: bool = False  # the lost records may have included attempts
    warnings: list[str] = field(default_factory=list)  # each names a file and a byte offset
    next_block: int = 0  # number of the next block to write
    next_segment: int = 1  # number of the next segment to create
    closed_bytes: int = 0  # total size of the segments


@dataclass(frozen=True, slots=True)
class _ScannedSegment:
    path: pathlib.Path
    scan: SegmentScan


def recover_journal(
    directory: pathlib.Path, state: StateT, codec: RecordCodec[RecordT]
) -> RecoveredJournal[StateT]:
    """Apply the records of a directory's segments to an empty state.

    Args:
        directory: Directory of the segments. This function does not lock it.
        state: An empty state, to which the records are applied.
        codec: Decodes the records.

    Raises:
        JournalError: A segment cannot be read, or is of another version.
    """
    recovered = RecoveredJournal(state)
    numbers = segments.list_segment_numbers(directory)
    scanned_segments: list[_ScannedSegment] = []
    for number in numbers:
        path = directory / segments.segment_name(number, codec.prefix)
        scan = _scan_file(path, recovered)
        _drop_renumbered_blocks(scanned_segments, scan)
        scanned_segments.append(_ScannedSegment(path, scan))
    expected_block: int | None = None
    for segment in scanned_segments:
        expected_block = _apply_segment(segment, codec, recovered, expected_block)
    if recovered.has_lost_records:
        state.mark_records_lost()
    recovered.next_block = expected_block or 0
    recovered.next_segment = (numbers[-1] if numbers else 0) + 1
    return recovered


def read_unlocked_journal(
    directory: pathlib.Path, create_state: Callable[[], StateT], codec: RecordCodec[RecordT]
) -> RecoveredJournal[StateT]:
    """Read a journal that another process may be writing, and again if that process compacts it meanwhile.

    Args:
        directory: Directory of the segments.
        create_state: Returns an empty state.
        codec: Decodes the records.

    Raises:
        JournalError: A segment cannot be read, or is of another version.
    """
    for reads_left in reversed(range(MAX_READS)):
        try:
            return recover_journal(directory, create_state(), codec)
        except JournalError as error:
            was_compacted = isinstance(error.__cause__, FileNotFoundError)
            if not reads_left or not was_compacted:
                raise
    raise AssertionError


def _scan_file(path: pathlib.Path, recovered: RecoveredJournal[StateT]) -> SegmentScan:
    """Scan one segment, and add a warning for each damaged part."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise JournalError(f"{path}: {error.strerror}") from error
    recovered.closed_bytes += len(data)
    scan = scan_segment(data)
    if not scan.blocks and (version := find_unknown_version(data)):
        raise JournalError(f"{path}: blocks of another version, {version}; the file was not changed")
    for offset in scan.damaged_copy_offsets:
        recovered.warnings.append(
            f"{path.name}: byte {offset}: one copy of a block is damaged; read from its other copy"
        )
    if scan.damaged_block_offset is not None:
        recovered.warnings.append(
            f"{path.name}: byte {scan.damaged_block_offset}: both copies of a block are damaged"
        )
    if scan.torn_write_offset is not None:
        recovered.warnings.append(
            f"{path.name}: byte {scan.torn_write_offset}: torn write; nothing after it was acknowledged"
        )
    return scan


def _drop_renumbered_blocks(earlier_segments: list[_ScannedSegment], later: SegmentScan) -> None:
    """Drop blocks whose numbers a later segment reuses: their writes failed and were never acknowledged."""
    if not later.blocks:
        return
    first_number = later.blocks[0].number
    for earlier in earlier_segments:
        while earlier.scan.blocks and earlier.scan.blocks[-1].number >= first_number:
            earlier.scan.blocks.pop()


def _apply_segment(
    segment: _ScannedSegment,
    codec: RecordCodec[RecordT],
    recovered: RecoveredJournal[StateT],
    expected_block: int | None,
) -> int | None:
    """Apply a segment's records; return the number that the next segment's first block must have."""
    for position, block in enumerate(segment.scan.blocks):
        records = _decode_records(segment.path, block, codec)
        if position == 0 and codec.is_snapshot_start(records[0]):
            recovered.has_lost_records = False  # the snapshot replaces all earlier records, lost ones too
        else:
            _check_block_number(segment.path.name, block, expected_block, recovered)
        for record in records:
            recovered.state.apply(record)
        expected_block = block.number + 1
    if segment.scan.damaged_block_offset is not None:
        recovered.has_lost_records = True
    return expected_block


def _decode_records(path: pathlib.Path, block: Block, codec: RecordCodec[RecordT]) -> list[RecordT]:
    try:
        return [codec.decode(record) for record in block.records()]
    except (ValueError, struct.error) as error:
        raise JournalError(f"{path}: byte {block.start}: records of another version: {error}") from error


def _check_block_number(
    segment_name: str, block: Block, expected: int | None, recovered: RecoveredJournal[StateT]
) -> None:
    """Mark records as lost, with a warning, if blocks before this one are missing."""
    location = f"{segment_name}: byte {block.start}"
    if expected is None and block.number != 0:
        recovered.has_lost_records = True
        recovered.warnings.append(f"{location}: all blocks before {block.number} are missing")
    elif expected is not None and block.number != expected:
        recovered.has_lost_records = True
        recovered.warnings.append(f"{location}: blocks {expected} to {block.number - 1} are missing")
