"""Releases on disk: a directory with a program or settings and a manifest, identified by its digest."""

from __future__ import annotations

import os
import pathlib
import sys

import msgspec
import xxhash
from msgspec import Struct

from saffronstack.fleet.control.errors import UnusableReleaseError
from saffronstack.fleet.rollout.plan import DataFormat, Release

MANIFEST_NAME = "release.json"
MAX_FILES = 20_000
CHUNK_BYTES = 1 << 20
IGNORED_DIRECTORIES = {"__pycache__"}  # excluded because a running program writes files there


class ReleaseManifest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """Content of the manifest of a release.

    Attributes:
        version: The name of the release for operators.
        command: The command that starts a gateway; `{python}` is replaced by the daemon's interpreter,
            `{release}` by the directory of the release.
        formats: The formats of the stored data that the release reads and writes.
    """

    version: str
    command: tuple[str, ...] = ("{python}", "-m", "saffronstack.cli.main", "serve")
    formats: tuple[DataFormat, ...] = ()


class InstalledRelease(Struct, frozen=True):
    """A release in a directory; the placeholders in ``command`` are replaced."""

    path: str
    release: Release
    command: tuple[str, ...]


def compute_digest(directory: pathlib.Path) -> str:
    """Compute the XXH3-128 digest over the names, sizes, modes and contents of all files.

    Raises:
        OSError: A file can't be read.
        UnusableReleaseError: There are too many files.
    """
    state = xxhash.xxh3_128()
    file_count = 0
    for folder, folders, files in os.walk(directory):
        folders[:] = sorted(name for name in folders if name not in IGNORED_DIRECTORIES)
        for name in sorted(files):
            file_count += 1
            if file_count > MAX_FILES:
                raise UnusableReleaseError(f"{directory}: a release has at most {MAX_FILES} files")
            _add_file(state, directory, pathlib.Path(folder, name))
    return state.hexdigest()


def _add_file(state: xxhash.xxh3_128, directory: pathlib.Path, path: pathlib.Path) -> None:
    is_executable = os.access(path, os.X_OK)
    state.update(f"{path.relative_to(directory)}\0{path.stat().st_size}\0{is_executable}\0".encode())
    with open(path, "rb") as file:
        while chunk := file.read(CHUNK_BYTES):
            state.update(chunk)


def read_release(directory: str) -> InstalledRelease:
    """Return the release in a directory.

    Raises:
        UnusableReleaseError: The directory has no release, or it can't be read.
    """
    path = pathlib.Path(directory)
    try:
        manifest = msgspec.json.decode((path / MANIFEST_NAME).read_bytes(), type=ReleaseManifest)
        digest = compute_digest(path)
    except (OSError, msgspec.MsgspecError) as error:
        raise UnusableReleaseError(f"{path / MANIFEST_NAME}: {error}") from error
    if not manifest.command or not manifest.version:
        raise UnusableReleaseError(f"{path / MANIFEST_NAME}: a release has a version and a command")
    release = Release(version=manifest.version, digest=digest, formats=manifest.formats)
    command = tuple(
        argument.replace("{python}", sys.executable).replace("{release}", str(path.resolve()))
        for argument in manifest.command
    )
    return InstalledRelease(str(path), release, command)


def find_release(root: str, digest: str) -> InstalledRelease:
    """Return the release with a digest from the directories below ``root``.

    Raises:
        UnusableReleaseError: No release has the digest. A release whose files change has another digest.
    """
    for entry in sorted(pathlib.Path(root).iterdir()) if pathlib.Path(root).is_dir() else ():
        if (entry / MANIFEST_NAME).is_file():
            installed = read_release(str(entry))
            if installed.release.digest == digest:
                return installed
    raise UnusableReleaseError(f"{root}: no release has the digest {digest}")
