"""Carries out the actions of the router."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.engine.call_finisher import CallFinisher
from saffronstack.engine.calls import FinalStatus
from saffronstack.engine.dispatch import CommandResult, Dispatcher
from saffronstack.engine.engine_state import EngineState
from saffronstack.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    LoadFunction,
    Reject,
    SendAttempt,
    SetTimer,
    UnloadFunction,
    WriteLog,
)
from saffronstack.routing.events import PriorAttempt, Result, TimerFired
from saffronstack.runtime.logs import Logger


class ActionExecutor:
    """Passes actions to the dispatcher, the timers and the open calls, on the decision thread."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        state: EngineState,
        finisher: CallFinisher,
        notify: Callable[[CommandResult], None],
        log: Logger,
    ) -> None:
        """Create an executor.

        Args:
            dispatcher: Sends attempts and commands to the workers.
            state: State of the decision thread.
            finisher: Gives final answers.
            notify: Queues a message to the decision thread.
            log: Receives the log lines of the router.
        """
        self._dispatcher = dispatcher
        self._state = state
        self._finisher = finisher
        self._notify = notify
        self._log = log

    def execute(self, now: float, action: Action) -> None:
        """Carry out one action.

        `WatchEndpoints` and `FetchEndpoints` do nothing: discovery always watches the endpoint list.
        """
        match action:
            case SendAttempt():
                self._send_attempt(now, action)
            case SetTimer():
                self._state.timers.add(now + action.delay_s, TimerFired(action.timer_id))
            case Reject():
                self._finisher.finish(action.request_id, FinalStatus.REJECTED, action.retry_after_s)
            case Fail():
                self._finisher.finish(action.request_id, FinalStatus.FAILED)
            case LoadFunction():
                self._load_function(action)
            case UnloadFunction():
                self._unload_function(action)
            case CheckHealth():
                self._dispatcher.check_health(action.worker_id)
            case CancelAttempt():
                self._cancel_attempt(action)
            case WriteLog():
                self._log.info("router message", text=action.text)

    def _send_attempt(self, now: float, action: SendAttempt) -> None:
        open_call = self._state.open_calls[action.request_id]
        started = PriorAttempt(action.worker_id, now, action.zone, action.cell)
        if open_call.call.guard is not None:
            open_call.call.guarded_attempts = (*open_call.possibly_executed_attempts(), started)
        attempt = open_call.start_attempt(started)
        statistics = self._state.statistics
        statistics.attempts += 1
        if attempt > 0:
            statistics.retries += 1
        open_call.call.latest_start_s = action.latest_start_s
        self._dispatcher.send(open_call.call, attempt, action.worker_id, action.timeout_s)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        open_call = self._state.open_calls.get(action.request_id)
        if open_call is not None:
            self._dispatcher.cancel(open_call.call, action.attempt)

    def _load_function(self, action: LoadFunction) -> None:
        self._state.statistics.load_commands += 1
        function = self._state.functions.get(action.function_id)
        if function is None:  # the router expects a result for each command
            self._notify(CommandResult(action.worker_id, Result.ERROR, 0.0, action.function_id))
        else:
            self._dispatcher.load_function(action.worker_id, function, action.instances)

    def _unload_function(self, action: UnloadFunction) -> None:
        self._state.statistics.load_commands += 1
        function = self._state.functions.get(action.function_id)
        if function is not None:
            self._dispatcher.unload_function(action.worker_id, function)
