"""Executes invocations on the engine. The thread of the client's connection waits for the final answer."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.config.schema import Config
from saffronstack.engine.calls import AttemptGuard, Call, FinalAnswer, FinalStatus
from saffronstack.engine.engine import Engine
from saffronstack.invoke import errors
from saffronstack.invoke.invocation import Invocation, IsClientConnected
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.operations.execution import CLIENT_CHECK_INTERVAL_S, Execution
from saffronstack.operations.idempotency_keys import worker_idempotency_key
from saffronstack.operations.operation_service import OperationService
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency

# Share of the answer margin by which the engine's deadline precedes the invocation's deadline. The connection
# thread waits for the final answer until the invocation's deadline.
DECISION_MARGIN_SHARE = 0.8


def no_waiters() -> bool:
    """Return True: no other request waits for the call."""
    return True


class EngineCalls:
    """Submits calls to the engine and waits for their final answers. Thread-safe."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        clock: Callable[[], float],
        budgets: BudgetEnforcer | None,
        operations: OperationService | None,
    ) -> None:
        """``budgets`` and ``operations`` are None if not configured; ``clock`` returns monotonic seconds."""
        self._engine = engine
        self._clock = clock
        self._budgets = budgets
        self._operations = operations
        self._decision_margin_s = config.answer_margin_s * DECISION_MARGIN_SHARE
        self._tenant_indexes = {tenant.name: index for index, tenant in enumerate(config.tenants)}

    def run(
        self,
        invocation: Invocation,
        request_id: str,
        is_client_connected: IsClientConnected,
        prior: tuple[PriorAttempt, ...] = (),
        execution: Execution | None = None,
        has_no_waiters: Callable[[], bool] = no_waiters,
    ) -> FinalAnswer:
        """Execute an invocation and wait for its final answer, checking the client's connection meanwhile.

        Args:
            invocation: The invocation to execute.
            request_id: Request id of the call: that of the operation's first request.
            is_client_connected: Tells whether the client is still connected. After it disconnects, the call
                is cancelled if no other request waits for it and no attempt can have had an effect.
            prior: Earlier attempts of the operation that may have had an effect.
            execution: The operation's execution; None without an idempotency key or for an idempotent call.
            has_no_waiters: Tells whether no other request waits for the call.

        Raises:
            InvokeError: The call can't be started now.
        """
        call = self._create(invocation, request_id, prior, execution)

        def abandon_if_client_left() -> None:
            if (
                not is_client_connected()
                and has_no_waiters()
                and (execution is None or execution.try_abandon())
            ):
                self._engine.disconnect(call)

        call.before_send = abandon_if_client_left
        if not self._engine.submit(call):
            raise errors.too_many_requests("Too many calls are open.", 1.0)
        return self._wait(call, abandon_if_client_left)

    def _create(
        self,
        invocation: Invocation,
        request_id: str,
        prior: tuple[PriorAttempt, ...],
        execution: Execution | None,
    ) -> Call:
        tenant_index = self._admit(invocation)
        deadline_s = invocation.deadline_s - self._decision_margin_s
        if deadline_s <= self._clock():
            raise errors.too_many_requests("It came too late to be begun.", 1.0)
        return Call(
            self._engine.next_call_number(),
            request_id,
            invocation.function.spec,
            invocation.payload,
            deadline_s,
            tenant_index,
            invocation.tenant,
            worker_idempotency_key(invocation.tenant, invocation.idempotency_key, request_id),
            invocation.client_context,
            invocation.wants_log,
            prior,
            self._attempt_guard(execution),
            class_name=invocation.function.config.call_class,
        )

    def _attempt_guard(self, execution: Execution | None) -> AttemptGuard | None:
        if execution is None or self._operations is None:
            return None
        if execution.policy.idempotency is Idempotency.IDEMPOTENT:
            return None
        return self._operations.attempt_guard(execution)

    def _wait(self, call: Call, abandon_if_client_left: Callable[[], None]) -> FinalAnswer:
        latest_s = call.deadline_s + self._decision_margin_s
        while True:
            final = call.wait(min(CLIENT_CHECK_INTERVAL_S, max(0.0, latest_s - self._clock())))
            if final is not None:
                return final
            if self._clock() >= latest_s:  # the engine is stuck; the client still gets a final answer
                call.finish(FinalAnswer(FinalStatus.FAILED, reason="the gateway did not decide in time"))
            else:
                abandon_if_client_left()

    def _admit(self, invocation: Invocation) -> int:
        """Return the index under which the router accounts for the tenant.

        A tenant over the soft limit of its budget gets the index behind the last tenant.

        Raises:
            InvokeError: The tenant's budget doesn't allow the load that the call needs.
        """
        index = self._tenant_indexes.get(invocation.tenant, 0)
        if self._budgets is None:
            return index
        admission = self._budgets.admit(invocation.tenant, invocation.function.spec.name, self._clock())
        if not admission.is_admitted:
            text = f"The memory budget of {invocation.tenant} is used up."
            raise errors.too_many_requests(text, admission.retry_after_s)
        return len(self._tenant_indexes) if admission.is_over_soft_limit else index
