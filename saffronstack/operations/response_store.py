"""A store of response bodies that are too large for memory, with one file for each body."""

from __future__ import annotations

import contextlib
import pathlib
import threading
from collections import OrderedDict

import structlog
import xxhash

from saffronstack.durable.file_operations import FileOperations
from saffronstack.operations.errors import ResponseNotStoredError
from saffronstack.operations.operation import OperationRecord, StoredResponse

DIRECTORY_NAME = "answers"
PARTIAL_SUFFIX = ".tmp"  # suffix of a file that is being written
log = structlog.get_logger("saffronstack.operations")


class ResponseStore:
    """Stores bodies in files of at most ``limit_bytes`` in total; deletes the oldest first. Thread-safe.

    The files are not synced to disk. The digest of a body shows whether a power failure truncated its file.
    """

    def __init__(self, directory: str, limit_bytes: int, files: FileOperations | None = None) -> None:
        """Open the store in a subdirectory of ``directory`` and delete partially written files.

        Raises:
            OSError: The directory can't be used.
        """
        self._directory = pathlib.Path(directory) / DIRECTORY_NAME
        self._directory.mkdir(parents=True, exist_ok=True)
        self._limit_bytes = limit_bytes
        self._files = files or FileOperations()
        self._lock = threading.Lock()  # guards `_sizes`
        self._sizes: OrderedDict[str, int] = OrderedDict()  # bytes by file name, oldest first
        for path in sorted(self._directory.iterdir(), key=lambda path: path.stat().st_mtime):
            if path.suffix == PARTIAL_SUFFIX:
                path.unlink(missing_ok=True)
            else:
                self._sizes[path.name] = path.stat().st_size

    def save(self, name: str, body: bytes) -> bool:
        """Write a body to a file; return False if the body is too large or the write fails."""
        if len(body) > self._limit_bytes:
            return False
        try:
            self._write(name, body)
        except OSError as error:
            log.error("response not stored", error=str(error))
            return False
        with self._lock:
            self._sizes.pop(name, None)
            self._sizes[name] = len(body)
            while sum(self._sizes.values()) > self._limit_bytes:
                self._delete(next(iter(self._sizes)))
        return True

    def load(self, name: str, digest: str) -> bytes | None:
        """Return a body; None if its file was deleted, can't be read or does not match the digest."""
        try:
            body = (self._directory / name).read_bytes()
        except OSError:  # it was deleted to keep the limit, or can't be read: treat both as not stored
            return None
        return body if body_digest(body) == digest else None

    @property
    def stored_bytes(self) -> int:
        """The total size of all files in bytes."""
        with self._lock:
            return sum(self._sizes.values())

    def _write(self, name: str, body: bytes) -> None:
        path = self._directory / name
        partial = path.with_suffix(PARTIAL_SUFFIX)
        try:
            partial.unlink(missing_ok=True)
            descriptor = self._files.open(partial)
            try:
                self._files.write(descriptor, body)
            finally:
                self._files.close(descriptor)
            partial.rename(path)
        except OSError:
            with contextlib.suppress(OSError):  # the next start deletes it
                partial.unlink(missing_ok=True)
            raise

    def _delete(self, name: str) -> None:
        self._sizes.pop(name, None)
        with contextlib.suppress(OSError):  # it is already gone, or the next start counts it again
            (self._directory / name).unlink()


def body_digest(body: bytes) -> str:
    """Return the digest by which a damaged body is detected."""
    return xxhash.xxh3_128_hexdigest(body)


def move_large_body(
    store: ResponseStore | None, response: StoredResponse, name: str, max_inline_bytes: int
) -> StoredResponse:
    """Return the response, with its body moved to the store if it is larger than ``max_inline_bytes``.

    If the body can't be stored, the result contains only its digest and length.
    """
    body = response.body
    if len(body) <= max_inline_bytes:
        return response
    is_stored = store is not None and store.save(name, body)
    file_name = name if is_stored else ""
    return StoredResponse(response.status, response.headers, b"", file_name, body_digest(body), len(body))


def load_response(store: ResponseStore | None, record: OperationRecord) -> StoredResponse | None:
    """Return the response of a record with its body; None if the record has no response.

    Raises:
        ResponseNotStoredError: The body was not stored, was deleted or is damaged.
    """
    response = record.response
    if response is None or not response.body_digest:
        return response
    body = None
    if store is not None and response.file_name:
        body = store.load(response.file_name, response.body_digest)
    if body is None:
        raise ResponseNotStoredError(record.request_id, response)
    return StoredResponse(response.status, response.headers, body)
