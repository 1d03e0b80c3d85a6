"""Delays the report of an unusable file, since a writer may not have finished it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

REJECTION_DELAY_S = 0.2  # time for which an unusable file has to be unchanged before it is rejected
NOT_READY_REPORT_DELAY_S = 5.0  # time for which a file is missing or changing before it is reported


@dataclass(frozen=True, slots=True)
class _UnusableFile:
    """Identity of an unusable file, and the time since which it is unchanged."""

    identity: str
    since_s: float


class FileStateTracker:
    """Tracks the state of a file across polls. All times are seconds of the same clock.

    Attributes:
        rejection: Reported reason for which the file is rejected; empty if it is not rejected.
        not_ready_count: Number of times the file became unreadable, for example during its replacement.
        rejected_count: Number of reported rejections.
    """

    def __init__(self) -> None:
        """Start without any knowledge of the file."""
        self.rejection = ""
        self.not_ready_count = 0
        self.rejected_count = 0
        self._unusable: _UnusableFile | None = None
        self._not_ready_since_s: float | None = None
        self._is_not_ready_reported = False

    @property
    def is_report_pending(self) -> bool:
        """Whether a problem is observed but not reported yet, so that the file should be polled soon."""
        if self._not_ready_since_s is not None and not self._is_not_ready_reported:
            return True
        return self._unusable is not None and not self.rejection

    def is_rejected(self, identity: str) -> bool:
        """Return whether this content has already been rejected."""
        return self._unusable is not None and self._unusable.identity == identity and bool(self.rejection)

    def record_readable(self) -> None:
        """Record that the file was read completely."""
        self._not_ready_since_s = None

    def record_usable(self) -> None:
        """Record that the file has no errors."""
        self.rejection = ""
        self._unusable = None

    def record_not_ready(self, reason: str, now: float) -> bool:
        """Record that the file is missing or being written. Return whether to report it now."""
        if self._not_ready_since_s is None:
            self._not_ready_since_s = now
            self._is_not_ready_reported = False
            self.not_ready_count += 1
        if now - self._not_ready_since_s < NOT_READY_REPORT_DELAY_S or self._is_not_ready_reported:
            return False
        self._is_not_ready_reported = True
        self._unusable = None
        self._reject(f"{reason}; not ready for {NOT_READY_REPORT_DELAY_S:g} s")
        return True

    def record_unusable(self, identity: str, reason: str, now: float) -> bool:
        """Record that the file can't be used. Return whether to report it now.

        Args:
            identity: Value that distinguishes this content or error from others.
            reason: Reason for which the file can't be used.
            now: Current time.
        """
        self._not_ready_since_s = None
        if self._unusable is None or self._unusable.identity != identity:
            self._unusable = _UnusableFile(identity, now)
            self.rejection = ""
        if now - self._unusable.since_s < REJECTION_DELAY_S or self.rejection:
            return False
        self._reject(reason)
        return True

    def _reject(self, reason: str) -> None:
        self.rejected_count += 1
        self.rejection = reason
