"""Requests that operators leave for the leader, in the value of a lease of their own."""

from __future__ import annotations

import enum

import msgspec


class OperatorAction(enum.StrEnum):
    """What an operator asks for."""

    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


class OperatorRequest(msgspec.Struct, frozen=True, rename={"action": "what"}):
    """A request about a rollout; the JSON keys are fixed.

    Attributes:
        rollout: The name of its plan.
        action: What is asked for.
        number: The operator's fencing token; a later request has a greater one.
    """

    rollout: str
    action: OperatorAction
    number: int


def encode_request(request: OperatorRequest) -> bytes:
    """Encode a request for the lease's value."""
    return msgspec.json.encode(request)


def decode_request(content: bytes) -> OperatorRequest | None:
    """Decode the lease's value; None where it is empty or no request that this program knows."""
    try:
        return msgspec.json.decode(content, type=OperatorRequest) if content else None
    except msgspec.MsgspecError:
        return None  # of a newer release, say: the leader goes on without it
