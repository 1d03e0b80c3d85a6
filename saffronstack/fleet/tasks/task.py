"""The interfaces of a scheduled task and of its runs."""

from __future__ import annotations

from typing import Protocol


class TaskRun(Protocol):
    """One run of a task, as passed to the task."""

    @property
    def token(self) -> int:
        """Return the fencing token of the lease that the run executes under."""
        ...

    @property
    def number(self) -> int:
        """Return the sequence number of the run in its process."""
        ...

    def may_continue(self) -> bool:
        """Return whether the lease is still held and the run has not been cancelled."""
        ...

    def wait(self, seconds: float) -> None:
        """Wait for ``seconds``, or until the run is cancelled."""
        ...


class Task(Protocol):
    """Work that one process of the fleet executes once per period.

    Runs must be idempotent. A new lease holder starts a run immediately, and a holder that was paused may
    finish its run while the next holder executes another.
    """

    def execute(self, run: TaskRun) -> str:
        """Execute the task once and return a summary for the log.

        If it raises any exception, the run has failed and is retried after a backoff.
        """
        ...
