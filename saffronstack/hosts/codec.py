"""The hosts' JSON lines: requests and orders to bytes, bytes to answers. No I/O, every length bounded."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from saffronstack import settings_parser
from saffronstack.routing.events import CacheStatus, LoadReport, Result

RESULTS = {
    "OK": Result.OK,
    "MISS": Result.NOT_LOADED,
    "BUSY": Result.AT_CAPACITY,
    "ERR": Result.ERROR,
    "VOID": Result.NOT_STARTED,
}
UP = "UP"
_FOUND = {
    "up": CacheStatus.WARM,
    "fresh": CacheStatus.STARTED_LOAD,
    "behind": CacheStatus.JOINED_LOAD,
    "crashed": CacheStatus.LOAD_FAILED,
}
# What hosts call the values of a load report, by what the settings call them.
_REPORT_WORDS = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}
MAX_CROWD = 1_000_000
MAX_COPIES = 255
MAX_LINE_PARTS = 64


class HostError(ValueError):
    """A line that no sound host writes: the link that carried it is of no more use."""


class _Command(msgspec.Struct, rename={"fields": "with"}):
    what: str
    tag: str
    fields: dict[str, str | int]
    blob: bytes


class _Order(msgspec.Struct, rename={"fields": "with"}):
    what: str
    tag: str
    fields: dict[str, str | int]


class _Bare(msgspec.Struct):
    what: str
    tag: str


class _Answer(msgspec.Struct, rename={"fields": "with"}):
    what: str
    tag: str | int
    fields: dict[str, str | int | float] = {}
    blob: bytes = b""


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(_Answer).decode


@dataclass(frozen=True, slots=True)
class HostAnswer:
    """One answer; what it says of copies, crowd and load is checked and bounded."""

    word: str
    tag: str
    body: bytes
    found: CacheStatus
    crowd: int | None
    report: LoadReport | None
    copies: int


def call_line(tag: str, class_name: str, function: str, wait_ms: int, body: bytes) -> bytes:
    """A request."""
    return _encode(_Command("CALL", tag, {"c": class_name, "k": function, "w": wait_ms}, body)) + b"\n"


def cancel_line(tag: str) -> bytes:
    """A request is given up."""
    return _encode(_Bare("CANCEL", tag)) + b"\n"


def ping_line(tag: str) -> bytes:
    """Whether the connection works."""
    return _encode(_Bare("PING", tag)) + b"\n"


def load_line(tag: str, function: str, copies: int) -> bytes:
    """An order to hold copies; 0 only asks."""
    return _encode(_Order("LOAD", tag, {"k": function, "units": copies})) + b"\n"


def unload_line(function: str) -> bytes:
    """An order to unload idle copies."""
    return _encode(_Bare("UNLOAD", function)) + b"\n"


def answer_of(line: bytes) -> HostAnswer:
    """What a line says; HostError."""
    try:
        read = _decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise HostError(str(error)) from error
    fields = read.fields
    if read.what not in RESULTS and read.what != UP:
        raise HostError(f"an unknown word {read.what[:20]!r}")
    crowd = int(_number(fields, "ahead", MAX_CROWD)) if "ahead" in fields else None
    copies = int(_number(fields, "units", MAX_COPIES)) if "units" in fields else 0
    found = _FOUND.get(str(fields.get("note", "")), CacheStatus.UNKNOWN)
    load = fields.get("load")
    report = None if load is None else _report(str(load))
    return HostAnswer(read.what, str(read.tag), read.blob, found, crowd, report, copies)


def _number(fields: Mapping[str, str | int | float], name: str, maximum: float) -> float:
    try:
        value = float(fields[name])
    except (ValueError, OverflowError) as error:
        raise HostError(f"{name} is no number") from error
    if not 0 <= value <= maximum:
        raise HostError(f"{name} is out of range")
    return value


def _report(text: str) -> LoadReport:
    """A load report; values that are no numbers are left out: they decide nothing about an answer."""
    values: list[tuple[str, float]] = []
    for pair in text.split(";")[:8]:
        name, _, value = pair.partition(":")
        try:
            values.append((_REPORT_WORDS.get(name, name), float(value)))
        except ValueError:
            continue
    return settings_parser.parse_load_report((name, value) for name, value in values if math.isfinite(value))


class LineReader:
    """Lines out of bytes that come in any pieces."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now; HostError once one is too long."""
        lines = data.split(b"\n")
        if len(lines) == 1:
            self._parts.append(data)
            self._bytes += len(data)
            if len(self._parts) > MAX_LINE_PARTS:  # bytes that trickle in must not cost an object each
                self._parts = [b"".join(self._parts)]
            if self._bytes > self._max_bytes:
                raise HostError(f"a line over {self._max_bytes} bytes")
            return []
        if self._parts:
            lines[0] = b"".join([*self._parts, lines[0]])
        rest = lines.pop()
        self._parts = [rest] if rest else []
        self._bytes = len(rest)
        if self._bytes > self._max_bytes or max(map(len, lines)) > self._max_bytes:
            raise HostError(f"a line over {self._max_bytes} bytes")
        return lines
