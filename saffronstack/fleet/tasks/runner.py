"""Runs one scheduled task while this process holds the task's lease."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saffronstack.fleet.leases.store import HeldLease, LeaseStore
from saffronstack.fleet.tasks.schedule import (
    Action,
    CancelRun,
    ReleaseLease,
    StartRun,
    TaskSchedule,
    TaskState,
)
from saffronstack.fleet.tasks.task import Task
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.tasks")
ACQUIRE_TIMEOUT_S = 5.0  # per attempt to acquire the lease
POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 10.0


class _LeasedRun:
    """A run of a task under a lease; implements `TaskRun`."""

    def __init__(self, number: int, token: int, lease: HeldLease | None) -> None:
        self.number = number
        self.token = token
        self._lease = lease
        self._cancelled = threading.Event()

    def may_continue(self) -> bool:
        """See `TaskRun.may_continue`."""
        return not self._cancelled.is_set() and self._lease is not None and self._lease.remaining_s() > 0

    def wait(self, seconds: float) -> None:
        """See `TaskRun.wait`."""
        self._cancelled.wait(seconds)

    def cancel(self) -> None:
        """Request that the task returns soon. Thread-safe."""
        self._cancelled.set()


@dataclass(frozen=True, slots=True)
class _EndedRun:
    """The outcome of a run, reported by the thread of the run."""

    number: int
    succeeded: bool


class TaskRunner:
    """Runs one task: acquires its lease, starts runs that are due, cancels a run when the lease is lost.

    One control thread makes all decisions. Each run has its own thread.
    """

    def __init__(
        self,
        name: str,
        task: Task,
        period_s: float,
        run_timeout_s: float,
        store: LeaseStore,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a runner; `start` starts it.

        Args:
            name: The task's name; its lease is ``task/NAME``.
            task: The task to run.
            period_s: Time between runs.
            run_timeout_s: Time after which a run is cancelled.
            store: The store that grants the lease.
            clock: Monotonic clock in seconds.
        """
        self.name = name
        self._task = task
        self._store = store
        self._clock = clock
        self._schedule = TaskSchedule(period_s, run_timeout_s)
        self._lease: HeldLease | None = None  # used only by the control thread
        self._condition = threading.Condition()  # guards the four fields below
        self._lease_lost_reason = ""
        self._ended_runs: list[_EndedRun] = []
        self._current_run: _LeasedRun | None = None
        self._is_stopping = False

    def start(self) -> None:
        """Start the control thread."""
        self._thread = start_thread(f"task-{self.name}", self._run_loop)

    def request_stop(self) -> None:
        """Cancel the current run; the lease is released when the run has ended. Does not wait."""
        with self._condition:
            self._is_stopping = True
            if self._current_run is not None:
                self._current_run.cancel()
            self._condition.notify_all()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Cancel the current run and wait until it has ended and the lease is released.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether the run ended in time.
        """
        self.request_stop()
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run_loop(self) -> None:
        while not self._has_stopped():
            self._acquire_lease_if_needed()
            now_s = self._clock()
            self._handle_reports(now_s)
            self._apply_actions(self._schedule.tick(now_s))
            with self._condition:
                self._condition.wait_for(self._has_reports, POLL_INTERVAL_S)
        if self._lease is not None:
            self._lease.release()

    def _has_stopped(self) -> bool:
        with self._condition:
            is_stopping = self._is_stopping
        return is_stopping and self._schedule.state not in (TaskState.RUNNING, TaskState.CANCELLING)

    def _has_reports(self) -> bool:
        return bool(self._lease_lost_reason or self._ended_runs or self._is_stopping)

    def _acquire_lease_if_needed(self) -> None:
        if self._lease is not None or self._schedule.state is not TaskState.STANDBY or self._is_stopping:
            return
        self._lease = self._store.acquire(f"task/{self.name}", ACQUIRE_TIMEOUT_S, self._report_lease_lost)
        if self._lease is not None:
            self._apply_actions(self._schedule.lease_acquired(self._clock(), self._lease.token))

    def _handle_reports(self, now_s: float) -> None:
        with self._condition:
            lost_reason, self._lease_lost_reason = self._lease_lost_reason, ""
            ended_runs, self._ended_runs = self._ended_runs, []
        if lost_reason and self._lease is not None:
            self._lease = None
            self._apply_actions(self._schedule.lease_lost(now_s, lost_reason))
        for ended in ended_runs:
            self._apply_actions(self._schedule.run_ended(now_s, ended.number, ended.succeeded))

    def _report_lease_lost(self, reason: str) -> None:
        """Report the loss of the lease to the control thread; runs on a thread of the lease store."""
        with self._condition:
            self._lease_lost_reason = reason
            self._condition.notify_all()

    def _apply_actions(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartRun():
                    self._start_run(action)
                case CancelRun():
                    self._cancel_run(action.reason)
                case ReleaseLease():
                    self._release_lease()

    def _start_run(self, action: StartRun) -> None:
        run = _LeasedRun(action.run_number, action.token, self._lease)
        with self._condition:
            self._current_run = run
            if self._is_stopping:
                run.cancel()
        start_thread(f"run-{self.name}", lambda: self._execute(run))

    def _cancel_run(self, reason: str) -> None:
        log.warning("task run cancelled", task=self.name, reason=reason)
        if self._current_run is not None:
            self._current_run.cancel()

    def _release_lease(self) -> None:
        if self._lease is not None:
            self._lease.release()
            self._lease = None

    def _execute(self, run: _LeasedRun) -> None:
        """Execute the task once; runs on the thread of the run."""
        fields = {"task": self.name, "token": run.token, "run": run.number}
        try:
            summary = self._task.execute(run)
        except Exception as error:  # noqa: BLE001 - any exception fails the run; retried after a backoff
            succeeded = False
            log.error("task run failed", **fields, error=f"{type(error).__name__}: {error}")
        else:
            succeeded = True
            log.info("task run completed", **fields, summary=summary)
        with self._condition:
            self._ended_runs.append(_EndedRun(run.number, succeeded))
            self._condition.notify_all()
