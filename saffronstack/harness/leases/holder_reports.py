"""What the rig's candidates report to its resource, one JSON line each, and the resource's answer.

Times are those of CLOCK_BOOTTIME in seconds, which all processes of a rig share.
"""

from __future__ import annotations

import msgspec


class Acquired(msgspec.Struct, frozen=True, tag_field="do", tag="acquired"):
    """A candidate holds the lease from ``at_s`` until ``until_s``, unless it renews it."""

    name: str
    token: int
    at_s: float
    until_s: float


class Released(msgspec.Struct, frozen=True, tag_field="do", tag="released"):
    """A holder gives the lease up; reported before it does."""

    name: str
    token: int
    at_s: float


class ActBegun(msgspec.Struct, frozen=True, tag_field="do", tag="act begun"):
    """A holder is about to act on the resource."""

    name: str
    token: int
    until_s: float


class ActEnded(msgspec.Struct, frozen=True, tag_field="do", tag="act ended"):
    """A holder has acted on the resource."""

    name: str
    token: int
    began_s: float
    ended_s: float
    until_s: float


HolderReport = Acquired | Released | ActBegun | ActEnded


class ReportResponse(msgspec.Struct, frozen=True):
    """The resource's answer; ``is_accepted`` is None where there is nothing to accept."""

    is_accepted: bool | None = None


_report_decoder: msgspec.json.Decoder[HolderReport] = msgspec.json.Decoder(HolderReport)
_response_decoder = msgspec.json.Decoder(ReportResponse)


def encode_line(message: HolderReport | ReportResponse) -> bytes:
    """Encode a report or an answer as a line."""
    return msgspec.json.encode(message) + b"\n"


def decode_report(line: bytes) -> HolderReport:
    """Decode a report; msgspec.DecodeError, a ValueError, where it is none."""
    return _report_decoder.decode(line)


def decode_response(line: bytes) -> ReportResponse:
    """Decode an answer; one that was cut off by the rig's end is empty."""
    return _response_decoder.decode(line) if line else ReportResponse()
