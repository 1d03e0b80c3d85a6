"""Submits deferred calls to the engine."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from saffronstack.config.schema import Config
from saffronstack.deferred.attempt_log import AttemptLog, AttemptLogGuard, OwnershipGuard
from saffronstack.deferred.function_policies import FunctionPolicy
from saffronstack.deferred.steady_clock import SteadyClock
from saffronstack.deferred.tracked_call import TrackedCall
from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus
from saffronstack.metering.budgets import Admission, BudgetEnforcer
from saffronstack.routing.settings import Idempotency

ENGINE_FULL_RETRY_AFTER_S = 0.5


class CallEngine(Protocol):
    """The part of the engine that executes deferred calls (`saffronstack.engine.engine.Engine`)."""

    def next_call_number(self) -> int:
        """Return an unused number for a new call."""
        ...

    def submit(self, call: Call) -> bool:
        """Accept a call for execution; return False if the engine accepts no more calls."""
        ...


class CallSubmitter:
    """Creates the engine's calls for tracked calls and submits them; used on the dispatcher thread."""

    def __init__(
        self,
        config: Config,
        engine: CallEngine,
        attempt_log: AttemptLog,
        clock: SteadyClock,
        budgets: BudgetEnforcer | None,
        owns_ledger: Callable[[], bool] | None,
    ) -> None:
        """Submit to ``engine``; with `None`, ``budgets`` and ``owns_ledger`` are not checked."""
        self._ownership_guard = OwnershipGuard(owns_ledger) if owns_ledger is not None else None
        self._engine = engine
        self._attempt_log = attempt_log
        self._clock = clock
        self._budgets = budgets
        self._tenant_indexes = {tenant.name: index for index, tenant in enumerate(config.tenants)}
        self._over_budget_tenant_index = len(self._tenant_indexes)  # index of the settings for such calls

    def admit(self, call: TrackedCall) -> Admission:
        """Return whether the tenant's budget admits an attempt now.

        A call that may have been executed is always admitted, so that no budget delays its final record.
        """
        if self._budgets is None or call.state.possible_executions:
            return Admission(True)
        accepted = call.accepted
        return self._budgets.admit(accepted.tenant, accepted.function, self._clock.monotonic_now())

    def submit(
        self,
        call: TrackedCall,
        function_policy: FunctionPolicy,
        deadline_at: float,
        is_over_budget: bool,
        on_final_answer: Callable[[TrackedCall, FinalAnswer], None],
    ) -> None:
        """Submit a call, which gets exactly one final answer.

        Args:
            call: The call.
            function_policy: Its function and retry policy.
            deadline_at: Deadline of the final answer, in Unix seconds.
            is_over_budget: Whether its tenant is over the soft limit of its budget.
            on_final_answer: Called with the final answer, on the thread that finishes the call.
        """
        engine_call = self._make_engine_call(call, function_policy, deadline_at, on_final_answer)
        if is_over_budget:
            engine_call.tenant = self._over_budget_tenant_index
        if not self._engine.submit(engine_call):
            engine_call.finish(
                FinalAnswer(
                    FinalStatus.REJECTED,
                    retry_after_s=ENGINE_FULL_RETRY_AFTER_S,
                    prior_attempts=engine_call.prior_attempts,
                )
            )

    def _make_engine_call(
        self,
        call: TrackedCall,
        function_policy: FunctionPolicy,
        deadline_at: float,
        on_final_answer: Callable[[TrackedCall, FinalAnswer], None],
    ) -> Call:
        accepted = call.accepted
        is_idempotent = function_policy.configured_function.idempotency is Idempotency.IDEMPOTENT
        return Call(
            self._engine.next_call_number(),
            accepted.request_id,
            function_policy.configured_function.spec,
            accepted.payload,
            self._clock.to_monotonic(deadline_at),
            self._tenant_indexes.get(accepted.tenant, 0),
            accepted.tenant,
            accepted.idempotency_key,
            accepted.client_context,
            prior_attempts=self._attempt_log.converter.to_prior(call.state.possible_executions),
            guard=self._ownership_guard if is_idempotent else AttemptLogGuard(self._attempt_log, call),
            on_final_answer=lambda _, answer: on_final_answer(call, answer),
            class_name=function_policy.configured_function.config.call_class,
        )
