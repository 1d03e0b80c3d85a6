"""Tests of the file that stores a daemon's desired state."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.fleet.control.desired_state import DesiredState, DesiredStateFile
from saffronstack.fleet.control.errors import ForeignDesiredStateError

STATE = DesiredState("f", "d1", 7, {"g1": "abc", "g2": ""})


@pytest.fixture
def stored(tmp_path: pathlib.Path) -> DesiredStateFile:
    """Return a file that stores ``STATE``."""
    file = DesiredStateFile(str(tmp_path), "f", "d1")
    assert file.read() is None
    file.write(STATE)
    return file


def test_the_desired_state_is_read_back(stored: DesiredStateFile) -> None:
    assert DesiredStateFile(str(stored.path.parent), "f", "d1").read() == STATE


def test_a_damaged_or_truncated_file_counts_as_lost(stored: DesiredStateFile) -> None:
    content = stored.path.read_bytes()
    for position in range(len(content)):
        damaged = bytearray(content)
        damaged[position] ^= 1 << position % 8
        stored.path.write_bytes(damaged)
        assert stored.read() is None
        stored.path.write_bytes(content[:position])
        assert stored.read() is None


def test_another_daemon_s_state_is_rejected(stored: DesiredStateFile) -> None:
    with pytest.raises(ForeignDesiredStateError, match="is that of daemon 'd1'"):
        DesiredStateFile(str(stored.path.parent), "f", "d2").read()
    with pytest.raises(ValueError, match="is that of daemon 'd1' of fleet 'f'"):
        DesiredStateFile(str(stored.path.parent), "other", "d1").read()
