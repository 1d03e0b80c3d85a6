"""Open journals: ownership, group commit, failed writes and compaction."""

from __future__ import annotations

import errno
import pathlib
import threading

import pytest

from saffronstack.deferred.ledger import open_ledger
from saffronstack.durable.errors import JournalError
from saffronstack.durable.file_operations import FileOperations
from tests.support.ledger import accepted_call, commit, finished_call, open_filled_ledger, recover_ledger


class FaultyFileOperations(FileOperations):
    """Fails writes beyond a size, or every sync."""

    def __init__(self) -> None:
        self.capacity_bytes: int | None = None
        self.sync_fails = False

    def write(self, descriptor: int, data: bytes) -> None:
        if self.capacity_bytes is not None and len(data) > self.capacity_bytes:
            super().write(descriptor, data[: self.capacity_bytes])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self.sync_fails:
            raise OSError(errno.EIO, "Input/output error")
        super().sync(descriptor)


def test_a_directory_has_one_owner(tmp_path: pathlib.Path) -> None:
    ledger = open_filled_ledger(tmp_path, 1)
    with pytest.raises(JournalError, match="another process"):
        open_ledger(str(tmp_path), 10, 1 << 20)
    assert ledger.close()
    reopened = open_ledger(str(tmp_path), 10, 1 << 20)
    assert list(reopened.state.open) == ["id-0"]
    assert reopened.close()


@pytest.mark.parametrize("capacity_bytes", [0, 1, 30, 60, 100])
def test_a_full_disk_fails_new_appends_and_keeps_earlier_ones(
    tmp_path: pathlib.Path, capacity_bytes: int
) -> None:
    files = FaultyFileOperations()
    ledger = open_ledger(str(tmp_path), 10, 1 << 20, files)
    commit(ledger, accepted_call(0))
    files.capacity_bytes = capacity_bytes
    ticket = ledger.append(accepted_call(1))
    assert ticket.done.wait(5)
    assert ticket.error is not None
    assert ticket.error.errno == errno.ENOSPC
    assert "space" in ledger.write_error
    files.capacity_bytes = None
    commit(ledger, accepted_call(2))
    assert ledger.write_error == ""
    assert ledger.close()
    recovered = recover_ledger(tmp_path, 10)
    assert sorted(recovered.state.open) == ["id-0", "id-2"]
    assert not recovered.has_lost_records


def test_an_append_whose_sync_fails_is_not_durable(tmp_path: pathlib.Path) -> None:
    files = FaultyFileOperations()
    ledger = open_ledger(str(tmp_path), 10, 1 << 20, files)
    commit(ledger, accepted_call(0))
    files.sync_fails = True
    ticket = ledger.append(accepted_call(1))
    assert ticket.done.wait(5)
    assert not ticket.is_durable
    files.sync_fails = False
    commit(ledger, accepted_call(2))
    assert ledger.close()
    assert sorted(recover_ledger(tmp_path, 10).state.open) == ["id-0", "id-2"]


def test_compaction_preserves_open_calls_and_a_bounded_history(tmp_path: pathlib.Path) -> None:
    ledger = open_ledger(str(tmp_path), 5, 4096)
    for n in range(200):
        commit(ledger, accepted_call(n, b"x" * 100))
        if n % 10:
            commit(ledger, finished_call(n))
    assert ledger.close()
    size_bytes = sum(path.stat().st_size for path in tmp_path.glob("*.seg"))
    assert size_bytes < 60_000
    recovered = recover_ledger(tmp_path, 5)
    assert sorted(recovered.state.open) == sorted(f"id-{n}" for n in range(0, 200, 10))
    assert list(recovered.state.finished) == [f"id-{n}" for n in range(195, 200)]
    assert not recovered.has_lost_records


def test_appends_of_many_threads_are_committed_in_groups(tmp_path: pathlib.Path) -> None:
    ledger = open_ledger(str(tmp_path), 10, 1 << 20)
    failed: list[int] = []

    def append_calls(first_number: int) -> None:
        for n in range(25):
            ticket = ledger.append(accepted_call(first_number + n))
            if not (ticket.done.wait(10) and ticket.is_durable):
                failed.append(first_number + n)

    threads = [
        threading.Thread(target=append_calls, args=(first_number * 100,)) for first_number in range(16)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    assert failed == []
    assert len(ledger.state.open) == 400
    assert ledger.commits < 400
    assert ledger.close()
    assert len(recover_ledger(tmp_path, 10).state.open) == 400


def test_a_revoked_ticket_is_not_written(tmp_path: pathlib.Path) -> None:
    sync_allowed = threading.Event()

    class SlowSync(FileOperations):
        def sync(self, descriptor: int) -> None:
            sync_allowed.wait(5)
            super().sync(descriptor)

    ledger = open_ledger(str(tmp_path), 10, 1 << 20, SlowSync())
    first = ledger.append(accepted_call(0))
    while not first.is_started:
        pass
    second = ledger.append(accepted_call(1))
    assert second.revoke()
    assert not first.revoke()
    sync_allowed.set()
    assert second.done.wait(5)
    assert not second.is_durable
    assert ledger.close()
    assert list(recover_ledger(tmp_path, 10).state.open) == ["id-0"]
