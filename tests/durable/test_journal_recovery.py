"""Recovery of journals after kills, torn writes, flipped bytes and lost segments."""

from __future__ import annotations

import pathlib
import shutil

import pytest

from saffronstack.deferred.call_table import CallTable
from saffronstack.deferred.ledger import open_ledger
from saffronstack.deferred.records import AttemptStarted, AttemptsVoided, CallWithdrawn, encode
from saffronstack.durable.block_format import encode_block
from saffronstack.durable.segment_scan import scan_segment
from saffronstack.durable.segments import list_segment_numbers, segment_name
from tests.support.ledger import (
    accepted_call,
    commit,
    finished_call,
    only_segment,
    open_filled_ledger,
    recover_ledger,
)


def test_state_survives_a_restart(tmp_path: pathlib.Path) -> None:
    ledger = open_filled_ledger(tmp_path)
    commit(ledger, AttemptStarted("id-1", 7, 2.0))
    commit(ledger, finished_call(0), accepted_call(9))
    commit(ledger, AttemptStarted("id-2", 7, 2.0))
    commit(ledger, AttemptsVoided("id-2"))
    commit(ledger, CallWithdrawn("id-3"))
    assert ledger.close()
    recovered = recover_ledger(tmp_path, 100)
    assert sorted(recovered.state.open) == ["id-1", "id-2", "id-4", "id-9"]
    assert recovered.state.open["id-1"].attempts == [AttemptStarted("id-1", 7, 2.0)]
    assert recovered.state.open["id-2"].attempts == []
    assert list(recovered.state.finished) == ["id-0"]
    assert not recovered.has_lost_records
    assert recovered.warnings == []


def test_a_torn_write_at_any_byte_loses_only_what_was_not_acknowledged(tmp_path: pathlib.Path) -> None:
    source = tmp_path / "complete"
    assert open_filled_ledger(source, 4).close()
    data = only_segment(source).read_bytes()
    first_copy_ends = [
        block.end for block in scan_segment(data).blocks
    ]  # a block is readable once its first copy is stored
    for kept_bytes in range(len(data)):
        target = tmp_path / "cut"
        shutil.rmtree(target, ignore_errors=True)
        target.mkdir()
        (target / only_segment(source).name).write_bytes(data[:kept_bytes])
        recovered = recover_ledger(target, 10)
        complete_blocks = sum(
            2 * end - first_copy_start(first_copy_ends, index) <= kept_bytes
            for index, end in enumerate(first_copy_ends)
        )
        assert len(recovered.state.open) >= complete_blocks
        assert sorted(recovered.state.open) == [f"id-{n}" for n in range(len(recovered.state.open))]
        assert not recovered.has_lost_records, kept_bytes


def first_copy_start(first_copy_ends: list[int], index: int) -> int:
    """Return where a block's first copy begins: at the end of the second copy of the block before it."""
    start = 0
    for end in first_copy_ends[:index]:
        start = 2 * end - start
    return start


def test_a_flipped_byte_anywhere_loses_nothing(tmp_path: pathlib.Path) -> None:
    source = tmp_path / "complete"
    assert open_filled_ledger(source, 3).close()
    name = only_segment(source).name
    data = only_segment(source).read_bytes()
    target = tmp_path / "flipped"
    target.mkdir()
    for offset in range(len(data)):
        (target / name).write_bytes(data[:offset] + bytes([data[offset] ^ 0x10]) + data[offset + 1 :])
        recovered = recover_ledger(target, 10)
        assert sorted(recovered.state.open) == ["id-0", "id-1", "id-2"], offset
        assert not recovered.has_lost_records
        if offset < len(data) - len(data) // 6:
            assert any(name in line and "byte" in line for line in recovered.warnings), offset


def test_damage_to_both_copies_makes_every_open_call_uncertain(tmp_path: pathlib.Path) -> None:
    assert open_filled_ledger(tmp_path, 3).close()
    path = only_segment(tmp_path)
    data = bytearray(path.read_bytes())
    block = scan_segment(bytes(data)).blocks[1]
    size = block.end - block.start
    for offset in (block.start + 30, block.start + 30 + size):
        data[offset] ^= 1
    path.write_bytes(data)
    recovered = recover_ledger(tmp_path, 10)
    assert recovered.has_lost_records
    assert any("both copies" in line or "missing" in line for line in recovered.warnings)
    assert all(call.attempts for call in recovered.state.open.values())
    ledger = open_ledger(
        str(tmp_path), 10, 1 << 20
    )  # the calls stay uncertain after the next start and its compaction
    commit(ledger, accepted_call(50))
    assert ledger.close()
    again = recover_ledger(tmp_path, 10)
    assert not again.has_lost_records
    assert again.state.open["id-0"].attempts
    assert not again.state.open["id-50"].attempts


def test_a_missing_segment_is_detected(tmp_path: pathlib.Path) -> None:
    assert open_filled_ledger(tmp_path, 40, segment_bytes=600).close()
    numbers = list_segment_numbers(tmp_path)
    assert len(numbers) > 3
    (tmp_path / segment_name(numbers[1])).unlink()
    assert recover_ledger(tmp_path, 10).has_lost_records


def test_a_failed_block_that_stayed_on_the_disk_is_replaced_by_the_later_segment(
    tmp_path: pathlib.Path,
) -> None:
    acknowledged = encode_block(0, [encode(accepted_call(0))])
    failed = encode_block(1, [encode(accepted_call(1))])
    later = encode_block(1, [encode(accepted_call(2))])
    (tmp_path / segment_name(1)).write_bytes(acknowledged * 2 + failed * 2)
    (tmp_path / segment_name(2)).write_bytes(later * 2)
    recovered = recover_ledger(tmp_path, 10)
    assert sorted(recovered.state.open) == ["id-0", "id-2"]
    assert not recovered.has_lost_records


@pytest.mark.parametrize("keep_older", [0, 1, 2])
def test_a_kill_between_a_snapshot_and_the_removal_of_older_segments(
    tmp_path: pathlib.Path, keep_older: int
) -> None:
    """Recovery ignores segments older than a snapshot, even if some of them are missing or damaged."""
    older = tmp_path / "older"
    assert open_filled_ledger(older, 30, segment_bytes=600).close()
    numbers = list_segment_numbers(older)
    target = tmp_path / "target"
    target.mkdir()
    for number in numbers[len(numbers) - keep_older :] if keep_older else []:
        shutil.copy(older / segment_name(number), target)
    ledger = open_ledger(str(older), 10, 1 << 20)  # its writer thread may remove segments from here on
    ledger.recovered.warnings = ["compact at once"]
    table = CallTable(10)
    table.apply(accepted_call(77))
    block = encode_block(9999, [encode(item) for item in table.snapshot()])
    (target / segment_name(numbers[-1] + 1)).write_bytes(block * 2)
    assert ledger.close()
    recovered = recover_ledger(target, 10)
    assert list(recovered.state.open) == ["id-77"]
    assert not recovered.has_lost_records
