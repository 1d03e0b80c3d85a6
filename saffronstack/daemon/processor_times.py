"""Reads the idle time of each CPU from the kernel."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Collection

PROC_STAT_PATH = "/proc/stat"
_READ_BYTES = 256 * 1024  # the lines of the CPUs come first
_IDLE_COLUMNS = slice(4, 6)  # idle and iowait
_NS_PER_S = 1_000_000_000


class CpuIdleTimes:
    """Reads idle times from a file that stays open, so that each read takes one system call."""

    def __init__(self, path: str = PROC_STAT_PATH) -> None:
        """Open the file; without one, `read` returns nothing."""
        self._descriptor: int | None = None
        with contextlib.suppress(OSError):
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def read(self, cpus: Collection[int]) -> dict[int, int]:
        """Return the idle time of each CPU since the system's start, in ns; empty if it can't be read."""
        if self._descriptor is None:
            return {}
        try:
            return parse_idle_ns(os.pread(self._descriptor, _READ_BYTES, 0), cpus)
        except (OSError, ValueError):
            return {}

    def close(self) -> None:
        """Close the file; `read` returns nothing from then on."""
        descriptor, self._descriptor = self._descriptor, None
        if descriptor is not None:
            os.close(descriptor)


def parse_idle_ns(stat: bytes, cpus: Collection[int]) -> dict[int, int]:
    """Return the idle time of each CPU from the text of /proc/stat.

    Raises:
        ValueError: A line has an unexpected format.
    """
    tick_ns = _NS_PER_S // os.sysconf("SC_CLK_TCK")
    found = {}
    for line in stat.splitlines():
        words = line.split()
        if not words or not words[0].startswith(b"cpu"):
            break
        if words[0] != b"cpu" and int(words[0][3:]) in cpus:
            found[int(words[0][3:])] = tick_ns * sum(map(int, words[_IDLE_COLUMNS]))
    return found
