"""Why a deferred call is not accepted; all errors carry when the client should retry, in seconds."""

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
        may_be_stored: The write was under way and may still reach the disk. If this process is killed before
            it has withdrawn the call, the call is executed after all.
    """

    def __init__(
        self, text: str, retry_after_s: float = FAILED_COMMIT_RETRY_AFTER_S, may_be_stored: bool = False
    ) -> None:
        """Store the text for the client, when it should retry, and whether the call may be stored."""
        super().__init__(text, retry_after_s)
        self.may_be_stored = may_be_stored
