"""Errors of the fleet's tasks: writes of a lease holder that a later holder has superseded."""

from __future__ import annotations

import errno
import pathlib


class TaskError(Exception):
    """Base class of all errors that this package raises."""


class StaleResultError(TaskError):
    """A result was not published, since a newer one already is."""

    def __init__(self, newest: pathlib.Path, newest_token: int, token: int) -> None:
        """Describe the conflict.

        Args:
            newest: File of the newest published result.
            newest_token: Fencing token that it was published under.
            token: Fencing token of the rejected result.
        """
        super().__init__(f"{newest} was published under token {newest_token}, after {token}")
        self.newest_token, self.token = newest_token, token


class StaleOwnerError(TaskError, PermissionError):
    """The caller may not become the owner of a ledger, since a later owner already did."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Describe the conflict over the ledger in ``directory``."""
        super().__init__(errno.ESTALE, f"{directory}: a later holder has entered already")


class OwnershipLostError(TaskError, OSError):
    """A write does not count, since a later owner has taken over the ledger."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Describe the conflict over the ledger in ``directory``."""
        super().__init__(errno.ESTALE, f"{directory}: taken over by a later holder")
