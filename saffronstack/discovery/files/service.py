"""The service that polls the worker file and reports changes to the list in force."""

from __future__ import annotations

import pathlib
import queue
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import structlog

from saffronstack.config.schema import Worker
from saffronstack.discovery.background_thread import BackgroundThread
from saffronstack.discovery.files.capacity_ramp import STEP_INTERVAL_S
from saffronstack.discovery.files.change_guards import GuardSettings
from saffronstack.discovery.files.merging import WorkerChanges, WorkerSource
from saffronstack.discovery.files.state_directory import StateDirectory
from saffronstack.discovery.files.version_selector import VersionSelector
from saffronstack.discovery.files.worker_list import WorkerList

REPORT_PENDING_POLL_INTERVAL_S = 0.05  # while a problem with the file is not reported yet
STOP_TIMEOUT_S = 5.0
OPERATOR_PRIORITY, FILE_PRIORITY, CONFIGURATION_PRIORITY = 30, 20, 0
log = structlog.get_logger("saffronstack.discovery")


@dataclass(frozen=True, slots=True)
class FileDiscoveryOptions:
    """Settings of file discovery.

    Attributes:
        path: The file, or a directory with a manifest.
        kinds: Names of the worker kinds in the configuration.
        guards: Limits within which a version needs no approval by an operator.
        poll_interval_s: Maximum seconds between polls. A file system event triggers a poll earlier.
    """

    path: pathlib.Path
    kinds: tuple[str, ...]
    guards: GuardSettings = field(default_factory=GuardSettings)
    poll_interval_s: float = 1.0


class FileDiscoveryCounts(
    msgspec.Struct,
    frozen=True,
    rename={"pending": "held", "rejected": "refused", "not_ready": "unready", "polls": "looks"},
):
    """Counters since the start. `rename` keeps the keys in JSON."""

    applied: int
    rejected: int
    pending: int
    not_ready: int
    polls: int


class FileDiscoveryStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "is_from_stored_copy": "from_copy",
        "rejection": "refused",
        "pending_reason": "held",
        "pending_digest": "held_digest",
    },
):
    """The state of the service in the response of ``/status``. `rename` keeps the keys in JSON."""

    generation: int | None
    digest: str
    workers: int
    draining: int
    is_from_stored_copy: bool
    rejection: str
    pending_reason: str
    pending_digest: str
    conflicts: tuple[str, ...]
    counts: FileDiscoveryCounts


class FileDiscovery:
    """Polls the worker file on its own thread, and reports each change there."""

    def __init__(
        self,
        options: FileDiscoveryOptions,
        state_directory: StateDirectory,
        configured_workers: tuple[Worker, ...],
        on_change: Callable[[WorkerChanges, dict[str, Worker]], None],
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
    ) -> None:
        """Prepare the service.

        Args:
            options: Settings of the service.
            state_directory: Stored versions and overrides by operators.
            configured_workers: Workers of the configuration, used until a version of the file is applied.
            on_change: Called on the service's thread with each change and the complete list in force.
            clock: Monotonic time in seconds.
            unix_clock: Unix time in seconds.
        """
        self._poll_interval_s = options.poll_interval_s
        self._state_directory = state_directory
        self._configured_workers = configured_workers
        self._on_change = on_change
        self._clock = clock
        self._version_selector = VersionSelector(
            options.path, options.kinds, options.guards, state_directory, unix_clock
        )
        self._worker_list = WorkerList(options.guards.flapping)
        self._poll_count = 0
        self._wake_ups: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._thread = BackgroundThread("file-discovery", self._run)

    def start(self, now: float) -> dict[str, Worker]:
        """Start polling. Return the initial workers as `load` does."""
        workers = self.load(now)
        self._thread.start()
        return workers

    def load(self, now: float) -> dict[str, Worker]:
        """Return the initial workers: those of the file, or else of the last known good version."""
        self._poll_sources(now)
        self._update_list(now)
        self._version_selector.use_stored_copy()
        self._update_list(now)
        return dict(self._worker_list.workers)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Stop the thread. Return whether it ended within the timeout."""
        self._thread.request_stop()
        self.wake()
        return self._thread.join(timeout_s)

    def wake(self) -> None:
        """Trigger a poll, since a source may have changed. Any thread may call this."""
        self._wake_ups.put(None)

    def set_configured_workers(self, workers: tuple[Worker, ...]) -> None:
        """Replace the configured workers after the configuration was reloaded. Any thread may call this."""
        self._configured_workers = workers
        self.wake()

    def status(self) -> FileDiscoveryStatus:
        """Return the state of the service. Any thread may call this."""
        versions, workers = self._version_selector, self._worker_list.workers
        applied = versions.applied_version
        return FileDiscoveryStatus(
            generation=applied.generation if applied else None,
            digest=applied.digest if applied else "",
            workers=len(workers),
            draining=sum(worker.state == "draining" for worker in workers.values()),
            is_from_stored_copy=versions.is_from_stored_copy,
            rejection=versions.file_state.rejection,
            pending_reason=versions.pending_reason,
            pending_digest=versions.pending_digest,
            conflicts=self._worker_list.conflicts,
            counts=FileDiscoveryCounts(
                applied=versions.applied_count,
                rejected=versions.file_state.rejected_count,
                pending=versions.pending_count,
                not_ready=versions.file_state.not_ready_count,
                polls=self._poll_count,
            ),
        )

    def poll(self, now: float) -> None:
        """Read, check and merge all sources, and report the changes."""
        self._poll_sources(now)
        changes = self._update_list(now)
        if changes:
            self._on_change(changes, self._worker_list.workers)

    def _run(self) -> None:
        while not self._thread.stopping.is_set():
            self._wait_for_wake_up()
            if self._thread.stopping.is_set():
                return
            try:
                self.poll(self._clock())
            except Exception:  # an error in one poll must not stop discovery
                log.exception("worker file poll failed")

    def _wait_for_wake_up(self) -> None:
        """Wait until the next poll is due. Merge all wake-ups that are queued."""
        try:
            self._wake_ups.get(timeout=self._poll_delay_s())
            while True:
                self._wake_ups.get_nowait()
        except queue.Empty:
            return  # the delay has passed, or the queue of wake-ups is empty

    def _poll_delay_s(self) -> float:
        if self._version_selector.file_state.is_report_pending:
            return REPORT_PENDING_POLL_INTERVAL_S
        if self._worker_list.is_ramping:
            return min(self._poll_interval_s, STEP_INTERVAL_S)
        return self._poll_interval_s

    def _poll_sources(self, now: float) -> None:
        self._poll_count += 1
        self._version_selector.poll(now)

    def _update_list(self, now: float) -> WorkerChanges:
        applied = self._version_selector.applied_version
        sources = (
            WorkerSource("operator", OPERATOR_PRIORITY, drains=self._state_directory.drained_workers()),
            WorkerSource(
                "file",
                FILE_PRIORITY,
                applied.workers if applied is not None else (),
                self._version_selector.pending_drains,
                is_complete=True,
                is_loaded=applied is not None,
            ),
            WorkerSource("configuration", CONFIGURATION_PRIORITY, self._configured_workers),
        )
        return self._worker_list.update(sources, now)
