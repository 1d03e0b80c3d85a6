"""What clients ask in their frames: the form of it is checked here, its meaning by the front."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field

TAG_LIMIT = 10**15  # larger numbers are no tag: the bound keeps what is remembered of tags small
_HEX_ID = re.compile(rb"[0-9a-f]{16}\Z")
_FIELD_NAME = re.compile(r"[a-z_]+\Z")


class FrameError(ValueError):
    """A frame of no known form; ``tag`` is the one to answer under, None where none can be read."""

    def __init__(self, text: str, tag: int | None = None) -> None:
        super().__init__(text)
        self.tag = tag


@dataclass(frozen=True, slots=True)
class CallFrame:
    """A call: class, fields and body as they came."""

    tag: int
    class_name: str
    fields: dict[str, str] = field(repr=False)
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """The client waits no longer."""

    tag: int


@dataclass(frozen=True, slots=True)
class CheckFrame:
    """Whether calls are taken."""

    tag: int


Frame = CallFrame | CancelFrame | CheckFrame


def parse_tag(words: tuple[bytes, ...]) -> int | None:
    """The tag of a request of which at least two words came."""
    if len(words) < 2 or not words[1].isdigit() or len(words[1]) > 16:
        return None
    tag = int(words[1])
    return tag if 0 < tag < TAG_LIMIT else None


def parse_frame(words: tuple[bytes, ...]) -> Frame:
    """The frame that a request's words make; FrameError."""
    tag = parse_tag(words)
    if tag is None:
        raise FrameError("no tag")
    command = words[0]
    if command == b"CALL":
        if not 4 <= len(words) <= 5:
            raise FrameError(f"a call of {len(words)} words", tag)
        body = words[4] if len(words) == 5 else b""
        try:
            return CallFrame(tag, words[2].decode("ascii"), parse_fields(words[3], ","), body)
        except UnicodeDecodeError as error:
            raise FrameError("a class that is no text", tag) from error
        except FieldError as error:
            raise FrameError(str(error), tag) from error
    if command == b"CANCEL":
        return CancelFrame(tag)
    if command == b"CHECK":
        return CheckFrame(tag)
    raise FrameError("an unknown command", tag)


class FieldError(ValueError):
    """A field that is missing or whose value can't be used; the text names it."""


def parse_fields(text: bytes, pair_separator: str, value_separator: str = "=") -> dict[str, str]:
    """``name=value`` pairs; FieldError where one is malformed or named twice."""
    fields: dict[str, str] = {}
    if not text:
        return fields
    try:
        pairs = text.decode("ascii").split(pair_separator)
    except UnicodeDecodeError as error:
        raise FieldError("fields that are no text") from error
    for pair in pairs:
        name, found, value = pair.partition(value_separator)
        if not found or not _FIELD_NAME.match(name) or name in fields:
            raise FieldError(f"a field that can't be read: {pair[:40]!r}")
        fields[name] = value
    return fields


def parse_request_id(fields: dict[str, str]) -> str:
    """The request's id; FieldError."""
    text = fields.get("req", "")
    if not _HEX_ID.match(text.encode()):
        raise FieldError("req must be 16 hex digits")
    return text


def parse_subject(fields: dict[str, str]) -> str:
    """The function's name; FieldError."""
    text = fields.get("subject", "")
    if not _HEX_ID.match(text.encode()):
        raise FieldError("subject must be 16 hex digits")
    return text


def parse_number(
    fields: dict[str, str], name: str, minimum: float, maximum: float, default: float | None
) -> float:
    """A figure between its bounds; FieldError. None as the default: it must be there."""
    text = fields.get(name)
    if text is None:
        if default is None:
            raise FieldError(f"{name} is missing")
        return default
    try:
        value = float(text) if len(text) <= 24 and "_" not in text else math.nan
    except ValueError:
        value = math.nan
    if not minimum <= value <= maximum:
        raise FieldError(f"{name} must be a number from {minimum:g} to {maximum:g}")
    return value


def format_fields(fields: dict[str, object]) -> bytes:
    """Fields of an answer."""
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode()
