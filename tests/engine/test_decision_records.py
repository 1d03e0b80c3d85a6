"""Decisions of the engine can be recorded and replayed."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.engine.decision_record_stream import DecisionRecordError
from saffronstack.engine.decision_recorder import DecisionRecorder
from saffronstack.engine.decision_replay import replay_decisions
from saffronstack.engine.dispatch import CommandResult, WorkerObservation
from saffronstack.routing.actions import Reject
from saffronstack.routing.events import Result, TimerFired
from tests.helpers import settings
from tests.support.engine import make_call, start_engine
from tests.support.stack import eventually


def events_after_cut(path: pathlib.Path) -> int:
    """Return how many events the record would replay after a kill at this moment; 0 while it is empty."""
    cut = path.with_name("cut.rec")
    cut.write_bytes(path.read_bytes())
    return replay_decisions(str(cut)).events if cut.stat().st_size else 0


def test_complete_and_truncated_records_can_be_replayed(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "day.rec"
    recorder = DecisionRecorder(str(path), settings(), 1)
    engine, _ = start_engine([Result.CONNECT_FAILED, Result.RESET, Result.OK] * 10, recorder)
    calls = [
        make_call(engine, n % 3) for n in range(60)
    ]  # at least one event each, even if workers are ejected
    for call in calls:
        engine.submit(call)
        call.wait(3)
    engine.notify(CommandResult(1, Result.OK, 0.1))
    engine.notify(WorkerObservation(2, "x", 0.5))
    eventually(lambda: events_after_cut(path) >= 60)  # the recorder's thread writes at intervals
    assert engine.stop()
    assert recorder.close()
    replayed = replay_decisions(str(path))
    assert replayed.events >= 60
    assert replayed.actions >= 30


def test_a_file_that_is_not_a_record_is_an_error(tmp_path: pathlib.Path) -> None:
    (tmp_path / "bad.rec").write_bytes(b"nothing of the kind")
    with pytest.raises(DecisionRecordError):
        replay_decisions(str(tmp_path / "bad.rec"))


def test_an_empty_file_is_an_error(tmp_path: pathlib.Path) -> None:
    (tmp_path / "empty.rec").write_bytes(b"")
    with pytest.raises(DecisionRecordError, match="the record is empty"):
        replay_decisions(str(tmp_path / "empty.rec"))


def test_a_decision_that_differs_is_an_error_that_names_its_entry(tmp_path: pathlib.Path) -> None:
    other = DecisionRecorder(str(tmp_path / "other.rec"), settings(), 1)
    other.record(1.0, TimerFired(3), [Reject(3)])
    assert other.close()
    with pytest.raises(DecisionRecordError, match=r"entry 1, at 1\.000000"):
        replay_decisions(str(tmp_path / "other.rec"))
