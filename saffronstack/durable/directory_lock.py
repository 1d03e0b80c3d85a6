"""Exclusive ownership of a directory by one process."""

from __future__ import annotations

import fcntl
import os
import pathlib

from saffronstack.durable.errors import JournalError

LOCK_NAME = "LOCK"


class DirectoryLock:
    """An advisory lock on a file in the directory; the kernel releases it when the process ends."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Create the directory if it is missing, and lock it.

        Raises:
            JournalError: The directory cannot be created or opened, or another process holds its lock.
        """
        try:
            directory.mkdir(parents=True, exist_ok=True)
            self._descriptor = os.open(directory / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise JournalError(f"{directory}: {error.strerror}") from error
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._descriptor)
            raise JournalError(f"{directory}: another process holds this directory") from error

    def release(self) -> None:
        """Release the lock; call this only once."""
        os.close(self._descriptor)
