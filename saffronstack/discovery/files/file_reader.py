"""Reads a worker file, or a directory with its manifest, as one version or not at all.

What is read is bounded, and never comes through a pipe or a device.
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
# Errors of a path that is being replaced: another attempt may succeed.
_TRANSIENT_ERRORS = (errno.ENOTDIR, errno.EISDIR, errno.ESTALE)


class FileNotReadyError(DiscoveryError):
    """A file is missing or changes while it is read, or files do not fit together yet: worth a retry soon."""


@dataclass(frozen=True, slots=True)
class VersionFiles:
    """The files of a version as they were read.

    Attributes:
        files: The files.
        digest: xxh3-128 of the file or the manifest, in hexadecimal.
        generation: That of the manifest; 0 without one.
    """

    files: tuple[SourceFile, ...]
    digest: str
    generation: int = 0


def read_version(path: pathlib.Path, max_bytes: int = MAX_VERSION_BYTES) -> VersionFiles:
    """Read what stands at a path now.

    Raises:
        FileNotReadyError: Another attempt may succeed.
        InvalidWorkerFileError: Another attempt would find the same.
    """
    try:
        if path.is_dir():
            return _read_directory(path, max_bytes)
        data = _read_bytes(path, max_bytes)
        return VersionFiles((_decode(path, data),), xxhash.xxh3_128_hexdigest(data))
    except FileNotFoundError as error:
        raise FileNotReadyError(f"{error.filename}: not there") from error
    except OSError as error:
        if error.errno in _TRANSIENT_ERRORS:
            raise FileNotReadyError(f"{error.filename}: {error.strerror}") from error
        name = error.filename or path
        raise InvalidWorkerFileError(f"{name}: can't be read: {error.strerror}") from error


def _read_directory(path: pathlib.Path, max_bytes: int) -> VersionFiles:
    """Read a manifest, the files that it names, and the manifest again, which must not have changed."""
    directory = pathlib.Path(os.path.realpath(path))  # a symbolic link may be replaced meanwhile
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
                f"{name}: not the file of the manifest's generation {manifest.generation}"
            )
        files.append(_decode(directory / name, data))
    if _read_bytes(directory / MANIFEST_FILE_NAME, max_bytes) != manifest_data:
        raise FileNotReadyError(f"{MANIFEST_FILE_NAME}: changed while the files were read")
    return VersionFiles(tuple(files), xxhash.xxh3_128_hexdigest(manifest_data), manifest.generation)


def _read_bytes(path: pathlib.Path, max_bytes: int) -> bytes:
    """Read a regular file completely; neither its size nor its modification time may change meanwhile."""
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        before = os.fstat(descriptor)
        if not stat.S_ISREG(before.st_mode):
            raise InvalidWorkerFileError(f"{path.name}: no regular file")
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
