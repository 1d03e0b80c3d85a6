"""The tasks there are: usage of the whole fleet, taking over what a dead gateway left open, sweeping."""

from __future__ import annotations

import pathlib
import subprocess
import sys
from collections.abc import Sequence
from typing import Protocol

import structlog

from saffronstack.durable.journal import JournalError
from saffronstack.fleet.leases.store import HeldLease, LeaseStore
from saffronstack.fleet.tasks.ledger_directory import LedgerDirectory
from saffronstack.fleet.tasks.published import Published
from saffronstack.metering.merging import merge
from saffronstack.metering.meter import read_usage_log

log = structlog.get_logger("saffronstack.tasks")
LOOK_S = 0.1
FREE_S = 0.5  # how long a gateway's lease is asked for: one that lives keeps it


class Turn(Protocol):
    """One run, as the job sees it."""

    token: int
    turn: int

    def still(self) -> bool:
        """Whether the run may go on: its lease is held and its time not over."""
        ...

    def pause(self, seconds: float) -> None:
        """Wait so long, less where the run is to stop."""
        ...


class Job(Protocol):
    """What a task does; may run once too often, and more than once at a time after a pause."""

    def run(self, turn: Turn) -> str:
        """One run; what came of it, for a person. Any exception: it failed and is tried again."""
        ...


class FleetUsage:
    """Adds up the usage logs of all gateways and publishes totals. The same log counts once, so a run that
    is repeated changes nothing."""

    def __init__(self, patterns: Sequence[str], output: str) -> None:
        """``patterns``: glob patterns of usage directories in a directory that all machines see."""
        self._patterns, self._published = list(patterns), Published(output)

    def run(self, turn: Turn) -> str:
        """See `Job`."""
        accounts, unread = [], []
        for directory in sorted({path for pattern in self._patterns for path in _glob(pattern)}):
            if not turn.still():
                return "stopped"
            try:
                account, _ = read_usage_log(directory)
            except JournalError as error:  # one that is replaced meanwhile comes with the next run
                unread.append(f"{directory}: {error}")
                continue
            if account.gateway:
                accounts.append(account)
        merged = merge(accounts)
        totals = {tenant: used for tenant, used in sorted(merged.by_tenant().items())}
        content = {"kib_ms_by_tenant": totals, "logs": len(accounts), "unread": unread, "notes": merged.notes}
        self._published.publish(turn.token, turn.turn, content)
        return f"{len(accounts)} logs, {len(totals)} tenants"


class Takeover:
    """Finishes the open deferred calls of gateways that died without leaving their ledgers in order."""

    def __init__(self, root: str, config: str, store: LeaseStore) -> None:
        """``root`` holds a ledger home for each gateway, under its name; ``config`` is a gateway's
        configuration whose functions and workers are those of all."""
        self._root, self._config, self._store = pathlib.Path(root), config, store

    def run(self, turn: Turn) -> str:
        """See `Job`."""
        finished = []
        homes = sorted(path for path in self._root.iterdir() if path.is_dir()) if self._root.is_dir() else []
        for path in homes:
            if not turn.still():
                break
            home = LedgerDirectory(str(path))
            if not home.abandoned():
                continue
            held = self._store.acquire(f"gateway/{path.name}", FREE_S)
            if held is None:
                continue  # it lives
            try:
                if home.abandoned() and self._finish(path, held, turn):
                    finished.append(path.name)
            finally:
                held.release()
        return f"finished for {', '.join(finished)}" if finished else "nothing was left open"

    def _finish(self, path: pathlib.Path, held: HeldLease, turn: Turn) -> bool:
        """A gateway of its own runs on the dead one's ledger until nothing is open there; whether it did."""
        log.warning("taking over", gateway=path.name, token=held.token)
        process = subprocess.Popen(
            [
                sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", self._config,
                "--listen", "127.0.0.1:0", "--ledger-home", str(path), "--ledger-token", str(held.token),
                "--finish", "--log", "json",
            ],
            stdout=subprocess.DEVNULL, stdin=subprocess.DEVNULL,
        )  # fmt: skip
        try:
            while process.poll() is None and turn.still() and held.remaining_s() > 0:
                turn.pause(LOOK_S)
            return process.poll() == 0
        finally:
            if process.poll() is None:
                process.kill()  # its successor enters by a greater token and finds all that it noted
            process.wait()


class Sweep:
    """Removes what nobody reads any more: old results, and places of earlier holders of ledgers."""

    def __init__(self, outputs: Sequence[str], root: str) -> None:
        self._outputs, self._root = list(outputs), root

    def run(self, turn: Turn) -> str:
        """See `Job`."""
        removed = sum(Published(output).sweep() for output in self._outputs)
        root = pathlib.Path(self._root) if self._root else None
        for path in sorted(root.iterdir()) if root is not None and root.is_dir() else ():
            if path.is_dir() and turn.still():
                removed += LedgerDirectory(str(path)).sweep()
        return f"{removed} removed"


def _glob(pattern: str) -> list[pathlib.Path]:
    path = pathlib.Path(pattern)
    return [found for found in pathlib.Path(path.anchor or ".").glob(str(path.relative_to(path.anchor)))]
