"""The operation log tells which attempts of an operation may have been executed, whenever its holder dies."""

from __future__ import annotations

import pathlib
import time
from collections.abc import Iterator

import msgspec
import pytest

from saffronstack.durable.journal_recovery import recover_journal
from saffronstack.engine.localities import LocalityNumbers
from saffronstack.engine.possible_execution import LONG_AGO, UNKNOWN_EXECUTION, PossibleExecution
from saffronstack.operations.decisions import Execute
from saffronstack.operations.execution import Completed, Execution, NotCompleted
from saffronstack.operations.operation import OperationRecord, OperationState, StoredResponse
from saffronstack.operations.operation_log import (
    OPERATION_LOG_CODEC,
    AnyLogRecord,
    AttemptStarted,
    OperationFinished,
    OperationLog,
    OperationLogState,
    OperationReleased,
    OperationsExpired,
    open_operation_log,
)
from saffronstack.operations.operation_request import DeduplicationPolicy, OperationRequest
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.operation_table import OperationTable
from saffronstack.operations.record_format import decode_record, encode_record
from saffronstack.operations.slot_assignment import SLOT_COUNT
from saffronstack.operations.slot_handover import OperationHandover
from saffronstack.operations.slot_locks import RecordLocation
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency

DIGEST, FINGERPRINT, WINDOW_S = b"a" * 12, b"p" * 16, 900.0
POLICY = DeduplicationPolicy(Idempotency.WITH_KEY, WINDOW_S, True)
RACKS = ["rack-0", "rack-1"]


@pytest.fixture
def log(tmp_path: pathlib.Path) -> Iterator[OperationLog]:
    log = open_operation_log(str(tmp_path / "log"), 1 << 20)
    yield log
    assert log.close()


def service(log: OperationLog) -> OperationService:
    return OperationService(
        OperationTable(1 << 20), time.monotonic, time.time, log, localities=LocalityNumbers(["zone"], RACKS)
    )


def begin(operations: OperationService) -> Execution:
    """Begin the operation as a request of a client does."""
    decision = operations.table.admit(
        DIGEST, FINGERPRINT, Idempotency.WITH_KEY, WINDOW_S, "id-1", operations.now()
    )
    assert isinstance(decision, Execute)
    decision.operation.execution = execution = Execution(decision.operation, POLICY)
    return execution


def sent(rack: int, age_s: float = 0.0) -> PriorAttempt:
    """Return an attempt at the worker of a rack."""
    return PriorAttempt(rack + 1, time.monotonic() - age_s, 0, rack)


def recovered(state: OperationLogState) -> OperationRecord:
    ((digest, encoded),) = state.recovered_operations()
    assert digest == DIGEST
    return decode_record(encoded)


def started(worker_id: int, sent_s: float, cell: str = "rack-0") -> AttemptStarted:
    return AttemptStarted(
        DIGEST,
        FINGERPRINT,
        Idempotency.WITH_KEY,
        "id-1",
        WINDOW_S,
        worker_id,
        sent_s,
        "zone" if cell else "",
        cell,
    )


def finished(
    state: OperationState, executions: tuple[PossibleExecution, ...], expires_s: float
) -> OperationFinished:
    response = StoredResponse(200, (), b"{}") if state is OperationState.COMPLETED else None
    record = OperationRecord(
        state, expires_s, FINGERPRINT, "id-1", Idempotency.WITH_KEY, response, executions
    )
    return OperationFinished(DIGEST, encode_record(record), expires_s)


def test_a_refused_attempt_is_removed_before_the_next_one_is_sent(log: OperationLog) -> None:
    """Guards against a log that keeps the first attempt alone, though it was refused."""
    operations = service(log)
    guard = operations.attempt_guard(begin(operations))
    assert guard.may_send([sent(0)])
    assert guard.may_send([sent(1)])  # the engine leaves out the first one, which was refused
    (execution,) = recovered(log.state).executions
    assert (execution.worker_id, execution.zone, execution.cell) == (2, "zone", "rack-1")


def test_attempts_in_several_racks_are_all_kept(log: OperationLog, tmp_path: pathlib.Path) -> None:
    operations = service(log)
    guard = operations.attempt_guard(begin(operations))
    first = sent(0, 0.1)
    assert guard.may_send([first])
    assert guard.may_send([first, sent(1)])
    state = OperationLogState()
    recover_journal(tmp_path / "log", state, OPERATION_LOG_CODEC)
    for source in (log.state, state):
        assert [execution.cell for execution in recovered(source).executions] == RACKS


def test_an_execution_that_is_repeated_keeps_the_time_of_its_first_attempt(log: OperationLog) -> None:
    """Guards against a window that counts from the attempt that was out when the process was killed."""
    operations = service(log)
    request = OperationRequest(DIGEST, FINGERPRINT, POLICY, "id-1", time.monotonic() + 5.0, lambda: True)
    first = sent(0, 4.0)

    def lose_response(execution: Execution, prior: tuple[PriorAttempt, ...]) -> Completed | NotCompleted:
        assert prior == ()
        assert operations.attempt_guard(execution).may_send([first])
        return NotCompleted(TimeoutError("lost"), (first,))

    def be_killed(execution: Execution, prior: tuple[PriorAttempt, ...]) -> Completed | NotCompleted:
        assert operations.attempt_guard(execution).may_send([*prior, sent(0)])
        found.append(recovered(log.state))
        return NotCompleted(TimeoutError("killed"), prior)

    found: list[OperationRecord] = []
    for execute in (lose_response, be_killed):
        with pytest.raises(TimeoutError):
            operations.perform(request, execute)
    (record,) = found
    assert record.state is OperationState.RETRYABLE
    assert operations.now() - record.executions[0].sent_at == pytest.approx(4.0, abs=1.0)


