"""Ownership of directories."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.durable.directory_lock import DirectoryLock
from saffronstack.durable.errors import JournalError


def test_a_directory_is_held_until_it_is_released(tmp_path: pathlib.Path) -> None:
    directory = tmp_path / "new" / "journal"
    lock = DirectoryLock(directory)
    with pytest.raises(JournalError, match="another process holds this directory"):
        DirectoryLock(directory)
    lock.release()
    DirectoryLock(directory).release()


def test_a_directory_that_cannot_be_created_is_named(tmp_path: pathlib.Path) -> None:
    file = tmp_path / "file"
    file.touch()
    with pytest.raises(JournalError, match=str(file)):
        DirectoryLock(file / "journal")
