"""The states of an operation: in flight, or stored until its deduplication window ends.

All times are Unix seconds of a clock that never steps (`OperationService.now`).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from saffronstack.engine.possible_execution import PossibleExecution
from saffronstack.routing.settings import Idempotency

EncodedOperation = tuple[bytes, bytes]  # an operation's digest and its encoded record


class OperationState(Enum):
    """The state of an operation that is not in flight. The values are stored."""

    COMPLETED = "ended"  # the operation has a response
    OUTCOME_UNKNOWN = "unknown"  # it may have been executed, and its response is unknown
    RETRYABLE = "again"  # it may have been executed; a retry is safe, as workers deduplicate by key


class StoredResponse(msgspec.Struct, frozen=True, gc=False):
    """The final response of an operation, with its body or a reference to the stored body.

    Attributes:
        file_name: The file in the response store that contains the body; empty if there is no such file.
        body_digest: The digest of a body that is not in memory; empty if the body is in memory.
        body_length: The length in bytes of a body that is not in memory.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    file_name: str = ""
    body_digest: str = ""
    body_length: int = 0


class OperationRecord(msgspec.Struct, frozen=True, gc=False):
    """The stored state of an operation that is not in flight.

    Attributes:
        expires_s: The time at which the deduplication window ends.
        request_id: The id of the operation's first request.
        executions: For a retryable operation, the attempts that may have been executed, in the order of
            sending.
        attempt_in_flight_until_s: The time until which an attempt of a rejected request may be in flight.
    """

    state: OperationState
    expires_s: float
    fingerprint: bytes
    request_id: str
    idempotency: Idempotency
    response: StoredResponse | None = None
    executions: tuple[PossibleExecution, ...] = ()
    attempt_in_flight_until_s: float = 0.0


@dataclass(eq=False, slots=True)
class InFlightOperation:
    """An operation that is being executed.

    Attributes:
        previous: The record of an earlier execution; None unless the operation was retryable.
        execution: The state that the service's threads share, an `execution.Execution`.
    """

    digest: bytes
    fingerprint: bytes
    idempotency: Idempotency
    window_s: float
    request_id: str
    started_s: float
    previous: OperationRecord | None = None
    execution: object = None
