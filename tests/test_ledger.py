"""The ledger: read back after kills, cuts, flipped bytes and full disks."""

from __future__ import annotations

import errno
import pathlib
import shutil
import threading

import pytest

from saffronstack.deferred.book import Book
from saffronstack.deferred.ledger import CODEC, Ledger, open_ledger
from saffronstack.deferred.records import (
    Accepted,
    AnyRecord,
    Attempted,
    Dropped,
    Finished,
    Voided,
    decode,
    encode,
)
from saffronstack.durable.block_format import encode_block
from saffronstack.durable.errors import JournalError
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal_recovery import RecoveredJournal, recover_journal
from saffronstack.durable.segment_scan import scan_segment
from saffronstack.durable.segments import list_segment_numbers, segment_name


def read_back(directory: pathlib.Path, history: int) -> RecoveredJournal[Book]:
    return recover_journal(directory, Book(history), CODEC)


def accepted(n: int, payload: bytes = b"{}") -> Accepted:
    return Accepted(f"id-{n}", "record-sale", "t", payload, "", f"k{n}", float(n))


def finished(n: int) -> Finished:
    return Finished(f"id-{n}", "record-sale", "t", float(n), b'{"n":%d}' % n)


def filled(directory: pathlib.Path, count: int = 5, **more: int) -> Ledger:
    ledger = open_ledger(str(directory), more.get("history", 100), more.get("segment_bytes", 1 << 20))
    for n in range(count):
        commit(ledger, accepted(n))
    return ledger


def commit(ledger: Ledger, *items: AnyRecord) -> None:
    ticket = ledger.append(*items)
    assert ticket.done.wait(5)
    assert ticket.is_durable, ticket.error


def only_segment(directory: pathlib.Path) -> pathlib.Path:
    (number,) = list_segment_numbers(directory)
    return directory / segment_name(number)


@pytest.mark.parametrize(
    "record", [accepted(1), Attempted("a", 2, 3.0), Voided("a"), finished(1), Dropped("a")]
)
def test_records_read_back(record: AnyRecord) -> None:
    assert decode(encode(record)) == record


def test_state_survives_a_restart(tmp_path: pathlib.Path) -> None:
    ledger = filled(tmp_path)
    commit(ledger, Attempted("id-1", 7, 2.0))
    commit(ledger, finished(0), accepted(9))
    commit(ledger, Attempted("id-2", 7, 2.0))
    commit(ledger, Voided("id-2"))
    commit(ledger, Dropped("id-3"))
    assert ledger.close()
    found = read_back(tmp_path, 100)
    assert sorted(found.state.open) == ["id-1", "id-2", "id-4", "id-9"]
    assert found.state.open["id-1"].attempts == [Attempted("id-1", 7, 2.0)]
    assert found.state.open["id-2"].attempts == []
    assert list(found.state.finished) == ["id-0"]
    assert not found.has_lost_records
    assert found.warnings == []


def test_a_directory_has_one_owner(tmp_path: pathlib.Path) -> None:
    ledger = filled(tmp_path, 1)
    with pytest.raises(JournalError, match="another process"):
        open_ledger(str(tmp_path), 10, 1 << 20)
    assert ledger.close()
    again = open_ledger(str(tmp_path), 10, 1 << 20)
    assert list(again.state.open) == ["id-0"]
    assert again.close()


def test_a_cut_at_every_byte_loses_only_what_was_not_acknowledged(tmp_path: pathlib.Path) -> None:
    source = tmp_path / "whole"
    assert filled(source, 4).close()
    data = only_segment(source).read_bytes()
    ends = [block.end for block in scan_segment(data).blocks]  # of first copies: whole once these stand
    for cut in range(len(data)):
        target = tmp_path / "cut"
        shutil.rmtree(target, ignore_errors=True)
        target.mkdir()
        (target / only_segment(source).name).write_bytes(data[:cut])
        found = read_back(target, 10)
        whole = sum(2 * end - _start(ends, place) <= cut for place, end in enumerate(ends))
        assert len(found.state.open) >= whole
        assert sorted(found.state.open) == [f"id-{n}" for n in range(len(found.state.open))]
        assert not found.has_lost_records, cut


