"""The decisions on a request of an operation."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.operations.operation import InFlightOperation, OperationRecord


@dataclass(frozen=True, slots=True)
class Execute:
    """Execute the operation: the request is its first one or a retry."""

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
    """Reject the request: there is no memory to store its operation."""

    retry_after_s: float


Decision = Execute | Coalesce | Replay | FingerprintMismatch | Reject
