"""Tests of the operation table's decisions and memory limit."""

from __future__ import annotations

from saffronstack.engine.possible_execution import PossibleExecution
from saffronstack.operations.decisions import Coalesce, Execute, FingerprintMismatch, Reject, Replay
from saffronstack.operations.operation import (
    InFlightOperation,
    OperationRecord,
    OperationState,
    StoredResponse,
)
from saffronstack.operations.operation_table import IN_FLIGHT_BYTES, RECORD_OVERHEAD_BYTES, OperationTable
from saffronstack.operations.record_format import encode_record
from saffronstack.routing.settings import Idempotency

WINDOW_S = 100.0
FINGERPRINT = b"p" * 16


def execute(
    table: OperationTable,
    digest: bytes = b"a",
    now: float = 0.0,
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT,
) -> InFlightOperation:
    decision = table.admit(digest, FINGERPRINT, idempotency, WINDOW_S, f"id-{digest.hex()}", now)
    assert isinstance(decision, Execute)
    return decision.operation


def test_requests_coalesce_then_replay_then_execute_again_past_the_window() -> None:
    table = OperationTable(1 << 20)
    first = execute(table)
    again = table.admit(b"a", FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "id-2", 1.0)
    assert isinstance(again, Coalesce)
    assert again.operation is first
    response = StoredResponse(200, (("A", "b"),), b"body")
    table.complete(first, OperationState.COMPLETED, response, 5.0)
    for now in (6.0, 104.999):
        decision = table.admit(b"a", FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "id-3", now)
        assert isinstance(decision, Replay)
        assert (decision.record.response, decision.record.request_id) == (response, first.request_id)
    assert isinstance(
        table.admit(b"a", FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "id-4", 105.0), Execute
    )


def test_a_fingerprint_mismatch_changes_nothing() -> None:
    table = OperationTable(1 << 20)
    first = execute(table)
    assert table.admit(b"a", b"other", Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 1.0) == FingerprintMismatch(
        first.request_id
    )
    table.complete(first, OperationState.OUTCOME_UNKNOWN, None, 2.0)
    assert table.admit(b"a", b"other", Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 3.0) == FingerprintMismatch(
        first.request_id
    )
    assert isinstance(table.admit(b"a", FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 3.0), Replay)


def test_a_retry_of_what_may_have_executed_names_its_first_worker() -> None:
    table = OperationTable(1 << 20)
    first = execute(table, idempotency=Idempotency.WITH_KEY)
    table.mark_retryable(first, (PossibleExecution(7, 3.0),), 4.0, 4.5)
    second = execute(table, now=5.0, idempotency=Idempotency.WITH_KEY)
    assert second.previous is not None
    assert second.previous.executions == (PossibleExecution(7, 3.0),)
    assert second.request_id == first.request_id
    assert second.previous.attempt_in_flight_until_s == 4.5
    table.release(second)  # the retry was not executed; the first attempt may have been
    third = execute(table, now=7.0, idempotency=Idempotency.WITH_KEY)
    # A second worker may have executed it: the record still names the first one, and names both.
    table.mark_retryable(third, (PossibleExecution(9, 6.5),), 8.0)
    fourth = execute(table, now=9.0, idempotency=Idempotency.WITH_KEY)
    assert fourth.previous is not None
    assert fourth.previous.executions == (PossibleExecution(7, 3.0), PossibleExecution(9, 6.5))


def test_the_memory_limit_evicts_completed_operations_only() -> None:
    table = OperationTable(20_000)
    unknown = [execute(table, bytes([n]), 0.0) for n in range(5)]
    for n, operation in enumerate(unknown):
        table.complete(operation, OperationState.OUTCOME_UNKNOWN, None, float(n))
    for n in range(200):
        operation = execute(table, b"e%d" % n, 10.0 + n * 0.01)
        table.complete(
            operation, OperationState.COMPLETED, StoredResponse(200, (), b"x" * 100), 10.0 + n * 0.01
        )
        assert table.memory_bytes <= 20_000
    assert table.evicted_early > 100
    for n in range(5):
        assert isinstance(
            table.admit(bytes([n]), FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 20.0), Replay
        )
    newest = table.admit(b"e199", FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 20.0)
    assert isinstance(newest, Replay)
    decisions = [
        table.admit(b"o%d" % n, FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 20.0)
        for n in range(60)
    ]
    rejected = [decision for decision in decisions if isinstance(decision, Reject)]
    assert rejected
    assert table.memory_bytes <= 20_000
    assert 80.0 <= rejected[0].retry_after_s <= 84.0  # until enough windows have ended
    idempotent = table.admit(b"safe", FINGERPRINT, Idempotency.IDEMPOTENT, WINDOW_S, "x", 20.0)
    assert isinstance(idempotent, Execute)  # it is executed without an entry
    table.complete(idempotent.operation, OperationState.COMPLETED, StoredResponse(200, (), b""), 21.0)
    assert table.find(b"safe") is None
    after = table.admit(
        b"new", FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "x", 20.0 + rejected[0].retry_after_s
    )
    assert isinstance(after, Execute)


def test_memory_is_counted_back_to_nothing() -> None:
    table = OperationTable(1 << 20)
    for n in range(50):
        operation = execute(table, b"%d" % n, float(n))
        if n % 3 == 0:
            table.release(operation)
        elif n % 3 == 1:
            table.complete(operation, OperationState.COMPLETED, StoredResponse(200, (), b"y" * n), float(n))
        else:
            table.mark_retryable(operation, (PossibleExecution(1, 0.0),), float(n))
    table.expire(1000.0)
    assert (table.memory_bytes, len(table)) == (0, 0)


def test_a_million_operations_fit_the_documented_memory() -> None:
    """The estimated memory of 15 minutes at 1,100 operations per second stays below 512 MiB.

    Benchmarks measure the actual memory.
    """
    table = OperationTable(512 * 1024 * 1024)
    headers = (
        ("Content-Type", "application/json"),
        ("x-amzn-RequestId", "0" * 36),
        ("X-Amz-Executed-Version", "$LATEST"),
    )
    record = encode_record(
        OperationRecord(
            OperationState.COMPLETED,
            1.0,
            FINGERPRINT,
            "0" * 36,
            Idempotency.NON_IDEMPOTENT,
            StoredResponse(200, headers, b"{}"),
        )
    )
    assert (RECORD_OVERHEAD_BYTES + len(record)) * 1_000_000 < 512 * 1024 * 1024
    for n in range(20_000):
        decision = table.admit(
            n.to_bytes(12, "big"), FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, "0" * 36, 0.0
        )
        assert isinstance(decision, Execute)
        table.complete(decision.operation, OperationState.COMPLETED, StoredResponse(200, headers, b"{}"), 0.0)
    assert table.memory_bytes <= 20_000 * (RECORD_OVERHEAD_BYTES + len(record) + 16)
    assert IN_FLIGHT_BYTES > RECORD_OVERHEAD_BYTES
