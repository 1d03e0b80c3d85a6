"""Replaces files atomically and durably."""

from __future__ import annotations

import os
import pathlib

FILE_MODE = 0o644


def write_atomically(path: pathlib.Path, data: bytes) -> None:
    """Replace a file. After a crash it has either its former bytes or all new bytes, synced to disk.

    Raises:
        OSError: The file could not be replaced.
    """
    partial = path.with_name(f".{path.name}.{os.getpid()}.tmp")
    descriptor = os.open(partial, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(partial, path)
    _sync_directory(path.parent)


def _sync_directory(path: pathlib.Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