def _start(ends: list[int], place: int) -> int:
    """Where a block's first copy begins: behind the second copy of the one before."""
    start = 0
    for end in ends[:place]:
        start = 2 * end - start
    return start


def test_a_flipped_byte_anywhere_loses_nothing(tmp_path: pathlib.Path) -> None:
    source = tmp_path / "whole"
    assert filled(source, 3).close()
    name = only_segment(source).name
    data = only_segment(source).read_bytes()
    target = tmp_path / "flipped"
    target.mkdir()
    for at in range(len(data)):
        (target / name).write_bytes(data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :])
        found = read_back(target, 10)
        assert sorted(found.state.open) == ["id-0", "id-1", "id-2"], at
        assert not found.has_lost_records
        if at < len(data) - len(data) // 6:
            assert any(name in line and "byte" in line for line in found.warnings), at


def test_both_copies_damaged_puts_every_open_call_in_doubt(tmp_path: pathlib.Path) -> None:
    assert filled(tmp_path, 3).close()
    path = only_segment(tmp_path)
    data = bytearray(path.read_bytes())
    block = scan_segment(bytes(data)).blocks[1]
    size = block.end - block.start
    for at in (block.start + 30, block.start + 30 + size):
        data[at] ^= 1
    path.write_bytes(data)
    found = read_back(tmp_path, 10)
    assert found.has_lost_records
    assert any("both copies" in line or "missing" in line for line in found.warnings)
    assert all(call.attempts for call in found.state.open.values())
    ledger = open_ledger(str(tmp_path), 10, 1 << 20)  # the doubt outlives the next start and its compaction
    commit(ledger, accepted(50))
    assert ledger.close()
    again = read_back(tmp_path, 10)
    assert not again.has_lost_records
    assert again.state.open["id-0"].attempts
    assert not again.state.open["id-50"].attempts


def test_a_lost_segment_is_noticed(tmp_path: pathlib.Path) -> None:
    assert filled(tmp_path, 40, segment_bytes=600).close()
    numbers = list_segment_numbers(tmp_path)
    assert len(numbers) > 3
    (tmp_path / segment_name(numbers[1])).unlink()
    assert read_back(tmp_path, 10).has_lost_records


class Faulty(FileOperations):
    """Fails as told: after so many bytes, or at the next sync."""

    def __init__(self) -> None:
        self.room: int | None = None
        self.sync_fails = False

    def write(self, descriptor: int, data: bytes) -> None:
        if self.room is not None and len(data) > self.room:
            super().write(descriptor, data[: self.room])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self.sync_fails:
            raise OSError(errno.EIO, "Input/output error")
        super().sync(descriptor)


@pytest.mark.parametrize("room", [0, 1, 30, 60, 100])
def test_a_full_disk_fails_the_new_and_keeps_the_old(tmp_path: pathlib.Path, room: int) -> None:
    files = Faulty()
    ledger = open_ledger(str(tmp_path), 10, 1 << 20, files)
    commit(ledger, accepted(0))
    files.room = room
    ticket = ledger.append(accepted(1))
    assert ticket.done.wait(5)
    assert ticket.error is not None
    assert ticket.error.errno == errno.ENOSPC
    assert "space" in ledger.write_error
    files.room = None
    commit(ledger, accepted(2))
    assert ledger.write_error == ""
    assert ledger.close()
    found = read_back(tmp_path, 10)
    assert sorted(found.state.open) == ["id-0", "id-2"]
    assert not found.has_lost_records


def test_a_failed_sync_is_no_commit(tmp_path: pathlib.Path) -> None:
    files = Faulty()
    ledger = open_ledger(str(tmp_path), 10, 1 << 20, files)
    commit(ledger, accepted(0))
    files.sync_fails = True
    ticket = ledger.append(accepted(1))
    assert ticket.done.wait(5)
    assert not ticket.is_durable
    files.sync_fails = False
    commit(ledger, accepted(2))
    assert ledger.close()
    assert sorted(read_back(tmp_path, 10).state.open) == ["id-0", "id-2"]


