"""Requests of operators to the leader, stored in the value of a separate lease."""

from __future__ import annotations

import enum

import msgspec


class OperatorAction(enum.StrEnum):
    """Action that an operator requests."""

    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


class OperatorRequest(msgspec.Struct, frozen=True, rename={"action": "what"}):
    """A request of an operator for a rollout; the JSON keys must not change.

    Attributes:
        rollout: The name of the rollout's plan.
        action: The requested action.
        number: The fencing token of the operator's lease, which is greater for a later request.
    """

    rollout: str
    action: OperatorAction
    number: int


def encode_request(request: OperatorRequest) -> bytes:
    """Encode a request as the value of a lease."""
    return msgspec.json.encode(request)


def decode_request(content: bytes) -> OperatorRequest | None:
    """Decode the value of a lease; None if it is empty or not a request that this release supports."""
    try:
        return msgspec.json.decode(content, type=OperatorRequest) if content else None
    except msgspec.MsgspecError:
        return None  # for example from a newer release; the leader ignores it
