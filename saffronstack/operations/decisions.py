"""The decisions that the operation table can make on a request."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.operations.operation import InFlightOperation, OperationRecord


@dataclass(frozen=True, slots=True)
class Execute:
    """Execute the operation: the request is its first one, or a retry that must be executed."""

    operation: InFlightOperation


@dataclass(frozen=True, slots=True)
class Coalesce:
    """Wait for the response of the request that executes the operation."""

    operation: InFlightOperation


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the stored response, or report that the outcome is unknown."""

    record: OperationRecord


@dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """Reject the request: its idempotency key belongs to a request with another payload."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject the request: the operation table has no memory left for its operation."""

    retry_after_s: float


Decision = Execute | Coalesce | Replay | FingerprintMismatch | Reject
