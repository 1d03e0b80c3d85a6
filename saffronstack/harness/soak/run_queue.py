"""How long the threads of a process were ready to run and had no core, as the kernel counts it."""

from __future__ import annotations

import contextlib
import pathlib
from collections.abc import Mapping

NANOSECONDS = 1e9


def read_waits_s(pid: int) -> dict[int, float]:
    """Return the time that each thread has waited for a core so far, in seconds by thread id (schedstat)."""
    waits_s: dict[int, float] = {}
    with contextlib.suppress(OSError):  # the process has ended
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
            with contextlib.suppress(OSError, ValueError, IndexError):  # the thread has ended
                waits_s[int(task.name)] = int((task / "schedstat").read_text().split()[1]) / NANOSECONDS
    return waits_s


def longest_wait_s(before_s: Mapping[int, float], after_s: Mapping[int, float]) -> float:
    """Return how long the thread waited that waited most between two readings."""
    return max((wait_s - before_s.get(thread, 0.0) for thread, wait_s in after_s.items()), default=0.0)
