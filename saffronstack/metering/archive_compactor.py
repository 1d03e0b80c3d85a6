"""Compacts the archive of a usage log on a background thread.

The merged runs are deleted when the log is compacted, because a replay of the entries before the merge reads
them.
"""

from __future__ import annotations

import threading

import structlog

from saffronstack.durable.errors import RunDamagedError
from saffronstack.metering.ledger_entries import RunsMerged
from saffronstack.metering.usage_log import UsageLog
from saffronstack.runtime.threads import start_thread

COMMIT_TIMEOUT_S = 600.0  # until the entry that records a merge is durable
log = structlog.get_logger("saffronstack.metering")


class ArchiveCompactor:
    """Merges archive runs, one merge at a time."""

    def __init__(self, journal: UsageLog) -> None:
        self._journal = journal
        self._is_merging = threading.Event()

    def start_if_needed(self) -> None:
        """Start a merge if one is due and none is in progress."""
        runs = self._journal.state.find_mergeable_runs()
        if not runs or self._is_merging.is_set():
            return
        self._is_merging.set()
        start_thread("merge", lambda: self._merge(runs))

    def _merge(self, runs: tuple[int, ...]) -> None:
        account = self._journal.state
        try:
            merged_run = account.merge_runs(runs)
            self._journal.append(RunsMerged(runs, merged_run)).done.wait(COMMIT_TIMEOUT_S)
        except (RunDamagedError, OSError) as error:  # nothing is lost: the old runs remain
            log.error("usage archive compaction failed", error=str(error))
        finally:
            self._is_merging.clear()
