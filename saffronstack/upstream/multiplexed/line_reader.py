"""Splits a byte stream into lines of bounded length."""

from __future__ import annotations

from saffronstack.upstream.errors import LineProtocolError

MAX_LINE_PARTS = 64  # pieces of an unfinished line that are stored before they are joined


class LineReader:
    """Collects bytes that come in pieces of any size, and returns complete lines."""

    def __init__(self, max_bytes: int) -> None:
        """Accept lines of up to ``max_bytes``, their line feed not counted."""
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the lines that are complete now, without their line feeds.

        Raises:
            LineProtocolError: A line, finished or not, is longer than allowed.
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
        if len(self._parts) > MAX_LINE_PARTS:  # bytes that trickle in must not cost an object each
            self._parts = [b"".join(self._parts)]
        self._check_length(self._bytes)

    def _check_length(self, length: int) -> None:
        if length > self._max_bytes:
            raise LineProtocolError(f"a line of {length} bytes, over the limit of {self._max_bytes}")
