"""Types of HTTP/1.1 messages: heads, header fields, size limits and protocol errors."""

from __future__ import annotations

from dataclasses import dataclass


class HttpError(Exception):
    """The peer violated the protocol or a limit; a server responds with ``status`` and closes."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Limits of one message: bytes of a line, of the head and of the body, and number of header fields."""

    line_bytes: int = 8 * 1024
    head_bytes: int = 32 * 1024
    header_fields: int = 100
    body_bytes: int = 6 * 1024 * 1024


class Headers:
    """Immutable header fields in the order received, with names in lower case."""

    __slots__ = ("_first", "items")

    def __init__(self, items: list[tuple[str, str]]) -> None:
        self.items = items
        self._first = dict(reversed(items))

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a field; ``name`` is in lower case."""
        return self._first.get(name, default)

    def all(self, name: str) -> list[str]:
        """Return all values of a field; ``name`` is in lower case."""
        if name not in self._first:
            return []
        return [value for known, value in self.items if known == name]

    def __contains__(self, name: str) -> bool:
        return name in self._first


@dataclass(slots=True)
class RequestHead:
    """Request line and header fields of a request."""

    method: str
    target: str
    minor_version: int  # 0 for HTTP/1.0, 1 for HTTP/1.1
    headers: Headers
    keep_alive: bool
    expects_continue: bool


@dataclass(slots=True)
class ResponseHead:
    """Status line and header fields of a response."""

    status: int
    reason: str
    minor_version: int
    headers: Headers
    keep_alive: bool
