"""A request of an operation, its deduplication policy and its result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.operations.operation import StoredResponse
from saffronstack.routing.settings import Idempotency


@dataclass(frozen=True, slots=True)
class DeduplicationPolicy:
    """How the operations of a class are deduplicated.

    Attributes:
        window_s: The length of the deduplication window, which starts when the operation ends.
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
        digest: The digest of the operation's identity.
        fingerprint: The hash of the payload and its context.
        deadline_s: The monotonic time until which the client waits.
        is_client_connected: Returns whether the client is still connected; called on the request's thread.
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
        is_replayed: Whether the response comes from the execution by another request.
    """

    response: StoredResponse
    is_replayed: bool
