"""Detects processes that are running but send no heartbeats, so that the supervisor can replace them.

The kernel assigns connections to every listening process, whether or not it accepts them, so a stopped
process blocks its part of all new connections. Operations and deferred calls are fenced against a kill, so
replacing the process is safe, but its requests in flight are lost. Therefore a process that is only slow gets
more time than one that the kernel reports as stopped. No I/O and no clock; times are in seconds of one clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

HEARTBEAT_INTERVAL_S = 0.25
STOPPED_TIMEOUT_S = 1.0  # time without a heartbeat after which a stopped process is replaced
STUCK_FACTOR = 8.0  # multiple of this time for a process that is running or ready to run
MAX_CHECK_GAP_S = 0.5  # after a longer gap between checks, the monitor itself was not running


@dataclass(frozen=True, slots=True)
class UnresponsiveProcess:
    """A process to replace."""

    index: int
    silent_s: float  # time since its last heartbeat


class HeartbeatMonitor:
    """Tracks the last heartbeat of each process. Any thread may call any method."""

    def __init__(self, count: int, stopped_timeout_s: float = STOPPED_TIMEOUT_S) -> None:
        """Monitor ``count`` processes.

        Args:
            count: Number of processes.
            stopped_timeout_s: Time without a heartbeat after which a stopped process is replaced; 0: never.
        """
        self._stopped_timeout_s = stopped_timeout_s
        self._last_heartbeat_s: list[float | None] = [None] * count  # None: still starting
        self._last_check_s: float | None = None

    def process_started(self, index: int) -> None:
        """Wait for the first heartbeat of a new process; its startup time is limited elsewhere."""
        self._last_heartbeat_s[index] = None

    def heartbeat_received(self, index: int, now_s: float) -> None:
        """Record a heartbeat."""
        self._last_heartbeat_s[index] = now_s

    def check(self, now_s: float, is_stopped: Callable[[int], bool]) -> list[UnresponsiveProcess]:
        """Find the processes to replace. Must be called at intervals below `MAX_CHECK_GAP_S`.

        A longer gap means that the supervisor or the whole machine was paused. It does not count as time
        without a heartbeat.

        Args:
            now_s: The present time.
            is_stopped: Returns whether the kernel reports the process with this index as stopped.

        Returns:
            The unresponsive processes by index.
        """
        was_paused = self._last_check_s is not None and now_s - self._last_check_s > MAX_CHECK_GAP_S
        self._last_check_s = now_s
        unresponsive: list[UnresponsiveProcess] = []
        for index, heartbeat_s in enumerate(self._last_heartbeat_s):
            if heartbeat_s is None or not self._stopped_timeout_s:
                continue
            if was_paused:
                self._last_heartbeat_s[index] = now_s
                continue
            silent_s = now_s - heartbeat_s
            if self._is_unresponsive(index, silent_s, is_stopped):
                unresponsive.append(UnresponsiveProcess(index, silent_s))
        return unresponsive

    def _is_unresponsive(self, index: int, silent_s: float, is_stopped: Callable[[int], bool]) -> bool:
        if silent_s <= self._stopped_timeout_s:
            return False
        return silent_s > self._stopped_timeout_s * STUCK_FACTOR or is_stopped(index)
