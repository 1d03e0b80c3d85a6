"""Parses the commands in the frames of clients. Only syntax is checked; the frontend checks the values."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field

MAX_TAG_DIGITS = 2048
_HEX_ID = re.compile(rb"[0-9a-f]{16}\Z")
_FIELD_NAME = re.compile(r"[a-z_]+\Z")


class FrameError(ValueError):
    """A frame is malformed; ``tag`` is the tag to answer under, or None if it can't be parsed."""

    def __init__(self, text: str, tag: int | None = None) -> None:
        super().__init__(text)
        self.tag = tag


@dataclass(frozen=True, slots=True)
class CallFrame:
    """A CALL command: class, fields and body as received."""

    tag: int
    class_name: str
    fields: dict[str, str] = field(repr=False)
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """A CANCEL command: the client no longer waits for the answer."""

    tag: int


@dataclass(frozen=True, slots=True)
class CheckFrame:
    """A CHECK command: the client asks whether the gateway accepts calls."""

    tag: int


Frame = CallFrame | CancelFrame | CheckFrame


def parse_tag(words: tuple[bytes, ...]) -> int | None:
    """Return the tag of a request, which is its second word; None if it is missing or invalid."""
    if len(words) < 2 or not words[1].isdigit() or len(words[1]) > MAX_TAG_DIGITS:
        return None
    return int(words[1]) or None


def parse_frame(words: tuple[bytes, ...]) -> Frame:
    """Return the frame that consists of these words; FrameError if they are malformed."""
    tag = parse_tag(words)
    if tag is None:
        raise FrameError("the tag is missing or invalid")
    command = words[0]
    if command == b"CALL":
        if not 4 <= len(words) <= 5:
            raise FrameError(f"a call has 4 or 5 words, not {len(words)}", tag)
        body = words[4] if len(words) == 5 else b""
        try:
            return CallFrame(tag, words[2].decode("ascii"), parse_fields(words[3], ","), body)
        except UnicodeDecodeError as error:
            raise FrameError("the class name is not ASCII", tag) from error
        except FieldError as error:
            raise FrameError(str(error), tag) from error
    if command == b"CANCEL":
        return CancelFrame(tag)
    if command == b"CHECK":
        return CheckFrame(tag)
    raise FrameError("the command is unknown", tag)


class FieldError(ValueError):
    """A field is missing or invalid; the message names it."""


def parse_fields(text: bytes, pair_separator: str, value_separator: str = "=") -> dict[str, str]:
    """Return the ``name=value`` pairs in a text; FieldError if one is malformed or a name is repeated."""
    fields: dict[str, str] = {}
    if not text:
        return fields
    try:
        pairs = text.decode("ascii").split(pair_separator)
    except UnicodeDecodeError as error:
        raise FieldError("the fields are not ASCII") from error
    for pair in pairs:
        name, found, value = pair.partition(value_separator)
        if not found or not _FIELD_NAME.match(name) or name in fields:
            raise FieldError(f"a field is malformed or repeated: {pair[:40]!r}")
        fields[name] = value
    return fields


def parse_request_id(fields: dict[str, str]) -> str:
    """Return the id of the request; FieldError if it is missing or invalid."""
    text = fields.get("req", "")
    if not _HEX_ID.match(text.encode()):
        raise FieldError("req must be 16 hex digits")
    return text


def parse_subject(fields: dict[str, str]) -> str:
    """Return the id of the function, in field subject; FieldError if it is missing or invalid."""
    text = fields.get("subject", "")
    if not _HEX_ID.match(text.encode()):
        raise FieldError("subject must be 16 hex digits")
    return text


def parse_number(
    fields: dict[str, str], name: str, minimum: float, maximum: float, default: float | None
) -> float:
    """Return a number from a field; FieldError if it is missing, malformed or outside the bounds.

    If the default is None, the field is required.
    """
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
    """Return the encoded fields of an answer."""
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode()
