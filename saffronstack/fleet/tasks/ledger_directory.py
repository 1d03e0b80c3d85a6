"""A gateway's ledger directory on a shared file system, with ownership by fencing token.

Each owner (a holder of the gateway's lease) writes to its own subdirectory. A new owner first durably creates
a *fence* file with its token, and then copies the segments of the previous owner. After each sync, an owner
checks for a fence with a greater token before it acknowledges the write. The copy therefore contains every
acknowledged write, and no process reads what a superseded owner writes later. This requires that a file
created on one machine is immediately visible on the others.

A gateway that finishes the calls of a dead one also stores its usage log and its operation log in its
subdirectory. Workers drop usage that this log acknowledged, and no later owner copies it. Only the files that
a later owner copied may therefore be removed.

Processes of other versions read the names in the directory, so they must not change: ``fence-TOKEN``,
``place-TOKEN`` (the subdirectory of the owner) and ``left-TOKEN`` (clean shutdown).
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import re
import shutil

from saffronstack.durable.file_operations import FileOperations
from saffronstack.fleet.tasks.errors import OwnershipLostError, StaleOwnerError

FENCE_NAME = re.compile(r"fence-(\d{20})")
SEGMENT_GLOB = "*.seg"
USAGE_DIRECTORY = "usage"
OPERATIONS_DIRECTORY = "operations"
WORKER_LISTS_DIRECTORY = "roster"
DURABLE_STATE_DIRECTORIES = (USAGE_DIRECTORY, OPERATIONS_DIRECTORY)  # acknowledged, and in no other place
USAGE_LOGS_GLOB = f"*/place-*/{USAGE_DIRECTORY}"  # relative to the parent of all ledger directories


class LedgerDirectory:
    """The ledger directory of one gateway."""

    def __init__(self, directory: str) -> None:
        """Use ``directory``; the first owner creates it."""
        self.directory = pathlib.Path(directory)

    def take_ownership(self, token: int) -> pathlib.Path:
        """Fence off all earlier owners and copy the segments of the last one.

        Args:
            token: Fencing token of the lease that the caller holds.

        Returns:
            The subdirectory that the caller may write to.

        Raises:
            StaleOwnerError: A later owner already exists.
            OSError: The fence or the copy can't be written.
        """
        self.directory.mkdir(parents=True, exist_ok=True)
        if self.has_later_owner(token):
            raise StaleOwnerError(self.directory)
        target = self._owner_path(token)
        self._create_fence(token)
        if target.is_dir():
            return target
        # Until the fence exists, an earlier owner may still create its subdirectory and acknowledge writes.
        _copy_segments(self._source_before(token), target)
        self._sync_names()
        return target

    def mark_clean_shutdown(self, token: int) -> None:
        """Record that the owner stopped with no call in flight, so that no process takes over."""
        self._clean_shutdown_path(token).touch()
        self._sync_names()

    def has_later_owner(self, token: int) -> bool:
        """Return whether an owner with a greater token exists."""
        return any(other > token for other in self._owner_tokens())

    def is_orphaned(self) -> bool:
        """Return whether the last owner has not shut down cleanly: it is still running or has died."""
        last = max(self._owner_tokens(), default=None)
        return last is not None and not self._clean_shutdown_path(last).exists()

    def current_path(self) -> pathlib.Path | None:
        """Return the subdirectory of the last owner that has one; None if there is none."""
        return self._newest_path(self._owner_tokens())

    def remove_superseded(self) -> int:
        """Remove what later owners copied: the ledgers of all owners before the last one that has one.

        Their fence files are kept, and so are their usage logs and operation logs.

        Returns:
            The number of superseded owners.
        """
        tokens = sorted(self._owner_tokens())
        last = next((token for token in reversed(tokens) if self._owner_path(token).is_dir()), None)
        superseded = [token for token in tokens if last is not None and token < last]
        for token in superseded:
            _remove_copied_files(self._owner_path(token))
            self._clean_shutdown_path(token).unlink(missing_ok=True)
        return len(superseded)

    def _owner_path(self, token: int) -> pathlib.Path:
        return self.directory / f"place-{token:020d}"

    def _clean_shutdown_path(self, token: int) -> pathlib.Path:
        return self.directory / f"left-{token:020d}"

    def _source_before(self, token: int) -> pathlib.Path | None:
        """Return the directory with the newest segments of the owners before ``token``.

        An owner that died between fence and copy has no subdirectory and is skipped. If no earlier owner has
        one, the directory itself may contain the segments of a gateway that ran without a fleet.
        """
        newest = self._newest_path([other for other in self._owner_tokens() if other < token])
        if newest is not None:
            return newest
        return self.directory if any(self.directory.glob(SEGMENT_GLOB)) else None

    def _newest_path(self, tokens: list[int]) -> pathlib.Path | None:
        paths = (self._owner_path(token) for token in sorted(tokens, reverse=True))
        return next((path for path in paths if path.is_dir()), None)

    def _owner_tokens(self) -> list[int]:
        matches = [FENCE_NAME.fullmatch(entry.name) for entry in os.scandir(self.directory)]
        return [int(match[1]) for match in matches if match]

    def _create_fence(self, token: int) -> None:
        fence = self.directory / f"fence-{token:020d}"
        os.close(os.open(fence, os.O_WRONLY | os.O_CREAT, 0o600))
        self._sync_names()

    def _sync_names(self) -> None:
        FileOperations().sync_directory(self.directory)


def _copy_segments(source: pathlib.Path | None, target: pathlib.Path) -> None:
    """Atomically create ``target`` with durable copies of the segments in ``source``."""
    partial = target.with_suffix(".new")
    shutil.rmtree(partial, ignore_errors=True)
    partial.mkdir()
    if source is not None:
        for path in sorted(source.glob(SEGMENT_GLOB)):
            with open(shutil.copy2(path, partial / path.name), "rb") as copied:
                os.fsync(copied.fileno())
    os.replace(partial, target)


def _remove_copied_files(owner_directory: pathlib.Path) -> None:
    """Remove an owner's subdirectory, except for state that nothing else holds."""
    if not owner_directory.is_dir():
        return
    for path in owner_directory.iterdir():
        if path.name in DURABLE_STATE_DIRECTORIES and any(path.rglob(SEGMENT_GLOB)):
            continue
        if path.is_dir():
            shutil.rmtree(path, ignore_errors=True)
        else:
            path.unlink(missing_ok=True)
    with contextlib.suppress(OSError):  # it holds a log that stays
        owner_directory.rmdir()


class FencedFiles(FileOperations):
    """File operations of one owner. A sync fails if a later owner exists."""

    def __init__(self, ledger: LedgerDirectory, token: int) -> None:
        """Create the file operations of the owner with ``token``."""
        self._ledger = ledger
        self._token = token

    def sync(self, descriptor: int) -> None:
        """Sync the file to disk, then check that no later owner exists.

        Raises:
            OwnershipLostError: A later owner exists; its copy may not contain the synced data.
            OSError: The sync failed.
        """
        super().sync(descriptor)
        if self._ledger.has_later_owner(self._token):
            raise OwnershipLostError(self._ledger.directory)