def test_a_block_given_up_and_left_on_the_disk_yields_to_the_later_segment(tmp_path: pathlib.Path) -> None:
    one = encode_block(0, [encode(accepted(0))])
    given_up = encode_block(1, [encode(accepted(1))])
    later = encode_block(1, [encode(accepted(2))])
    (tmp_path / segment_name(1)).write_bytes(one * 2 + given_up * 2)
    (tmp_path / segment_name(2)).write_bytes(later * 2)
    found = read_back(tmp_path, 10)
    assert sorted(found.state.open) == ["id-0", "id-2"]
    assert not found.has_lost_records


def test_compaction_keeps_open_calls_and_a_bounded_history(tmp_path: pathlib.Path) -> None:
    ledger = open_ledger(str(tmp_path), 5, 4096)
    for n in range(200):
        commit(ledger, accepted(n, b"x" * 100))
        if n % 10:
            commit(ledger, finished(n))
    assert ledger.close()
    size = sum(path.stat().st_size for path in tmp_path.glob("*.seg"))
    assert size < 60_000
    found = read_back(tmp_path, 5)
    assert sorted(found.state.open) == sorted(f"id-{n}" for n in range(0, 200, 10))
    assert list(found.state.finished) == [f"id-{n}" for n in range(195, 200)]
    assert not found.has_lost_records


@pytest.mark.parametrize("keep_older", [0, 1, 2])
def test_a_kill_between_the_snapshot_and_the_clean_up(tmp_path: pathlib.Path, keep_older: int) -> None:
    """Older segments that were not yet removed change nothing, even with some of them gone or damaged."""
    older = tmp_path / "older"
    assert filled(older, 30, segment_bytes=600).close()
    numbers = list_segment_numbers(older)
    ledger = open_ledger(str(older), 10, 1 << 20)
    ledger.recovered.warnings = ["compact at once"]
    book = Book(10)
    book.apply(accepted(77))
    target = tmp_path / "target"
    target.mkdir()
    for number in numbers[len(numbers) - keep_older :] if keep_older else []:
        shutil.copy(older / segment_name(number), target)
    block = encode_block(9999, [encode(item) for item in book.snapshot()])
    (target / segment_name(numbers[-1] + 1)).write_bytes(block * 2)
    assert ledger.close()
    found = read_back(target, 10)
    assert list(found.state.open) == ["id-77"]
    assert not found.has_lost_records


def test_many_threads_share_commits(tmp_path: pathlib.Path) -> None:
    ledger = open_ledger(str(tmp_path), 10, 1 << 20)
    failed: list[int] = []

    def work(base: int) -> None:
        for n in range(25):
            ticket = ledger.append(accepted(base + n))
            if not (ticket.done.wait(10) and ticket.is_durable):
                failed.append(base + n)

    threads = [threading.Thread(target=work, args=(base * 100,)) for base in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    assert failed == []
    assert len(ledger.state.open) == 400
    assert ledger.commits < 400
    assert ledger.close()
    assert len(read_back(tmp_path, 10).state.open) == 400


def test_a_revoked_ticket_is_not_written(tmp_path: pathlib.Path) -> None:
    gate = threading.Event()

    class Slow(FileOperations):
        def sync(self, descriptor: int) -> None:
            gate.wait(5)
            super().sync(descriptor)

    ledger = open_ledger(str(tmp_path), 10, 1 << 20, Slow())
    first = ledger.append(accepted(0))
    while not first.is_started:
        pass
    second = ledger.append(accepted(1))
    assert second.revoke()
    assert not first.revoke()
    gate.set()
    assert second.done.wait(5)
    assert not second.is_durable
    assert ledger.close()
    assert list(read_back(tmp_path, 10).state.open) == ["id-0"]
