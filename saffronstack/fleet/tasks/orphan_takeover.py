"""The task that finishes orphaned calls: deferred calls that were open when their gateway died."""

from __future__ import annotations

import pathlib
import subprocess
import sys
from collections.abc import Callable

import structlog

from saffronstack.durable.errors import JournalError
from saffronstack.fleet.leases.store import HeldLease, LeaseStore
from saffronstack.fleet.tasks.ledger_directory import SEGMENT_GLOB, LedgerDirectory
from saffronstack.fleet.tasks.task import TaskRun

log = structlog.get_logger("saffronstack.tasks")
POLL_INTERVAL_S = 0.1
ACQUIRE_TIMEOUT_S = 0.5  # a longer wait gains nothing: a live gateway keeps renewing its lease
SegmentDescription = tuple[str, int, int]  # name, size in bytes, time of the last change in nanoseconds


class OrphanTakeoverTask:
    """Finishes the open calls in the ledgers of gateways that died without a clean shutdown."""

    def __init__(
        self, root: str, config: str, store: LeaseStore, count_open_calls: Callable[[pathlib.Path], int]
    ) -> None:
        """Configure the task.

        Args:
            root: Directory with one ledger directory per gateway, named after the gateway.
            config: Path of a gateway configuration with the functions and workers of all gateways.
            store: The store in which gateways hold their leases.
            count_open_calls: Returns the number of open calls in the ledger of a directory. It raises
                `JournalError` if the ledger can't be read.
        """
        self._root = pathlib.Path(root)
        self._config = config
        self._store = store
        self._count_open_calls = count_open_calls
        # As read last, so that the unchanged ledger of a dead gateway is not read in each run.
        self._segments_without_open_calls: dict[pathlib.Path, tuple[SegmentDescription, ...]] = {}

    def execute(self, run: TaskRun) -> str:
        """See `Task.execute`."""
        finished: list[str] = []
        paths = sorted(path for path in self._root.iterdir() if path.is_dir()) if self._root.is_dir() else []
        for path in paths:
            if not run.may_continue():
                break
            if self._take_over(path, run):
                finished.append(path.name)
        return f"finished the calls of {', '.join(finished)}" if finished else "no orphaned calls"

    def _take_over(self, path: pathlib.Path, run: TaskRun) -> bool:
        """Finish the open calls of a gateway if it is dead; return whether there were any, and all finished.

        A gateway whose lease expired may only be unable to reach the lease servers. Without an open call
        there is nothing to take from it.
        """
        ledger = LedgerDirectory(str(path))
        if not ledger.is_orphaned():
            return False
        lease = self._store.acquire(f"gateway/{path.name}", ACQUIRE_TIMEOUT_S)
        if lease is None:  # the gateway is alive
            return False
        try:
            # The gateway may have been restarted and cleanly shut down between the check and the grant.
            has_open_calls = ledger.is_orphaned() and self._has_open_calls(ledger)
            return has_open_calls and self._finish_open_calls(path, lease, run)
        finally:
            lease.release()

    def _has_open_calls(self, ledger: LedgerDirectory) -> bool:
        """Return whether calls may be open in a ledger; if it can't be read, its next owner tells why."""
        current = ledger.current_path()
        if current is None:
            return True
        segments = _describe_segments(current)
        if self._segments_without_open_calls.get(current) == segments:
            return False
        try:
            has_open_calls = self._count_open_calls(current) > 0
        except JournalError:
            return True
        if not has_open_calls:
            self._segments_without_open_calls[current] = segments
        return has_open_calls

    def _finish_open_calls(self, path: pathlib.Path, lease: HeldLease, run: TaskRun) -> bool:
        """Run a gateway on the dead gateway's ledger until no call is open; return whether it succeeded."""
        log.warning("taking over orphaned ledger", gateway=path.name, token=lease.token)
        process = self._start_gateway(path, lease.token)
        try:
            while process.poll() is None and run.may_continue() and lease.remaining_s() > 0:
                run.wait(POLL_INTERVAL_S)
            return process.poll() == 0
        finally:
            if process.poll() is None:
                # Killing it is safe: the next owner has a greater token and finds everything it recorded.
                process.kill()
            process.wait()

    def _start_gateway(self, path: pathlib.Path, token: int) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [
                sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", self._config,
                "--listen", "127.0.0.1:0", "--ledger-home", str(path), "--ledger-token", str(token),
                "--finish", "--log", "json",
            ],
            stdout=subprocess.DEVNULL, stdin=subprocess.DEVNULL,
        )  # fmt: skip


def _describe_segments(directory: pathlib.Path) -> tuple[SegmentDescription, ...]:
    found = [(path.name, path.stat()) for path in sorted(directory.glob(SEGMENT_GLOB))]
    return tuple((name, status.st_size, status.st_mtime_ns) for name, status in found)
