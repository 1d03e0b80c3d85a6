"""Errors between the processes of a gateway."""

from __future__ import annotations


class ProcessError(Exception):
    """Base class of all errors that this package raises."""


class StartupError(ProcessError):
    """A process did not start to accept requests; its standard error says why."""

    def __init__(self, index: int) -> None:
        """Name the process by its ``index`` in the gateway."""
        super().__init__(f"process {index} did not come up")
        self.index = index


class NotSentError(ProcessError):
    """Not one byte of a request reached the other process, so it had no effect there."""


class NoResponseError(ProcessError):
    """A request was sent and no complete response came: it may have had an effect."""
