"""DNS messages (RFC 1035, 2782): one question out, answers in. No I/O; whatever comes, nothing but DnsError.

dnspython was weighed: its import costs a small gateway 12 MB (docs/gateway-design.md)."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

A, SOA, TXT, SRV, INTERNET = 1, 6, 16, 33, 1
MAX_NAME_BYTES = 255
MAX_POINTERS = 32
MAX_RECORDS = 4096
_HEADER = struct.Struct(">HHHHHH")
_QUESTION = struct.Struct(">HH")
_RECORD = struct.Struct(">HHIH")
_SERVICE = struct.Struct(">HHH")
_RESPONSE, _TRUNCATED, _RECURSE = 0x8000, 0x0200, 0x0100


class DnsError(ValueError):
    """A message that can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Service:
    """One SRV record."""

    priority: int
    weight: int
    port: int
    target: str


@dataclass(slots=True)
class Answer:
    """What one message holds; names are lower case, without the last dot."""

    ident: int
    question: tuple[str, int]
    serial: int | None = None
    services: list[Service] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)
    texts: dict[str, dict[str, str]] = field(default_factory=dict)


def query_message(ident: int, name: str, kind: int = SRV) -> bytes:
    """A question; ValueError for a name that no message can hold."""
    labels = b"".join(bytes([len(label)]) + label.encode("ascii") for label in name.split("."))
    return _HEADER.pack(ident, _RECURSE, 1, 0, 0, 0) + labels + b"\0" + _QUESTION.pack(kind, INTERNET)


def answer_of(message: bytes) -> Answer:
    """A whole, good answer; DnsError for anything else."""
    try:
        return _answer(message)
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise DnsError("cut short or unreadable") from error


def _answer(message: bytes) -> Answer:
    ident, flags, questions, *sections = _HEADER.unpack_from(message)
    if not flags & _RESPONSE:
        raise DnsError("not an answer")
    if flags & _TRUNCATED:
        raise DnsError("truncated")
    if flags & 15:
        raise DnsError(f"the directory reports failure {flags & 15}")
    if questions != 1 or sum(sections) > MAX_RECORDS:
        raise DnsError("counts that no good answer has")
    name, at = _name(message, _HEADER.size)
    kind, _ = _QUESTION.unpack_from(message, at)
    at += _QUESTION.size
    answer = Answer(ident, (name, kind))
    for section, records in enumerate(sections):
        for _ in range(records):
            name, at = _name(message, at)
            kind, _, _, length = _RECORD.unpack_from(message, at)
            at += _RECORD.size
            if at + length > len(message):
                raise DnsError("cut short")
            _record(answer, section, message, name, kind, at, at + length)
            at += length
    if at != len(message):
        raise DnsError("bytes follow the last record")
    return answer


def _record(answer: Answer, section: int, message: bytes, name: str, kind: int, at: int, end: int) -> None:
    if kind == SRV and section == 0:
        priority, weight, port = _SERVICE.unpack_from(message, at)
        target, stop = _name(message, at + _SERVICE.size)
        _whole(stop, end)
        answer.services.append(Service(priority, weight, port, target))
    elif kind == A:
        _whole(at + 4, end)
        answer.addresses[name] = ".".join(map(str, message[at:end]))
    elif kind == TXT:
        texts = answer.texts.setdefault(name, {})
        while at < end:
            length = message[at]
            _within(at + 1 + length, end)
            key, _, value = message[at + 1 : at + 1 + length].decode("ascii").partition("=")
            texts[key] = value
            at += 1 + length
    elif kind == SOA and section == 1:
        _, at = _name(message, at)
        _, at = _name(message, at)
        _whole(at + 20, end)
        (answer.serial,) = struct.unpack_from(">I", message, at)


def _whole(at: int, end: int) -> None:
    if at != end:
        raise DnsError("a record of another length")


def _within(at: int, end: int) -> None:
    if at > end:
        raise DnsError("a text that is cut short")


def _name(message: bytes, at: int) -> tuple[str, int]:
    """A name, and where the bytes after it begin."""
    labels: list[str] = []
    after = -1
    jumps = length = 0
    while True:
        size = message[at]
        if size >= 0xC0:
            target = (size & 0x3F) << 8 | message[at + 1]
            if after < 0:
                after = at + 2
            jumps += 1
            if target >= at or jumps > MAX_POINTERS:  # pointers lead back, or they could lead in circles
                raise DnsError("a name that leads nowhere")
            at = target
            continue
        if size > 63:
            raise DnsError("a label of no known form")
        at += 1
        if not size:
            return ".".join(labels), after if after >= 0 else at
        label = message[at : at + size]
        length += size + 1
        if len(label) < size or length > MAX_NAME_BYTES:
            raise DnsError("a name that is cut short or too long")
        labels.append(label.decode("ascii").lower())
        at += size
