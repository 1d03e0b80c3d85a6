"""Tests of waiting for an execution and of abandoning it."""

from __future__ import annotations

import pytest

from saffronstack.operations.errors import ClientDisconnectedError, OperationInProgressError
from saffronstack.operations.execution import Completed, Execution, NotCompleted
from saffronstack.operations.operation import InFlightOperation, StoredResponse
from saffronstack.operations.operation_request import DeduplicationPolicy, OperationRequest
from saffronstack.routing.settings import Idempotency

RESPONSE = StoredResponse(200, ())


def execution_of(idempotency: Idempotency = Idempotency.NON_IDEMPOTENT) -> Execution:
    operation = InFlightOperation(b"digest", b"p" * 16, idempotency, 900.0, "request-1", 0.0)
    return Execution(operation, DeduplicationPolicy(idempotency, 900.0, is_logged=False))


def request_for(execution: Execution, is_client_connected: bool = True) -> OperationRequest:
    return OperationRequest(
        b"digest", b"p" * 16, execution.policy, "request-2", 5.0, lambda: is_client_connected
    )


def finished_execution(outcome: Completed | NotCompleted) -> Execution:
    execution = execution_of()
    execution.join()
    execution.outcome = outcome
    assert execution.done is not None
    execution.done.set()
    return execution


def test_a_waiting_request_gets_the_response() -> None:
    execution = finished_execution(Completed(RESPONSE))
    assert execution.wait(request_for(execution), lambda: 0.0) is RESPONSE


def test_a_waiting_request_gets_the_error() -> None:
    execution = finished_execution(NotCompleted(RuntimeError("rejected")))
    with pytest.raises(RuntimeError, match="rejected"):
        execution.wait(request_for(execution), lambda: 0.0)


def test_a_waiting_request_may_execute_what_was_abandoned() -> None:
    execution = finished_execution(NotCompleted(ClientDisconnectedError()))
    assert execution.wait(request_for(execution), lambda: 0.0) is None


def test_a_waiting_request_is_bounded_by_its_deadline() -> None:
    execution = execution_of()
    execution.join()
    with pytest.raises(OperationInProgressError):
        execution.wait(request_for(execution), lambda: 5.0)


def test_a_waiting_request_ends_with_its_client() -> None:
    execution = execution_of()
    execution.join()
    with pytest.raises(ClientDisconnectedError):
        execution.wait(request_for(execution, is_client_connected=False), lambda: 4.99)
    assert execution.try_abandon()  # no request waits any more


def test_nothing_is_sent_after_an_execution_was_abandoned() -> None:
    execution = execution_of()
    assert execution.try_abandon()
    assert not execution.try_mark_sent()


def test_an_execution_that_others_wait_for_is_not_abandoned() -> None:
    execution = execution_of()
    execution.join()
    assert not execution.try_abandon()
    assert execution.try_mark_sent()


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_only_idempotent_executions_are_abandoned_after_an_attempt(idempotency: Idempotency) -> None:
    execution = execution_of(idempotency)
    assert execution.try_mark_sent()
    assert execution.has_sent
    assert execution.try_abandon() == (idempotency is Idempotency.IDEMPOTENT)
