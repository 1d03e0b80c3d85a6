"""The binary format of blocks, in which segments and sorted runs store their records.

A block consists of magic (4 bytes), number (u64), content length (u32), xxh64 of number, length and content
(u64), and content. Integers are little-endian. The content is a sequence of records, each preceded by its
length (u32). It may be compressed as a whole.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash
import zstandard

PLAIN_MAGIC = b"SfL1"
COMPRESSED_MAGIC = b"SfZ1"  # content compressed with zstandard
MAGIC_BYTES = 4
HEADER = struct.Struct("<4sQIQ")  # magic, number, content length, checksum
MAX_CONTENT_BYTES = 256 * 1024 * 1024  # maximum size of a block's content after decompression
COMPRESSION_LEVEL = 3
_RECORD_LENGTH_FORMAT = struct.Struct("<I")
_CHECKSUMMED_HEADER = struct.Struct("<QI")
_MAGIC_OF_ANY_VERSION = re.compile(rb"Sf[A-Z][0-9]")
_KNOWN_MAGICS = re.compile(rb"SfL1|SfZ1")


@dataclass(slots=True)
class Block:
    """A block read from a file, with its position in the file."""

    number: int
    start: int  # byte offset of its header
    end: int  # byte offset after its content
    content: bytes
    is_compressed: bool = False

    def records(self) -> Iterator[bytes]:
        """Yield the encoded records of the block.

        Raises:
            ValueError: The content cannot be decompressed.
        """
        content = self.content
        if self.is_compressed:
            try:
                content = zstandard.ZstdDecompressor().decompress(content, max_output_size=MAX_CONTENT_BYTES)
            except zstandard.ZstdError as error:
                raise ValueError(str(error)) from error
        offset = 0
        while offset < len(content):
            (length,) = _RECORD_LENGTH_FORMAT.unpack_from(content, offset)
            offset += _RECORD_LENGTH_FORMAT.size
            yield content[offset : offset + length]
            offset += length


def encode_block(number: int, records: Iterable[bytes], compress: bool = False) -> bytes:
    """Return one copy of a block with these encoded records."""
    content = b"".join(_RECORD_LENGTH_FORMAT.pack(len(record)) + record for record in records)
    magic = COMPRESSED_MAGIC if compress else PLAIN_MAGIC
    if compress:
        content = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(content)
    return HEADER.pack(magic, number, len(content), _checksum(number, content)) + content


def decode_block_at(data: bytes, start: int) -> Block | None:
    """Return the block that begins at a byte offset, or None if no intact block begins there."""
    magic = data[start : start + MAGIC_BYTES]
    if len(data) - start < HEADER.size or not is_known_magic(magic):
        return None
    _, number, length, checksum = HEADER.unpack_from(data, start)
    end = start + HEADER.size + length
    if end > len(data):
        return None
    content = data[start + HEADER.size : end]
    if _checksum(number, content) != checksum:
        return None
    return Block(number, start, end, content, is_compressed=magic == COMPRESSED_MAGIC)


def find_next_block(data: bytes, start: int) -> Block | None:
    """Return the first intact block at or after a byte offset, or None."""
    for match in _KNOWN_MAGICS.finditer(data, start):
        block = decode_block_at(data, match.start())
        if block is not None:
            return block
    return None


def read_declared_block_bytes(data: bytes, start: int) -> int | None:
    """Return the size of one block copy that the header at a byte offset declares; None without a header."""
    header = data[start : start + HEADER.size]
    if len(header) < HEADER.size or not is_known_magic(header[:MAGIC_BYTES]):
        return None
    _, _, length, _ = HEADER.unpack(header)
    return HEADER.size + int(length)


def is_known_magic(magic: bytes) -> bool:
    """Return whether these bytes are the magic of a block of this version."""
    return magic in (PLAIN_MAGIC, COMPRESSED_MAGIC)


def find_unknown_version(data: bytes) -> str:
    """Return the magic of another block version that the data begins with, or an empty string.

    Use it only for files in which no block can be decoded. A flipped byte can make a magic look like that of
    another version, but it damages only one of the two copies of a block.
    """
    magic = data[:MAGIC_BYTES]
    return magic.decode() if _MAGIC_OF_ANY_VERSION.fullmatch(magic) and not is_known_magic(magic) else ""


def _checksum(number: int, content: bytes) -> int:
    return xxhash.xxh64_intdigest(_CHECKSUMMED_HEADER.pack(number, len(content)) + content)
