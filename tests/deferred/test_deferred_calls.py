"""The service for deferred calls: attempts, retries, final records, deliveries and recovery."""

from __future__ import annotations

import json
import threading
import time

import pytest

from saffronstack.config.build import Functions
from saffronstack.config.schema import Config
from saffronstack.deferred.call_acceptor import Submission
from saffronstack.deferred.deferred_calls import CallStatus, DeferredCalls
from saffronstack.deferred.errors import LedgerFullError
from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.records import AttemptStarted
from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.routing.events import PriorAttempt
from tests.deferred.conftest import FaultyDisk, ScriptedEngine
from tests.support.ledger import commit
from tests.support.stack import eventually

SERVED = FinalAnswer(FinalStatus.SERVED, b'{"sold": 1}', attempts=1)
REJECTED = FinalAnswer(FinalStatus.REJECTED, retry_after_s=0.05, attempts=1)
WORKER_ID = 7
RETRY_IS_DUE_AFTER_S = 600.0  # later than any retry of these tests
OBSERVED_S = 0.3


class ManualClock:
    """A monotonic clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = time.monotonic()

    def __call__(self) -> float:
        return self.now_s


def submission(request_id: str, function: str = "identify-copy") -> Submission:
    return Submission(request_id, function, "corner-books", b'{"op": 1}', idempotency_key="key")


def final_condition(deferred: DeferredCalls, request_id: str) -> str:
    """Wait for a call's final record, and return its condition."""

    def is_final() -> bool:
        report = deferred.report(request_id)
        return report is not None and report.status is CallStatus.FINAL

    eventually(is_final)
    report = deferred.report(request_id)
    assert report is not None
    assert report.invocation_record is not None
    return str(json.loads(report.invocation_record)["requestContext"]["condition"])


def test_a_call_is_reported_from_its_attempt_to_its_final_record(
    deferred: DeferredCalls, engine: ScriptedEngine
) -> None:
    deferred.accept(submission("id-1"))
    call = engine.wait_for_call(1)
    report = deferred.report("id-1")
    assert report is not None
    assert (report.tenant, report.status, report.attempts) == ("corner-books", CallStatus.RUNNING, 0)
    assert (call.request_id, call.payload, call.key) == ("id-1", b'{"op": 1}', "key")
    call.finish(SERVED)
    assert final_condition(deferred, "id-1") == "Success"
    eventually(lambda: deferred.finished_by_condition["Success"] == 1)
    assert deferred.open_calls == 0
    assert deferred.report("unknown") is None


def test_a_rejected_call_is_retried(deferred: DeferredCalls, engine: ScriptedEngine) -> None:
    deferred.accept(submission("id-1"))
    engine.wait_for_call(1).finish(REJECTED)
    engine.wait_for_call(2).finish(SERVED)
    assert final_condition(deferred, "id-1") == "Success"


def test_a_call_that_the_engine_rejects_is_retried(deferred: DeferredCalls, engine: ScriptedEngine) -> None:
    engine.is_full = True
    deferred.accept(submission("id-1"))
    time.sleep(0.1)
    engine.is_full = False
    engine.wait_for_call(1).finish(SERVED)
    assert final_condition(deferred, "id-1") == "Success"


def test_a_non_idempotent_call_that_may_have_been_executed_is_not_retried(
    deferred: DeferredCalls, engine: ScriptedEngine
) -> None:
    deferred.accept(submission("id-1", "record-sale"))
    call = engine.wait_for_call(1)
    prior = PriorAttempt(WORKER_ID, time.monotonic())
    call.finish(FinalAnswer(FinalStatus.FAILED, attempts=1, prior_attempts=(prior,)))
    assert final_condition(deferred, "id-1") == "OutcomeUnknown"


def test_a_call_of_an_unconfigured_function_ends_as_refused(deferred: DeferredCalls) -> None:
    deferred.accept(submission("id-1", "no-such-function"))
    assert final_condition(deferred, "id-1") == "Refused"


def test_a_final_record_is_delivered_as_a_call(deferred: DeferredCalls, engine: ScriptedEngine) -> None:
    deferred.accept(submission("id-1", "record-sale"))
    engine.wait_for_call(1).finish(SERVED)
    delivery = engine.wait_for_call(2)
    assert delivery.function.name == "identify-copy"
    assert json.loads(delivery.payload)["requestContext"]["requestId"] == "id-1"
    assert delivery.key == delivery.request_id


def test_attempts_of_a_non_idempotent_call_are_stored_first(
    deferred: DeferredCalls, engine: ScriptedEngine, ledger: Ledger
) -> None:
    deferred.accept(submission("id-1", "record-sale"))
    call = engine.wait_for_call(1)
    assert call.guard is not None
    assert call.guard.may_send([PriorAttempt(WORKER_ID, time.monotonic())])
    (attempt,) = ledger.state.open["id-1"].attempts
    assert (attempt.request_id, attempt.worker_id) == ("id-1", WORKER_ID)
    call.finish(REJECTED)  # certainly not executed
    eventually(lambda: not ledger.state.open["id-1"].attempts)


