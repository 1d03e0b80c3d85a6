"""Encodes messages to workers as JSON lines and decodes their responses. No I/O.

The string values below are defined by the platform's wire protocol and must not change; everything else in
this package uses the terms of docs/glossary.md.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from saffronstack import settings_parser
from saffronstack.routing.events import CacheStatus, LoadReport, Result
from saffronstack.upstream.errors import LineProtocolError

# Types of messages to workers.
TYPE_REQUEST = "CALL"
TYPE_CANCEL = "CANCEL"
TYPE_PING = "PING"
TYPE_LOAD = "LOAD"
TYPE_UNLOAD = "UNLOAD"
# Types of responses.
RESULT_BY_TYPE = {
    "OK": Result.OK,
    "MISS": Result.NOT_LOADED,
    "BUSY": Result.AT_CAPACITY,
    "ERR": Result.ERROR,
    "VOID": Result.NOT_STARTED,
}
TYPE_PING_REPLY = "UP"
# Keys in the `with` object of a message.
FIELD_CLASS = "c"
FIELD_FUNCTION = "k"
FIELD_REMAINING_MS = "w"
FIELD_INSTANCES = "units"
FIELD_CONCURRENCY = "ahead"
FIELD_CACHE_STATUS = "note"
FIELD_LOAD_REPORT = "load"
_CACHE_STATUS_BY_NOTE = {
    "up": CacheStatus.WARM,
    "fresh": CacheStatus.STARTED_LOAD,
    "behind": CacheStatus.JOINED_LOAD,
    "crashed": CacheStatus.LOAD_FAILED,
}
# Load report keys on the wire, mapped to the names that the settings use for the same values.
_REPORT_KEYS = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}
MAX_REPORT_VALUES = 8
MAX_CONCURRENCY = 1_000_000
MAX_INSTANCES = 255
MAX_QUOTED_CHARACTERS = 20  # maximum length of an unknown message type quoted in an error message


class _Request(msgspec.Struct, rename={"fields": "with"}):
    what: str
    tag: str
    fields: dict[str, str | int]
    blob: bytes


class _Command(msgspec.Struct, rename={"fields": "with"}):
    what: str
    tag: str
    fields: dict[str, str | int]


class _BareMessage(msgspec.Struct):
    what: str
    tag: str


class _Response(msgspec.Struct, rename={"fields": "with"}):
    what: str
    tag: str | int
    fields: dict[str, str | int | float] = {}
    blob: bytes = b""


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(_Response).decode


@dataclass(frozen=True, slots=True)
class ExchangeResponse:
    """One response of a worker; its numbers are validated.

    Attributes:
        message_type: A key of `RESULT_BY_TYPE`, or `TYPE_PING_REPLY`.
        tag: The tag of the exchange that the response belongs to.
        body: The response body.
        cache_status: Whether the function was loaded when the request arrived.
        concurrency: Other requests that the instance executed concurrently; None if not reported.
        load_report: The worker's load; None if not reported.
        instances: Number of loaded instances after a load command; 0 if not reported.
    """

    message_type: str
    tag: str
    body: bytes
    cache_status: CacheStatus
    concurrency: int | None
    load_report: LoadReport | None
    instances: int


def encode_request(tag: str, class_name: str, function: str, remaining_ms: int, body: bytes) -> bytes:
    """Encode a request; ``remaining_ms`` is how many milliseconds the gateway waits for the response."""
    fields: dict[str, str | int] = {
        FIELD_CLASS: class_name,
        FIELD_FUNCTION: function,
        FIELD_REMAINING_MS: remaining_ms,
    }
    return _encode(_Request(TYPE_REQUEST, tag, fields, body)) + b"\n"


def encode_cancel(tag: str) -> bytes:
    """Encode a message that cancels the request with this tag."""
    return _encode(_BareMessage(TYPE_CANCEL, tag)) + b"\n"


def encode_ping(tag: str) -> bytes:
    """Encode a health check of the connection."""
    return _encode(_BareMessage(TYPE_PING, tag)) + b"\n"


def encode_load_command(tag: str, function: str, instances: int) -> bytes:
    """Encode a command to load ``instances`` instances; 0 only queries the number loaded."""
    fields: dict[str, str | int] = {FIELD_FUNCTION: function, FIELD_INSTANCES: instances}
    return _encode(_Command(TYPE_LOAD, tag, fields)) + b"\n"


def encode_unload_command(function: str) -> bytes:
    """Encode a command to unload a function's idle instances; the worker sends no response."""
    return _encode(_BareMessage(TYPE_UNLOAD, function)) + b"\n"


def decode_response(line: bytes) -> ExchangeResponse:
    """Decode one line from a worker.

    Raises:
        LineProtocolError: The line is not a valid response, or one of its numbers is out of range.
    """
    try:
        message = _decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise LineProtocolError(str(error)) from error
    if message.what not in RESULT_BY_TYPE and message.what != TYPE_PING_REPLY:
        raise LineProtocolError(f"unknown word {message.what[:MAX_QUOTED_CHARACTERS]!r}")
    fields = message.fields
    concurrency = None
    if FIELD_CONCURRENCY in fields:
        concurrency = int(_bounded_number(fields, FIELD_CONCURRENCY, MAX_CONCURRENCY))
    instances = 0
    if FIELD_INSTANCES in fields:
        instances = int(_bounded_number(fields, FIELD_INSTANCES, MAX_INSTANCES))
    cache_status = _CACHE_STATUS_BY_NOTE.get(str(fields.get(FIELD_CACHE_STATUS, "")), CacheStatus.UNKNOWN)
    load = fields.get(FIELD_LOAD_REPORT)
    load_report = None if load is None else _decode_load_report(str(load))
    return ExchangeResponse(
        message.what, str(message.tag), message.blob, cache_status, concurrency, load_report, instances
    )


def _bounded_number(fields: Mapping[str, str | int | float], name: str, maximum: float) -> float:
    try:
        value = float(fields[name])
    except (ValueError, OverflowError) as error:
        raise LineProtocolError(f"{name} is not a number") from error
    if not 0 <= value <= maximum:
        raise LineProtocolError(f"{name} is out of range: {value}, expected 0 to {maximum}")
    return value


def _decode_load_report(text: str) -> LoadReport:
    """Decode a load report; skip invalid values, so that they don't invalidate the whole response."""
    values: list[tuple[str, float]] = []
    for pair in text.split(";")[:MAX_REPORT_VALUES]:
        name, _, value = pair.partition(":")
        try:
            values.append((_REPORT_KEYS.get(name, name), float(value)))
        except ValueError:
            continue
    return settings_parser.parse_load_report((name, value) for name, value in values if math.isfinite(value))
