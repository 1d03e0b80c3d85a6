"""The ledger's records. Times are Unix seconds; ids are request ids."""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """What all records share."""


class Accepted(Record, frozen=True, tag="a"):
    """A call was taken: from here on it is owed one final record."""

    id: str
    function: str
    tenant: str
    payload: bytes
    context: str
    key: str
    at: float
    operation: bytes = b""  # the digest of its name, where its client named it
    packed: bytes = b""  # what a later send of that name is answered (`operations.table.Packed`)
    named_until: float = 0.0


class Named(Record, frozen=True, tag="n"):
    """The name of a call, in a snapshot: it may outlive the call's place in the history."""

    operation: bytes
    packed: bytes
    until: float
    id: str


class Attempted(Record, frozen=True, tag="t"):
    """An attempt of an unsafe or keyed call is about to be sent; written out before its first byte."""

    id: str
    worker: int
    at: float


class Voided(Record, frozen=True, tag="v"):
    """All attempts noted so far provably never ran."""

    id: str


class Finished(Record, frozen=True, tag="f"):
    """The final record of a call, as it is read and delivered."""

    id: str
    function: str
    tenant: str
    at: float
    record: bytes


class Dropped(Record, frozen=True, tag="d"):
    """A call whose client was told that it was not taken."""

    id: str


class Snapshot(Record, frozen=True, tag="s"):
    """The records that follow in this segment stand for all before it."""

    open_calls: int
    history: int


AnyRecord = Accepted | Named | Attempted | Voided | Finished | Dropped | Snapshot
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyRecord).decode


def encode(record: AnyRecord) -> bytes:
    """A record as MessagePack."""
    return _encode(record)


def decode(data: bytes) -> AnyRecord:
    """The record; ValueError where the bytes are none."""
    return _decode(data)
