"""What an HTTP/1.1 message is here: heads, header fields, limits, and the error that ends a connection."""

from __future__ import annotations

from dataclasses import dataclass


class HttpError(Exception):
    """The peer's bytes can't be taken; ``status`` is what a server answers before it closes."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Sizes in bytes that one message may have."""

    line_bytes: int = 8 * 1024
    head_bytes: int = 32 * 1024
    header_fields: int = 100
    body_bytes: int = 6 * 1024 * 1024


class Headers:
    """Header fields in their order, names in lower case; not changed once made."""

    __slots__ = ("_first", "items")

    def __init__(self, items: list[tuple[str, str]]) -> None:
        self.items = items
        self._first = dict(reversed(items))

    def get(self, name: str, default: str = "") -> str:
        """The first field of that (lower-case) name."""
        return self._first.get(name, default)

    def all(self, name: str) -> list[str]:
        """Every field of that (lower-case) name."""
        if name not in self._first:
            return []
        return [value for known, value in self.items if known == name]

    def __contains__(self, name: str) -> bool:
        return name in self._first


@dataclass(slots=True)
class RequestHead:
    """A request without its body."""

    method: str
    target: str
    minor_version: int  # of the version, HTTP/1.minor
    headers: Headers
    keep_alive: bool
    expects_continue: bool


@dataclass(slots=True)
class ResponseHead:
    """A response without its body."""

    status: int
    reason: str
    minor_version: int
    headers: Headers
    keep_alive: bool
