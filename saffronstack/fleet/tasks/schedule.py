"""Decides when a lease holder starts and cancels runs of a task.

The module performs no I/O, reads no clock and starts no thread. All times are seconds of one monotonic clock.

The lease is held between runs, so the same process runs the task repeatedly. A new holder starts a run
immediately, because it does not know when the last run took place.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FIRST_RETRY_DELAY_S = 1.0  # doubles with each consecutive failed run, up to the period
MAX_BACKOFF_DOUBLINGS = 16  # bounds the exponent
CANCEL_TIMEOUT_S = 5.0  # afterwards the lease is released even if the run has not ended


class TaskState(Enum):
    """The state of a task in this process."""

    STANDBY = "standby"  # lease not held
    WAITING = "waiting"  # lease held, next run not due
    RUNNING = "running"
    CANCELLING = "cancelling"


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run."""

    run_number: int
    token: int


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Cancel the run."""

    run_number: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Release the lease. A run may not have ended yet: the fencing token protects against its late writes."""


Action = StartRun | CancelRun | ReleaseLease


class TaskSchedule:
    """State machine of one task in one process. Not thread-safe."""

    def __init__(self, period_s: float, run_timeout_s: float) -> None:
        """Start in standby.

        Args:
            period_s: Time between the end of a successful run and the start of the next.
            run_timeout_s: Time after which a run is cancelled.
        """
        self.period_s = period_s
        self.run_timeout_s = run_timeout_s
        self.state = TaskState.STANDBY
        self._run_number = 0
        self._token = 0
        self._failed_runs = 0  # consecutive
        self._next_run_s = 0.0
        self._deadline_s = 0.0  # deadline of the run, or of its cancellation

    def lease_acquired(self, now_s: float, token: int) -> list[Action]:
        """Handle the grant of the lease, with its fencing token."""
        if self.state is not TaskState.STANDBY:  # a run under an earlier lease has not ended
            return [ReleaseLease()]
        self._token = token
        self.state = TaskState.WAITING
        self._next_run_s = now_s
        return self.tick(now_s)

    def lease_lost(self, now_s: float, reason: str) -> list[Action]:
        """Handle the loss of the lease."""
        self._token = 0
        if self.state is TaskState.RUNNING:
            return self._cancel_run(now_s, reason)
        if self.state is TaskState.WAITING:
            self.state = TaskState.STANDBY
        return []

    def run_ended(self, now_s: float, run_number: int, succeeded: bool) -> list[Action]:
        """Handle the end of a run, cancelled or not; ignore the end of an earlier run."""
        if run_number != self._run_number or self.state not in (TaskState.RUNNING, TaskState.CANCELLING):
            return []
        self._failed_runs = 0 if succeeded else self._failed_runs + 1
        self._next_run_s = now_s + self._next_run_delay_s()
        self.state = TaskState.WAITING if self._token else TaskState.STANDBY
        return []

    def tick(self, now_s: float) -> list[Action]:
        """Handle the passing of time."""
        if self.state is TaskState.WAITING and self._token and now_s >= self._next_run_s:
            return self._start_run(now_s)
        if self.state is TaskState.RUNNING and now_s >= self._deadline_s:
            return self._cancel_run(now_s, f"the run exceeded its timeout of {self.run_timeout_s:g} s")
        if self.state is TaskState.CANCELLING and now_s >= self._deadline_s and self._token:
            self._token = 0  # no run can start until this one has ended
            return [ReleaseLease()]
        return []

    def _next_run_delay_s(self) -> float:
        """Return the time to the next run: the period, or the backoff after failed runs."""
        if not self._failed_runs:
            return self.period_s
        doublings = min(self._failed_runs - 1, MAX_BACKOFF_DOUBLINGS)
        return min(self.period_s, FIRST_RETRY_DELAY_S * 2.0**doublings)

    def _start_run(self, now_s: float) -> list[Action]:
        self._run_number += 1
        self.state = TaskState.RUNNING
        self._deadline_s = now_s + self.run_timeout_s
        return [StartRun(self._run_number, self._token)]

    def _cancel_run(self, now_s: float, reason: str) -> list[Action]:
        self.state = TaskState.CANCELLING
        self._deadline_s = now_s + CANCEL_TIMEOUT_S
        return [CancelRun(self._run_number, reason)]
