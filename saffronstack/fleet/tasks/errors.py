"""Errors of the fleet's tasks, for writes of a lease holder that a later holder has superseded."""

from __future__ import annotations

import errno
import pathlib


class TaskError(Exception):
    """Base class of all errors that this package raises."""


class StaleResultError(TaskError):
    """A result was not published because a newer one is already published."""

    def __init__(self, newest: pathlib.Path, newest_token: int, token: int) -> None:
        """Describe the conflict.

        Args:
            newest: File of the newest published result.
            newest_token: Fencing token that it was published under.
            token: Fencing token of the rejected result.
        """
        super().__init__(f"token {token} is stale: {newest} was already published under token {newest_token}")
        self.newest_token, self.token = newest_token, token


class StaleOwnerError(TaskError, PermissionError):
    """The caller can't become the owner of a ledger because a later owner exists."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Describe the conflict over the ledger in ``directory``."""
        super().__init__(errno.ESTALE, f"{directory}: a later lease holder already owns the ledger")


class OwnershipLostError(TaskError, OSError):
    """A write is void because a later owner has taken over the ledger."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Describe the conflict over the ledger in ``directory``."""
        super().__init__(errno.ESTALE, f"{directory}: taken over by a later lease holder")
