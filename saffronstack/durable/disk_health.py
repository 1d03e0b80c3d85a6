"""Detection of a stalled disk: one whose current operation has taken longer than a threshold. No I/O.

A write that hangs returns no error, so a stall can only be detected by the operation's duration. How long a
stall will last is unknown. For durations with a heavy-tailed distribution, the expected remaining time is
about equal to the elapsed time, so clients are told to retry after the elapsed time, within bounds. All times
are seconds of one clock.
"""

from __future__ import annotations

from dataclasses import dataclass

STALL_THRESHOLD_S = 1.0  # well above the slowest sync on a busy shared disk, 0.44 s
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True)
class DiskHealth:
    """Health of the disk that one writer thread writes to.

    The writer thread updates the fields. Other threads read them without a lock, so two fields need not be
    consistent with each other.
    """

    threshold_s: float = STALL_THRESHOLD_S
    longest_stall_s: float = 0.0  # longest of the stalls that have ended
    stall_count: int = 0  # number of stalls that have ended
    _operation_started_s: float | None = None

    def start_operation(self, now: float) -> None:
        """Record the start of a disk operation."""
        self._operation_started_s = now

    def end_operation(self, now: float) -> None:
        """Record the end of the disk operation, successful or not."""
        started_s, self._operation_started_s = self._operation_started_s, None
        if started_s is not None and now - started_s > self.threshold_s:
            self.stall_count += 1
            self.longest_stall_s = max(self.longest_stall_s, now - started_s)

    def stalled_s(self, now: float) -> float:
        """Return the duration of the current stall; 0 if the disk is idle or below the threshold."""
        started_s = self._operation_started_s
        elapsed_s = 0.0 if started_s is None else now - started_s
        return elapsed_s if elapsed_s > self.threshold_s else 0.0

    def retry_after_s(self, now: float) -> float:
        """Return after how many seconds rejected clients should retry."""
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, self.stalled_s(now)))