def test_a_slot_that_is_taken_over_keeps_the_time_of_the_first_attempt(tmp_path: pathlib.Path) -> None:
    """Guards against review case 6, with the records of the version that showed it.

    They name the first attempt in the record of the earlier execution alone, and the second in the open one.
    """
    now = time.time()
    with open_operation_log(str(tmp_path / "dead"), 1 << 20) as dead:
        first = (PossibleExecution(1, now - 4.7),)
        ticket = dead.append(
            finished(OperationState.RETRYABLE, first, now + WINDOW_S), started(1, now - 1.8, "")
        )
        assert ticket.done.wait(5.0)
    with open_operation_log(str(tmp_path / "own"), 1 << 20) as own:
        operations = service(own)
        handover = OperationHandover(operations, str(tmp_path / "own"), lambda path: [])
        location = RecordLocation(str(tmp_path / "dead"), "")
        handover.take_over(frozenset(range(SLOT_COUNT)), [location], [])
        record = operations.find(DIGEST)
        assert isinstance(record, OperationRecord)
        assert record.executions[0] == first[0]
        assert recovered(own.state) == record


def test_a_known_response_stands_beside_a_later_execution_that_was_killed() -> None:
    """The table evicts responses before their window ends; the operation may then be begun anew."""
    state = OperationLogState()
    state.apply(finished(OperationState.COMPLETED, (), 100.0))
    state.apply(started(1, 50.0))
    assert recovered(state).state is OperationState.COMPLETED


def test_an_expired_record_tells_nothing_of_a_later_execution() -> None:
    state = OperationLogState()
    state.apply(finished(OperationState.RETRYABLE, (PossibleExecution(2, 1.0),), 40.0))
    state.apply(started(1, 50.0))
    assert [execution.worker_id for execution in recovered(state).executions] == [1]


def test_an_operation_expires_with_its_last_attempt() -> None:
    state = OperationLogState()
    state.apply(started(1, 50.0))
    state.apply(started(2, 60.0, "rack-1"))
    state._expire(50.0 + WINDOW_S)
    assert recovered(state).expires_s == 60.0 + WINDOW_S
    state._expire(60.0 + WINDOW_S)
    assert not state.in_flight


@pytest.mark.parametrize("has_ended", [True, False], ids=["retryable", "in flight"])
def test_after_lost_records_an_operation_may_have_executed_anywhere(has_ended: bool) -> None:
    """Guards against a retry in one rack though a lost record told of an attempt in another."""
    state = OperationLogState()
    if has_ended:
        state.apply(
            finished(OperationState.RETRYABLE, (PossibleExecution(1, 50.0, "zone", "rack-0"),), 900.0)
        )
    else:
        state.apply(started(1, 50.0))
    state.mark_records_lost()
    again = OperationLogState()
    for record in state.snapshot():
        again.apply(record)
    for source in (state, again):
        executions = recovered(source).executions
        assert executions[0] == UNKNOWN_EXECUTION
        assert executions[1].cell == "rack-0"
    assert again.estimate_snapshot_bytes() == state.estimate_snapshot_bytes()


def test_a_damaged_log_does_not_name_a_rack_for_the_next_attempt(tmp_path: pathlib.Path) -> None:
    """Guards against a retry in the rack of a refused attempt, whose voiding was in the damaged block."""
    now = time.time()
    with open_operation_log(str(tmp_path), 1 << 20) as log:
        commits: list[list[AnyLogRecord]] = [
            [started(1, now)],
            [OperationReleased(DIGEST), started(2, now, "rack-1")],
            [OperationsExpired(0.0)],
        ]
        for records in commits:
            ticket = log.append(*records)
            assert ticket.done.wait(5.0)
    (segment,) = tmp_path.glob("*.seg")
    content = segment.read_bytes()
    segment.write_bytes(content.replace(b"rack-1", b"rack-0"))
    with open_operation_log(str(tmp_path), 1 << 20) as log:
        assert log.recovered.has_lost_records
        operations = service(log)
        operations.start()
        prior = operations._prior_attempts(begin(operations).operation)
        assert operations._clock.to_unix(prior[0].sent_s) == pytest.approx(LONG_AGO, abs=1.0)
        assert operations.stop()


def test_a_time_to_come_counts_as_long_ago(log: OperationLog) -> None:
    """Guards against a window that lasts longer because the clock was set back."""
    operations = service(log)
    record = finished(
        OperationState.RETRYABLE, (PossibleExecution(1, time.time() + 60.0),), time.time() + 900
    )
    operations.restore([(DIGEST, record.record)])
    prior = operations._prior_attempts(begin(operations).operation)
    assert operations._clock.to_unix(prior[0].sent_s) == pytest.approx(LONG_AGO, abs=1.0)


def test_an_earlier_version_reads_the_first_fields_of_an_attempt() -> None:
    """A gateway that goes back to an earlier release finds what it knows at the same place."""
    located = msgspec.msgpack.decode(OPERATION_LOG_CODEC.encode(started(7, 3.0)))
    plain = msgspec.structs.replace(started(7, 3.0), zone="", cell="")
    assert located[:8] == msgspec.msgpack.decode(OPERATION_LOG_CODEC.encode(plain))
    assert located[8:] == ["zone", "rack-0"]
