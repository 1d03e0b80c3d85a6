"""Decides when a file that can't be used is reported: its writer may be half-way through it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

REJECTION_DELAY_S = 0.2  # an unusable file is rejected once it stood unchanged for so long
NOT_READY_REPORT_DELAY_S = 5.0  # a file that is missing or changing for so long is reported


@dataclass(frozen=True, slots=True)
class _UnusableFile:
    """What can't be used, and since when it stands unchanged."""

    identity: str
    since_s: float


class FileStateTracker:
    """Tracks a file from one poll to the next; times in seconds of any one clock.

    Attributes:
        rejection: Why the file is rejected, as it was reported; empty where it is not.
        not_ready_count: How often the file became unreadable, as while it is replaced.
        rejected_count: How often a rejection was reported.
    """

    def __init__(self) -> None:
        """Start with a file of which nothing is known."""
        self.rejection = ""
        self.not_ready_count = 0
        self.rejected_count = 0
        self._unusable: _UnusableFile | None = None
        self._not_ready_since_s: float | None = None
        self._is_not_ready_reported = False

    @property
    def is_report_pending(self) -> bool:
        """Whether a report may follow soon, so that the file should be polled soon."""
        if self._not_ready_since_s is not None and not self._is_not_ready_reported:
            return True
        return self._unusable is not None and not self.rejection

    def is_rejected(self, identity: str) -> bool:
        """Return whether just this content was rejected already."""
        return self._unusable is not None and self._unusable.identity == identity and bool(self.rejection)

    def record_readable(self) -> None:
        """Note that the file could be read completely."""
        self._not_ready_since_s = None

    def record_usable(self) -> None:
        """Note that nothing is wrong with the file."""
        self.rejection = ""
        self._unusable = None

    def record_not_ready(self, reason: str, now: float) -> bool:
        """Note that the file is missing or being written; return whether to report it now."""
        if self._not_ready_since_s is None:
            self._not_ready_since_s = now
            self._is_not_ready_reported = False
            self.not_ready_count += 1
        if now - self._not_ready_since_s < NOT_READY_REPORT_DELAY_S or self._is_not_ready_reported:
            return False
        self._is_not_ready_reported = True
        self._unusable = None
        self._reject(f"{reason}; so for {NOT_READY_REPORT_DELAY_S:g} s")
        return True

    def record_unusable(self, identity: str, reason: str, now: float) -> bool:
        """Note that the file can't be used; return whether to report it now.

        Args:
            identity: What tells this content, or this error, from others.
            reason: Why it can't be used.
            now: The present time.
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
