"""What an HTTP/1.1 message is here: heads, header fields, limits, and the error that ends a connection."""

from __future__ import annotations

from dataclasses import dataclass, field


class HttpError(Exception):
    """The peer's bytes can't be taken; ``status`` is what a server answers before it closes."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes that one message may have."""

    line: int = 8 * 1024
    head: int = 32 * 1024
    fields: int = 100
    body: int = 6 * 1024 * 1024


@dataclass(slots=True)
class Headers:
    """Header fields in their order, names in lower case."""

    items: list[tuple[str, str]] = field(default_factory=list)

    def get(self, name: str, default: str = "") -> str:
        """The first field of that (lower-case) name."""
        for known, value in self.items:
            if known == name:
                return value
        return default

    def all(self, name: str) -> list[str]:
        """Every field of that (lower-case) name."""
        return [value for known, value in self.items if known == name]

    def __contains__(self, name: str) -> bool:
        return any(known == name for known, _ in self.items)


@dataclass(slots=True)
class RequestHead:
    """A request without its body."""

    method: str
    target: str
    minor: int  # of the version, HTTP/1.minor
    headers: Headers
    keep_alive: bool
    expects_continue: bool


@dataclass(slots=True)
class ResponseHead:
    """A response without its body."""

    status: int
    reason: str
    minor: int
    headers: Headers
    keep_alive: bool
