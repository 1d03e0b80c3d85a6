"""Sends of one operation that may have an effect: it is performed once, and each send gets its response."""

from __future__ import annotations

from saffronstack.engine.calls import FinalStatus
from saffronstack.invoke import errors
from saffronstack.invoke.engine_calls import EngineCalls
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.final_responses import (
    FUNCTION_ERROR_HEADER,
    REPLAYED_HEADER,
    build_response,
    rejection_error,
    replayed,
    unknown_outcome,
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
    """Return the response of a synchronous operation; run it on the engine where no other send of it has.

    Raises:
        InvokeError: It is rejected.
        ClientDisconnectedError: Nobody waits for it any more.
    """

    def run(execution: Execution, prior: PriorAttempt | None) -> Completed | NotCompleted:
        return _run_on_engine(calls, invocation, is_client_connected, execution, prior)

    return perform_once(
        operations, invocation, SYNCHRONOUS, policy, run, invocation.deadline_s, is_client_connected
    )


def _run_on_engine(
    calls: EngineCalls,
    invocation: Invocation,
    is_client_connected: IsClientConnected,
    execution: Execution,
    prior: PriorAttempt | None,
) -> Completed | NotCompleted:
    request_id = execution.operation.request_id
    try:
        final = calls.run(invocation, request_id, is_client_connected, prior, execution)
    except InvokeError as error:
        return NotCompleted(error, prior)
    if final.status is FinalStatus.CLIENT_DISCONNECTED:
        return NotCompleted(ClientDisconnectedError(), prior)
    if final.status is FinalStatus.REJECTED:
        return NotCompleted(rejection_error(final), final.prior_attempt, final.attempt_in_flight_until_s)
    response = build_response(final, invocation.response_headers(request_id), invocation.wants_log)
    return Completed(to_stored_response(response), is_outcome_unknown=final.status is FinalStatus.FAILED)


def to_stored_response(response: Response) -> StoredResponse:
    """Return a response as the operations store it."""
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
    """Return an operation's response, whichever of its sends this is.

    Args:
        operations: Performs it.
        invocation: One send.
        invocation_type: `SYNCHRONOUS` or `DEFERRED`.
        policy: Of its class.
        run: Runs it where this send is the one to do so.
        latest_s: Clock time until which to wait for another send's.
        is_client_connected: Of this send.

    Raises:
        InvokeError: It is rejected, or another operation has its name.
        ClientDisconnectedError: Nobody waits for it any more.
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
        return unknown_outcome(headers, "the gateway was killed before it had an answer")
    except ResponseNotStoredError as error:
        return _without_body(invocation, error)
    except OperationInProgressError as error:
        if policy.idempotency is Idempotency.IDEMPOTENT or invocation_type == DEFERRED:
            raise errors.too_many_requests("The operation is still under way.", 1.0) from error
        headers = invocation.response_headers(invocation.request_id)
        return unknown_outcome(headers, "another send of it is still under way")
    response = result.response
    if result.is_replayed:
        return replayed(response)
    return Response(response.status, response.headers, response.body)


def _without_body(invocation: Invocation, error: ResponseNotStoredError) -> Response:
    """Return what is known of a response that was too large to store."""
    stored = error.response
    body = errors.response_not_stored(stored.status, stored.body_length, stored.body_digest)
    headers = invocation.response_headers(error.request_id)
    return Response(200, (*headers, FUNCTION_ERROR_HEADER, REPLAYED_HEADER), body)
