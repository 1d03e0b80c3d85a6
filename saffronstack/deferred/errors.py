"""Errors of calls that are not accepted. Each carries after how many seconds the client should retry."""

from __future__ import annotations

FAILED_COMMIT_RETRY_AFTER_S = 5.0


class NotAcceptedError(Exception):
    """A call was not accepted."""

    def __init__(self, text: str, retry_after_s: float) -> None:
        """Store the text for the client, and after how many seconds it should retry."""
        super().__init__(text)
        self.retry_after_s = retry_after_s


class LedgerFullError(NotAcceptedError):
    """Too many calls are open, or the gateway shuts down."""


class CommitError(NotAcceptedError):
    """The call could not be written to the ledger.

    Attributes:
        may_be_stored: The write had started and may still reach the disk. If this process is killed before
            the withdrawal of the call is durable, the next incarnation executes the call.
    """

    def __init__(
        self, text: str, retry_after_s: float = FAILED_COMMIT_RETRY_AFTER_S, may_be_stored: bool = False
    ) -> None:
        """Store the text for the client, when it should retry, and whether the call may be stored."""
        super().__init__(text, retry_after_s)
        self.may_be_stored = may_be_stored
