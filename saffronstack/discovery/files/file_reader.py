"""A file, or a directory with its manifest, read as one version or not at all; bounded, and never through a
pipe."""

from __future__ import annotations

import errno
import os
import pathlib
import stat
from dataclasses import dataclass

import xxhash

from saffronstack.discovery.files.parsing import RosterError, manifest

BYTES_MOST = 32 * 1024 * 1024  # of a version; 10,000 workers take about 1.5 MB
FILES_MOST = 256
MANIFEST = "manifest.json5"


class NotReadyError(Exception):
    """It changes while it is read, or its parts do not fit together yet: worth another look soon."""


@dataclass(frozen=True, slots=True)
class Text:
    """A version's files as they were read; ``digest`` tells it from any other."""

    parts: tuple[tuple[str, str], ...]  # name, text
    digest: str
    generation: int = 0


def read(path: pathlib.Path, bytes_most: int = BYTES_MOST) -> Text:
    """What stands at a path now. NotReadyError, or RosterError where another look would find the same."""
    try:
        if path.is_dir():
            return _directory(path, bytes_most)
        data = _bytes(path, bytes_most)
        return Text(((path.name, _text(path, data)),), xxhash.xxh3_128_hexdigest(data))
    except FileNotFoundError as error:
        raise NotReadyError(f"{error.filename}: not there") from error
    except OSError as error:
        if error.errno in (errno.ENOTDIR, errno.EISDIR, errno.ESTALE):
            raise NotReadyError(f"{error.filename}: {error.strerror}") from error
        raise RosterError(f"{error.filename or path}: can't be read: {error.strerror}") from error


def _directory(path: pathlib.Path, bytes_most: int) -> Text:
    """A manifest, the files it names, and the same manifest still."""
    real = pathlib.Path(os.path.realpath(path))  # a symlink may be swapped under it: one version is read
    first = _bytes(real / MANIFEST, bytes_most)
    found = manifest(_text(real / MANIFEST, first), MANIFEST)
    if len(found.files) > FILES_MOST:
        raise RosterError(f"{MANIFEST}: {len(found.files)} files, {FILES_MOST} at most")
    parts = []
    left = bytes_most
    for name, wanted in sorted(found.files.items()):
        data = _bytes(real / name, left)
        left -= len(data)
        if xxhash.xxh3_128_hexdigest(data) != wanted:
            raise NotReadyError(f"{name}: not the file of the manifest's generation {found.generation}")
        parts.append((name, _text(real / name, data)))
    if _bytes(real / MANIFEST, bytes_most) != first:
        raise NotReadyError(f"{MANIFEST}: changed while the files were read")
    return Text(tuple(parts), xxhash.xxh3_128_hexdigest(first), found.generation)


def _bytes(path: pathlib.Path, most: int) -> bytes:
    """A regular file's bytes, whole: neither its size nor its time changed meanwhile."""
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        before = os.fstat(descriptor)
        if not stat.S_ISREG(before.st_mode):
            raise RosterError(f"{path.name}: no regular file")
        if before.st_size > most:
            raise RosterError(f"{path.name}: {before.st_size} bytes, {most} at most")
        parts = []
        left = most + 1
        while left > 0 and (data := os.read(descriptor, min(left, 1 << 20))):
            parts.append(data)
            left -= len(data)
        after = os.fstat(descriptor)
    finally:
        os.close(descriptor)
    whole = b"".join(parts)
    if (before.st_size, before.st_mtime_ns) != (after.st_size, after.st_mtime_ns) or len(
        whole
    ) != after.st_size:
        raise NotReadyError(f"{path.name}: changed while it was read")
    return whole


def _text(path: pathlib.Path, data: bytes) -> str:
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise RosterError(f"{path.name}: byte {error.start}: not UTF-8") from error
