"""Tests that files and directories are read as one consistent version."""

from __future__ import annotations

import os
import pathlib

import pytest

from saffronstack.discovery.files.file_reader import MANIFEST_FILE_NAME, FileNotReadyError, read_version
from saffronstack.discovery.files.parsing import InvalidWorkerFileError, WorkerListVersion, parse_version
from tests.discovery.files.support import KINDS, entry, file_text, write_directory


def read_and_parse(path: pathlib.Path) -> WorkerListVersion:
    version_files = read_version(path)
    return parse_version(version_files.files, version_files.digest, KINDS, version_files.generation)


@pytest.fixture
def directory(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return a directory with two worker files and their manifest of generation 4."""
    path = tmp_path / "roster"
    write_directory(path, 4, a=file_text(entry("w1")), b=file_text(entry("w2"), generation=4))
    return path


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return a path at which no file exists."""
    return tmp_path / "roster.json5"


def test_a_directory_is_one_version(directory: pathlib.Path) -> None:
    version = read_and_parse(directory)
    assert (version.generation, [worker.id for worker in version.workers]) == (4, ["w1", "w2"])


def test_a_directory_with_a_digest_mismatch_is_not_ready(directory: pathlib.Path) -> None:
    (directory / "a.json5").write_text(file_text(entry("w3")))
    with pytest.raises(
        FileNotReadyError, match=r"a\.json5: digest differs from the manifest of generation 4"
    ):
        read_version(directory)
    (directory / "a.json5").unlink()
    with pytest.raises(FileNotReadyError, match="no such file"):
        read_version(directory)


def test_a_file_of_another_generation_than_its_manifest_is_rejected(directory: pathlib.Path) -> None:
    write_directory(directory, 5, a=file_text(entry("w1"), generation=3))
    with pytest.raises(InvalidWorkerFileError, match=r"a\.json5:2: generation 3, the manifest's is 5"):
        read_and_parse(directory)


def test_a_manifest_that_names_other_directories_is_rejected(directory: pathlib.Path) -> None:
    (directory / MANIFEST_FILE_NAME).write_text('{"generation": 5, "files": {"../x": "' + "0" * 32 + '"}}')
    with pytest.raises(InvalidWorkerFileError, match="is not a plain file name"):
        read_version(directory)


def test_a_missing_file_is_not_ready(file: pathlib.Path) -> None:
    with pytest.raises(FileNotReadyError, match="no such file"):
        read_version(file)


def test_a_pipe_is_rejected(file: pathlib.Path) -> None:
    os.mkfifo(file)
    with pytest.raises(InvalidWorkerFileError, match="not a regular file"):
        read_version(file)


def test_a_file_that_is_too_large_is_rejected(file: pathlib.Path) -> None:
    file.write_bytes(b'{"workers": []} //' + b"x" * 200)
    with pytest.raises(InvalidWorkerFileError, match="218 bytes, 100 at most"):
        read_version(file, 100)


def test_a_file_that_is_not_utf_8_is_rejected(file: pathlib.Path) -> None:
    file.write_bytes(b'{"workers": [] /* \xff */}')
    with pytest.raises(InvalidWorkerFileError, match=r"roster\.json5: byte 18: not UTF-8"):
        read_version(file)


def test_a_directory_without_its_manifest_is_not_ready(file: pathlib.Path) -> None:
    file.mkdir()
    with pytest.raises(FileNotReadyError, match="no such file"):
        read_version(file)
