"""Writes a journal's segments: appends blocks to the newest one, rotates and compacts segments."""

from __future__ import annotations

import contextlib
import os
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any

from saffronstack.durable import segments
from saffronstack.durable.block_format import encode_block
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal_recovery import RecoveredJournal
from saffronstack.durable.journal_state import RecordCodec

MAX_BLOCK_BYTES = 8 * 1024 * 1024  # size of records that ends a block; the last record may exceed it


class SegmentWriter:
    """Appends blocks to the newest segment; owned by the journal's writer thread."""

    def __init__(
        self,
        directory: pathlib.Path,
        files: FileOperations,
        codec: RecordCodec[Any],
        recovered: RecoveredJournal[Any],
    ) -> None:
        """Continue after the recovered segments, in a new one that the first block creates."""
        self._directory = directory
        self._files = files
        self._prefix = codec.prefix
        self._compress = codec.compress
        self._next_block = recovered.next_block
        self._next_segment = recovered.next_segment
        self._descriptor: int | None = None  # descriptor of the open segment
        self.open_bytes = 0  # size of the open segment
        self.closed_bytes = recovered.closed_bytes  # total size of the other segments
        self.written_bytes = 0  # bytes written by `write_block` since the start
        self.commits = 0  # number of blocks that `write_block` synced since the start

    def write_block(self, records: Iterable[bytes]) -> None:
        """Append a block with these encoded records, and sync it to the disk.

        Raises:
            OSError: The block was not written.
        """
        descriptor = self._open_segment()
        block = encode_block(self._next_block, records, self._compress)
        try:
            self._files.write(descriptor, block + block)
            self._files.sync(descriptor)
        except OSError:
            # It is unknown how much of the block reached the disk. The segment is truncated, and a new
            # segment reuses the block's number. If the failed block stays on the disk all the same, recovery
            # sees the reused number and drops the failed block.
            with contextlib.suppress(OSError):
                self._files.truncate(descriptor, self.open_bytes)
                self._files.sync(descriptor)
            self.close_segment()
            raise
        self.open_bytes += 2 * len(block)
        self.written_bytes += 2 * len(block)
        self._next_block += 1
        self.commits += 1

    def close_segment(self) -> None:
        """Close the open segment, if any; the next block creates a new one."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self.closed_bytes += self.open_bytes
            self._descriptor = None
            self.open_bytes = 0

    def replace_segments(self, snapshot: Iterable[bytes]) -> int:
        """Replace all segments by one that holds the encoded records of a snapshot.

        The new segment is renamed to its final name after it is synced, and the older segments are removed
        after that, so that a kill at any time leaves a complete journal.

        Returns:
            The number of segments that were removed.

        Raises:
            OSError: The snapshot was not written, or an older segment was not removed.
        """
        self.close_segment()
        older = segments.list_segment_numbers(self._directory)
        target = self._segment_path(self._next_segment)
        temporary_path = target.with_suffix(".tmp")
        next_block = self._next_block
        size_bytes = 0
        descriptor = self._files.open(temporary_path)
        try:
            for records in split_into_blocks(snapshot):
                block = encode_block(next_block, records, self._compress)
                self._files.write(descriptor, block + block)
                size_bytes += 2 * len(block)
                next_block += 1
            self._files.sync(descriptor)
        except OSError:
            with contextlib.suppress(OSError):
                temporary_path.unlink()
            raise
        finally:
            os.close(descriptor)
        temporary_path.rename(target)
        self._files.sync_directory(self._directory)
        self._next_block = next_block
        self._next_segment += 1
        for number in older:
            self._segment_path(number).unlink()
        self.closed_bytes = size_bytes
        return len(older)

    def _open_segment(self) -> int:
        """Return the descriptor of the open segment; create a segment if none is open."""
        if self._descriptor is not None:
            return self._descriptor
        path = self._segment_path(self._next_segment)
        descriptor = self._files.open(path)
        try:
            self._files.sync_directory(self._directory)
        except OSError:
            os.close(descriptor)
            with contextlib.suppress(OSError):
                path.unlink()
            raise
        self._descriptor = descriptor
        self.open_bytes = 0
        self._next_segment += 1
        return descriptor

    def _segment_path(self, number: int) -> pathlib.Path:
        return self._directory / segments.segment_name(number, self._prefix)


def split_into_blocks(records: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Group encoded records into blocks, and yield the records of each block."""
    block: list[bytes] = []
    size_bytes = 0
    for record in records:
        block.append(record)
        size_bytes += len(record)
        if size_bytes >= MAX_BLOCK_BYTES:
            yield block
            block, size_bytes = [], 0
    if block:
        yield block
