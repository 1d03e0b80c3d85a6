"""Executes operations with side effects once; every request of an operation gets its response."""

from __future__ import annotations

from saffronstack.engine.calls import FinalStatus
from saffronstack.invoke import errors
from saffronstack.invoke.engine_calls import EngineCalls
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.final_responses import (
    FUNCTION_ERROR_HEADER,
    REPLAYED_HEADER,
    build_response,
    outcome_unknown_response,
    rejection_error,
    replayed_response,
)
from saffronstack.invoke.invocation import Invocation, IsClientConnected
from saffronstack.invoke.response import Response
from saffronstack.operations.errors import (
    ClientDisconnectedError,
    FingerprintMismatchError,
    OperationInProgressError,
    OperationTableFullError,
    OutcomeUnknownError,
    ResponseNotStoredError,
)
from saffronstack.operations.execution import Completed, ExecuteOperation, Execution, NotCompleted
from saffronstack.operations.idempotency_keys import payload_fingerprint
from saffronstack.operations.operation import StoredResponse
from saffronstack.operations.operation_request import DeduplicationPolicy, OperationRequest
from saffronstack.operations.operation_service import OperationService
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency

SYNCHRONOUS, DEFERRED = "RequestResponse", "Event"  # invocation types


def call_once(
    operations: OperationService,
    calls: EngineCalls,
    invocation: Invocation,
    policy: DeduplicationPolicy,
    is_client_connected: IsClientConnected,
) -> Response:
    """Return the response of a synchronous operation; execute it unless another request does or did.

    Raises:
        InvokeError: The request is rejected.
        ClientDisconnectedError: The client disconnected before the response was known.
    """

    def run(execution: Execution, prior: tuple[PriorAttempt, ...]) -> Completed | NotCompleted:
        return _run_on_engine(calls, invocation, is_client_connected, execution, prior)

    return perform_once(
        operations, invocation, SYNCHRONOUS, policy, run, invocation.deadline_s, is_client_connected
    )


def _run_on_engine(
    calls: EngineCalls,
    invocation: Invocation,
    is_client_connected: IsClientConnected,
    execution: Execution,
    prior: tuple[PriorAttempt, ...],
) -> Completed | NotCompleted:
    request_id = execution.operation.request_id
    try:
        final = calls.run(invocation, request_id, is_client_connected, prior, execution)
    except InvokeError as error:
        return NotCompleted(error, prior)
    if final.status is FinalStatus.CLIENT_DISCONNECTED:
        return NotCompleted(ClientDisconnectedError(), prior)
    if final.status is FinalStatus.REJECTED:
        return NotCompleted(rejection_error(final), final.prior_attempts, final.attempt_in_flight_until_s)
    response = build_response(final, invocation.response_headers(request_id), invocation.wants_log)
    return Completed(to_stored_response(response), is_outcome_unknown=final.status is FinalStatus.FAILED)


def to_stored_response(response: Response) -> StoredResponse:
    """Convert a response to the form in which operations store it."""
    return StoredResponse(response.status, response.headers, response.body)


def perform_once(
    operations: OperationService,
    invocation: Invocation,
    invocation_type: str,
    policy: DeduplicationPolicy,
    run: ExecuteOperation,
    latest_s: float,
    is_client_connected: IsClientConnected,
) -> Response:
    """Return the response of an operation, whether this or another request executes it.

    Args:
        operations: The service that deduplicates operations.
        invocation: One request of the operation.
        invocation_type: `SYNCHRONOUS` or `DEFERRED`.
        policy: Deduplication policy of the request class.
        run: Executes the operation if this request is the one to do so.
        latest_s: Monotonic time until which the request waits for another request's execution.
        is_client_connected: Tells whether the client of this request is still connected.

    Raises:
        InvokeError: The request is rejected, or its idempotency key was used with another payload.
        ClientDisconnectedError: The client disconnected before the response was known.
    """
    request = OperationRequest(
        invocation.identity(invocation_type).digest(),
        payload_fingerprint(invocation.payload, invocation.client_context),
        policy,
        invocation.request_id,
        latest_s,
        is_client_connected,
    )
    try:
        result = operations.perform(request, run)
    except FingerprintMismatchError as error:
        raise errors.idempotency_mismatch(error.request_id) from error
    except OperationTableFullError as error:
        raise errors.too_many_requests("Too many operations are remembered.", error.retry_after_s) from error
    except OutcomeUnknownError as error:
        headers = invocation.response_headers(error.request_id)
        return outcome_unknown_response(headers, "the gateway was killed before it had an answer")
    except ResponseNotStoredError as error:
        return _without_body(invocation, error)
    except OperationInProgressError as error:
        if policy.idempotency is Idempotency.IDEMPOTENT or invocation_type == DEFERRED:
            raise errors.too_many_requests("The operation is still under way.", 1.0) from error
        headers = invocation.response_headers(invocation.request_id)
        return outcome_unknown_response(headers, "another send of it is still under way")
    response = result.response
    if result.is_replayed:
        return replayed_response(response)
    return Response(response.status, response.headers, response.body)


def _without_body(invocation: Invocation, error: ResponseNotStoredError) -> Response:
    """Return the status, length and digest of a response whose body was too large to store."""
    stored = error.response
    body = errors.response_not_stored_payload(stored.status, stored.body_length, stored.body_digest)
    headers = invocation.response_headers(error.request_id)
    return Response(200, (*headers, FUNCTION_ERROR_HEADER, REPLAYED_HEADER), body)
