"""Reports of candidates to the protected resource, and its responses, as JSON lines.

Times are seconds of CLOCK_BOOTTIME, which all processes of a harness share.
"""

from __future__ import annotations

import msgspec


class Acquired(msgspec.Struct, frozen=True, tag_field="do", tag="acquired"):
    """A candidate acquired the lease at ``at_s``; unless it is renewed, the lease expires at ``until_s``."""

    name: str
    token: int
    at_s: float
    until_s: float


class Released(msgspec.Struct, frozen=True, tag_field="do", tag="released"):
    """A holder is about to release the lease."""

    name: str
    token: int
    at_s: float


class ActBegun(msgspec.Struct, frozen=True, tag_field="do", tag="act begun"):
    """A holder is about to act on the resource."""

    name: str
    token: int
    until_s: float


class ActEnded(msgspec.Struct, frozen=True, tag_field="do", tag="act ended"):
    """A holder has finished acting on the resource."""

    name: str
    token: int
    began_s: float
    ended_s: float
    until_s: float


HolderReport = Acquired | Released | ActBegun | ActEnded


class ReportResponse(msgspec.Struct, frozen=True):
    """Response of the resource; ``is_accepted`` is None for reports that are not about an act."""

    is_accepted: bool | None = None


_report_decoder: msgspec.json.Decoder[HolderReport] = msgspec.json.Decoder(HolderReport)
_response_decoder = msgspec.json.Decoder(ReportResponse)


def encode_line(message: HolderReport | ReportResponse) -> bytes:
    """Encode a report or a response as a line."""
    return msgspec.json.encode(message) + b"\n"


def decode_report(line: bytes) -> HolderReport:
    """Decode a report.

    Raises:
        msgspec.DecodeError: The line is not a report; a subclass of ValueError.
    """
    return _report_decoder.decode(line)


def decode_response(line: bytes) -> ReportResponse:
    """Decode a response; return an empty one if the harness closed the connection instead."""
    return _response_decoder.decode(line) if line else ReportResponse()
