"""Messages of leases as bytes: JSON on the links, MessagePack on a keeper's disk. No I/O."""

from __future__ import annotations

import msgspec

from saffronstack.fleet.leases.messages import AcceptorState, Message

MESSAGES_MOST = 512  # in one envelope


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes over a link at once: a request's messages, or those of its answer."""

    fleet: str
    sender: str
    messages: tuple[Message, ...] = ()
    wait_s: float = 0.0  # a request without messages: answer when there is something, or after this


class StoredState(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"server": "keeper", "servers": "keepers", "state": "saved"},
):
    """What a keeper's disk says: whose it is, and what was saved."""

    fleet: str
    server: str
    servers: tuple[str, ...]
    state: AcceptorState


_read_envelope = msgspec.json.Decoder(Envelope)
_read_shelf = msgspec.msgpack.Decoder(StoredState)


def encode(envelope: Envelope) -> bytes:
    """For a link."""
    return msgspec.json.encode(envelope)


def decode(data: bytes) -> Envelope:
    """From a link. ValueError with what is wrong."""
    try:
        envelope = _read_envelope.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"no envelope: {error}") from error
    if len(envelope.messages) > MESSAGES_MOST:
        raise ValueError(f"{len(envelope.messages)} messages at once, {MESSAGES_MOST} at most")
    return envelope


def encode_shelf(shelf: StoredState) -> bytes:
    """For the disk."""
    return msgspec.msgpack.encode(shelf)


def decode_shelf(data: bytes) -> StoredState:
    """From the disk. ValueError with what is wrong."""
    try:
        return _read_shelf.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"no saved state: {error}") from error
