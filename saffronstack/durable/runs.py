"""Sorted runs: what left memory, in files that do not change once they have their name.

A run is blocks as in a segment (numbered, checksummed, each written twice), each a list of keys and values in
the order of the keys; then a block that says where each block begins and with which key; then 16 bytes that
say where that block is. A reader holds one block at a time. A lost index costs a reading of the whole file.
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

from saffronstack.durable import segments
from saffronstack.durable.segments import Block, Files

BLOCK_BYTES = 16 * 1024  # of keys and values, before compression
TRAILER = struct.Struct("<4sQI")
TRAILER_MAGIC = b"SfRn"
PLACE = struct.Struct("<Q")
SUFFIX = ".run"
Item = tuple[bytes, bytes]


class RunDamagedError(Exception):
    """A block of a run can't be read from either copy; the text names file and byte."""


def run_name(number: int) -> str:
    """The file name of a run."""
    return f"run-{number:010d}{SUFFIX}"


def run_numbers(directory: pathlib.Path) -> list[int]:
    """The runs in a directory, whoever they belong to."""
    if not directory.is_dir():
        return []
    names = (path.name for path in directory.iterdir())
    return sorted(int(name[4:14]) for name in names if name.startswith("run-") and name.endswith(SUFFIX))


def write_run(path: pathlib.Path, items: Iterable[Item], files: Files) -> int:
    """Write items, which come in the order of their keys, and give the file its name once it is on the disk;
    how many they were. OSError leaves no file of that name."""
    partial = path.with_suffix(".tmp")
    with contextlib.suppress(OSError):
        partial.unlink()
    fd = files.open(partial)
    count = at = number = 0
    index: list[bytes] = []
    try:
        for part in _blocks(items):
            packed = segments.pack(number, part, compress=True)
            files.write(fd, packed + packed)
            index += [part[0], PLACE.pack(at)]
            at += 2 * len(packed)
            number += 1
            count += len(part) // 2
        packed = segments.pack(number, index, compress=True)
        files.write(fd, packed + packed + TRAILER.pack(TRAILER_MAGIC, at, number))
        files.sync(fd)
    except OSError:
        with contextlib.suppress(OSError):
            partial.unlink()
        raise
    finally:
        os.close(fd)
    partial.rename(path)
    files.sync_directory(path.parent)
    return count


def _blocks(items: Iterable[Item]) -> Iterator[list[bytes]]:
    part: list[bytes] = []
    size = 0
    for key, value in items:
        part += [key, value]
        size += len(key) + len(value)
        if size >= BLOCK_BYTES:
            yield part
            part, size = [], 0
    if part:
        yield part


@dataclass(slots=True)
class Run:
    """One run, opened for reading; used from any thread, since each reading has a descriptor of its own."""

    path: pathlib.Path
    firsts: list[bytes] = field(default_factory=list)  # the first key of each block
    places: list[int] = field(default_factory=list)  # where it begins, and at last where the index does

    @staticmethod
    def open(path: pathlib.Path) -> Run:
        """Read its index. FileNotFoundError where there is none, RunDamagedError where it is cut."""
        run = Run(path)
        with open(path, "rb") as file:
            size = os.fstat(file.fileno()).st_size
            file.seek(max(0, size - TRAILER.size))
            tail = file.read(TRAILER.size)
            magic, at, number = TRAILER.unpack(tail) if len(tail) == TRAILER.size else (b"", 0, 0)
            block = None
            if magic == TRAILER_MAGIC and at < size:
                file.seek(at)
                block = _either(file.read(size - at - TRAILER.size), number)
            if block is None:
                file.seek(0)
                run._rebuild(file.read())
                return run
        parts = list(block.parts())
        run.firsts = parts[0::2]
        run.places = [PLACE.unpack(place)[0] for place in parts[1::2]] + [at]
        return run

    def _rebuild(self, data: bytes) -> None:
        """The index from the blocks themselves: its own block is the last, or the file was cut."""
        found = segments.scan(data)
        if found.damaged_at is not None or len(found.blocks) < 1:
            raise RunDamagedError(
                f"{self.path}: byte {found.damaged_at or 0}: the index is lost, and a block too"
            )
        *blocks, last = found.blocks
        firsts = [next(block.parts()) for block in blocks]
        if list(last.parts())[0::2] != firsts:
            raise RunDamagedError(f"{self.path}: byte {last.end}: the file is cut")
        self.firsts = firsts
        self.places = [block.at if place else 0 for place, block in enumerate(blocks)] + [last.at]

    def items(self, start: bytes = b"") -> Iterator[Item]:
        """Items from the first key that is not below ``start``; RunDamagedError at an unreadable block."""
        first = max(0, bisect_right(self.firsts, start) - 1) if start else 0
        with open(self.path, "rb") as file:
            for number in range(first, len(self.firsts)):
                at = self.places[number]
                file.seek(at)
                block = _either(file.read(self.places[number + 1] - at), number)
                if block is None:
                    raise RunDamagedError(f"{self.path}: byte {at}: both copies of a block are damaged")
                parts = block.parts()
                for key in parts:
                    value = next(parts)
                    if key >= start:
                        yield key, value

    def under(self, prefix: bytes) -> Iterator[Item]:
        """Items whose keys begin so."""
        for key, value in self.items(prefix):
            if not key.startswith(prefix):
                return
            yield key, value


def _either(data: bytes, number: int) -> Block | None:
    """The block from either of its two copies, which share the bytes evenly."""
    for at in (0, len(data) // 2):
        block = segments.block_at(data, at)
        if block is not None and block.number == number:
            return block
    return None


def merged(
    sources: Sequence[Iterable[Item]], combine: Callable[[bytes, list[bytes]], bytes]
) -> Iterator[Item]:
    """Several sorted sources as one; ``combine`` makes one value of a key's, oldest source first."""

    def tagged(age: int, source: Iterable[Item]) -> Iterator[tuple[bytes, int, bytes]]:
        for key, value in source:
            yield key, age, value

    last: bytes | None = None
    values: list[bytes] = []
    for key, _, value in heapq.merge(*(tagged(age, source) for age, source in enumerate(sources))):
        if key != last:
            if last is not None:
                yield last, combine(last, values)
            last, values = key, []
        values.append(value)
    if last is not None:
        yield last, combine(last, values)
