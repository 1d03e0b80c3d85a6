"""Each action of the router reaches the dispatcher, the timers, the open calls or the log."""

from __future__ import annotations

import io
import math
from collections.abc import Sequence
from typing import Any

import pytest

from saffronstack.engine.action_executor import ActionExecutor
from saffronstack.engine.call_finisher import CallFinisher
from saffronstack.engine.calls import Call, FinalStatus, FunctionSpec
from saffronstack.engine.dispatch import CommandResult
from saffronstack.engine.engine_state import EngineState
from saffronstack.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpoints,
    LoadFunction,
    Reject,
    SendAttempt,
    SetTimer,
    UnloadFunction,
    WatchEndpoints,
    WriteLog,
)
from saffronstack.routing.events import AttemptOutcome, PriorAttempt, Result, TimerFired
from saffronstack.runtime.logs import KeyValueLogger
from tests.helpers import settings
from tests.support.engine import new_call

NOW = 10.0


class RecordingDispatcher:
    """Records the commands that it receives."""

    def __init__(self) -> None:
        self.commands: list[tuple[Any, ...]] = []

    def send(self, call: Call, attempt: int, worker_id: int, timeout_s: float) -> None:
        self.commands.append(("send", call.number, attempt, worker_id, timeout_s))

    def cancel(self, call: Call, attempt: int) -> None:
        self.commands.append(("cancel", call.number, attempt))

    def check_health(self, worker_id: int) -> None:
        self.commands.append(("check_health", worker_id))

    def load_function(self, worker_id: int, function: FunctionSpec, instances: int) -> None:
        self.commands.append(("load_function", worker_id, function.number, instances))

    def unload_function(self, worker_id: int, function: FunctionSpec) -> None:
        self.commands.append(("unload_function", worker_id, function.number))


class ExecutorHarness:
    """An executor with one open call, number 1, of function 5."""

    def __init__(self) -> None:
        self.dispatcher = RecordingDispatcher()
        self.state = EngineState()
        self.notified: list[CommandResult] = []
        self.log = io.StringIO()
        finisher = CallFinisher(settings(), self.state.open_calls, self.state.statistics)
        self.executor = ActionExecutor(
            self.dispatcher, self.state, finisher, self.notified.append, KeyValueLogger("test", self.log)
        )
        self.call = new_call(1)
        self.state.open_calls.add(self.call)
        self.state.functions.add(self.call.function)

    def execute(self, *actions: Action) -> None:
        for action in actions:
            self.executor.execute(NOW, action)


@pytest.fixture
def harness() -> ExecutorHarness:
    return ExecutorHarness()


@pytest.mark.parametrize(
    ("action", "commands"),
    [
        (SendAttempt(1, 7, 0.5), [("send", 1, 0, 7, 0.5)]),
        (CancelAttempt(1, 0), [("cancel", 1, 0)]),
        (CancelAttempt(77, 0), []),
        (CheckHealth(7), [("check_health", 7)]),
        (LoadFunction(7, 5, 2), [("load_function", 7, 5, 2)]),
        (UnloadFunction(7, 5), [("unload_function", 7, 5)]),
        (UnloadFunction(7, 99), []),
        (WatchEndpoints(), []),
        (FetchEndpoints(), []),
    ],
)
def test_an_action_reaches_the_dispatcher(
    harness: ExecutorHarness, action: Action, commands: list[tuple[Any, ...]]
) -> None:
    harness.execute(action)
    assert harness.dispatcher.commands == commands


def test_attempts_and_retries_are_counted(harness: ExecutorHarness) -> None:
    harness.execute(SendAttempt(1, 7), SendAttempt(1, 8, zone=2, cell=3))
    assert [attempt for _, _, attempt, _, _ in harness.dispatcher.commands] == [0, 1]
    assert (harness.state.statistics.attempts, harness.state.statistics.retries) == (2, 1)
    assert harness.state.open_calls[1].attempts_in_flight[1] == PriorAttempt(8, NOW, 2, 3)


def test_each_attempt_brings_its_own_latest_start(harness: ExecutorHarness) -> None:
    call = harness.state.open_calls[1].call
    for latest_start_s in (12.5, math.inf):
        harness.execute(SendAttempt(1, 7, latest_start_s=latest_start_s))
        assert call.latest_start_s == latest_start_s


def test_load_and_unload_commands_are_counted(harness: ExecutorHarness) -> None:
    harness.execute(LoadFunction(7, 5, 1), UnloadFunction(7, 5))
    assert harness.state.statistics.load_commands == 2


def test_a_load_command_for_an_unknown_function_ends_in_an_error(harness: ExecutorHarness) -> None:
    harness.execute(LoadFunction(7, 99, 1))
    assert harness.notified == [CommandResult(7, Result.ERROR, 0.0, 99)]
    assert not harness.dispatcher.commands


@pytest.mark.parametrize(
    ("action", "status", "retry_after_s"),
    [(Reject(1, 2.5), FinalStatus.REJECTED, 2.5), (Fail(1), FinalStatus.FAILED, 0.0)],
)
def test_a_final_answer_finishes_the_call(
    harness: ExecutorHarness, action: Action, status: FinalStatus, retry_after_s: float
) -> None:
    harness.execute(action)
    assert harness.call.final_answer is not None
    assert (harness.call.final_answer.status, harness.call.final_answer.retry_after_s) == (
        status,
        retry_after_s,
    )


def test_a_timer_is_due_after_its_delay(harness: ExecutorHarness) -> None:
    harness.execute(SetTimer(0.5, 33))
    assert harness.state.timers.next_due_s() == NOW + 0.5
    assert harness.state.timers.pop_due(NOW + 0.5) == TimerFired(33)


def test_a_log_line_of_the_router_is_logged(harness: ExecutorHarness) -> None:
    harness.execute(WriteLog("a line"))
    assert "router message text='a line'" in harness.log.getvalue()


class AllowingGuard:
    """Allows every attempt."""

    def may_send(self, attempts: Sequence[PriorAttempt]) -> bool:
        return True


def test_a_guard_gets_the_attempts_that_may_have_executed_and_the_present_one(
    harness: ExecutorHarness,
) -> None:
    """Guards against storing an attempt that a worker refused beside the next one."""
    open_call = harness.state.open_calls[1]
    open_call.call.guard = AllowingGuard()
    guarded: list[tuple[PriorAttempt, ...]] = []
    harness.execute(SendAttempt(1, 7, zone=0, cell=1))
    open_call.end_attempt(AttemptOutcome(1, 0, 7, Result.AT_CAPACITY, 0.1), NOW)
    harness.execute(SendAttempt(1, 8, zone=0, cell=2))
    guarded.append(open_call.call.guarded_attempts)
    open_call.end_attempt(AttemptOutcome(1, 1, 8, Result.RESET, 0.1), NOW)
    harness.execute(SendAttempt(1, 9, zone=0, cell=2))
    guarded.append(open_call.call.guarded_attempts)
    second, third = PriorAttempt(8, NOW, 0, 2), PriorAttempt(9, NOW, 0, 2)
    assert guarded == [(second,), (second, third)]
