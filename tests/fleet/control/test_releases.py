"""Tests of the digest and the manifest of releases in directories."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.fleet.control.errors import UnusableReleaseError
from saffronstack.fleet.control.releases import find_release, read_release
from saffronstack.harness.rollout.sample_releases import write_release


@pytest.fixture
def directory(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return the directory of a release."""
    return pathlib.Path(write_release(tmp_path, "1"))


def read_digest(directory: pathlib.Path) -> str:
    return read_release(str(directory)).release.digest


def test_a_release_has_a_version_and_a_command_for_this_interpreter(directory: pathlib.Path) -> None:
    release = read_release(str(directory))
    assert release.command[0] != "{python}"
    assert release.release.version == "1"


def test_a_digest_covers_names_contents_and_modes(directory: pathlib.Path) -> None:
    digests = [read_digest(directory)]
    (directory / "more").write_text("x")
    digests.append(read_digest(directory))
    (directory / "more").rename(directory / "other")
    digests.append(read_digest(directory))
    (directory / "other").chmod(0o755)
    digests.append(read_digest(directory))
    assert len(set(digests)) == 4


def test_a_digest_excludes_files_that_a_running_program_writes(directory: pathlib.Path) -> None:
    digest = read_digest(directory)
    (directory / "__pycache__").mkdir()
    (directory / "__pycache__" / "a.pyc").write_text("written by a run")
    assert read_digest(directory) == digest


def test_a_release_is_found_by_its_digest_until_its_files_change(directory: pathlib.Path) -> None:
    digest = read_digest(directory)
    assert find_release(str(directory.parent), digest).path == str(directory)
    (directory / "more").write_text("x")
    with pytest.raises(UnusableReleaseError, match="no release has the digest"):
        find_release(str(directory.parent), digest)


@pytest.mark.parametrize(
    ("manifest", "reason"),
    [("{", "release.json"), ('{"version": "", "command": []}', "a version and"), (None, "No such file")],
)  # fmt: skip
def test_a_directory_without_a_usable_manifest_is_rejected(
    tmp_path: pathlib.Path, manifest: str | None, reason: str
) -> None:
    if manifest is not None:
        (tmp_path / "release.json").write_text(manifest)
    with pytest.raises(UnusableReleaseError, match=reason):
        read_release(str(tmp_path))
