"""Decision records of commit 0684301 are read, written and replayed unchanged."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec
import pytest

from saffronstack import Settings
from saffronstack.engine import decision_record_format as record_format
from saffronstack.engine.decision_record_format import action_from_tagged, event_from_tagged, from_stored
from saffronstack.engine.decision_record_stream import read_values
from saffronstack.engine.decision_recorder import DecisionRecorder
from saffronstack.engine.decision_replay import ReplayResult, replay_decisions
from tests.stored_formats.stored_files import DATA, record_values

RECORDED = DATA / "decision_record"
RECORDS = sorted(path.name for path in RECORDED.glob("*.record"))
EVENT_TAGS = {
    "ListUpdate",
    "Request",
    "Outcome",
    "Probed",
    "Loaded",
    "Woken",
    "ClientGone",
    "StreamStarted",
    "PeerMessage",
}
ACTION_TAGS = {
    "Send",
    "Refuse",
    "Fail",
    "Cancel",
    "Probe",
    "Load",
    "Unload",
    "WakeMe",
    "Watch",
    "FetchList",
    "Log",
}
RESULTS = {"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"}


def decoded_values(name: str) -> list[Any]:
    return [msgspec.msgpack.decode(value) for value in record_values(RECORDED / name)]


def write_again(values: list[bytes], path: pathlib.Path) -> None:
    """Decode the values and record them again. Only this function uses the present types' names."""
    head = msgspec.msgpack.decode(values[0])
    settings = from_stored(head["settings"], Settings)
    recorder = DecisionRecorder(str(path), settings, head["seed"])
    for value in values[1:]:
        now, event, actions = msgspec.msgpack.decode(value)
        recorder.record(now, event_from_tagged(event), [action_from_tagged(action) for action in actions])
    assert recorder.close()


@pytest.mark.parametrize("name", RECORDS)
def test_a_record_is_written_again_byte_by_byte(name: str, tmp_path: pathlib.Path) -> None:
    values = record_values(RECORDED / name)
    write_again(values, tmp_path / name)
    assert record_values(tmp_path / name) == values


@pytest.mark.parametrize("name", RECORDS)
def test_the_present_code_reads_the_same_values(name: str) -> None:
    with (RECORDED / name).open("rb") as file:
        assert list(read_values(file)) == record_values(RECORDED / name)


def test_a_record_of_real_decisions_replays() -> None:
    decisions = decoded_values("replayable.record")[1:]
    events, actions = len(decisions), sum(len(recorded) for _, _, recorded in decisions)
    assert events > 300
    assert actions > 300
    assert replay_decisions(str(RECORDED / "replayable.record")) == ReplayResult(events, actions)


def test_the_stored_record_holds_every_kind_of_event_and_action() -> None:
    decisions = decoded_values("every_kind.record")[1:]
    assert {event[0] for _, event, _ in decisions} == EVENT_TAGS
    assert {action[0] for _, _, actions in decisions for action in actions} == ACTION_TAGS


def test_the_present_code_knows_no_other_kinds() -> None:
    assert set(record_format.EVENT_TAGS.values()) == EVENT_TAGS
    assert set(record_format.ACTION_TAGS.values()) == ACTION_TAGS


def test_the_stored_records_hold_every_enum_member() -> None:
    events = [event for _, event, _ in decoded_values("every_kind.record")[1:]]
    heads = [decoded_values(name)[0]["settings"] for name in RECORDS]
    classes = [one for head in heads for one in head["classes"]]
    lists = [event for tag, event in events if tag == "ListUpdate"]
    for kind in ("Outcome", "Probed", "Loaded"):
        assert {event["result"] for tag, event in events if tag == kind} == RESULTS
    assert {event["found"] for tag, event in events if tag == "Outcome"} == {0, 1, 2, 3, 4}
    assert {event["kind"] for event in lists} == {0, 1, 2, 3}
    assert {worker["state"] for event in lists for worker in event["workers"]} == {0, 1, 2}
    assert {one["effect"] for one in classes} == {"safe", "keyed", "unsafe"}
    assert {one["group"] for one in classes} == {"all", "zone", "cell"}
    assert {head["miss_mode"] for head in heads} == {"load", "miss"}
    assert {head["report_via"] for head in heads} == {"answers", "probe", "none"}
