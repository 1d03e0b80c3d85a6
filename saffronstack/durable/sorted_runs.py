"""Sorted runs: immutable files of keys and values sorted by key, as in an LSM tree.

A run consists of data blocks, an index block and a trailer. Blocks have the format of a segment's blocks:
numbered, with checksums, each written twice. The records of a data block are alternating keys and values. The
index holds the first key and the position of each data block. The trailer holds the position of the index.

A reader holds one block in memory at a time. If the trailer or the index is damaged, it reads the whole file
and rebuilds the index.
"""

from __future__ import annotations

import contextlib
import heapq
import os
import pathlib
import struct
from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from saffronstack.durable.block_format import Block, decode_block_at, encode_block
from saffronstack.durable.errors import RunDamagedError
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.segment_scan import scan_segment

BLOCK_BYTES = 16 * 1024  # size of keys and values that ends a block, before compression
TRAILER = struct.Struct("<4sQI")  # magic, position and number of the index block
TRAILER_MAGIC = b"SfRn"
POSITION_FORMAT = struct.Struct("<Q")
FILE_PREFIX = "run-"
FILE_SUFFIX = ".run"
NUMBER_DIGITS = 10
KeyValue = tuple[bytes, bytes]


def run_name(number: int) -> str:
    """Return the file name of a run."""
    return f"{FILE_PREFIX}{number:0{NUMBER_DIGITS}d}{FILE_SUFFIX}"


def list_run_numbers(directory: pathlib.Path) -> list[int]:
    """Return the numbers of all runs in a directory, in use or not."""
    if not directory.is_dir():
        return []
    names = (path.name for path in directory.iterdir())
    first_digit = len(FILE_PREFIX)
    return sorted(
        int(name[first_digit : first_digit + NUMBER_DIGITS])
        for name in names
        if name.startswith(FILE_PREFIX) and name.endswith(FILE_SUFFIX)
    )


def write_run(path: pathlib.Path, items: Iterable[KeyValue], files: FileOperations) -> int:
    """Write a run under a temporary name, and rename it once it is synced to the disk.

    Args:
        path: The file of the run.
        items: Keys and values, sorted by key.
        files: Performs the file operations.

    Returns:
        The number of items.

    Raises:
        OSError: The run was not written; there is no file under its name.
    """
    temporary_path = path.with_suffix(".tmp")
    with contextlib.suppress(OSError):
        temporary_path.unlink()
    descriptor = files.open(temporary_path)
    try:
        count = _write_blocks(descriptor, items, files)
        files.sync(descriptor)
    except OSError:
        with contextlib.suppress(OSError):
            temporary_path.unlink()
        raise
    finally:
        os.close(descriptor)
    temporary_path.rename(path)
    files.sync_directory(path.parent)
    return count


def _write_blocks(descriptor: int, items: Iterable[KeyValue], files: FileOperations) -> int:
    """Write the blocks, the index and the trailer of a run; return the number of items."""
    count = position = number = 0
    index: list[bytes] = []
    for records in _batch_items(items):
        block = encode_block(number, records, compress=True)
        files.write(descriptor, block + block)
        index += [records[0], POSITION_FORMAT.pack(position)]
        position += 2 * len(block)
        number += 1
        count += len(records) // 2
    index_block = encode_block(number, index, compress=True)
    files.write(descriptor, index_block + index_block + TRAILER.pack(TRAILER_MAGIC, position, number))
    return count


def _batch_items(items: Iterable[KeyValue]) -> Iterator[list[bytes]]:
    """Group items into blocks, and yield the records of each block: alternating keys and values."""
    records: list[bytes] = []
    size_bytes = 0
    for key, value in items:
        records += [key, value]
        size_bytes += len(key) + len(value)
        if size_bytes >= BLOCK_BYTES:
            yield records
            records, size_bytes = [], 0
    if records:
        yield records


