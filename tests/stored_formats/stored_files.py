"""Readers of kept files that share no code with the program, and where the kept files are."""

from __future__ import annotations

import pathlib
import struct

import xxhash
import zstandard

DATA = pathlib.Path(__file__).parent / "data"
_HEADER = struct.Struct("<4sQIQ")
_LENGTH = struct.Struct("<I")
_PLAIN, _COMPRESSED = b"SfL1", b"SfZ1"


def segment_blocks(content: bytes) -> list[tuple[int, list[bytes]]]:
    """Return the number and the encoded records of each block; each must stand twice and whole."""
    blocks = []
    place = 0
    while place < len(content):
        magic, number, length, checksum = _HEADER.unpack_from(content, place)
        end = place + _HEADER.size + length
        body = content[place + _HEADER.size : end]
        assert magic in (_PLAIN, _COMPRESSED)
        assert checksum == xxhash.xxh64_intdigest(struct.pack("<QI", number, length) + body)
        assert content[end : end + (end - place)] == content[place:end]
        blocks.append((number, _records(zstandard.decompress(body) if magic == _COMPRESSED else body)))
        place = end + (end - place)
    return blocks


def _records(content: bytes) -> list[bytes]:
    records, place = [], 0
    while place < len(content):
        (length,) = _LENGTH.unpack_from(content, place)
        place += _LENGTH.size
        records.append(content[place : place + length])
        assert len(records[-1]) == length
        place += length
    return records


def segment_records(path: pathlib.Path) -> list[bytes]:
    """Return the encoded records of a segment file."""
    return [record for _, records in segment_blocks(path.read_bytes()) for record in records]
