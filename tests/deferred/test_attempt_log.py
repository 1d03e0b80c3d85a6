"""The ledger tells which attempts of a call may have been executed, whenever the gateway dies."""

from __future__ import annotations

import pathlib
import time
from dataclasses import replace

import pytest
from msgspec import structs

from saffronstack.config.build import Functions
from saffronstack.config.schema import Config
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.records import AttemptStarted
from saffronstack.engine.calls import AttemptGuard, Call, FinalAnswer, FinalStatus
from saffronstack.engine.localities import LocalityNumbers
from saffronstack.routing.events import PriorAttempt
from tests.deferred.conftest import FaultyDisk, ScriptedEngine
from tests.deferred.test_deferred_calls import REJECTED, SERVED, final_condition, submission
from tests.support.ledger import commit, recover_ledger
from tests.support.stack import eventually

KEYED, ID = "adjust-setting", "id-1"
ZONES, RACKS = ["zone"], ["rack-0", "rack-1", "rack-2"]


def sent(rack: int, age_s: float = 0.0) -> PriorAttempt:
    """Return an attempt at the worker of a rack."""
    return PriorAttempt(rack + 1, time.monotonic() - age_s, 0, rack)


def service(config: Config, ledger: Ledger, engine: ScriptedEngine) -> DeferredCalls:
    localities = LocalityNumbers(ZONES, RACKS)
    return DeferredCalls(
        config, ledger, engine, Functions(config), time.monotonic, time.time, localities=localities
    )


@pytest.fixture
def call(config: Config, ledger: Ledger, engine: ScriptedEngine) -> Call:
    """A keyed call that the engine has."""
    deferred = service(config, ledger, engine)
    deferred.start()
    deferred.accept(submission(ID, KEYED))
    return engine.wait_for_call(1)


def guard_of(call: Call) -> AttemptGuard:
    assert call.guard is not None
    return call.guard


def stored_racks(ledger: Ledger) -> list[str]:
    return [attempt.cell for attempt in ledger.state.open[ID].attempts]


def recovered_racks(config: Config, ledger: Ledger) -> list[int | None]:
    """Return the racks in which the next incarnation takes the call for possibly executed."""
    engine = ScriptedEngine()
    deferred = service(config, ledger, engine)
    deferred.start()
    prior_attempts = engine.wait_for_call(1).prior_attempts
    deferred.stop(0.0)
    return [prior.cell for prior in prior_attempts]


def test_a_refused_attempt_is_voided_before_the_next_one_is_sent(
    config: Config, ledger: Ledger, call: Call
) -> None:
    """Guards against a recovery that takes the refused attempt for the one that may have executed."""
    assert guard_of(call).may_send([sent(0)])
    assert guard_of(call).may_send([sent(1)])  # the engine leaves out the first one, which was refused
    assert guard_of(call).may_send([sent(2)])
    assert stored_racks(ledger) == ["rack-2"]
    assert recovered_racks(config, ledger) == [2]


def test_the_voiding_is_in_the_commit_of_the_next_attempt(
    config: Config, ledger: Ledger, call: Call, tmp_path: pathlib.Path
) -> None:
    """Guards against a kill between two commits, which would leave both attempts or neither."""
    assert guard_of(call).may_send([sent(0)])
    (segment,) = tmp_path.glob("*.seg")
    before = segment.read_bytes().rstrip(b"\0")
    assert guard_of(call).may_send([sent(1)])
    after = segment.read_bytes()
    copy = tmp_path / "copy"
    copy.mkdir()
    racks = []
    for length in [*range(len(before), len(after.rstrip(b"\0"))), len(after)]:
        (copy / segment.name).write_bytes(after[:length])
        (attempt,) = recover_ledger(copy, 10).state.open[ID].attempts
        racks.append(attempt.cell)
    assert len(racks) > 20
    assert racks == sorted(racks)
    assert (racks[0], racks[-1]) == ("rack-0", "rack-1")


@pytest.mark.parametrize("lost_first", [True, False], ids=["lost, then full", "full, then lost"])
def test_an_attempt_whose_answer_was_lost_stays_stored(
    config: Config, ledger: Ledger, call: Call, lost_first: bool
) -> None:
    lost, full, last = sent(1, 0.2), sent(0, 0.3), sent(1)
    if lost_first:
        lost, full = replace(lost, sent_s=full.sent_s), replace(full, sent_s=lost.sent_s)
    attempts = [[lost], [lost, full], [lost, last]] if lost_first else [[full], [lost], [lost, last]]
    for guarded in attempts:
        assert guard_of(call).may_send(guarded)
    assert stored_racks(ledger) == ["rack-1", "rack-1"]
    assert recovered_racks(config, ledger) == [1]
    first = min(attempt.sent_at for attempt in ledger.state.open[ID].attempts)
    assert first == pytest.approx(lost.sent_s + time.time() - time.monotonic(), abs=0.05)


def test_attempts_of_several_racks_that_may_have_executed_are_all_recovered(
    config: Config, ledger: Ledger, call: Call
) -> None:
    assert guard_of(call).may_send([sent(0)])
    assert guard_of(call).may_send([sent(0, 0.1), sent(1)])
    assert recovered_racks(config, ledger) == [0, 1]


