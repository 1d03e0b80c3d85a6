"""Incremental parser of RESP arrays of bulk strings, with bounded memory; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

MAX_LENGTH_DIGITS = 16  # digits of a word count or word length


class RespError(ValueError):
    """The bytes are not a valid request. The reader can't find the start of the next one."""

    def __init__(self, text: str, words: tuple[bytes, ...] = ()) -> None:
        """``words``: the complete words of the invalid request, before the error."""
        super().__init__(text)
        self.words = words


@dataclass(frozen=True, slots=True)
class RespLimits:
    """Limits of one request."""

    words: int = 8  # number of words
    word_bytes: int = 2048  # length of each word but the last
    body_bytes: int = 16384  # length of the last word


class RespReader:
    """Parses requests from a stream of bytes.

    Feed it the received bytes, then call `next` until it returns None. It buffers at most one request and the
    bytes of one feed.
    """

    def __init__(self, limits: RespLimits | None = None) -> None:
        self._limits = limits or RespLimits()
        self._buffer = bytearray()
        self._position = 0
        self._expected_words = 0  # words of the current request; 0 between requests
        self._words: list[bytes] = []
        self._word_length = -1  # length of the current word; -1 before it is known

    @property
    def pending(self) -> bool:
        """Whether bytes of an incomplete request are buffered."""
        return bool(self._expected_words) or self._position < len(self._buffer)

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def next(self) -> tuple[bytes, ...] | None:
        """Return the words of the next request, or None if it is incomplete; RespError if it is invalid."""
        if not self._expected_words:
            count = self._read_length(b"*", self._limits.words)
            if count is None:
                return None
            if count < 1:
                raise RespError("a request has no words")
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
                raise RespError("a word does not end after its length", tuple(self._words))
            self._words.append(bytes(self._buffer[self._position : end]))
            self._position = end + 2
            self._word_length = -1
        words = tuple(self._words)
        self._words = []
        self._expected_words = 0
        # Releases the memory of the last body, since there are many idle connections.
        if self._position == len(self._buffer):
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
                raise RespError("a length has too many digits", tuple(self._words))
            return None
        if buffer[start : start + 1] != prefix:
            raise RespError(f"{prefix.decode()} expected", tuple(self._words))
        digits = bytes(buffer[start + 1 : end])
        if not digits.isdigit():
            raise RespError("a length is not a number", tuple(self._words))
        number = int(digits)
        if number > maximum:
            raise RespError(f"a length is {number}, at most {maximum} are allowed", tuple(self._words))
        self._position = end + 2
        return number


def encode(words: tuple[bytes, ...]) -> bytes:
    """Return words as a RESP array of bulk strings."""
    bulk_strings = [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join([b"*%d\r\n" % len(words), *bulk_strings])
