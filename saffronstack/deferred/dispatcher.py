"""The dispatcher of deferred calls: one thread that owns all open calls, their retries and final records."""

from __future__ import annotations

import queue
import random
import threading
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from saffronstack.deferred.attempt_log import AttemptLog
from saffronstack.deferred.call_submitter import CallSubmitter
from saffronstack.deferred.final_record_writer import FinalRecordWriter
from saffronstack.deferred.function_policies import FunctionPolicies, FunctionPolicy
from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.retry_policy import (
    AttemptResult,
    Backoff,
    Condition,
    Finish,
    RetryPolicy,
    StartAttempt,
    decide_after_attempt,
    decide_next_step,
    find_possible_executions,
)
from saffronstack.deferred.steady_clock import SteadyClock
from saffronstack.deferred.tracked_call import FinalOutcome, TrackedCall, track_accepted
from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.engine.possible_execution import PossibleExecution
from saffronstack.engine.timers import Timers
from saffronstack.runtime.threads import start_thread

IDLE_POLL_S = 0.5  # longest single wait for a message
MIN_BUDGET_WAIT_S = 0.1  # minimum time before an exhausted budget is checked again
BUDGET_WAIT_JITTER = 0.1  # maximum random increase of that time, as a fraction
FIRST_COMMIT_CHECK_S = 0.01  # time from the append of a final record to the first check of its commit
COMMIT_CHECK_S = 0.02  # time between later checks
FAILED_COMMIT_CHECK_S = 0.5  # replaces FIRST_COMMIT_CHECK_S while the ledger's commits fail
NOT_CONFIGURED = "its function is not in the configuration"
REASON_BY_CONDITION = {
    Condition.SUCCESS: "",
    Condition.RETRIES_EXHAUSTED: "the function failed each time",
    Condition.EXPIRED: "its maximum event age passed before a worker could take it",
    Condition.REJECTED: "it was refused for good",
    Condition.UNKNOWN: "it may have run, and may not be sent again",
}


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """Message that the engine has answered a call."""

    call: TrackedCall
    answer: FinalAnswer


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Message that the gateway shuts down."""


Message = TrackedCall | AttemptFinished | StopRequested


class CallDispatcher:
    """Starts attempts, retries with backoff, and writes final records until they are durable."""

    def __init__(
        self,
        ledger: Ledger,
        policies: FunctionPolicies,
        submitter: CallSubmitter,
        attempt_log: AttemptLog,
        final_records: FinalRecordWriter,
        clock: SteadyClock,
        max_in_flight: int,
        seed: int,
    ) -> None:
        """Keep at most ``max_in_flight`` calls in flight; ``seed`` initializes the jitter of retries."""
        self._ledger = ledger
        self._policies = policies
        self._submitter = submitter
        self._attempt_log = attempt_log
        self._final_records = final_records
        self._clock = clock
        self._max_in_flight = max_in_flight
        self._random = random.Random(seed)
        self._messages: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._timers: Timers[TrackedCall] = Timers()
        self._calls: dict[str, TrackedCall] = {}  # by request id
        self._ready_calls: deque[TrackedCall] = deque()  # calls that wait until fewer are in flight
        self._in_flight = 0
        self._thread_ended = threading.Event()
        self.is_stopping = False
        self.finished_by_condition: dict[str, int] = {condition.value: 0 for condition in Condition}

    def start(self, recovered: Iterable[TrackedCall]) -> None:
        """Start the thread with the open calls of an earlier incarnation."""
        for call in recovered:
            self._calls[call.accepted.request_id] = call
            self._timers.add(0.0, call)
        start_thread("deferred", self._run)

    def stop(self, timeout_s: float) -> bool:
        """Start no more attempts, and wait for those in flight; return whether they ended in time.

        The other open calls stay in the ledger and are continued at the next start.
        """
        self.is_stopping = True
        self._messages.put(StopRequested())
        return self._thread_ended.wait(timeout_s)

    def dispatch(self, call: TrackedCall) -> None:
        """Pass an accepted call to the dispatcher thread. Thread-safe."""
        self._messages.put(call)

    def find(self, request_id: str) -> TrackedCall | None:
        """Return the call with this id, or None if its final record is durable. Thread-safe."""
        return self._calls.get(request_id)

    # ---- the dispatcher thread

    def _run(self) -> None:
        try:
            while not (self.is_stopping and not self._in_flight and self._messages.empty()):
                self._handle_next_message()
                while not self.is_stopping and (call := self._timers.pop_due(self._clock.now())) is not None:
                    self._handle_due_call(call)
                while self._can_start():
                    self._start_attempt(self._ready_calls.popleft())
        finally:
            self._thread_ended.set()

    def _can_start(self) -> bool:
        return bool(self._ready_calls) and self._in_flight < self._max_in_flight and not self.is_stopping

    def _handle_next_message(self) -> None:
        """Handle the next message, or wait until a timer is due."""
        wait_s = self._next_wait_s()
        try:
            message = self._messages.get(timeout=wait_s) if wait_s else self._messages.get_nowait()
        except queue.Empty:  # a timer is due, or a call can start
            return
        match message:
            case TrackedCall():
                self._track(message)
            case AttemptFinished():
                self._finish_attempt(message.call, message.answer)
            case StopRequested():
                pass  # the message only wakes the thread

    def _next_wait_s(self) -> float:
        """Return how long to wait for a message; 0 if a call can start or a timer is due.

        A dispatcher that stops handles no timers and starts no calls, however many are due or ready: it waits
        for the ends of the attempts in flight alone.
        """
        if self.is_stopping:
            return IDLE_POLL_S
        if self._can_start():
            return 0.0
        due_s = self._timers.next_due_s()
        return IDLE_POLL_S if due_s is None else min(IDLE_POLL_S, max(0.0, due_s - self._clock.now()))

    def _track(self, call: TrackedCall) -> None:
        self._calls[call.accepted.request_id] = call
        self._ready_calls.append(call)

    def _handle_due_call(self, call: TrackedCall) -> None:
        """Make a due call ready for an attempt, or check the commit of its final record."""
        if call.outcome is None:
            self._ready_calls.append(call)
        elif call.final_record_ticket is not None and call.final_record_ticket.is_durable:
            self._complete(call, call.outcome)
        elif call.final_record_ticket is not None and not call.final_record_ticket.done.is_set():
            self._timers.add(self._clock.now() + COMMIT_CHECK_S, call)
        else:  # the commit failed
            self._write_final_record(call, call.outcome)

    def _complete(self, call: TrackedCall, outcome: FinalOutcome) -> None:
        """Stop tracking a call whose final record is durable, and track the call that delivers the record."""
        self._calls.pop(call.accepted.request_id, None)
        self.finished_by_condition[outcome.condition.value] += 1
        if call.delivery is not None:
            self._track(track_accepted(call.delivery))

    def _start_attempt(self, call: TrackedCall) -> None:
        function_policy = self._policies.find(call.accepted.function)
        policy = None if function_policy is None else function_policy.retry_policy
        match decide_next_step(call.state, policy, self._clock.now()):
            case Finish(condition):
                reason = NOT_CONFIGURED if function_policy is None else REASON_BY_CONDITION[condition]
                self._finish(call, FinalOutcome(condition, reason=reason))
            case StartAttempt(deadline_at):
                assert function_policy is not None  # without a policy, the decision is never an attempt
                self._submit_within_budget(call, function_policy, deadline_at)

    def _submit_within_budget(
        self, call: TrackedCall, function_policy: FunctionPolicy, deadline_at: float
    ) -> None:
        admission = self._submitter.admit(call)
        if not admission.is_admitted:
            jitter = 1.0 + BUDGET_WAIT_JITTER * self._random.random()
            wait_s = max(MIN_BUDGET_WAIT_S, admission.retry_after_s) * jitter
            self._timers.add(min(self._clock.now() + wait_s, deadline_at), call)
            return
        call.is_running = True
        self._in_flight += 1
        self._submitter.submit(
            call, function_policy, deadline_at, admission.is_over_soft_limit, self._enqueue_answer
        )

    def _enqueue_answer(self, call: TrackedCall, answer: FinalAnswer) -> None:
        """Pass a final answer to the dispatcher thread. Thread-safe."""
        self._messages.put(AttemptFinished(call, answer))

    def _finish_attempt(self, call: TrackedCall, answer: FinalAnswer) -> None:
        call.is_running = False
        self._in_flight -= 1
        call.attempts += answer.attempts
        reported = self._attempt_log.converter.to_stored(answer.prior_attempts)
        executions = find_possible_executions(call.state, answer.status, reported)
        if answer.status is not FinalStatus.SERVED:
            self._attempt_log.store_ended(call, executions)
        function_policy = self._policies.find(call.accepted.function)
        if function_policy is None:
            self._timers.add(0.0, call)
            return
        self._retry_or_finish(call, function_policy.retry_policy, answer, executions)

    def _retry_or_finish(
        self,
        call: TrackedCall,
        policy: RetryPolicy,
        answer: FinalAnswer,
        executions: tuple[PossibleExecution, ...],
    ) -> None:
        """Schedule the next attempt of a call, or write its final record."""
        decision = decide_after_attempt(
            replace(call.state, possible_executions=executions),
            policy,
            AttemptResult(answer.status, bool(answer.function_error), answer.retry_after_s),
            self._clock.now(),
            self._random.random(),
        )
        call.state = decision.state
        match decision.step:
            case Finish(condition) if answer.status is FinalStatus.SERVED:
                self._finish(call, FinalOutcome(condition, answer.payload, answer.function_error))
            case Finish(condition):
                outcome = FinalOutcome(condition, None, answer.function_error, REASON_BY_CONDITION[condition])
                self._finish(call, outcome)
            case Backoff(until):  # no retry while an attempt may still be in flight
                in_flight_until = self._clock.to_unix(answer.attempt_in_flight_until_s)
                self._timers.add(max(until, in_flight_until), call)

    def _finish(self, call: TrackedCall, outcome: FinalOutcome) -> None:
        call.outcome = outcome
        self._write_final_record(call, outcome)

    def _write_final_record(self, call: TrackedCall, outcome: FinalOutcome) -> None:
        now = self._clock.now()
        self._final_records.write(call, outcome, now)
        check_delay_s = FAILED_COMMIT_CHECK_S if self._ledger.write_error else FIRST_COMMIT_CHECK_S
        self._timers.add(now + check_delay_s, call)
