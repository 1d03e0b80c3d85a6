"""Detects processes that are running but send no heartbeats, so that the supervisor can replace them.

The system hands connections to every process that listens, whether or not it accepts them: one that is
stopped takes its share of all new connections with it. Its operations and deferred calls are fenced against
a kill, so replacing it is safe; it still loses what is in flight. So one that is only slow gets more time
than one that the system reports as stopped. Free of I/O and clocks; times are in seconds of one clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

HEARTBEAT_INTERVAL_S = 0.25
STOPPED_TIMEOUT_S = 1.0  # silence after which a stopped process is replaced
STUCK_FACTOR = 8.0  # times as much for one that runs, or waits to run
MAX_CHECK_GAP_S = 0.5  # after a longer gap between checks, the monitor itself was not running


@dataclass(frozen=True, slots=True)
class UnresponsiveProcess:
    """A process to replace."""

    index: int
    silent_s: float  # time since its last heartbeat


class HeartbeatMonitor:
    """The last heartbeat of each process. Each method may be called on any thread."""

    def __init__(self, count: int, stopped_timeout_s: float = STOPPED_TIMEOUT_S) -> None:
        """Monitor ``count`` processes.

        Args:
            count: How many processes there are.
            stopped_timeout_s: Silence after which a stopped process counts as unresponsive; 0: never.
        """
        self._stopped_timeout_s = stopped_timeout_s
        self._last_heartbeat_s: list[float | None] = [None] * count  # None: still starting
        self._last_check_s: float | None = None

    def process_started(self, index: int) -> None:
        """Wait for the first heartbeat of a new process; its startup has a time limit elsewhere."""
        self._last_heartbeat_s[index] = None

    def heartbeat_received(self, index: int, now_s: float) -> None:
        """Record a heartbeat."""
        self._last_heartbeat_s[index] = now_s

    def check(self, now_s: float, is_stopped: Callable[[int], bool]) -> list[UnresponsiveProcess]:
        """Find the processes to replace. To be called often, at intervals below `MAX_CHECK_GAP_S`.

        A longer gap means that the supervisor, or the whole machine, was paused: it counts as nobody's
        silence.

        Args:
            now_s: The present time.
            is_stopped: Whether the system reports the process of that index as stopped.

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
