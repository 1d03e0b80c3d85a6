"""Answers too large for memory, a file each, within a bound; the oldest goes first."""

from __future__ import annotations

import contextlib
import pathlib
import threading
from collections import OrderedDict

import structlog
import xxhash

from saffronstack.durable.segments import Files

log = structlog.get_logger("saffronstack.operations")


class Spool:
    """Used from any thread. Files are not synced: one that a power loss cut is told by its digest."""

    def __init__(self, directory: str, most_bytes: int, files: Files | None = None) -> None:
        """OSError where the directory can't be had."""
        self._directory = pathlib.Path(directory) / "answers"
        self._directory.mkdir(parents=True, exist_ok=True)
        self._most = most_bytes
        self._files = files or Files()
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._lock = threading.Lock()
        for path in sorted(self._directory.iterdir(), key=lambda path: path.stat().st_mtime):
            if path.suffix == ".tmp":
                path.unlink(missing_ok=True)
            else:
                self._sizes[path.name] = path.stat().st_size

    def put(self, name: str, body: bytes) -> bool:
        """Keep a body; False where the disk does not take it."""
        if len(body) > self._most:
            return False
        path = self._directory / name
        partial = path.with_suffix(".tmp")
        try:
            partial.unlink(missing_ok=True)
            descriptor = self._files.open(partial)
            try:
                self._files.write(descriptor, body)
            finally:
                self._files.close(descriptor)
            partial.rename(path)
        except OSError as error:
            log.error("answer not spooled", error=str(error))
            with contextlib.suppress(OSError):
                partial.unlink(missing_ok=True)
            return False
        with self._lock:
            self._sizes.pop(name, None)
            self._sizes[name] = len(body)
            while sum(self._sizes.values()) > self._most:
                self._unlink(next(iter(self._sizes)))
        return True

    def get(self, name: str, digest: str) -> bytes | None:
        """The body, None where it is gone or not what it was."""
        try:
            body = (self._directory / name).read_bytes()
        except OSError:
            return None
        return body if digest_of(body) == digest else None

    def drop(self, name: str) -> None:
        """It is not wanted any more."""
        with self._lock:
            self._unlink(name)

    @property
    def bytes(self) -> int:
        """What the files hold."""
        with self._lock:
            return sum(self._sizes.values())

    def _unlink(self, name: str) -> None:
        self._sizes.pop(name, None)
        with contextlib.suppress(OSError):
            (self._directory / name).unlink()


def digest_of(body: bytes) -> str:
    """What tells a body from another one."""
    return xxhash.xxh3_128_hexdigest(body)
