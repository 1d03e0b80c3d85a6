"""Watches a path for file system events. Events are hints; polling finds the changes that a watch misses."""

from __future__ import annotations

import pathlib
from collections.abc import Callable

import structlog
import watchfiles

from saffronstack.discovery.background_thread import BackgroundThread

DEBOUNCE_MS = 20  # events within this time are merged into one
EVENT_POLL_INTERVAL_MS = 5  # interval at which collected events are checked
STOP_CHECK_INTERVAL_MS = 1000  # longest time until a stop request or a changed symbolic link is noticed
MISSING_PATH_RETRY_DELAY_S = 1.0  # before a watch is restarted if none of the paths exists
RESTART_DELAY_S = 0.01  # before a watch is restarted if a path exists
log = structlog.get_logger("saffronstack.discovery")


class FileWatcher:
    """Reports changes in the directory of a file and at the target of its symbolic links."""

    def __init__(self, path: pathlib.Path, on_event: Callable[[], None]) -> None:
        """Prepare the watch. Its thread calls ``on_event`` on events, and once a second without one."""
        self._path = path
        self._on_event = on_event
        self._thread = BackgroundThread("file-watcher", self._run)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end. It ends within about a second."""
        self._thread.request_stop()

    def _run(self) -> None:
        stopping = self._thread.stopping
        while not stopping.is_set():
            stopping.wait(self._watch_until_interrupted())

    def _watch_until_interrupted(self) -> float:
        """Watch the paths of this moment; return the time in seconds to wait before the next watch."""
        existing: list[pathlib.Path] = []
        try:
            paths = self._watched_paths()
            existing = [path for path in paths if path.exists()]
            self._watch(paths, existing)
        except (OSError, RuntimeError) as error:  # a RuntimeError also for a loop of symbolic links
            log.warning("worker file watch interrupted", error=str(error))
        return RESTART_DELAY_S if existing else MISSING_PATH_RETRY_DELAY_S

    def _watch(self, paths: set[pathlib.Path], existing: list[pathlib.Path]) -> None:
        """Report events until the thread is asked to stop or a symbolic link of the file has a new target."""
        events = watchfiles.watch(
            *existing,
            watch_filter=None,
            debounce=DEBOUNCE_MS,
            step=EVENT_POLL_INTERVAL_MS,
            stop_event=self._thread.stopping,
            rust_timeout=STOP_CHECK_INTERVAL_MS,
            yield_on_timeout=True,
            recursive=False,
            raise_interrupt=False,
        )
        for _ in events:
            self._on_event()
            if self._watched_paths() != paths:
                return

    def _watched_paths(self) -> set[pathlib.Path]:
        resolved = self._path.resolve()
        return {self._path.parent, resolved.parent, resolved}
