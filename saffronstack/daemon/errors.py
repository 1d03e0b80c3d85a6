"""Errors of starting the processes of a gateway, and of requests between them."""

from __future__ import annotations


class ProcessError(Exception):
    """Base class of all errors that this package raises."""


class StartupError(ProcessError):
    """A process did not start to accept requests; its standard error has the reason."""

    def __init__(self, index: int) -> None:
        """Report the process with this ``index`` in the gateway."""
        super().__init__(f"process {index} did not start to accept requests")
        self.index = index


class NotSentError(ProcessError):
    """No byte of a request was sent to the other process, so the request had no effect."""


class NoResponseError(ProcessError):
    """A request was sent, at least in part, but got no complete response: it may have had an effect."""
