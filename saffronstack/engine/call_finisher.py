"""Gives the final answers that the router decides on or that a deadline or a shutdown forces."""

from __future__ import annotations

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus
from saffronstack.engine.engine_statistics import EngineStatistics
from saffronstack.engine.open_calls import OpenCall, OpenCalls
from saffronstack.routing.settings import Idempotency, Settings

REJECTED_REASON = "no worker could take it"
FAILED_REASON = "it may have run"
SHUTDOWN_REASON = "the gateway stops"


class CallFinisher:
    """Finishes open calls, on the decision thread. A final answer for a finished call is ignored."""

    def __init__(self, settings: Settings, open_calls: OpenCalls, statistics: EngineStatistics) -> None:
        self._settings = settings
        self._open_calls = open_calls
        self._statistics = statistics

    def finish(self, call_number: int, status: FinalStatus, retry_after_s: float = 0.0) -> None:
        """Finish a call with the final answer that the router decided on."""
        open_call = self._open_calls.get(call_number)
        if open_call is None:
            return
        call = open_call.call
        final_answer = FinalAnswer(
            status,
            retry_after_s=retry_after_s,
            reason=REJECTED_REASON if status is FinalStatus.REJECTED else FAILED_REASON,
            prior_attempts=open_call.possibly_executed_attempts(),
            attempts=open_call.attempts,
            attempt_in_flight_until_s=call.deadline_s if open_call.attempts_in_flight else 0.0,
        )
        if call.finish(final_answer):
            self.count(call)
        self._open_calls.remove_if_over(open_call)

    def finish_overdue(self, open_call: OpenCall) -> None:
        """Finish a call that the router did not finish in time, by the same rule as the router's."""
        call = open_call.call
        may_have_executed = bool(open_call.possibly_executed_attempts())
        class_settings = self._settings.classes[call.function.class_index]
        is_harmless = class_settings.idempotency is Idempotency.IDEMPOTENT or not may_have_executed
        self.finish(call.number, FinalStatus.REJECTED if is_harmless else FinalStatus.FAILED)

    def finish_all_at_shutdown(self) -> None:
        """Finish all open calls."""
        for open_call in self._open_calls.remove_all():
            self.finish_at_shutdown(open_call)

    def finish_at_shutdown(self, open_call: OpenCall) -> None:
        """Finish a call: rejected if no attempt may have executed, else failed."""
        prior_attempts = open_call.possibly_executed_attempts()
        open_call.call.finish(
            FinalAnswer(
                FinalStatus.FAILED if prior_attempts else FinalStatus.REJECTED,
                reason=SHUTDOWN_REASON,
                prior_attempts=prior_attempts,
                attempts=open_call.attempts,
            )
        )

    def count(self, call: Call) -> None:
        """Count the final answer of a call, if it has one."""
        if call.final_answer is not None:
            self._statistics.final_answers[call.final_answer.status.value] += 1
