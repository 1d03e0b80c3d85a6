"""What a roster keeps beside the file it watches: the last good version, former ones, and what operators
said."""

from __future__ import annotations

import contextlib
import os
import pathlib
import re

import msgspec
import structlog
import xxhash

from saffronstack.config.schema import Worker
from saffronstack.discovery.files.parsing import Version

VERSIONS_KEPT = 20
_NAME = re.compile(r"(\d{8})-([0-9a-f]{32})\.json")
log = structlog.get_logger("saffronstack.roster")


class _Copy(msgspec.Struct, frozen=True):
    generation: int
    digest: str
    applied_at: float  # Unix seconds
    workers: tuple[Worker, ...]


def write_whole(path: pathlib.Path, data: bytes) -> None:
    """A file that is there with these bytes, or as it was. OSError."""
    partial = path.with_name(f".{path.name}.{os.getpid()}.tmp")
    descriptor = os.open(partial, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(partial, path)
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


class Kept:
    """The state directory. The gateway writes versions, the command line what operators say."""

    def __init__(self, directory: pathlib.Path) -> None:
        """OSError where the directory can't be had."""
        self._directory = directory
        self._versions = directory / "versions"
        self._versions.mkdir(parents=True, exist_ok=True)

    # ---- versions

    def keep(self, version: Version, now: float) -> None:
        """A version was applied. What can't be written is said, and the list is in force all the same."""
        copy = _Copy(version.generation, version.digest, now, version.workers)
        body = msgspec.json.encode(copy)
        numbers = [number for number, _, _ in self._found()]
        name = f"{(numbers[-1] if numbers else 0) + 1:08d}-{version.digest}.json"
        try:
            write_whole(self._versions / name, xxhash.xxh3_128_hexdigest(body).encode() + b"\n" + body)
            for _, _, path in self._found()[:-VERSIONS_KEPT]:
                path.unlink()
        except OSError as error:
            log.error("roster's version not kept", error=str(error))

    def last(self) -> Version | None:
        """The version applied last that can still be read."""
        for _, digest, path in reversed(self._found()):
            copy = _read(path)
            if copy is not None and copy.digest == digest:
                return Version(copy.generation, copy.digest, copy.workers)
        return None

    def history(self) -> list[tuple[int, float, Version]]:
        """Number, when applied (Unix seconds) and version of each that is kept, oldest first."""
        found = []
        for number, _, path in self._found():
            copy = _read(path)
            if copy is not None:
                version = Version(copy.generation, copy.digest, copy.workers)
                found.append((number, copy.applied_at, version))
        return found

    def _found(self) -> list[tuple[int, str, pathlib.Path]]:
        matches = ((_NAME.fullmatch(path.name), path) for path in self._versions.iterdir())
        return sorted((int(match[1]), match[2], path) for match, path in matches if match)

    # ---- what operators say

    def accepted(self) -> str:
        """The digest of a held version that an operator accepts."""
        return self._say("accept")

    def pinned(self) -> str:
        """The digest of a former version to be used in place of the file's."""
        return self._say("pinned")

    def drains(self) -> frozenset[str]:
        """Workers that operators drain."""
        return frozenset(self._say("drains").split())

    def tell(self, what: str, text: str) -> None:
        """Say something as an operator: ``accept``, ``pinned`` or ``drains``; nothing takes it back.
        OSError."""
        if text:
            write_whole(self._directory / what, text.encode())
        else:
            with contextlib.suppress(FileNotFoundError):
                (self._directory / what).unlink()

    def _say(self, what: str) -> str:
        try:
            return (self._directory / what).read_text()[: 1 << 20].strip()
        except (OSError, UnicodeDecodeError):
            return ""


def _read(path: pathlib.Path) -> _Copy | None:
    """A kept version, None where it is not what was written."""
    try:
        head, _, body = path.read_bytes().partition(b"\n")
        if xxhash.xxh3_128_hexdigest(body).encode() != head:
            return None
        return msgspec.json.decode(body, type=_Copy)
    except (OSError, msgspec.MsgspecError):
        return None
