"""Parses HTTP/1.1 messages incrementally and strictly (RFC 9112).

Ambiguous input is rejected and never repaired, because a lenient proxy allows request smuggling. The result
does not depend on how the input is split.
"""

from __future__ import annotations

import re
from enum import Enum

from saffronstack.http1.messages import Headers, HttpError, MessageLimits, RequestHead, ResponseHead

_REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/1\.([01])")
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?")
# Two patterns, because one for the whole line would backtrack over every split of a run of spaces.
_FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?")
MAX_CHUNK_LINE_BYTES = 256  # of the line with the chunk size and extensions


class _BodyState(Enum):
    NONE = 0
    LENGTH = 1
    CHUNK_SIZE = 2
    CHUNK_DATA = 3
    CHUNK_END = 4
    TRAILERS = 5
    UNTIL_CLOSE = 6


class MessageReader:
    """Parses the messages that arrive on one connection.

    Pass received bytes to `feed`. Then take a head, its body, the next head, and so on.
    """

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self._buffer = bytearray()
        self._scanned_bytes = 0  # of an incomplete head: known to hold no end and no bare line ending
        self._body_state = _BodyState.NONE
        self._remaining_bytes = 0
        self._chunked_content = bytearray()
        self._is_ended = False

    def feed(self, data: bytes) -> None:
        """Add bytes from the peer; empty ``data`` means that the peer has closed its side."""
        if data:
            self._buffer += data
        else:
            self._is_ended = True

    @property
    def pending(self) -> int:
        """Number of bytes that were fed and not yet consumed."""
        return len(self._buffer)

    @property
    def ended(self) -> bool:
        """Whether the peer has closed its side."""
        return self._is_ended

    # ---- heads

    def request(self) -> RequestHead | None:
        """Return the next request's head, or None while it is incomplete.

        Raises:
            HttpError: The head is malformed or exceeds a limit.
        """
        block = self._head_block()
        if block is None:
            return None
        line, _, rest = block.partition(b"\r\n")
        if len(line) > self.limits.line_bytes:
            raise HttpError(431, f"request line of {len(line)} bytes, {self.limits.line_bytes} at most")
        match = _REQUEST_LINE.fullmatch(line)
        if match is None:
            raise HttpError(400, "malformed request line")
        headers = self._parse_fields(rest)
        minor = int(match[3])
        if len(headers.all("host")) != 1 and (minor or "host" in headers):
            raise HttpError(400, "exactly one Host field is needed")
        self._set_framing(headers, minor, request=True)
        expects = minor == 1 and headers.get("expect").lower() == "100-continue"
        return RequestHead(
            match[1].decode(), match[2].decode(), minor, headers, _keeps_alive(headers, minor), expects
        )

    def response(self, is_head_response: bool = False) -> ResponseHead | None:
        """Return the next response's head, or None while it is incomplete.

        Informational (1xx) responses are skipped. ``is_head_response``: the request was HEAD, so
        the response has no body, whatever its header fields say.

        Raises:
            HttpError: The head is malformed or exceeds a limit.
        """
        while True:
            block = self._head_block()
            if block is None:
                return None
            line, _, rest = block.partition(b"\r\n")
            match = _STATUS_LINE.fullmatch(line)
            if match is None:
                raise HttpError(400, "malformed status line")
            status, minor = int(match[2]), int(match[1])
            headers = self._parse_fields(rest)
            if status == 101:
                raise HttpError(400, "unasked switch of protocols")
            if status < 200:
                continue
            if is_head_response or status in (204, 304):
                self._body_state = _BodyState.NONE
            else:
                self._set_framing(headers, minor, request=False)
            keeps = _keeps_alive(headers, minor) and self._body_state is not _BodyState.UNTIL_CLOSE
            return ResponseHead(status, (match[3] or b"").decode("latin-1"), minor, headers, keeps)

    def _head_block(self) -> bytes | None:
        buffer, limits = self._buffer, self.limits
        # Only new bytes are scanned: a head that arrives byte by byte would cost the square of its length.
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned_bytes - 3))
        window_end = end + 4 if end >= 0 else limits.head_bytes + 1
        start = self._scanned_bytes
        if buffer[start - 1 : start] == b"\r":  # its LF may have arrived now
            start -= 1
        if _has_bare_line_ending(buffer[start:window_end]):
            raise HttpError(400, "bare CR, bare LF or NUL in the head")
        if end < 0:
            if len(buffer) > limits.head_bytes:
                raise HttpError(431, f"head over {limits.head_bytes} bytes")
            if len(buffer) > limits.line_bytes and buffer.find(b"\r\n", 0, limits.line_bytes + 2) < 0:
                raise HttpError(431, f"line over {limits.line_bytes} bytes")
            self._scanned_bytes = len(buffer)
            return None
        if end + 4 > limits.head_bytes:
            raise HttpError(431, f"head over {limits.head_bytes} bytes")
        block = bytes(buffer[:end])
        del buffer[: end + 4]
        self._scanned_bytes = 0
        return block

    def _parse_fields(self, block: bytes) -> Headers:
        lines = block.decode("latin-1").split("\r\n") if block else []
        if len(lines) > self.limits.header_fields:
            raise HttpError(431, f"{len(lines)} header fields, {self.limits.header_fields} at most")
        items: list[tuple[str, str]] = []
        match_name, match_value = _FIELD_NAME.fullmatch, _FIELD_VALUE.fullmatch
        max_line_bytes = self.limits.line_bytes
        for line in lines:
            if len(line) > max_line_bytes:
                raise HttpError(431, f"header line of {len(line)} bytes, {max_line_bytes} at most")
            name, colon, value = line.partition(":")
            if not colon or not match_name(name) or not match_value(value):
                reason = "folded header line" if line[:1] in (" ", "\t") else "malformed header line"
                raise HttpError(400, reason)
            items.append((name.lower(), value.strip(" \t")))
        return Headers(items)

    def _set_framing(self, headers: Headers, minor: int, request: bool) -> None:
        """Set how the end of the body is found (RFC 9112, section 6.3)."""
        lengths, codings = headers.all("content-length"), headers.all("transfer-encoding")
        if codings and (lengths or minor == 0):
            raise HttpError(400, "Transfer-Encoding beside Content-Length or in HTTP/1.0")
        self._chunked_content = bytearray()
        if codings:
            if len(codings) > 1 or codings[0].lower() != "chunked":
                raise HttpError(501, "only the chunked transfer encoding is known")
            self._body_state = _BodyState.CHUNK_SIZE
            return
        if len(lengths) > 1:
            raise HttpError(400, "more than one Content-Length")
        if lengths:
            if not _LENGTH.fullmatch(lengths[0]):
                raise HttpError(400, "malformed Content-Length")
            self._remaining_bytes = int(lengths[0])
            if self._remaining_bytes > self.limits.body_bytes:
                raise HttpError(
                    413, f"body of {self._remaining_bytes} bytes, {self.limits.body_bytes} at most"
                )
            self._body_state = _BodyState.LENGTH if self._remaining_bytes else _BodyState.NONE
        else:
            self._body_state = _BodyState.NONE if request else _BodyState.UNTIL_CLOSE

    @property
    def announced_body_bytes(self) -> int | None:
        """Size of the body that the latest head announced: 0 without a body, None if it is not known."""
        if self._body_state is _BodyState.NONE:
            return 0
        return self._remaining_bytes if self._body_state is _BodyState.LENGTH else None

    # ---- bodies

    def body(self) -> bytes | None:
        """Return the body of the latest head, or None while it is incomplete.

        Raises:
            HttpError: The body is malformed or exceeds a limit.
        """
        if self._body_state is _BodyState.NONE:
            return b""
        if self._body_state is _BodyState.LENGTH:
            if len(self._buffer) < self._remaining_bytes:
                return None
            with memoryview(self._buffer) as view:
                content = bytes(view[: self._remaining_bytes])
            del self._buffer[: self._remaining_bytes]
            self._body_state = _BodyState.NONE
            return content
        if self._body_state is _BodyState.UNTIL_CLOSE:
            if len(self._buffer) > self.limits.body_bytes:
                raise HttpError(413, f"body over {self.limits.body_bytes} bytes")
            if not self._is_ended:
                return None
            content = bytes(self._buffer)
            self._buffer.clear()
            self._body_state = _BodyState.NONE
            return content
        return self._read_chunked()

    def _read_chunked(self) -> bytes | None:
        while self._body_state is not _BodyState.NONE:
            if self._body_state is _BodyState.CHUNK_DATA:
                chunk = self._buffer[: self._remaining_bytes]
                self._chunked_content += chunk
                del self._buffer[: len(chunk)]
                self._remaining_bytes -= len(chunk)
                if self._remaining_bytes:
                    return None
                self._body_state = _BodyState.CHUNK_END
                continue
            limit = (
                self.limits.line_bytes if self._body_state is _BodyState.TRAILERS else MAX_CHUNK_LINE_BYTES
            )
            line = self._take_line(limit)
            if line is None:
                return None
            if self._body_state is _BodyState.CHUNK_END:
                if line:
                    raise HttpError(400, "a chunk is longer than its size")
                self._body_state = _BodyState.CHUNK_SIZE
            elif self._body_state is _BodyState.CHUNK_SIZE:
                match = _CHUNK_SIZE_LINE.fullmatch(line)
                if match is None:
                    raise HttpError(400, "malformed chunk size")
                self._remaining_bytes = int(match[1], 16)
                if len(self._chunked_content) + self._remaining_bytes > self.limits.body_bytes:
                    raise HttpError(413, f"body over {self.limits.body_bytes} bytes")
                self._body_state = _BodyState.CHUNK_DATA if self._remaining_bytes else _BodyState.TRAILERS
                self._trailer_count = 0
            elif line:
                self._trailer_count += 1
                if self._trailer_count > self.limits.header_fields:
                    raise HttpError(431, "too many trailer fields")
                names = [name for name, _ in self._parse_fields(line).items]
                if names[0] in ("content-length", "transfer-encoding", "host"):
                    raise HttpError(400, f"{names[0]} among the trailers")
            else:
                self._body_state = _BodyState.NONE
        content = bytes(self._chunked_content)
        self._chunked_content = bytearray()
        return content

    _trailer_count = 0

    def _take_line(self, limit: int) -> bytes | None:
        end = self._buffer.find(b"\r\n")
        window = self._buffer[: end + 2] if end >= 0 else self._buffer[: limit + 2]
        if _has_bare_line_ending(window):
            raise HttpError(400, "bare CR, bare LF or NUL in the chunked body")
        if end > limit or (end < 0 and len(self._buffer) > limit + 1):
            raise HttpError(400, f"chunk line over {limit} bytes")
        if end < 0:
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line


def _keeps_alive(headers: Headers, minor: int) -> bool:
    words = {word.strip().lower() for value in headers.all("connection") for word in value.split(",")}
    return "close" not in words and (minor == 1 or "keep-alive" in words)


def _has_bare_line_ending(window: bytes | bytearray) -> bool:
    """Return whether there is a NUL, a bare CR or a bare LF; a CR at the end may still get its LF."""
    pairs = window.count(b"\r\n")
    carriage_returns = window.count(b"\r") - window.endswith(b"\r")
    return window.count(b"\n") != pairs or carriage_returns != pairs or b"\0" in window
