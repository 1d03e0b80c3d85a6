"""Executes validated invocations: synchronous or deferred, with or without an idempotency key."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.config.schema import Config
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.engine.engine import Engine
from saffronstack.invoke.coalesced_calls import CoalescedCalls
from saffronstack.invoke.deferred_submission import DeferredSubmission
from saffronstack.invoke.engine_calls import EngineCalls
from saffronstack.invoke.final_responses import build_response, outcome_unknown_response, rejection_error
from saffronstack.invoke.invocation import Invocation, IsClientConnected
from saffronstack.invoke.operation_calls import call_once
from saffronstack.invoke.response import Response
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.operations.errors import ClientDisconnectedError
from saffronstack.operations.operation_request import DeduplicationPolicy
from saffronstack.operations.operation_service import OperationService
from saffronstack.routing.settings import Idempotency


class InvocationExecutor:
    """Executes invocations or accepts them as deferred calls. Thread-safe."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        deferred: DeferredCalls | None,
        clock: Callable[[], float],
        budgets: BudgetEnforcer | None,
        operations: OperationService | None,
    ) -> None:
        """Create an executor.

        ``deferred``, ``budgets`` and ``operations`` are None where they are not configured. ``clock`` returns
        monotonic seconds.
        """
        self._operations = operations
        self._calls = EngineCalls(config, engine, clock, budgets, operations)
        self._submission = DeferredSubmission(config, deferred, clock)
        self._coalesced = CoalescedCalls(self._calls, operations, clock) if operations is not None else None
        self._policies = _deduplication_policies(config)

    def policy(self, invocation: Invocation) -> DeduplicationPolicy:
        """Return how the invocation's request class deduplicates operations."""
        return self._policies[invocation.function.config.call_class]

    def call(self, invocation: Invocation, is_client_connected: IsClientConnected) -> Response:
        """Execute an invocation, or return the response of its operation if another request executed it.

        Raises:
            InvokeError: The invocation is rejected.
            ClientDisconnectedError: The client disconnected before the response was known.
        """
        if self._operations is None or self._coalesced is None or not invocation.idempotency_key:
            return self._call_without_key(invocation, is_client_connected)
        policy = self.policy(invocation)
        if policy.idempotency is Idempotency.IDEMPOTENT:
            return self._coalesced.call(invocation, policy.window_s, is_client_connected)
        return call_once(self._operations, self._calls, invocation, policy, is_client_connected)

    def defer(self, invocation: Invocation, is_client_connected: IsClientConnected) -> Response:
        """Accept an invocation as a deferred call, or confirm again that its operation was accepted.

        The tenant's budget is not checked here, because a deferred call may wait until the budget allows it:
        each attempt is admitted when it is made.

        Raises:
            InvokeError: The invocation is rejected.
            ClientDisconnectedError: The client disconnected before the response was known.
        """
        if self._operations is None or not invocation.idempotency_key:
            return self._submission.submit(invocation)
        policy = self.policy(invocation)
        return self._submission.submit_once(self._operations, invocation, policy, is_client_connected)

    def outcome_unknown_response(self, invocation: Invocation) -> Response:
        """Return the response to a request that was forwarded to a process which did not respond."""
        headers = invocation.response_headers(invocation.request_id)
        return outcome_unknown_response(headers, "the process that runs it gave no answer")

    def _call_without_key(self, invocation: Invocation, is_client_connected: IsClientConnected) -> Response:
        final = self._calls.run(invocation, invocation.request_id, is_client_connected)
        if final.status is FinalStatus.CLIENT_DISCONNECTED:
            raise ClientDisconnectedError
        if _may_have_run(invocation, final):
            reason = "it may have run, and its client named no operation"
            final = FinalAnswer(FinalStatus.FAILED, reason=reason)
        if final.status is FinalStatus.REJECTED:
            raise rejection_error(final)
        headers = invocation.response_headers(invocation.request_id)
        return build_response(final, headers, invocation.wants_log)


def _deduplication_policies(config: Config) -> dict[str, DeduplicationPolicy]:
    """Return the deduplication policies of all request classes, by class name."""
    window_s = config.operations.window_s if config.operations is not None else 0.0
    return {
        call_class.name: DeduplicationPolicy(
            Idempotency(call_class.effect),
            call_class.operation_window_s or window_s,
            call_class.note_operations,
            requires_slot=call_class.effect != "safe",
        )
        for call_class in config.classes
    }


def _may_have_run(invocation: Invocation, final: FinalAnswer) -> bool:
    """Return whether a rejected call may have been executed, so that a retry could execute it twice.

    Workers deduplicate calls of this class by key. Without an idempotency key from the client, the gateway
    derives the key from the request id, and a retry by the client has another request id and so another key.
    """
    if invocation.idempotency_key or invocation.function.idempotency is not Idempotency.WITH_KEY:
        return False
    return final.status is FinalStatus.REJECTED and bool(final.prior_attempts)
