"""File operations that report their durations to a `DiskHealth`, for one writer thread."""

from __future__ import annotations

import contextlib
import pathlib
from collections.abc import Callable, Iterator

import structlog

from saffronstack.durable.disk_health import DiskHealth
from saffronstack.durable.file_operations import FileOperations

log = structlog.get_logger("saffronstack.journal")


class TimedFileOperations(FileOperations):
    """Forwards each operation to the wrapped file operations, and times it."""

    def __init__(self, files: FileOperations, health: DiskHealth, clock: Callable[[], float]) -> None:
        """Wrap ``files``; ``clock`` returns monotonic seconds."""
        self._files = files
        self._health = health
        self._clock = clock

    @contextlib.contextmanager
    def _timed(self, operation: str) -> Iterator[None]:
        self._health.start_operation(self._clock())
        try:
            yield
        finally:
            now = self._clock()
            stalled_s = self._health.stalled_s(now)
            self._health.end_operation(now)
            if stalled_s:
                log.warning("disk stall ended", operation=operation, elapsed_s=round(stalled_s, 2))

    def open(self, path: pathlib.Path) -> int:
        """Create a file for writing and return its descriptor."""
        with self._timed("open"):
            return self._files.open(path)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data at the current position."""
        with self._timed("write"):
            self._files.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Flush all data written so far to the disk."""
        with self._timed("sync"):
            self._files.sync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a file."""
        with self._timed("close"):
            self._files.close(descriptor)

    def truncate(self, descriptor: int, size_bytes: int) -> None:
        """Truncate a file and set its position to the new end."""
        with self._timed("truncate"):
            self._files.truncate(descriptor, size_bytes)

    def sync_directory(self, directory: pathlib.Path) -> None:
        """Flush the creations, renames and removals in a directory to the disk."""
        with self._timed("sync of a directory"):
            self._files.sync_directory(directory)
