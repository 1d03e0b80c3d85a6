"""Timing of file operations."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.durable.disk_health import DiskHealth
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.timed_file_operations import TimedFileOperations


def test_each_operation_is_timed_and_a_failed_operation_ends_its_stall(tmp_path: pathlib.Path) -> None:
    now = [0.0]

    class SlowSync(FileOperations):
        sync_duration_s = 0.0
        fails = False

        def sync(self, descriptor: int) -> None:
            now[0] += self.sync_duration_s
            stalls_s.append(health.stalled_s(now[0]))
            if self.fails:
                raise OSError("Input/output error")

    health, stalls_s = DiskHealth(), list[float]()
    slow_files = SlowSync()
    files = TimedFileOperations(slow_files, health, lambda: now[0])
    descriptor = files.open(tmp_path / "x")
    files.write(descriptor, b"x")
    files.sync(descriptor)
    slow_files.sync_duration_s = 7.0
    files.sync(descriptor)
    slow_files.fails = True
    with pytest.raises(OSError, match="Input/output"):
        files.sync(descriptor)
    files.close(descriptor)
    assert stalls_s == [0.0, 7.0, 7.0]
    assert health.stalled_s(1000.0) == 0.0
    assert health.stall_count == 2
    assert health.longest_stall_s == 7.0
