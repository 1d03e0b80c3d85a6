"""The states of an operation: in flight, or remembered until its deduplication window ends.

All times are Unix seconds of a clock that never steps (`OperationService.now`).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from saffronstack.routing.settings import Idempotency

EncodedOperation = tuple[bytes, bytes]  # an operation's digest and its encoded record


class OperationState(Enum):
    """The state of an operation that is not in flight. The values are stored."""

    COMPLETED = "ended"  # it has a response
    OUTCOME_UNKNOWN = "unknown"  # it may have been executed, and no response came
    RETRYABLE = "again"  # it may have been executed; workers recognise a retry by its key


class StoredResponse(msgspec.Struct, frozen=True, gc=False):
    """The final response of an operation, or where its body is stored.

    Attributes:
        file_name: The file of the response store that holds the body; empty where none does.
        body_digest: The digest of a body that is not in memory; empty where it is.
        body_length: The length in bytes of a body that is not in memory.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    file_name: str = ""
    body_digest: str = ""
    body_length: int = 0


class OperationRecord(msgspec.Struct, frozen=True, gc=False):
    """What is remembered of an operation that is not in flight.

    Attributes:
        expires_s: When its deduplication window ends.
        worker_id: The worker of the first attempt that may have been executed, of a retryable operation.
        sent_s: When that attempt was sent.
        attempt_in_flight_until_s: Until when an attempt of a rejected request may still be in flight.
    """

    state: OperationState
    expires_s: float
    fingerprint: bytes
    request_id: str
    idempotency: Idempotency
    response: StoredResponse | None = None
    worker_id: int = 0
    sent_s: float = 0.0
    attempt_in_flight_until_s: float = 0.0


@dataclass(eq=False, slots=True)
class InFlightOperation:
    """An operation that is being executed.

    Attributes:
        previous: What an earlier execution left, of a retryable operation.
        execution: The state that the service's threads share (`execution.Execution`).
    """

    digest: bytes
    fingerprint: bytes
    idempotency: Idempotency
    window_s: float
    request_id: str
    started_s: float
    previous: OperationRecord | None = None
    execution: object = None