def test_the_end_of_the_call_in_the_engine_is_stored_during_the_backoff(
    config: Config, ledger: Ledger, call: Call
) -> None:
    """Guards against taking the refused attempt along until the next one is sent."""
    lost, full = sent(1, 0.1), sent(0)
    assert guard_of(call).may_send([lost])
    assert guard_of(call).may_send([lost, full])
    call.finish(replace(REJECTED, attempts=2, prior_attempts=(lost,)))
    eventually(lambda: stored_racks(ledger) == ["rack-1"])


def test_an_attempt_that_was_stored_but_not_sent_is_voided(
    config: Config, ledger: Ledger, call: Call, engine: ScriptedEngine
) -> None:
    """An attempt is stored, and its connection then takes no byte, or its time has passed."""
    assert guard_of(call).may_send([sent(0)])
    call.finish(REJECTED)
    eventually(lambda: not stored_racks(ledger))
    assert engine.wait_for_call(2).prior_attempts == ()


def test_a_voiding_that_a_full_disk_lost_is_in_the_commit_of_the_next_attempt(
    config: Config, ledger: Ledger, call: Call, disk: FaultyDisk, engine: ScriptedEngine
) -> None:
    """Guards against a refused attempt that stays stored beside the next one."""
    assert guard_of(call).may_send([sent(0)])
    disk.is_full = True
    call.finish(REJECTED)
    following = engine.wait_for_call(2)
    eventually(lambda: ledger.write_error)
    disk.is_full = False
    assert stored_racks(ledger) == ["rack-0"]
    eventually(lambda: guard_of(following).may_send([sent(1)]))
    assert stored_racks(ledger) == ["rack-1"]


def test_an_attempt_whose_commit_timed_out_is_voided_by_the_next(
    config: Config, ledger: Ledger, call: Call, disk: FaultyDisk
) -> None:
    """The record may become durable after the time-out, though the attempt was not sent."""
    disk.unblocked.clear()
    assert not guard_of(call).may_send([sent(0)])
    disk.unblocked.set()
    eventually(lambda: not ledger.stalled_s)
    assert guard_of(call).may_send([sent(1)])
    assert stored_racks(ledger) == ["rack-1"]


def test_an_end_that_is_not_durable_leaves_the_attempt_that_was_served(
    config: Config, ledger: Ledger, call: Call, disk: FaultyDisk
) -> None:
    assert guard_of(call).may_send([sent(0)])
    assert guard_of(call).may_send([sent(1)])
    disk.is_full = True
    call.finish(SERVED)
    eventually(lambda: ledger.write_error)
    assert stored_racks(ledger) == ["rack-1"]
    disk.is_full = False
    eventually(lambda: ID not in ledger.state.open)


def test_the_time_of_the_first_attempt_counts_though_it_ended_last(
    config: Config, ledger: Ledger, call: Call, engine: ScriptedEngine
) -> None:
    """Guards against a window that counts from the attempt whose end was reported first."""
    early, late = sent(0, 0.4), sent(0, 0.1)
    call.finish(FinalAnswer(FinalStatus.REJECTED, attempts=2, prior_attempts=(late, early)))
    (prior,) = engine.wait_for_call(2).prior_attempts
    assert prior.sent_s == pytest.approx(early.sent_s, abs=0.01)


def test_a_failed_call_without_a_known_attempt_is_not_sent_again(
    config: Config, ledger: Ledger, engine: ScriptedEngine
) -> None:
    """Guards against a window that counts from the report of the failure."""
    deferred = service(config, ledger, engine)
    deferred.start()
    deferred.accept(submission(ID, KEYED))
    engine.wait_for_call(1).finish(FinalAnswer(FinalStatus.FAILED))
    assert final_condition(deferred, ID) == "OutcomeUnknown"
    deferred.stop(0.0)


def test_attempts_stored_by_an_earlier_version_are_all_recovered(
    config: Config, ledger: Ledger, call: Call
) -> None:
    """Earlier versions did not void refused attempts: each stored one may have executed."""
    now = time.time()
    commit(ledger, AttemptStarted(ID, 1, now - 0.2), AttemptStarted(ID, 2, now - 0.1))
    engine = ScriptedEngine()
    deferred = service(config, ledger, engine)
    deferred.start()
    prior_attempts = engine.wait_for_call(1).prior_attempts
    deferred.stop(0.0)
    assert [(prior.worker_id, prior.zone, prior.cell) for prior in prior_attempts] == [
        (1, None, None),
        (2, None, None),
    ]


def test_a_call_that_may_have_executed_in_two_racks_ends_without_another_attempt(
    config: Config, ledger: Ledger, engine: ScriptedEngine
) -> None:
    classes = [structs.replace(request_class, group="cell") for request_class in config.classes]
    deferred = service(structs.replace(config, classes=classes), ledger, engine)
    deferred.start()
    deferred.accept(submission(ID, KEYED))
    answer = FinalAnswer(FinalStatus.REJECTED, attempts=2, prior_attempts=(sent(0), sent(1)))
    engine.wait_for_call(1).finish(answer)
    assert final_condition(deferred, ID) == "OutcomeUnknown"
    assert len(engine.calls) == 1
    deferred.stop(0.0)


def test_lost_records_leave_no_time_to_send_a_keyed_call_again(
    config: Config, ledger: Ledger, call: Call
) -> None:
    assert guard_of(call).may_send([sent(0)])
    ledger.state.mark_records_lost()
    deferred = service(config, ledger, ScriptedEngine())
    deferred.start()
    assert final_condition(deferred, ID) == "OutcomeUnknown"
    deferred.stop(0.0)
