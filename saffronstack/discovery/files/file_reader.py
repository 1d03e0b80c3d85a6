"""Reads a worker file, or a directory with a manifest, as one consistent version.

The size is limited, and only regular files are read.
"""

from __future__ import annotations

import errno
import os
import pathlib
import stat
from dataclasses import dataclass

import xxhash

from saffronstack.discovery.errors import DiscoveryError
from saffronstack.discovery.files.parsing import InvalidWorkerFileError, SourceFile, parse_manifest

MAX_VERSION_BYTES = 32 * 1024 * 1024  # 10,000 workers take about 1.5 MB
MAX_FILES = 256
MANIFEST_FILE_NAME = "manifest.json5"
_CHUNK_BYTES = 1 << 20
# Errors that occur while a path is being replaced; a retry may succeed.
_TRANSIENT_ERRORS = (errno.ENOTDIR, errno.EISDIR, errno.ESTALE)


class FileNotReadyError(DiscoveryError):
    """A file is missing, changes during the read, or does not match the manifest yet. A retry may succeed."""


@dataclass(frozen=True, slots=True)
class VersionFiles:
    """The files of a version, read but not parsed.

    Attributes:
        files: Names and texts of the files.
        digest: xxh3-128 of the file or the manifest, in hexadecimal.
        generation: Generation of the manifest; 0 without a manifest.
    """

    files: tuple[SourceFile, ...]
    digest: str
    generation: int = 0


def read_version(path: pathlib.Path, max_bytes: int = MAX_VERSION_BYTES) -> VersionFiles:
    """Read the version that is at a path now.

    Raises:
        FileNotReadyError: The read failed, and a retry may succeed.
        InvalidWorkerFileError: The content is invalid, and a retry would fail too.
    """
    try:
        if path.is_dir():
            return _read_directory(path, max_bytes)
        data = _read_bytes(path, max_bytes)
        return VersionFiles((_decode(path, data),), xxhash.xxh3_128_hexdigest(data))
    except FileNotFoundError as error:
        raise FileNotReadyError(f"{error.filename}: no such file") from error
    except OSError as error:
        if error.errno in _TRANSIENT_ERRORS:
            raise FileNotReadyError(f"{error.filename}: {error.strerror}") from error
        name = error.filename or path
        raise InvalidWorkerFileError(f"{name}: can't be read: {error.strerror}") from error


def _read_directory(path: pathlib.Path, max_bytes: int) -> VersionFiles:
    """Read a manifest and the files that it names. Read the manifest again to detect a change meanwhile."""
    directory = pathlib.Path(os.path.realpath(path))  # a symbolic link may be replaced during the read
    manifest_data = _read_bytes(directory / MANIFEST_FILE_NAME, max_bytes)
    manifest = parse_manifest(_decode(directory / MANIFEST_FILE_NAME, manifest_data))
    if len(manifest.files) > MAX_FILES:
        raise InvalidWorkerFileError(
            f"{MANIFEST_FILE_NAME}: {len(manifest.files)} files, {MAX_FILES} at most"
        )
    files = []
    remaining_bytes = max_bytes
    for name, digest in sorted(manifest.files.items()):
        data = _read_bytes(directory / name, remaining_bytes)
        remaining_bytes -= len(data)
        if xxhash.xxh3_128_hexdigest(data) != digest:
            raise FileNotReadyError(
                f"{name}: digest differs from the manifest of generation {manifest.generation}"
            )
        files.append(_decode(directory / name, data))
    if _read_bytes(directory / MANIFEST_FILE_NAME, max_bytes) != manifest_data:
        raise FileNotReadyError(f"{MANIFEST_FILE_NAME}: changed while the files were read")
    return VersionFiles(tuple(files), xxhash.xxh3_128_hexdigest(manifest_data), manifest.generation)


def _read_bytes(path: pathlib.Path, max_bytes: int) -> bytes:
    """Read a regular file completely. Its size and modification time must not change during the read."""
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        before = os.fstat(descriptor)
        if not stat.S_ISREG(before.st_mode):
            raise InvalidWorkerFileError(f"{path.name}: not a regular file")
        if before.st_size > max_bytes:
            raise InvalidWorkerFileError(f"{path.name}: {before.st_size} bytes, {max_bytes} at most")
        data = _read_up_to(descriptor, max_bytes + 1)
        after = os.fstat(descriptor)
    finally:
        os.close(descriptor)
    has_changed = (before.st_size, before.st_mtime_ns) != (after.st_size, after.st_mtime_ns)
    if has_changed or len(data) != after.st_size:
        raise FileNotReadyError(f"{path.name}: changed while it was read")
    return data


def _read_up_to(descriptor: int, max_bytes: int) -> bytes:
    chunks = []
    remaining_bytes = max_bytes
    while remaining_bytes > 0 and (chunk := os.read(descriptor, min(remaining_bytes, _CHUNK_BYTES))):
        chunks.append(chunk)
        remaining_bytes -= len(chunk)
    return b"".join(chunks)


def _decode(path: pathlib.Path, data: bytes) -> SourceFile:
    try:
        return SourceFile(path.name, data.decode("utf-8"))
    except UnicodeDecodeError as error:
        raise InvalidWorkerFileError(f"{path.name}: byte {error.start}: not UTF-8") from error
