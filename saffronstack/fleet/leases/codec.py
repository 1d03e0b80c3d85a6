"""Encodes lease messages as JSON for the wire and acceptor state as MessagePack for disk. Performs no I/O."""

from __future__ import annotations

import msgspec

from saffronstack.fleet.leases.errors import DecodeError
from saffronstack.fleet.leases.messages import AcceptorState, Message

MESSAGES_TARGET = "/lease/messages"  # path of the POST requests that carry envelopes
MAX_MESSAGES = 512  # limit per envelope


class Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"poll_s": "wait_s"}):
    """One request or response between a process and a lease server."""

    fleet: str
    sender: str
    messages: tuple[Message, ...] = ()
    poll_s: float = 0.0  # longest wait for a response to a long poll, which is a request without messages


class StoredState(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"server": "keeper", "servers": "keepers", "state": "saved"},
):
    """The content of a state file: the state and the server that owns it."""

    fleet: str
    server: str
    servers: tuple[str, ...]
    state: AcceptorState


_envelope_decoder = msgspec.json.Decoder(Envelope)
_state_decoder = msgspec.msgpack.Decoder(StoredState)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope for the wire."""
    return msgspec.json.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decode an envelope from the wire.

    Raises:
        DecodeError: The bytes are not a valid envelope, or it has too many messages.
    """
    try:
        envelope = _envelope_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(f"no envelope: {error}") from error
    if len(envelope.messages) > MAX_MESSAGES:
        raise DecodeError(f"{len(envelope.messages)} messages at once, {MAX_MESSAGES} at most")
    return envelope


def encode_state(stored: StoredState) -> bytes:
    """Encode the content of a state file."""
    return msgspec.msgpack.encode(stored)


def decode_state(data: bytes) -> StoredState:
    """Decode the content of a state file.

    Raises:
        DecodeError: The bytes are not a valid state.
    """
    try:
        return _state_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(f"invalid acceptor state: {error}") from error
