"""Accepts invocations as deferred calls by writing them to the ledger, once for each operation."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.config.schema import Config
from saffronstack.deferred.call_acceptor import Submission
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.deferred.errors import CommitError, LedgerFullError
from saffronstack.invoke import errors
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.final_responses import outcome_unknown_response
from saffronstack.invoke.invocation import Invocation, IsClientConnected
from saffronstack.invoke.operation_calls import DEFERRED, perform_once, to_stored_response
from saffronstack.invoke.response import Response
from saffronstack.operations.errors import OutcomeUnknownError
from saffronstack.operations.execution import Completed, Execution, NotCompleted
from saffronstack.operations.idempotency_keys import worker_idempotency_key
from saffronstack.operations.operation import (
    InFlightOperation,
    OperationRecord,
    OperationState,
    StoredResponse,
)
from saffronstack.operations.operation_request import DeduplicationPolicy
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.record_format import encode_record
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency

NOT_CONFIRMED = "the disk took it and has not answered; it is taken back as soon as it does"
# Seconds beyond the ledger's commit timeout that a request waits for another request of its operation.
COMMIT_MARGIN_S = 1.0


class DeferredSubmission:
    """Writes deferred calls to the ledger. Thread-safe."""

    def __init__(self, config: Config, deferred: DeferredCalls | None, clock: Callable[[], float]) -> None:
        """``deferred`` is None without a configured ledger; then all invocations are rejected."""
        self._deferred = deferred
        self._clock = clock
        commit_timeout_s = config.ledger.commit_timeout_s if config.ledger is not None else 0.0
        self._max_wait_s = commit_timeout_s + COMMIT_MARGIN_S

    def submit(self, invocation: Invocation) -> Response:
        """Accept an invocation without an idempotency key.

        Raises:
            InvokeError: The invocation can't be accepted.
        """
        try:
            self._accept(invocation, invocation.request_id)
        except OutcomeUnknownError:
            return outcome_unknown_response(invocation.response_headers(invocation.request_id), NOT_CONFIRMED)
        return Response(202, invocation.acceptance_headers(invocation.request_id))

    def submit_once(
        self,
        operations: OperationService,
        invocation: Invocation,
        policy: DeduplicationPolicy,
        is_client_connected: IsClientConnected,
    ) -> Response:
        """Accept an operation, or confirm again that it was accepted.

        Raises:
            InvokeError: The operation can't be accepted.
            ClientDisconnectedError: The client disconnected before the response was known.
        """

        def run(execution: Execution, prior: tuple[PriorAttempt, ...]) -> Completed | NotCompleted:
            expires_at = operations.now() + policy.window_s
            return self._accept_operation(invocation, execution.operation, expires_at)

        ledger_policy = DeduplicationPolicy(policy.idempotency, policy.window_s, is_logged=False)
        latest_s = self._clock() + self._max_wait_s
        return perform_once(
            operations, invocation, DEFERRED, ledger_policy, run, latest_s, is_client_connected
        )

    def _accept_operation(
        self, invocation: Invocation, operation: InFlightOperation, expires_at: float
    ) -> Completed | NotCompleted:
        if self._clock() >= invocation.deadline_s:
            return NotCompleted(errors.too_many_requests("It came too late to be begun.", 1.0))
        request_id = operation.request_id
        response = StoredResponse(202, invocation.acceptance_headers(request_id))
        record = OperationRecord(
            OperationState.COMPLETED,
            expires_at,
            operation.fingerprint,
            request_id,
            operation.idempotency,
            response,
        )
        digest = invocation.identity(DEFERRED).digest()
        try:
            self._accept(invocation, request_id, digest, encode_record(record), expires_at)
        except InvokeError as error:
            return NotCompleted(error)
        except OutcomeUnknownError:
            unknown = outcome_unknown_response(invocation.response_headers(request_id), NOT_CONFIRMED)
            return Completed(to_stored_response(unknown), is_outcome_unknown=True)
        return Completed(response)

    def _accept(
        self,
        invocation: Invocation,
        request_id: str,
        operation_digest: bytes = b"",
        packed_operation: bytes = b"",
        expires_at: float = 0.0,
    ) -> None:
        if self._deferred is None:
            raise errors.service_error(
                "This gateway takes no deferred calls: its configuration names no ledger."
            )
        submission = Submission(
            request_id,
            invocation.function.spec.name,
            invocation.tenant,
            invocation.payload,
            invocation.client_context,
            worker_idempotency_key(invocation.tenant, invocation.idempotency_key, request_id),
            operation_digest,
            packed_operation,
            expires_at,
        )
        try:
            self._deferred.accept(submission)
        except LedgerFullError as error:
            raise errors.too_many_requests(str(error), error.retry_after_s) from error
        except CommitError as error:
            if error.may_be_stored and invocation.function.idempotency is not Idempotency.IDEMPOTENT:
                raise OutcomeUnknownError(request_id) from error
            text = f"Deferred calls can't be written down now: {error}"
            raise errors.too_many_requests(text, error.retry_after_s) from error
