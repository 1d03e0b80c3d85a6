"""Detection of a stalled disk: one that has not completed an operation for a long time. No I/O.

A write that hangs returns no error, so only its duration tells. How long a stall will last is unknown; of
durations with a heavy tail, the remaining time is about as long as the time that has passed, so that is the
retry time that clients are given, within bounds. Times are in seconds of one clock.
"""

from __future__ import annotations

from dataclasses import dataclass

STALL_THRESHOLD_S = 1.0  # well above the slowest sync of a busy shared disk, 0.44 s
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True)
class DiskHealth:
    """The state of one writer's disk.

    Written by the writer thread and read by any thread, which reads each field by itself.
    """

    threshold_s: float = STALL_THRESHOLD_S
    longest_stall_s: float = 0.0  # of the stalls that have ended
    stall_count: int = 0  # stalls that have ended
    _operation_started_s: float | None = None

    def start_operation(self, now: float) -> None:
        """Record that the disk was given an operation."""
        self._operation_started_s = now

    def end_operation(self, now: float) -> None:
        """Record that the operation returned, with or without an error."""
        started_s, self._operation_started_s = self._operation_started_s, None
        if started_s is not None and now - started_s > self.threshold_s:
            self.stall_count += 1
            self.longest_stall_s = max(self.longest_stall_s, now - started_s)

    def stalled_s(self, now: float) -> float:
        """Return the duration of the present stall; 0 where the disk is idle or the operation is recent."""
        started_s = self._operation_started_s
        elapsed_s = 0.0 if started_s is None else now - started_s
        return elapsed_s if elapsed_s > self.threshold_s else 0.0

    def retry_after_s(self, now: float) -> float:
        """Return the time that rejected clients should wait."""
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, self.stalled_s(now)))
