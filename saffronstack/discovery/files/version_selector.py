"""Selects the worker list version that is in force: that of the file, a stored one, or a pinned one."""

from __future__ import annotations

import pathlib
from collections.abc import Callable, Collection

import structlog

from saffronstack.discovery.files.change_guards import GuardSettings, review_version
from saffronstack.discovery.files.file_reader import FileNotReadyError, VersionFiles, read_version
from saffronstack.discovery.files.parsing import InvalidWorkerFileError, WorkerListVersion, parse_version
from saffronstack.discovery.files.settling import FileStateTracker
from saffronstack.discovery.files.state_directory import StateDirectory

log = structlog.get_logger("saffronstack.discovery")


class VersionSelector:
    """Tracks the version in force, and why the next one is not applied. One thread polls it.

    Attributes:
        applied_version: The version in force; None before the first version.
        is_from_stored_copy: Whether it is the last known good copy, used until the file is readable.
        pending_reason: Why a version waits for the approval of an operator; empty if no version waits.
        pending_digest: Digest of the version that waits for approval.
        pending_drains: Names of the workers that are draining in the version that waits for approval.
        applied_count: Number of applied versions.
        pending_count: Number of versions that had to wait for approval.
        file_state: Whether the file is usable, and the reason if not.
    """

    def __init__(
        self,
        path: pathlib.Path,
        kinds: Collection[str],
        guards: GuardSettings,
        state_directory: StateDirectory,
        unix_clock: Callable[[], float],
    ) -> None:
        """Start without a version.

        Args:
            path: The file, or a directory with a manifest.
            kinds: Names of the worker kinds in the configuration.
            guards: Limits within which a version needs no approval.
            state_directory: Stored versions and overrides by operators.
            unix_clock: Unix time in seconds.
        """
        self.applied_version: WorkerListVersion | None = None
        self.is_from_stored_copy = False
        self.pending_reason = ""
        self.pending_digest = ""
        self.pending_drains: frozenset[str] = frozenset()
        self.applied_count = 0
        self.pending_count = 0
        self.file_state = FileStateTracker()
        self._path = path
        self._kinds = kinds
        self._guards = guards
        self._state_directory = state_directory
        self._unix_clock = unix_clock

    def poll(self, now: float) -> None:
        """Read the pinned version, or else the file, and apply the version if it is new."""
        pinned_digest = self._state_directory.pinned_digest()
        if pinned_digest:
            self._poll_pin(pinned_digest, now)
        else:
            self._poll_file(now)

    def use_stored_copy(self) -> None:
        """Apply the last known good version, if one is stored and no version is in force."""
        if self.applied_version is not None:
            return
        version = self._state_directory.last_good_version()
        if version is None:
            return
        self.applied_version, self.is_from_stored_copy = version, True
        log.warning(
            "last known good worker list in use", generation=version.generation, workers=len(version.workers)
        )

    def _poll_pin(self, digest: str, now: float) -> None:
        if self.applied_version is not None and self.applied_version.digest == digest:
            return
        history = self._state_directory.stored_versions()
        version = next((stored.version for stored in history if stored.version.digest == digest), None)
        if version is None:
            self._record_unusable(f"pinned {digest}", f"no stored version has the digest {digest}", now)
            return
        self._clear_problems()
        self._apply(version)

    def _poll_file(self, now: float) -> None:
        try:
            version_files = read_version(self._path)
        except FileNotReadyError as error:
            if self.file_state.record_not_ready(str(error), now):
                self._log_rejection()
            return
        except InvalidWorkerFileError as error:
            self._record_unusable(str(error), str(error), now)
            return
        self.file_state.record_readable()
        if self._is_applied(version_files):
            self._clear_problems()
        elif not self.file_state.is_rejected(version_files.digest):
            self._review(version_files, now)

    def _is_applied(self, version_files: VersionFiles) -> bool:
        is_same = self.applied_version is not None and self.applied_version.digest == version_files.digest
        return is_same and not self.is_from_stored_copy

    def _review(self, version_files: VersionFiles, now: float) -> None:
        """Parse and review a version. Apply it if it is valid and needs no approval."""
        try:
            version = parse_version(
                version_files.files, version_files.digest, self._kinds, version_files.generation
            )
        except InvalidWorkerFileError as error:
            self._record_unusable(version_files.digest, str(error), now)
            return
        is_approved = self._state_directory.approved_digest() == version.digest
        approval = review_version(self._guards, self.applied_version, version, is_approved)
        if approval is not None:
            self._record_pending(version, approval.reason)
            return
        self._clear_problems()
        if is_approved:
            self._state_directory.set_override("accept", "")
        self._apply(version)

    def _record_pending(self, version: WorkerListVersion, reason: str) -> None:
        self.file_state.record_usable()
        if self.pending_digest != version.digest:
            self.pending_count += 1
            log.error(
                "worker list version awaits approval",
                reason=reason,
                digest=version.digest,
                generation=version.generation,
            )
        self.pending_reason = reason
        self.pending_digest = version.digest
        self.pending_drains = frozenset(worker.id for worker in version.workers if worker.state == "draining")

    def _apply(self, version: WorkerListVersion) -> None:
        self.applied_version = version
        self.is_from_stored_copy = False
        self.applied_count += 1
        self._state_directory.store_version(version, self._unix_clock())
        log.info(
            "worker list version applied",
            generation=version.generation,
            workers=len(version.workers),
            digest=version.digest,
        )

    def _clear_problems(self) -> None:
        self.file_state.record_usable()
        self.pending_reason = self.pending_digest = ""
        self.pending_drains = frozenset()

    def _record_unusable(self, identity: str, reason: str, now: float) -> None:
        if self.file_state.record_unusable(identity, reason, now):
            self._log_rejection()

    def _log_rejection(self) -> None:
        log.error("worker file rejected, last good version stays in force", error=self.file_state.rejection)
