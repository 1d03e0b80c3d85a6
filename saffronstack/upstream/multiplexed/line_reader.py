"""Splits a byte stream into lines of bounded length."""

from __future__ import annotations

from saffronstack.upstream.errors import LineProtocolError

MAX_LINE_PARTS = 64  # parts of an incomplete line that are stored before they are joined


class LineReader:
    """Buffers received bytes and returns complete lines."""

    def __init__(self, max_bytes: int) -> None:
        """Create a reader for lines of up to ``max_bytes``, not counting the line feed."""
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the lines that they complete, without line feeds.

        Raises:
            LineProtocolError: A complete or incomplete line is too long.
        """
        lines = data.split(b"\n")
        if len(lines) == 1:
            self._append(data)
            return []
        if self._parts:
            lines[0] = b"".join([*self._parts, lines[0]])
        remainder = lines.pop()
        self._parts = [remainder] if remainder else []
        self._bytes = len(remainder)
        longest_bytes = max(map(len, lines))
        self._check_length(max(self._bytes, longest_bytes))
        return lines

    def _append(self, data: bytes) -> None:
        self._parts.append(data)
        self._bytes += len(data)
        if (
            len(self._parts) > MAX_LINE_PARTS
        ):  # bounds the number of objects when bytes arrive in small pieces
            self._parts = [b"".join(self._parts)]
        self._check_length(self._bytes)

    def _check_length(self, length: int) -> None:
        if length > self._max_bytes:
            raise LineProtocolError(f"a line of {length} bytes, over the limit of {self._max_bytes}")
