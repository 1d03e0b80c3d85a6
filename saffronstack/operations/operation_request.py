"""A request of an operation, and what it gets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.operations.operation import StoredResponse
from saffronstack.routing.settings import Idempotency


@dataclass(frozen=True, slots=True)
class DeduplicationPolicy:
    """How the operations of a class are deduplicated.

    Attributes:
        window_s: The deduplication window, from the operation's end.
        is_logged: Whether the operation log records an attempt durably before its first byte is sent.
        requires_slot: Whether only the holder of the operation's slot may execute it.
    """

    idempotency: Idempotency
    window_s: float
    is_logged: bool
    requires_slot: bool = True


@dataclass(frozen=True, slots=True)
class OperationRequest:
    """One request of an operation.

    Attributes:
        digest: Of the operation's identity.
        fingerprint: Of the payload.
        deadline_s: How long the client waits, by the monotonic clock.
        is_client_connected: Tells whether the client is still there; called on the request's thread.
    """

    digest: bytes
    fingerprint: bytes
    policy: DeduplicationPolicy
    request_id: str
    deadline_s: float
    is_client_connected: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class OperationResult:
    """The response of an operation.

    Attributes:
        is_replayed: Whether another request executed the operation.
    """

    response: StoredResponse
    is_replayed: bool
