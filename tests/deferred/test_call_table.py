"""The state that results from the ledger's records."""

from __future__ import annotations

import pytest

from saffronstack.deferred.call_table import CallTable
from saffronstack.deferred.records import (
    AttemptStarted,
    AttemptsVoided,
    CallAccepted,
    CallOperation,
    CallWithdrawn,
)
from tests.support.ledger import accepted_call, finished_call


@pytest.fixture
def table() -> CallTable:
    return CallTable(max_finished=2)


def call_with_operation(
    request_id: str, digest: bytes, accepted_at: float = 0.0, expires_at: float = 10.0
) -> CallAccepted:
    return CallAccepted(request_id, "f", "t", b"{}", "", "", accepted_at, digest, b"packed", expires_at)


def test_an_accepted_call_is_open_once(table: CallTable) -> None:
    table.apply(accepted_call(1))
    open_bytes = table.open_bytes
    table.apply(accepted_call(1))
    assert list(table.open) == ["id-1"]
    assert table.open_bytes == open_bytes > 0


def test_a_finished_call_is_no_longer_open_and_cannot_be_accepted_again(table: CallTable) -> None:
    table.apply(accepted_call(1))
    table.apply(finished_call(1))
    table.apply(accepted_call(1))
    assert not table.open
    assert list(table.finished) == ["id-1"]
    assert table.open_bytes == 0


def test_the_first_final_record_of_a_call_is_kept(table: CallTable) -> None:
    first = finished_call(1)
    table.apply(first)
    table.apply(type(first)("id-1", "f", "t", 9.0, b"second"))
    assert table.finished["id-1"] is first


def test_the_oldest_final_records_are_forgotten(table: CallTable) -> None:
    for number in range(4):
        table.apply(finished_call(number))
    assert list(table.finished) == ["id-2", "id-3"]


def test_attempts_are_kept_until_they_are_voided(table: CallTable) -> None:
    table.apply(accepted_call(1))
    table.apply(AttemptStarted("id-1", 7, 1.0))
    table.apply(AttemptStarted("id-2", 7, 1.0))
    assert table.open["id-1"].attempts == [AttemptStarted("id-1", 7, 1.0)]
    table.apply(AttemptsVoided("id-1"))
    assert table.open["id-1"].attempts == []


def test_withdrawing_a_call_removes_its_operation(table: CallTable) -> None:
    table.apply(call_with_operation("id-1", b"one"))
    table.apply(CallWithdrawn("id-1"))
    assert not table.open
    assert not table.operations


def test_withdrawing_a_call_keeps_an_operation_that_a_later_call_uses(table: CallTable) -> None:
    table.apply(call_with_operation("id-1", b"one"))
    table.apply(call_with_operation("id-2", b"one"))
    table.apply(CallWithdrawn("id-1"))
    assert table.operations[b"one"].request_id == "id-2"


def test_expired_operations_are_removed_when_a_later_one_is_stored(table: CallTable) -> None:
    table.apply(call_with_operation("id-1", b"one", expires_at=10.0))
    table.apply(call_with_operation("id-2", b"two", accepted_at=9.0, expires_at=20.0))
    assert list(table.operations) == [b"one", b"two"]
    table.apply(call_with_operation("id-3", b"three", accepted_at=10.0, expires_at=20.0))
    assert list(table.operations) == [b"two", b"three"]


def test_lost_records_make_every_open_call_one_that_may_have_been_executed(table: CallTable) -> None:
    table.apply(accepted_call(1))
    table.mark_records_lost()
    assert table.open["id-1"].attempts == [AttemptStarted("id-1", 0, 0.0)]


def test_a_snapshot_replaces_the_previous_state(table: CallTable) -> None:
    table.apply(call_with_operation("id-5", b"five"))
    table.apply(finished_call(1))
    table.apply(AttemptStarted("id-5", 7, 1.0))
    table.apply(CallOperation(b"old", b"packed", 99.0, "id-0"))
    other = CallTable(max_finished=2)
    other.apply(accepted_call(9))
    for record in table.snapshot():
        other.apply(record)
    assert other.open == table.open
    assert other.finished == table.finished
    assert other.operations == table.operations
    assert other.open_bytes == table.open_bytes
