"""The disk and clocks that the rig gives to its processes, and spoils by writing files."""

from __future__ import annotations

import contextlib
import errno
import os
import pathlib
import time
from collections.abc import Callable

import msgspec

from saffronstack.durable.file_operations import FileOperations

STALL_CHECK_INTERVAL_S = 0.02


class DiskFault(msgspec.Struct, frozen=True):
    """What is wrong with a disk, as the rig writes it into a file."""

    is_full: bool = False
    fails: bool = False
    stall_s: float = 0.0  # for how long a sync stalls, unless the fault ends before


class FaultyFiles(FileOperations):
    """A disk with the fault that a file of the rig's describes."""

    def __init__(self, fault_file: pathlib.Path) -> None:
        """Use the fault that ``fault_file`` holds at each operation; none where there is no such file."""
        self._fault_file = fault_file

    def _fault(self) -> DiskFault:
        try:
            return msgspec.json.decode(self._fault_file.read_bytes(), type=DiskFault)
        except (OSError, msgspec.MsgspecError):  # none yet, or the rig is writing it
            return DiskFault()

    def open(self, path: pathlib.Path) -> int:
        """Create a file; return its descriptor."""
        if self._fault().is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC), str(path))
        return super().open(path)

    def sync(self, descriptor: int) -> None:
        """Sync a file, however long that takes."""
        fault = self._fault()
        if fault.fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        deadline_s = time.monotonic() + fault.stall_s
        while time.monotonic() < deadline_s and self._fault().stall_s:
            time.sleep(STALL_CHECK_INTERVAL_S)
        super().sync(descriptor)


def drifting_clock(rate: float, clock: Callable[[], float]) -> Callable[[], float]:
    """Return a clock that runs at ``rate`` times the speed of another."""
    start_s = clock()
    return lambda: start_s + (clock() - start_s) * rate


class ClockSteps:
    """Seconds by which a machine's clock is ahead of the others', because it was suspended.

    A file of the rig's holds them. They only grow: the clock that holders count by is never set back.
    """

    CHECK_INTERVAL_S = 0.01

    def __init__(self, path: pathlib.Path, clock: Callable[[], float] = time.monotonic) -> None:
        """Read the seconds from a file, at intervals of another clock."""
        self._path, self._clock = path, clock
        self._checked_s = -self.CHECK_INTERVAL_S
        self._ahead_s = 0.0

    def __call__(self) -> float:
        """Return the sum of the steps so far, in seconds."""
        now = self._clock()
        if now >= self._checked_s + self.CHECK_INTERVAL_S:
            self._checked_s = now
            with contextlib.suppress(OSError, ValueError):  # none yet
                self._ahead_s = max(self._ahead_s, float(self._path.read_text()))
        return self._ahead_s
