"""Tests of applied versions and operator overrides on disk."""

from __future__ import annotations

import os
import pathlib

import pytest

from saffronstack.discovery.files.parsing import WorkerListVersion
from saffronstack.discovery.files.state_directory import MAX_VERSIONS, StateDirectory
from tests.discovery.files.support import worker


def version(generation: int) -> WorkerListVersion:
    return WorkerListVersion(generation, f"{generation:032x}", (worker("w1"),))


@pytest.fixture
def state(tmp_path: pathlib.Path) -> StateDirectory:
    return StateDirectory(tmp_path)


def test_the_oldest_versions_are_deleted(state: StateDirectory) -> None:
    for generation in range(1, MAX_VERSIONS + 4):
        state.store_version(version(generation), float(generation))
    history = state.stored_versions()
    assert [stored.number for stored in history] == list(range(4, MAX_VERSIONS + 4))
    assert [stored.applied_at for stored in history] == [float(stored.number) for stored in history]
    assert state.last_good_version() == version(MAX_VERSIONS + 3)


def test_a_damaged_version_is_skipped(state: StateDirectory, tmp_path: pathlib.Path) -> None:
    state.store_version(version(1), 1.0)
    state.store_version(version(2), 2.0)
    newest = max((tmp_path / "versions").iterdir())
    newest.write_bytes(newest.read_bytes()[:-1] + b" ")
    assert state.last_good_version() == version(1)
    assert [stored.version for stored in state.stored_versions()] == [version(1)]


def test_an_empty_text_removes_an_override(state: StateDirectory) -> None:
    assert (state.approved_digest(), state.pinned_digest(), state.drained_workers()) == ("", "", frozenset())
    state.set_override("drains", "w1\nw2")
    assert state.drained_workers() == {"w1", "w2"}
    state.set_override("drains", "")
    state.set_override("drains", "")
    assert state.drained_workers() == frozenset()


def test_a_version_that_cannot_be_written_is_no_error(state: StateDirectory, tmp_path: pathlib.Path) -> None:
    (tmp_path / "versions" / f".{1:08d}-{1:032x}.json.{os.getpid()}.tmp").mkdir()  # blocks the temporary file
    state.store_version(version(1), 1.0)
    assert state.last_good_version() is None
