"""Disk and clocks of the harness's processes; the harness injects their faults by writing files."""

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
    """Fault of a disk, as the harness writes it to a file."""

    is_full: bool = False
    fails: bool = False
    stall_s: float = 0.0  # maximum duration of a stalled sync; it ends earlier with the fault


class FaultyFiles(FileOperations):
    """File operations that fail or stall as the fault file of the harness says."""

    def __init__(self, fault_file: pathlib.Path) -> None:
        """Read the fault from ``fault_file`` at each operation; without the file there is no fault."""
        self._fault_file = fault_file

    def _fault(self) -> DiskFault:
        try:
            return msgspec.json.decode(self._fault_file.read_bytes(), type=DiskFault)
        except (OSError, msgspec.MsgspecError):  # not written yet, or partially written
            return DiskFault()

    def open(self, path: pathlib.Path) -> int:
        """Create a file; return its descriptor."""
        if self._fault().is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC), str(path))
        return super().open(path)

    def sync(self, descriptor: int) -> None:
        """Sync a file after the stall of the current fault.

        Raises:
            OSError: The current fault makes syncs fail.
        """
        fault = self._fault()
        if fault.fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        deadline_s = time.monotonic() + fault.stall_s
        while time.monotonic() < deadline_s and self._fault().stall_s:
            time.sleep(STALL_CHECK_INTERVAL_S)
        super().sync(descriptor)


def drifting_clock(rate: float, clock: Callable[[], float]) -> Callable[[], float]:
    """Return a clock that runs at ``rate`` times the speed of ``clock`` and starts at the same time."""
    start_s = clock()
    return lambda: start_s + (clock() - start_s) * rate


class ClockSteps:
    """Forward steps of a candidate's clock, as after its machine was suspended.

    The harness writes the sum of the steps to a file. The sum never decreases, because the clock that lease
    holders use (CLOCK_BOOTTIME) is never set back.
    """

    CHECK_INTERVAL_S = 0.01

    def __init__(self, path: pathlib.Path, clock: Callable[[], float] = time.monotonic) -> None:
        """Read the sum from ``path``, at most once per check interval of ``clock``."""
        self._path, self._clock = path, clock
        self._checked_s = -self.CHECK_INTERVAL_S
        self._ahead_s = 0.0

    def __call__(self) -> float:
        """Return the sum of the steps so far, in seconds."""
        now = self._clock()
        if now >= self._checked_s + self.CHECK_INTERVAL_S:
            self._checked_s = now
            with contextlib.suppress(OSError, ValueError):  # not written yet, or partially written
                self._ahead_s = max(self._ahead_s, float(self._path.read_text()))
        return self._ahead_s
