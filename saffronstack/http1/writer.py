"""Serializes HTTP/1.1 messages; rejects header values that could inject further header fields."""

from __future__ import annotations

import re
from collections.abc import Iterable

_FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}


def _format_fields(headers: Iterable[tuple[str, str]]) -> str:
    lines = []
    for name, value in headers:
        if not _FIELD_VALUE.fullmatch(value):
            raise ValueError(f"value of header {name} contains a forbidden character")
        lines.append(f"{name}: {value}\r\n")
    return "".join(lines)


def response(
    status: int, headers: Iterable[tuple[str, str]], body: bytes = b"", close: bool = False
) -> bytes:
    """Return a complete response; 204 has no Content-Length (RFC 9110, section 8.6)."""
    fields = _format_fields(headers)
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    connection = "Connection: close\r\n" if close else ""
    head = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}\r\n{fields}{length}{connection}\r\n"
    return head.encode("latin-1") + body


def request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return a complete request; ``headers`` must contain Host."""
    fields = _format_fields(headers)
    return (
        f"{method} {target} HTTP/1.1\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body
    )


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
