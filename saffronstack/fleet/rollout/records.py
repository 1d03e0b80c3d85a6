"""The record of a rollout and operators' words, as they are stored in the values of leases."""

from __future__ import annotations

import msgspec

from saffronstack.fleet.rollout.controller import VERSION, Record


class Said(msgspec.Struct, frozen=True):
    """The value of the lease in which operators leave words; ``number`` is their token."""

    rollout: str
    what: str
    number: int


def encode(record: Record) -> bytes:
    """For the lease's value."""
    return msgspec.json.encode(record)


def decode(content: bytes) -> Record | None:
    """None where there is none. ValueError where this program does not know its version."""
    if not content:
        return None
    try:
        version = msgspec.json.decode(content, type=_Version).version
        if version != VERSION:
            raise ValueError(f"the record is of version {version}, this program knows {VERSION}")
        return msgspec.json.decode(content, type=Record)
    except msgspec.MsgspecError as error:
        raise ValueError(f"the record can't be read: {error}") from error


class _Version(msgspec.Struct):
    version: int