@dataclass(frozen=True, slots=True)
class SortedRun:
    """A run opened for reading. Any thread may use it, since each read opens its own descriptor."""

    path: pathlib.Path
    first_keys: list[bytes] = field(default_factory=list)  # first key of each block
    positions: list[int] = field(
        default_factory=list
    )  # byte offset of each block, and of the index after them

    @staticmethod
    def open(path: pathlib.Path) -> SortedRun:
        """Open a run by reading its index.

        Raises:
            FileNotFoundError: There is no such file.
            RunDamagedError: The file is truncated, or both the index and a block are damaged.
        """
        with open(path, "rb") as file:
            size_bytes = os.fstat(file.fileno()).st_size
            file.seek(max(0, size_bytes - TRAILER.size))
            trailer = file.read(TRAILER.size)
            if len(trailer) == TRAILER.size:
                magic, position, number = TRAILER.unpack(trailer)
                if magic == TRAILER_MAGIC and position < size_bytes:
                    file.seek(position)
                    index = _read_either_copy(file.read(size_bytes - position - TRAILER.size), number)
                    if index is not None:
                        return _open_from_index(path, index, position)
            file.seek(0)
            return _rebuild_index(path, file.read())

    def items(self, start: bytes = b"") -> Iterator[KeyValue]:
        """Yield the items whose keys are not below ``start``.

        Raises:
            RunDamagedError: A block cannot be read.
        """
        first = max(0, bisect_right(self.first_keys, start) - 1) if start else 0
        with open(self.path, "rb") as file:
            for number in range(first, len(self.first_keys)):
                position = self.positions[number]
                file.seek(position)
                block = _read_either_copy(file.read(self.positions[number + 1] - position), number)
                if block is None:
                    raise RunDamagedError(f"{self.path}: byte {position}: both copies of a block are damaged")
                records = block.records()
                for key in records:
                    value = next(records)
                    if key >= start:
                        yield key, value

    def items_with_prefix(self, prefix: bytes) -> Iterator[KeyValue]:
        """Yield the items whose keys begin with ``prefix``.

        Raises:
            RunDamagedError: A block cannot be read.
        """
        for key, value in self.items(prefix):
            if not key.startswith(prefix):
                return
            yield key, value


def _open_from_index(path: pathlib.Path, index: Block, index_position: int) -> SortedRun:
    records = list(index.records())
    positions = [POSITION_FORMAT.unpack(position)[0] for position in records[1::2]]
    return SortedRun(path, records[0::2], [*positions, index_position])


def _rebuild_index(path: pathlib.Path, data: bytes) -> SortedRun:
    """Rebuild the index of a run from its blocks, after the trailer or the index was found damaged."""
    scan = scan_segment(data)
    if scan.damaged_block_offset is not None or not scan.blocks:
        raise RunDamagedError(
            f"{path}: byte {scan.damaged_block_offset or 0}: the index and a block are damaged"
        )
    *blocks, index = scan.blocks
    first_keys = [next(block.records()) for block in blocks]
    if list(index.records())[0::2] != first_keys:  # the index is the last block, unless the file is truncated
        raise RunDamagedError(f"{path}: byte {index.end}: the file is truncated")
    positions = [block.start if number else 0 for number, block in enumerate(blocks)]
    return SortedRun(path, first_keys, [*positions, index.start])


def _read_either_copy(data: bytes, number: int) -> Block | None:
    """Return the block from its first readable copy; both copies have the same size."""
    for start in (0, len(data) // 2):
        block = decode_block_at(data, start)
        if block is not None and block.number == number:
            return block
    return None


def merge_sorted(
    sources: Sequence[Iterable[KeyValue]], combine: Callable[[bytes, list[bytes]], bytes]
) -> Iterator[KeyValue]:
    """Merge sorted sources into one sorted sequence with one value for each key.

    Args:
        sources: Items sorted by key, in the order from the oldest source to the newest.
        combine: Combines the values of a key, which are in the order of the sources, into one value.
    """

    def add_source_age(age: int, source: Iterable[KeyValue]) -> Iterator[tuple[bytes, int, bytes]]:
        """Yield items as plain tuples, which compare by key and then by age, and are cheap to create."""
        for key, value in source:
            yield key, age, value

    current_key: bytes | None = None
    values: list[bytes] = []
    for key, _, value in heapq.merge(*(add_source_age(age, source) for age, source in enumerate(sources))):
        if key != current_key:
            if current_key is not None:
                yield current_key, combine(current_key, values)
            current_key, values = key, []
        values.append(value)
    if current_key is not None:
        yield current_key, combine(current_key, values)
