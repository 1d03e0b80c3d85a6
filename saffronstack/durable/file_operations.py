"""File operations on stored data, in one class that tests replace to inject faults."""

from __future__ import annotations

import os
import pathlib


class FileOperations:
    """System calls on files. All methods raise OSError if the system call fails."""

    def open(self, path: pathlib.Path) -> int:
        """Create a file, which must not exist yet, and return a descriptor for writing."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data at the current position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Flush all data written so far to the disk."""
        os.fdatasync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)

    def truncate(self, descriptor: int, size_bytes: int) -> None:
        """Truncate a file and set its position to the new end."""
        os.ftruncate(descriptor, size_bytes)
        os.lseek(descriptor, size_bytes, os.SEEK_SET)

    def sync_directory(self, directory: pathlib.Path) -> None:
        """Flush the creations, renames and removals in a directory to the disk."""
        descriptor = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
