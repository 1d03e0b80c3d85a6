"""The state directory. It holds applied versions and the overrides that operators set on the command line.

A file ``versions/NUMBER-DIGEST.json`` has a checksum on its first line and a version in JSON after it. The
files ``accept``, ``pinned`` and ``drains`` hold one override each.
"""

from __future__ import annotations

import contextlib
import pathlib
import re
from dataclasses import dataclass
from typing import Literal, NamedTuple, TypeAlias

import msgspec
import structlog
import xxhash

from saffronstack.config.schema import Worker
from saffronstack.discovery.files.atomic_write import write_atomically
from saffronstack.discovery.files.parsing import WorkerListVersion

MAX_VERSIONS = 20
MAX_OVERRIDE_CHARACTERS = 1 << 20
OverrideName: TypeAlias = Literal["accept", "pinned", "drains"]  # names of the files on disk
_VERSION_FILE_NAME = re.compile(r"(\d{8})-([0-9a-f]{32})\.json")
log = structlog.get_logger("saffronstack.discovery")


class _StoredContent(msgspec.Struct, frozen=True):
    """The stored form of a version. Its field names are keys on disk."""

    generation: int
    digest: str
    applied_at: float  # Unix seconds
    workers: tuple[Worker, ...]

    def version(self) -> WorkerListVersion:
        """Return the version without the time of its application."""
        return WorkerListVersion(self.generation, self.digest, self.workers)


class StoredVersion(NamedTuple):
    """An applied version, its number, and the time of application in Unix seconds. Numbers increase."""

    number: int
    applied_at: float
    version: WorkerListVersion


@dataclass(frozen=True, slots=True, order=True)
class _VersionFile:
    number: int
    digest: str
    path: pathlib.Path


class StateDirectory:
    """Access to a state directory. Gateways write versions; the command line writes overrides."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Open a state directory, and create it if it is missing.

        Raises:
            OSError: The directory can't be created.
        """
        self._directory = directory
        self._versions_directory = directory / "versions"
        self._versions_directory.mkdir(parents=True, exist_ok=True)

    # ---- versions

    def store_version(self, version: WorkerListVersion, applied_at: float) -> None:
        """Store a version that was applied at `applied_at`, in Unix seconds. Delete the oldest versions.

        A write error is logged only, because the version stays in force without a stored copy.
        """
        body = msgspec.json.encode(
            _StoredContent(version.generation, version.digest, applied_at, version.workers)
        )
        files = self._list_version_files()
        number = files[-1].number + 1 if files else 1
        path = self._versions_directory / f"{number:08d}-{version.digest}.json"
        try:
            write_atomically(path, xxhash.xxh3_128_hexdigest(body).encode() + b"\n" + body)
            for file in self._list_version_files()[:-MAX_VERSIONS]:
                file.path.unlink()
        except OSError as error:
            log.error("worker list version not stored", error=str(error))

    def last_good_version(self) -> WorkerListVersion | None:
        """Return the last known good version, which is the latest stored one that is readable."""
        for file in reversed(self._list_version_files()):
            content = _read_content(file.path)
            if content is not None and content.digest == file.digest:
                return content.version()
        return None

    def stored_versions(self) -> list[StoredVersion]:
        """Return all readable stored versions, the oldest first."""
        stored = []
        for file in self._list_version_files():
            content = _read_content(file.path)
            if content is not None:
                stored.append(StoredVersion(file.number, content.applied_at, content.version()))
        return stored

    def _list_version_files(self) -> list[_VersionFile]:
        matches = (
            (_VERSION_FILE_NAME.fullmatch(path.name), path) for path in self._versions_directory.iterdir()
        )
        return sorted(_VersionFile(int(match[1]), match[2], path) for match, path in matches if match)

    # ---- overrides by operators

    def approved_digest(self) -> str:
        """Return the digest of the version that an operator approved; empty if there is none."""
        return self._read_override("accept")

    def pinned_digest(self) -> str:
        """Return the digest of the stored version that replaces the file; empty if none is pinned."""
        return self._read_override("pinned")

    def drained_workers(self) -> frozenset[str]:
        """Return the names of workers that operators drain."""
        return frozenset(self._read_override("drains").split())

    def set_override(self, name: OverrideName, text: str) -> None:
        """Set an override of an operator. An empty text removes it.

        Raises:
            OSError: The override can't be written.
        """
        if text:
            write_atomically(self._directory / name, text.encode())
        else:
            with contextlib.suppress(FileNotFoundError):  # no override was set
                (self._directory / name).unlink()

    def _read_override(self, name: OverrideName) -> str:
        try:
            return (self._directory / name).read_text()[:MAX_OVERRIDE_CHARACTERS].strip()
        except (OSError, UnicodeDecodeError):  # no override is set, or the file is not valid text
            return ""


def _read_content(path: pathlib.Path) -> _StoredContent | None:
    """Return the content of a version file; None if the file is damaged or has just been deleted."""
    try:
        checksum, _, body = path.read_bytes().partition(b"\n")
        if xxhash.xxh3_128_hexdigest(body).encode() != checksum:
            return None
        return msgspec.json.decode(body, type=_StoredContent)
    except (OSError, msgspec.MsgspecError):
        return None
