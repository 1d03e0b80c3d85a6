"""Releases on a disk: a directory with a program or settings, a manifest, and a digest over all of it."""

from __future__ import annotations

import os
import pathlib
import sys

import msgspec
import xxhash
from msgspec import Struct

from saffronstack.fleet.rollout.plan import Format, Release

MANIFEST = "release.json"
FILES_MOST = 20_000
CHUNK = 1 << 20


class UnusableError(Exception):
    """A directory is no release, or not the one that was meant; with path and reason."""


class Manifest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """What `release.json` says. ``command``: how a gateway of it is started; `{python}` stands for the
    daemon's interpreter, `{release}` for the directory."""

    version: str
    command: tuple[str, ...] = ("{python}", "-m", "saffronstack.cli.main", "serve")
    formats: tuple[Format, ...] = ()


class Found(Struct, frozen=True):
    """A release as it lies there."""

    path: str
    release: Release
    command: tuple[str, ...]


def digest(directory: pathlib.Path) -> str:
    """XXH3-128 over names, kinds and contents of all files. OSError; UnusableError for too many."""
    state = xxhash.xxh3_128()
    seen = 0
    for folder, folders, files in os.walk(directory):
        folders[:] = sorted(name for name in folders if name != "__pycache__")  # a run writes there
        for name in sorted(files):
            seen += 1
            if seen > FILES_MOST:
                raise UnusableError(f"{directory}: over {FILES_MOST} files are no release")
            path = pathlib.Path(folder, name)
            told = f"{path.relative_to(directory)}\0{path.stat().st_size}\0{os.access(path, os.X_OK)}\0"
            state.update(told.encode())
            with open(path, "rb") as file:
                while part := file.read(CHUNK):
                    state.update(part)
    return state.hexdigest()


def read(directory: str) -> Found:
    """The release in a directory. UnusableError with path and reason."""
    path = pathlib.Path(directory)
    try:
        manifest = msgspec.json.decode((path / MANIFEST).read_bytes(), type=Manifest)
        found = digest(path)
    except (OSError, msgspec.MsgspecError) as error:
        raise UnusableError(f"{path / MANIFEST}: {error}") from error
    if not manifest.command or not manifest.version:
        raise UnusableError(f"{path / MANIFEST}: a release has a version and a command")
    release = Release(version=manifest.version, digest=found, formats=manifest.formats)
    command = tuple(
        word.replace("{python}", sys.executable).replace("{release}", str(path.resolve()))
        for word in manifest.command
    )
    return Found(str(path), release, command)


def find(root: str, wanted: str) -> Found:
    """The release with a digest among the directories of ``root``. UnusableError where there is none: one
    whose files were changed since has another digest, and is another release."""
    for entry in sorted(pathlib.Path(root).iterdir()) if pathlib.Path(root).is_dir() else ():
        if (entry / MANIFEST).is_file():
            found = read(str(entry))
            if found.release.digest == wanted:
                return found
    raise UnusableError(f"{root}: no release has the digest {wanted}")