def test_an_attempt_that_is_not_stored_must_not_be_sent(
    deferred: DeferredCalls, engine: ScriptedEngine, disk: FaultyDisk
) -> None:
    deferred.accept(submission("id-1", "record-sale"))
    guard = engine.wait_for_call(1).guard
    assert guard is not None
    disk.is_full = True
    assert not guard.may_send([PriorAttempt(WORKER_ID, time.monotonic())])
    disk.is_full = False
    disk.unblocked.clear()
    assert not guard.may_send([PriorAttempt(WORKER_ID, time.monotonic())])


def test_a_gateway_that_lost_its_ledger_sends_no_attempt_of_an_idempotent_call(
    config: Config, ledger: Ledger, engine: ScriptedEngine
) -> None:
    """Without the check, a gateway that resumed after a takeover executed idempotent calls again."""
    ownership_answers = iter((True, False))
    deferred = DeferredCalls(
        config,
        ledger,
        engine,
        Functions(config),
        time.monotonic,
        time.time,
        owns_ledger=lambda: next(ownership_answers),
    )
    deferred.start()
    deferred.accept(submission("id-1", "identify-copy"))
    guard = engine.wait_for_call(1).guard
    assert guard is not None
    assert guard.may_send([PriorAttempt(WORKER_ID, time.monotonic())])
    assert not guard.may_send([PriorAttempt(WORKER_ID, time.monotonic())])
    deferred.stop(0.0)


def test_a_final_record_is_written_again_until_it_is_durable(
    deferred: DeferredCalls, engine: ScriptedEngine, disk: FaultyDisk, ledger: Ledger
) -> None:
    deferred.accept(submission("id-1"))
    call = engine.wait_for_call(1)
    disk.is_full = True
    call.finish(SERVED)
    eventually(lambda: ledger.write_error)
    assert "id-1" in ledger.state.open
    disk.is_full = False
    assert final_condition(deferred, "id-1") == "Success"


def test_no_more_calls_are_in_flight_than_configured(deferred: DeferredCalls, engine: ScriptedEngine) -> None:
    for number in range(3):
        deferred.accept(submission(f"id-{number}"))
    engine.wait_for_call(2)
    time.sleep(0.1)
    assert len(engine.calls) == 2
    engine.calls[0].finish(SERVED)
    assert engine.wait_for_call(3).request_id == "id-2"


def test_a_stopping_service_accepts_nothing_and_waits_for_calls_in_flight(
    deferred: DeferredCalls, engine: ScriptedEngine
) -> None:
    deferred.accept(submission("id-1"))
    call = engine.wait_for_call(1)
    assert not deferred.stop(0.05)
    with pytest.raises(LedgerFullError, match="stops"):
        deferred.accept(submission("id-2"))
    call.finish(REJECTED)
    assert deferred.stop(5.0)
    assert deferred.open_calls == 1


def processor_time_s(thread: threading.Thread) -> float:
    assert thread.ident is not None
    return time.clock_gettime(time.pthread_getcpuclockid(thread.ident))


@pytest.mark.parametrize("waits_for", ["a free place", "a retry"])
def test_a_stopping_service_uses_no_processor_while_it_waits_for_calls_in_flight(
    config: Config, ledger: Ledger, engine: ScriptedEngine, waits_for: str
) -> None:
    clock = ManualClock()
    earlier = set(threading.enumerate())
    service = DeferredCalls(config, ledger, engine, Functions(config), clock, time.time)
    service.start()
    (thread,) = [t for t in threading.enumerate() if t.name == "deferred" and t not in earlier]
    for number in range(3 if waits_for == "a free place" else 2):
        service.accept(submission(f"id-{number}"))
    engine.wait_for_call(2)
    assert not service.stop(0.0)
    engine.calls[0].finish(REJECTED)
    assert not service.stop(OBSERVED_S)  # the answer is handled
    clock.now_s += RETRY_IS_DUE_AFTER_S
    assert not service.stop(0.0)
    used_s = processor_time_s(thread)
    assert not service.stop(OBSERVED_S)
    assert processor_time_s(thread) - used_s < OBSERVED_S / 10
    engine.calls[1].finish(SERVED)
    assert service.stop(5.0)


def test_open_calls_of_an_earlier_incarnation_are_continued(
    config: Config, ledger: Ledger, engine: ScriptedEngine
) -> None:
    first = DeferredCalls(config, ledger, ScriptedEngine(), Functions(config), time.monotonic, time.time)
    first.accept(submission("id-1"))
    first.accept(submission("id-2", "record-sale"))
    commit(ledger, AttemptStarted("id-2", WORKER_ID, time.time() - 3600.0))
    second = DeferredCalls(config, ledger, engine, Functions(config), time.monotonic, time.time)
    second.start()
    call = engine.wait_for_call(1)
    assert (call.request_id, call.prior_attempts) == ("id-1", ())
    call.finish(SERVED)
    assert final_condition(second, "id-1") == "Success"
    assert final_condition(second, "id-2") == "OutcomeUnknown"
    second.stop(0.0)
