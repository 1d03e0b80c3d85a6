"""The file format of decision records: a zstandard stream of length-prefixed MessagePack values.

The first value is the header, with version, seed and settings. Each further value is one decision: the time,
the event, and the actions that the router decided on. A truncated record, for instance after a kill, is valid
up to its last complete value.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO

import zstandard

VERSION = 1
MAX_VALUE_BYTES = 64 * 1024 * 1024
_READ_BYTES = 64 * 1024
_LENGTH = struct.Struct("<I")


class DecisionRecordError(ValueError):
    """A record can't be read, or its replay differs; the message says where."""


def frame_value(value: bytes) -> bytes:
    """Return a value prefixed with its length."""
    return _LENGTH.pack(len(value)) + value


class _ByteReader:
    """Reads given numbers of bytes from a compressed file."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._stream = zstandard.ZstdDecompressor().stream_reader(file)
        self._buffer = b""

    def read(self, size: int) -> bytes | None:
        """Return the next ``size`` bytes, or None if the stream ends before that."""
        while len(self._buffer) < size:
            try:
                content = self._stream.read(_READ_BYTES)
            except zstandard.ZstdError as error:
                raise DecisionRecordError(
                    f"byte {self._file.tell()}: not a zstandard stream: {error}"
                ) from error
            if not content:
                return None
            self._buffer += content
        taken, self._buffer = self._buffer[:size], self._buffer[size:]
        return taken


def read_values(file: BinaryIO) -> Iterator[bytes]:
    """Yield the complete values of a record, which may be truncated.

    Raises:
        DecisionRecordError: The file is not a record.
    """
    reader = _ByteReader(file)
    while (prefix := reader.read(_LENGTH.size)) is not None:
        (length,) = _LENGTH.unpack(prefix)
        if length > MAX_VALUE_BYTES:
            raise DecisionRecordError(
                f"value length of {length} bytes exceeds the maximum of {MAX_VALUE_BYTES}"
            )
        value = reader.read(length)
        if value is None:
            return
        yield value
