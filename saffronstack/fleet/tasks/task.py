"""What a scheduled task and one run of it look like to each other."""

from __future__ import annotations

from typing import Protocol


class TaskRun(Protocol):
    """One run of a task, as the task sees it."""

    @property
    def token(self) -> int:
        """Return the fencing token of the lease that the run holds."""
        ...

    @property
    def number(self) -> int:
        """Return the number of the run, counted by the process that runs it."""
        ...

    def may_continue(self) -> bool:
        """Return whether the lease is still held and the run has not been cancelled."""
        ...

    def wait(self, seconds: float) -> None:
        """Wait for ``seconds``, or until the run is cancelled."""
        ...


class Task(Protocol):
    """Work that is due once in each period, somewhere in the fleet.

    Runs must be idempotent: a new lease holder starts one at once, and a holder that was paused may finish
    a run beside the next holder's.
    """

    def execute(self, run: TaskRun) -> str:
        """Do the work once, and return a summary for the log.

        Any exception marks the run as failed; it is retried after a backoff.
        """
        ...
