"""Which ledgers the takeover task hands to a new gateway process."""

from __future__ import annotations

import pathlib
import subprocess
import sys
from collections.abc import Callable

import pytest

from saffronstack.deferred.ledger import count_open_calls, open_ledger
from saffronstack.durable.errors import JournalError
from saffronstack.fleet.tasks.ledger_directory import LedgerDirectory
from saffronstack.fleet.tasks.orphan_takeover import OrphanTakeoverTask
from tests.support.ledger import accepted_call, commit, finished_call

NAME = "g1"


class GrantedLease:
    """A lease that is held for as long as a test takes."""

    lease, token, value = f"gateway/{NAME}", 2, b""

    def remaining_s(self) -> float:
        return 60.0

    def put(self, content: bytes, timeout_s: float) -> bool:
        return True

    def release(self) -> None: ...


class GrantingStore:
    """Grants every lease, as after the expiry of the gateway's own."""

    def acquire(
        self, lease: str, timeout_s: float, on_lost: Callable[[str], None] | None = None
    ) -> GrantedLease:
        return GrantedLease()

    def cancel_acquires(self) -> None: ...

    def close(self) -> None: ...


class Run:
    """A run that is never cancelled."""

    token, number = 1, 1

    def may_continue(self) -> bool:
        return True

    def wait(self, seconds: float) -> None: ...


class ObservedTask(OrphanTakeoverTask):
    """Starts a process that ends at once in place of a gateway, and counts what it does."""

    def __init__(self, root: pathlib.Path) -> None:
        super().__init__(str(root), "", GrantingStore(), self._read)
        self.reads = 0
        self.starts = 0
        self.is_unreadable = False

    def _read(self, directory: pathlib.Path) -> int:
        self.reads += 1
        if self.is_unreadable:
            raise JournalError("damaged")
        return count_open_calls(directory)

    def _start_gateway(self, path: pathlib.Path, token: int) -> subprocess.Popen[bytes]:
        self.starts += 1
        return subprocess.Popen([sys.executable, "-c", ""])


@pytest.fixture
def owner_directory(tmp_path: pathlib.Path) -> pathlib.Path:
    """The directory of an owner that has not shut down."""
    return LedgerDirectory(str(tmp_path / NAME)).take_ownership(1)


def test_a_gateway_without_open_calls_keeps_its_ledger(
    tmp_path: pathlib.Path, owner_directory: pathlib.Path
) -> None:
    """Guards against ending a gateway that serves and can only not reach the lease servers."""
    with open_ledger(str(owner_directory), 100, 1 << 20) as ledger:
        commit(ledger, accepted_call(1))
        commit(ledger, finished_call(1))
        task = ObservedTask(tmp_path)
        assert task.execute(Run()) == "no orphaned calls"
        commit(ledger, accepted_call(2))
        assert task.execute(Run()) == f"finished the calls of {NAME}"
    assert task.starts == 1


def test_an_unchanged_ledger_without_open_calls_is_read_once(
    tmp_path: pathlib.Path, owner_directory: pathlib.Path
) -> None:
    with open_ledger(str(owner_directory), 100, 1 << 20) as ledger:
        commit(ledger, accepted_call(1))
        commit(ledger, finished_call(1))
    task = ObservedTask(tmp_path)
    for _ in range(3):
        task.execute(Run())
    assert (task.reads, task.starts) == (1, 0)


def test_a_ledger_that_cannot_be_read_is_taken_over(
    tmp_path: pathlib.Path, owner_directory: pathlib.Path
) -> None:
    task = ObservedTask(tmp_path)
    task.is_unreadable = True
    assert task.execute(Run()) == f"finished the calls of {NAME}"


def test_a_ledger_without_a_directory_of_its_owner_is_taken_over(tmp_path: pathlib.Path) -> None:
    """The owner died between its fence and its copy; the calls are where it would have copied them from."""
    LedgerDirectory(str(tmp_path / NAME)).take_ownership(1).rmdir()
    assert ObservedTask(tmp_path).execute(Run()) == f"finished the calls of {NAME}"
