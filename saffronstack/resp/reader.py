"""RESP arrays of bulk strings out of bytes that come in any pieces; bounded, without I/O."""

from __future__ import annotations

from dataclasses import dataclass

MAX_LENGTH_DIGITS = 16  # characters of a length line


class RespError(ValueError):
    """The bytes are no request that can be taken; nothing after them can be read."""

    def __init__(self, text: str, words: tuple[bytes, ...] = ()) -> None:
        """``words``: those of the broken request that came whole before it broke."""
        super().__init__(text)
        self.words = words


@dataclass(frozen=True, slots=True)
class RespLimits:
    """Bounds of one request."""

    words: int = 8
    word_bytes: int = 2048  # every word but the last
    body_bytes: int = 16384  # the last


class RespReader:
    """Feed it what came, take requests until None; memory is bounded by one request and one feed."""

    def __init__(self, limits: RespLimits | None = None) -> None:
        self._limits = limits or RespLimits()
        self._buffer = bytearray()
        self._position = 0
        self._expected_words = 0  # words of the request that is being read; 0 between requests
        self._words: list[bytes] = []
        self._word_length = -1  # of the word that is being read

    @property
    def pending(self) -> bool:
        """Whether part of a request has come."""
        return bool(self._expected_words) or self._position < len(self._buffer)

    def feed(self, data: bytes | memoryview) -> None:
        """Bytes that came."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def next(self) -> tuple[bytes, ...] | None:
        """The next whole request, None where more bytes are needed; RespError."""
        if not self._expected_words:
            count = self._read_length(b"*", self._limits.words)
            if count is None:
                return None
            if count < 1:
                raise RespError("an empty request")
            self._expected_words = count
        while len(self._words) < self._expected_words:
            if self._word_length < 0:
                last = len(self._words) == self._expected_words - 1
                limits = self._limits
                length = self._read_length(b"$", limits.body_bytes if last else limits.word_bytes)
                if length is None:
                    return None
                self._word_length = length
            end = self._position + self._word_length
            if len(self._buffer) < end + 2:
                return None
            if self._buffer[end : end + 2] != b"\r\n":
                raise RespError("a word longer than its length", tuple(self._words))
            self._words.append(bytes(self._buffer[self._position : end]))
            self._position = end + 2
            self._word_length = -1
        words = tuple(self._words)
        self._words = []
        self._expected_words = 0
        if self._position == len(
            self._buffer
        ):  # idle connections are many: none keeps the room of its last body
            self._buffer = bytearray()
            self._position = 0
        return words

    def _read_length(self, prefix: bytes, maximum: int) -> int | None:
        buffer, start = self._buffer, self._position
        end = buffer.find(b"\r\n", start, start + MAX_LENGTH_DIGITS + 3)
        if end < 0:
            if len(buffer) > start and buffer[start : start + 1] != prefix:
                raise RespError(f"{prefix.decode()} expected", tuple(self._words))
            if len(buffer) - start > MAX_LENGTH_DIGITS:
                raise RespError("a length without an end", tuple(self._words))
            return None
        if buffer[start : start + 1] != prefix:
            raise RespError(f"{prefix.decode()} expected", tuple(self._words))
        digits = bytes(buffer[start + 1 : end])
        if not digits.isdigit():
            raise RespError("a length that is no number", tuple(self._words))
        number = int(digits)
        if number > maximum:
            raise RespError(f"a length of {number}, {maximum} at most", tuple(self._words))
        self._position = end + 2
        return number


def encode(words: tuple[bytes, ...]) -> bytes:
    """Words as an array of bulk strings."""
    bulk_strings = [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join([b"*%d\r\n" % len(words), *bulk_strings])
