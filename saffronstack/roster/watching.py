"""Events of the file system, as hints: whatever is missed, the slow look finds."""

from __future__ import annotations

import pathlib
import threading
from collections.abc import Callable

import structlog
import watchfiles

from saffronstack.runtime.threads import start_thread

DEBOUNCE_MS = 20
AGAIN_S = 1.0  # before a watch that failed is set up anew
log = structlog.get_logger("saffronstack.roster")


class Watch:
    """Calls back when something under a file's directory, or where its links lead, changes."""

    def __init__(self, path: pathlib.Path, changed: Callable[[], None]) -> None:
        self._path = path
        self._changed = changed
        self._stopping = threading.Event()

    def start(self) -> None:
        """Watch on a thread of its own."""
        start_thread("watch", self._run)

    def stop(self) -> None:
        """End it."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            places = {self._path.parent, self._path.resolve().parent, self._path.resolve()}
            there = [place for place in places if place.exists()]
            try:
                for _ in watchfiles.watch(
                    *there,
                    watch_filter=None,
                    debounce=DEBOUNCE_MS,
                    step=5,
                    stop_event=self._stopping,
                    rust_timeout=1000,
                    yield_on_timeout=True,
                    recursive=False,
                    raise_interrupt=False,
                ):
                    self._changed()
                    if {self._path.parent, self._path.resolve().parent, self._path.resolve()} != places:
                        break  # a link leads elsewhere now
            except (OSError, RuntimeError) as error:
                log.warning("roster not watched for a moment", error=str(error))
            self._stopping.wait(AGAIN_S if not there else 0.01)
