"""A rollout's plan, record and operators' requests, as commit 0684301 wrote them (`capture_control.py`)."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import msgspec
import pytest

from saffronstack.config.load import convert
from saffronstack.fleet.rollout.controller import Record, first
from saffronstack.fleet.rollout.plan import Format, Gateway, Plan, Release, Stage, batches, reach
from saffronstack.fleet.rollout.records import Said, decode, encode

DATA = pathlib.Path(__file__).parent / "data" / "rollout"
OLD = Release(version="1.4", digest="aa")
NEW = Release(version="1.5", digest="bb", formats=(Format(part="ledger", reads=(1, 2), writes=2),))
PLAN = Plan(
    name="to-1.5",
    base="0123456789abcdef0123456789abcdef",
    stages=(
        Stage(count=1, bake_s=30.0),
        Stage(groups=("ring0", "ring1"), bake_s=45.5),
        Stage(share=1.0, bake_s=90.0),
    ),
    settle_s=2.5,
    unavailable_most=3,
    on_doubt="back",
    one_way=True,
    false_stop=0.02,
    calls_least=150,
    memory_least_mb=8.0,
    descriptors_least=4.0,
    gross=0.25,
)
SMALL_PLAN = Plan(name="small", base="aa", stages=(Stage(share=1.0),))


def record(way: Any) -> Record:
    """A record with no field at its default."""
    return Record(
        plan=PLAN,
        old=OLD,
        new=NEW,
        way=way,
        stage=2,
        paused=True,
        spent=0.0125,
        word=9,
        why="worse: failed/sale",
        notes=("started: 1.4 to 1.5", "goes back: worse"),
    )


def test_a_plan_file_is_read_as_before() -> None:
    plan = convert((DATA / "plan.json5").read_text(), Plan, "plan.json5")
    assert plan == PLAN
    assert msgspec.json.encode(plan) == (DATA / "plan.json").read_bytes()


@pytest.mark.parametrize("way", ["forward", "held", "back", "done", "returned"])
def test_a_record_is_read_and_written_as_before(way: str) -> None:
    content = (DATA / f"record_{way}.json").read_bytes()
    decoded = decode(content)
    assert decoded == record(way)
    assert decoded is not None and encode(decoded) == content


def test_a_rollout_s_first_record_is_written_as_before() -> None:
    content = (DATA / "record_started.json").read_bytes()
    assert encode(first(SMALL_PLAN, OLD, NEW)) == content
    assert decode(content) == first(SMALL_PLAN, OLD, NEW)


@pytest.mark.parametrize("what", ["pause", "resume", "abort"])
def test_an_operator_s_request_is_read_and_written_as_before(what: str) -> None:
    content = (DATA / f"operator_{what}.json").read_bytes()
    decoded = msgspec.json.decode(content, type=Said)
    assert decoded == Said("to-1.5", what, 9)
    assert msgspec.json.encode(decoded) == content


def test_gateways_are_changed_in_the_same_order_as_before() -> None:
    """The order is no part of the record: a leader of another text must derive the same one."""
    fleet = [
        Gateway(name=f"g{n:02}", zone="abc"[n % 3], group="ring0" if n < 2 else "rest") for n in range(20)
    ]
    stages = (Stage(count=1), Stage(groups=("ring0",)), Stage(share=1.0))
    reached = reach(Plan(name="to-1.5", base="aa", stages=stages), fleet)
    expected = json.loads((DATA / "order.json").read_bytes())
    assert [list(stage) for stage in reached] == expected["stages"]
    assert [list(batch) for batch in batches(reached[-1], fleet, 3)] == expected["batches"]
