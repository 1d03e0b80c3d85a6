"""The loop of the decision thread: messages and timers become events, and decisions become actions."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

from saffronstack.engine.action_executor import ActionExecutor
from saffronstack.engine.call_finisher import CallFinisher
from saffronstack.engine.calls import Call, FinalStatus
from saffronstack.engine.dispatch import AttemptResult, CommandResult, Dispatcher, WorkerObservation
from saffronstack.engine.engine_state import CallNumber, EngineState
from saffronstack.engine.messages import (
    DecisionSink,
    EndpointChange,
    EndpointSnapshot,
    EngineMessage,
    Inspection,
    Shutdown,
)
from saffronstack.engine.open_calls import OpenCall
from saffronstack.engine.worker_registry import WorkerRegistry
from saffronstack.routing.events import (
    ClientDisconnected,
    Event,
    HealthCheckResult,
    LoadCommandResult,
    Request,
    Result,
    TimerFired,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import Settings
from saffronstack.runtime.logs import Logger

MAX_WAIT_S = 1.0  # the thread checks its timers at least this often


class DecisionLoop:
    """Owns the router, the timers and the open calls.

    All messages reach the loop through one queue, so that events have one order, on a clock that never goes
    back. The loop never waits for I/O. An exception ends neither the loop nor other calls.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        deadline_grace_s: float,
        recorder: DecisionSink | None,
        log: Logger,
    ) -> None:
        """Create a loop that `run` starts.

        Args:
            settings: Settings of the router.
            seed: Seed of the router's random numbers.
            clock: Monotonic clock, in seconds.
            deadline_grace_s: Time after a call's deadline when the loop answers it, if the router has not.
            recorder: Receives each decision.
            log: Receives log events.
        """
        self.messages: queue.SimpleQueue[EngineMessage] = queue.SimpleQueue()
        self.router = Router(settings, seed)
        self.state = EngineState()
        self.stopped = threading.Event()
        self._clock = clock
        self._now = clock()
        self._deadline_grace_s = deadline_grace_s
        self._recorder = recorder
        self._log = log
        self._workers = WorkerRegistry()
        self._finisher = CallFinisher(settings, self.state.open_calls, self.state.statistics)
        self._executor: ActionExecutor | None = None

    def run(self, dispatcher: Dispatcher) -> None:
        """Handle messages until `Shutdown`; then finish the remaining calls."""
        self._executor = ActionExecutor(dispatcher, self.state, self._finisher, self.messages.put, self._log)
        try:
            while self._run_step():
                pass
        finally:
            self._finish_remaining_calls()
            self.stopped.set()

    def _run_step(self) -> bool:
        """Wait for a message or a timer and handle it; return False at the end."""
        due_s = self.state.timers.next_due_s(self._is_pending)
        wait_s = MAX_WAIT_S if due_s is None else min(MAX_WAIT_S, due_s - self._clock())
        message: EngineMessage | None = None
        try:  # noqa: SIM105 - each call passes here, and a context manager costs more
            message = self.messages.get(timeout=wait_s) if wait_s > 0 else self.messages.get_nowait()
        except queue.Empty:
            pass  # only timers are due
        if isinstance(message, Shutdown):
            if self.messages.empty():
                return False
            self.messages.put(message)
            return True
        self._now = max(self._now, self._clock())
        if due_s is not None and due_s <= self._now:
            try:
                self._fire_timers()
            except Exception:  # noqa: BLE001 - all other calls depend on this thread
                self._note_fault()
        if message is not None:
            try:
                self._handle(message)
            except Exception:  # noqa: BLE001 - the same for a message
                self._note_fault()
        return True

    def _is_pending(self, timer: TimerFired | CallNumber) -> bool:
        """Return whether a timer is still needed: most calls end long before their deadline."""
        return not isinstance(timer, int) or timer in self.state.open_calls

    def _note_fault(self) -> None:
        self.state.statistics.faults += 1
        self._log.exception("decision thread step failed")

    def _fire_timers(self) -> None:
        while (timer := self.state.timers.pop_due(self._now)) is not None:
            if isinstance(timer, int):
                self._enforce_deadline(timer)
            else:
                self._decide(timer)

    def _handle(self, message: EngineMessage) -> None:
        match message:
            case Call():
                self._handle_call(message)
            case AttemptResult():
                self._handle_attempt_result(message)
            case ClientDisconnected():
                self._handle_disconnect(message)
            case CommandResult():
                self._handle_command_result(message)
            case WorkerObservation():
                self._handle_observation(message)
            case Inspection():
                message.inspect(self._now, self.router)
            case EndpointChange():
                update = self._workers.apply_changes(
                    self._now, message.unix_s, message.specs, message.removed
                )
                self._decide(update)
            case EndpointSnapshot():
                self._decide(self._workers.apply_snapshot(self._now, message.unix_s, message.specs))

    def _handle_call(self, call: Call) -> None:
        self.state.statistics.calls += 1
        if call.is_finished:  # its client has disconnected already, so it needs no decision
            self._finisher.count(call)
            return
        function = call.function
        self.state.functions.add(function)
        self.state.open_calls.add(call)
        self.state.timers.add(call.deadline_s + self._deadline_grace_s, call.number)
        self._decide(
            Request(
                call.number,
                function.class_index,
                function.number,
                call.deadline_s,
                call.tenant,
                function.memory_mb,
                float(function.concurrency),
                function.load_time_s,
                prior_attempts=call.prior_attempts or None,
            )
        )

    def _handle_attempt_result(self, attempt: AttemptResult) -> None:
        outcome = attempt.outcome
        statistics = self.state.statistics
        statistics.attempt_results[outcome.result.value] += 1
        open_call = self.state.open_calls.get(outcome.request_id)
        if open_call is not None:
            open_call.end_attempt(outcome, self._now)
            final_answer = attempt.call.final_answer
            if (
                attempt.response is not None
                and outcome.result is Result.OK
                and final_answer is not None
                and final_answer.status is FinalStatus.SERVED
            ):
                statistics.final_answers[FinalStatus.SERVED.value] += 1
        self._decide(outcome)
        if open_call is not None:
            self.state.open_calls.remove_if_over(open_call)

    def _handle_disconnect(self, event: ClientDisconnected) -> None:
        self._decide(event)
        open_call = self.state.open_calls.get(event.request_id)
        if open_call is not None:
            open_call.router_knows_disconnect = True
            self._finisher.count(open_call.call)
            self.state.open_calls.remove_if_over(open_call)

    def _handle_command_result(self, command: CommandResult) -> None:
        if command.function_id is None:
            self._decide(
                HealthCheckResult(command.worker_id, command.result, command.elapsed_s, command.load_report)
            )
            return
        self._decide(
            LoadCommandResult(
                command.worker_id, command.function_id, command.instances, command.result, command.elapsed_s
            )
        )

    def _handle_observation(self, observation: WorkerObservation) -> None:
        update = self._workers.observe_worker(self._now, observation)
        if update is not None:
            self._log.info(
                "worker restarted", worker=observation.worker_id, incarnation=observation.incarnation
            )
            self._decide(update)

    def _decide(self, event: Event) -> None:
        """Let the router decide on an event and carry out its actions."""
        self.state.statistics.events += 1
        try:
            actions = self.router.handle(self._now, event)
        except Exception:  # noqa: BLE001 - affected calls are answered at their deadlines; the others go on
            self.state.statistics.faults += 1
            self._log.exception("decision failed", kind=type(event).__name__)
            return
        if self._recorder is not None:
            self._recorder.record(self._now, event, actions)
        executor = self._executor
        assert executor is not None
        for action in actions:
            executor.execute(self._now, action)

    def _enforce_deadline(self, call_number: CallNumber) -> None:
        """Answer a call whose deadline has passed without a decision of the router."""
        open_call = self.state.open_calls.get(call_number)
        if open_call is None or open_call.call.is_finished:
            return
        self.state.statistics.deadline_answers += 1
        self._log.warning("call answered at its deadline", request_id=open_call.call.request_id)
        self._finisher.finish_overdue(open_call)
        self._decide(ClientDisconnected(call_number))

    def _finish_remaining_calls(self) -> None:
        """Answer open calls and calls that are still queued."""
        self._finisher.finish_all_at_shutdown()
        while True:
            try:
                message = self.messages.get_nowait()
            except queue.Empty:
                return
            if isinstance(message, Call):
                self._finisher.finish_at_shutdown(OpenCall.from_call(message))
