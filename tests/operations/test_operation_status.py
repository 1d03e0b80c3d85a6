"""Tests of the JSON form of the status of operations."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from saffronstack.engine.possible_execution import PossibleExecution
from saffronstack.operations.idempotency_keys import OperationIdentity
from saffronstack.operations.operation import InFlightOperation, OperationState, StoredResponse
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.operation_status import StatusQuery, find_operations
from saffronstack.operations.operation_table import OperationTable
from saffronstack.operations.request_coalescing import CacheKey
from saffronstack.routing.settings import Idempotency

CLOCK_S = 100.0
UNIX_S = 5000.0
COMMON = {
    "operation": "key-1",
    "namedBy": "Idempotency-Key",
    "function": "record-sale",
    "qualifier": "$LATEST",
    "invocationType": "RequestResponse",
    "requestId": "request-1",
}


@pytest.fixture
def service() -> OperationService:
    return OperationService(OperationTable(1 << 20), lambda: CLOCK_S, lambda: UNIX_S)


def start(service: OperationService) -> InFlightOperation:
    identity = OperationIdentity("tenant", "record-sale", "$LATEST", "RequestResponse", "key:key-1")
    service.table.admit(
        identity.digest(), b"p" * 16, Idempotency.NON_IDEMPOTENT, 900.0, "request-1", UNIX_S - 2.0
    )
    operation = service.find(identity.digest())
    assert isinstance(operation, InFlightOperation)
    return operation


def status_json(service: OperationService) -> list[tuple[str, Any]]:
    query = StatusQuery("tenant", "key-1", ["record-sale"], "$LATEST")
    (status,) = json.loads(msgspec.json.encode(find_operations(service, query, CLOCK_S)))
    return list(status.items())


def expected(**more: Any) -> list[tuple[str, Any]]:
    return list({**COMMON, **more}.items())


def test_an_operation_in_flight(service: OperationService) -> None:
    start(service)
    assert status_json(service) == expected(effect="unsafe", state="open", openForS=2.0)


@pytest.mark.parametrize(
    ("response", "size", "location"),
    [
        (StoredResponse(200, (), b"{}"), 2, "in memory"),
        (StoredResponse(200, (), b"", "file", "digest", 70000), 70000, "on disk"),
        (StoredResponse(200, (), b"", "", "digest", 70000), 70000, "no"),
    ],
)
def test_a_completed_operation(
    service: OperationService, response: StoredResponse, size: int, location: str
) -> None:
    service.table.complete(start(service), OperationState.COMPLETED, response, UNIX_S)
    assert status_json(service) == expected(
        effect="unsafe",
        state="ended",
        rememberedForS=900.0,
        status=200,
        answerBytes=size,
        answerKept=location,
    )


def test_an_operation_to_be_retried(service: OperationService) -> None:
    service.table.mark_retryable(start(service), (PossibleExecution(7, 4999.5),), UNIX_S)
    assert status_json(service) == expected(
        effect="unsafe", state="again", rememberedForS=900.0, mayHaveRunAt=4999.5
    )


def test_an_idempotent_operation(service: OperationService) -> None:
    key = CacheKey("tenant", "record-sale", "$LATEST", "key:key-1")
    entry, _ = service.coalescing_cache.join_or_start(key, 1, "request-1", CLOCK_S - 3.0)
    assert status_json(service) == expected(effect="safe", state="open", openForS=3.0)
    service.coalescing_cache.complete(entry, StoredResponse(200, (), b"{}"), 2, CLOCK_S + 9.0, CLOCK_S)
    assert status_json(service) == expected(
        effect="safe", state="ended", rememberedForS=9.0, status=200, answerBytes=2, answerKept="in memory"
    )


def test_an_unknown_key_has_no_operation(service: OperationService) -> None:
    assert find_operations(service, StatusQuery("tenant", "other", ["record-sale"], "$LATEST"), CLOCK_S) == []
