"""The task that removes files that no process needs."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from saffronstack.fleet.tasks.ledger_directory import LedgerDirectory
from saffronstack.fleet.tasks.result_store import ResultStore
from saffronstack.fleet.tasks.task import TaskRun


class GarbageCollectionTask:
    """Removes results beyond the retention limit, and the ledgers of superseded owners."""

    def __init__(self, outputs: Sequence[str], root: str) -> None:
        """Configure the task.

        Args:
            outputs: Directories that tasks publish results in.
            root: Directory with one ledger directory for each gateway; empty if there is none.
        """
        self._outputs = list(outputs)
        self._root = pathlib.Path(root) if root else None

    def execute(self, run: TaskRun) -> str:
        """See `Task.execute`."""
        removed = sum(ResultStore(output).remove_expired() for output in self._outputs)
        for path in self._ledger_paths():
            if run.may_continue():
                removed += LedgerDirectory(str(path)).remove_superseded()
        return f"{removed} removed"

    def _ledger_paths(self) -> list[pathlib.Path]:
        if self._root is None or not self._root.is_dir():
            return []
        return sorted(path for path in self._root.iterdir() if path.is_dir())
