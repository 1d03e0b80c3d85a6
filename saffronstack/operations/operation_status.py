"""The status of operations, which clients query by idempotency key. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
from msgspec import UNSET, UnsetType, field
from msgspec.structs import replace

from saffronstack.operations.idempotency_keys import CLIENT_KEY_PREFIX, SDK_KEY_PREFIX, OperationIdentity
from saffronstack.operations.operation import (
    InFlightOperation,
    OperationRecord,
    OperationState,
    StoredResponse,
)
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.request_coalescing import CacheKey
from saffronstack.routing.settings import Idempotency

SYNCHRONOUS = "RequestResponse"
INVOCATION_TYPES = (SYNCHRONOUS, "Event")
IN_FLIGHT = "open"  # the ``state`` of an in-flight operation
HEADER_BY_PREFIX = {CLIENT_KEY_PREFIX: "Idempotency-Key", SDK_KEY_PREFIX: "amz-sdk-invocation-id"}


class OperationStatus(msgspec.Struct, kw_only=True, frozen=True):
    """The status of one operation as JSON; the order and encoded names of the fields are its format."""

    key: str = field(name="operation")
    key_header: str = field(name="namedBy")
    function: str
    qualifier: str
    invocation_type: str = field(name="invocationType")
    request_id: str = field(name="requestId")
    idempotency: Idempotency = field(name="effect")
    state: str
    in_flight_for_s: float | UnsetType = field(default=UNSET, name="openForS")
    expires_in_s: float | UnsetType = field(default=UNSET, name="rememberedForS")
    status: int | UnsetType = UNSET
    body_bytes: int | UnsetType = field(default=UNSET, name="answerBytes")
    body_location: str | UnsetType = field(default=UNSET, name="answerKept")
    prior_attempt_s: float | UnsetType = field(default=UNSET, name="mayHaveRunAt")


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """A client's query for the status of operations.

    Attributes:
        key: The idempotency key as the client sent it, without a prefix.
        functions: The functions to search.
    """

    tenant: str
    key: str
    functions: Iterable[str]
    qualifier: str


def find_operations(
    service: OperationService, query: StatusQuery, monotonic_s: float
) -> list[OperationStatus]:
    """Return the status of all operations that match a query.

    Args:
        service: The service whose operations are searched.
        query: The operations to find.
        monotonic_s: The current time of the monotonic clock.
    """
    return [
        status
        for function in query.functions
        for invocation_type in INVOCATION_TYPES
        for prefix in HEADER_BY_PREFIX
        for status in _find(
            service,
            OperationIdentity(query.tenant, function, query.qualifier, invocation_type, prefix + query.key),
            prefix,
            monotonic_s,
        )
    ]


def _find(
    service: OperationService, identity: OperationIdentity, prefix: str, monotonic_s: float
) -> Iterator[OperationStatus]:
    known = service.find(identity.digest())
    if isinstance(known, InFlightOperation):
        yield _in_flight_status(identity, prefix, known, service.now())
    elif known is not None:
        yield _record_status(identity, prefix, known, service.now())
    elif identity.invocation_type == SYNCHRONOUS:
        yield from _cached_status(service, identity, prefix, monotonic_s)


def _common_status(
    identity: OperationIdentity, prefix: str, request_id: str, idempotency: Idempotency, state: str
) -> OperationStatus:
    """Return a status with the fields that every operation has."""
    return OperationStatus(
        key=identity.key.removeprefix(prefix),
        key_header=HEADER_BY_PREFIX[prefix],
        function=identity.function,
        qualifier=identity.qualifier,
        invocation_type=identity.invocation_type,
        request_id=request_id,
        idempotency=idempotency,
        state=state,
    )


def _in_flight_status(
    identity: OperationIdentity, prefix: str, operation: InFlightOperation, now: float
) -> OperationStatus:
    status = _common_status(identity, prefix, operation.request_id, operation.idempotency, IN_FLIGHT)
    return replace(status, in_flight_for_s=round(now - operation.started_s, 3))


def _record_status(
    identity: OperationIdentity, prefix: str, record: OperationRecord, now: float
) -> OperationStatus:
    status = _common_status(identity, prefix, record.request_id, record.idempotency, record.state.value)
    status = replace(status, expires_in_s=round(record.expires_s - now, 3))
    if record.executions and record.executions[0].worker_id:
        status = replace(status, prior_attempt_s=record.executions[0].sent_at)
    response = record.response
    if response is None:
        return status
    return replace(
        status,
        status=response.status,
        body_bytes=response.body_length or len(response.body),
        body_location=_body_location(response),
    )


def _body_location(response: StoredResponse) -> str:
    if response.file_name:
        return "on disk"
    return "no" if response.body_digest else "in memory"


def _cached_status(
    service: OperationService, identity: OperationIdentity, prefix: str, monotonic_s: float
) -> Iterator[OperationStatus]:
    """Yield the status of an idempotent operation, which only the coalescing cache stores."""
    key = CacheKey(identity.tenant, identity.function, identity.qualifier, identity.key)
    entry = service.coalescing_cache.find(key)
    if entry is None or (entry.response is not None and entry.expires_s <= monotonic_s):
        return
    response = entry.response
    if response is None:
        status = _common_status(identity, prefix, entry.request_id, Idempotency.IDEMPOTENT, IN_FLIGHT)
        yield replace(status, in_flight_for_s=round(monotonic_s - entry.started_s, 3))
        return
    state = OperationState.COMPLETED.value
    yield replace(
        _common_status(identity, prefix, entry.request_id, Idempotency.IDEMPOTENT, state),
        expires_in_s=round(entry.expires_s - monotonic_s, 3),
        status=response.status,
        body_bytes=len(response.body),
        body_location="in memory",
    )
