"""From a checked invocation to its response, synchronous or deferred, with or without an operation's name."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.config.schema import Config
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.engine.engine import Engine
from saffronstack.invoke.coalesced_calls import CoalescedCalls
from saffronstack.invoke.deferred_submission import DeferredSubmission
from saffronstack.invoke.engine_calls import EngineCalls
from saffronstack.invoke.final_responses import build_response, rejection_error, unknown_outcome
from saffronstack.invoke.invocation import Invocation, IsClientConnected
from saffronstack.invoke.operation_calls import call_once
from saffronstack.invoke.response import Response
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.operations.errors import ClientDisconnectedError
from saffronstack.operations.operation_request import DeduplicationPolicy
from saffronstack.operations.operation_service import OperationService
from saffronstack.routing.settings import Idempotency


class InvocationExecutor:
    """Used by every connection's thread."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        deferred: DeferredCalls | None,
        clock: Callable[[], float],
        budgets: BudgetEnforcer | None,
        operations: OperationService | None,
    ) -> None:
        """Take deferred calls, budgets and operations where they are configured; ``clock`` in seconds."""
        self._operations = operations
        self._calls = EngineCalls(config, engine, clock, budgets, operations)
        self._submission = DeferredSubmission(config, deferred, clock)
        self._coalesced = CoalescedCalls(self._calls, operations, clock) if operations is not None else None
        self._policies = _deduplication_policies(config)

    def policy(self, invocation: Invocation) -> DeduplicationPolicy:
        """Return what its class says of its operation."""
        return self._policies[invocation.function.config.call_class]

    def call(self, invocation: Invocation, is_client_connected: IsClientConnected) -> Response:
        """Run an invocation, or return the response that its operation has.

        Raises:
            InvokeError: It is rejected.
            ClientDisconnectedError: Nobody waits for it any more.
        """
        if self._operations is None or self._coalesced is None or not invocation.idempotency_key:
            return self._call_without_key(invocation, is_client_connected)
        policy = self.policy(invocation)
        if policy.idempotency is Idempotency.IDEMPOTENT:
            return self._coalesced.call(invocation, policy.window_s, is_client_connected)
        return call_once(self._operations, self._calls, invocation, policy, is_client_connected)

    def defer(self, invocation: Invocation, is_client_connected: IsClientConnected) -> Response:
        """Accept an invocation for later, or say again that it was accepted.

        It may wait for room in its budget; each of its attempts is admitted when it is made.

        Raises:
            InvokeError: It is rejected.
            ClientDisconnectedError: Nobody waits for it any more.
        """
        if self._operations is None or not invocation.idempotency_key:
            return self._submission.submit(invocation)
        policy = self.policy(invocation)
        return self._submission.submit_once(self._operations, invocation, policy, is_client_connected)

    def outcome_unknown(self, invocation: Invocation) -> Response:
        """Return the response to a send whose operation's process is silent."""
        headers = invocation.response_headers(invocation.request_id)
        return unknown_outcome(headers, "the process that runs it gave no answer")

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
    """Return the policies of all classes, by name."""
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
    """Return whether a rejection is no harmless one.

    A call with a deduplication key may have run; the repeat of one that names no operation has another key.
    """
    if invocation.idempotency_key or invocation.function.idempotency is not Idempotency.WITH_KEY:
        return False
    return final.status is FinalStatus.REJECTED and final.prior_attempt is not None
