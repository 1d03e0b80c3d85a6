"""Rollout plans, records and operators' requests keep the format of commit 0684301 (`capture_control.py`)."""

from __future__ import annotations

import json
import pathlib

import msgspec
import pytest

from saffronstack.config.load import convert
from saffronstack.fleet.rollout.operator_requests import (
    OperatorAction,
    OperatorRequest,
    decode_request,
    encode_request,
)
from saffronstack.fleet.rollout.plan import (
    DataFormat,
    FleetGateway,
    InconclusivePolicy,
    Release,
    RolloutPlan,
    Stage,
)
from saffronstack.fleet.rollout.record import (
    RolloutPhase,
    RolloutRecord,
    create_record,
    decode_record,
    encode_record,
)
from saffronstack.fleet.rollout.rollout_order import stage_targets, zone_batches

DATA = pathlib.Path(__file__).parent / "data" / "rollout"
OLD = Release(version="1.4", digest="aa")
NEW = Release(
    version="1.5",
    digest="bb",
    formats=(DataFormat(component="ledger", readable_versions=(1, 2), written_version=2),),
)
PLAN = RolloutPlan(
    name="to-1.5",
    base_digest="0123456789abcdef0123456789abcdef",
    stages=(
        Stage(count=1, bake_s=30.0),
        Stage(groups=("ring0", "ring1"), bake_s=45.5),
        Stage(share=1.0, bake_s=90.0),
    ),
    settle_s=2.5,
    max_unavailable=3,
    on_inconclusive=InconclusivePolicy.ROLL_BACK,
    allow_irreversible=True,
    false_stop_probability=0.02,
    min_calls=150,
    min_memory_growth_mb=8.0,
    min_descriptor_growth=4.0,
    gross_failure_increase=0.25,
)
SMALL_PLAN = RolloutPlan(name="small", base_digest="aa", stages=(Stage(share=1.0),))


def record(phase: RolloutPhase) -> RolloutRecord:
    """Return a record in which no field has its default value."""
    return RolloutRecord(
        plan=PLAN,
        old_release=OLD,
        new_release=NEW,
        phase=phase,
        stage=2,
        is_paused=True,
        alpha_spent=0.0125,
        last_request=9,
        reason="worse: failed/sale",
        history=("started: 1.4 to 1.5", "goes back: worse"),
    )


def test_a_plan_file_is_read_as_before() -> None:
    plan = convert((DATA / "plan.json5").read_text(), RolloutPlan, "plan.json5")
    assert plan == PLAN
    assert msgspec.json.encode(plan) == (DATA / "plan.json").read_bytes()


@pytest.mark.parametrize("phase", RolloutPhase)
def test_a_record_is_read_and_written_as_before(phase: RolloutPhase) -> None:
    content = (DATA / f"record_{phase.value}.json").read_bytes()
    decoded = decode_record(content)
    assert decoded == record(phase)
    assert decoded is not None
    assert encode_record(decoded) == content


def test_a_rollout_s_first_record_is_written_as_before() -> None:
    content = (DATA / "record_started.json").read_bytes()
    assert encode_record(create_record(SMALL_PLAN, OLD, NEW)) == content
    assert decode_record(content) == create_record(SMALL_PLAN, OLD, NEW)


@pytest.mark.parametrize("action", OperatorAction)
def test_an_operator_s_request_is_read_and_written_as_before(action: OperatorAction) -> None:
    content = (DATA / f"operator_{action.value}.json").read_bytes()
    decoded = decode_request(content)
    assert decoded == OperatorRequest("to-1.5", action, 9)
    assert decoded is not None
    assert encode_request(decoded) == content


def test_gateways_are_changed_in_the_same_order_as_before() -> None:
    """The order is not stored in the record, so a leader of another version must derive the same one."""
    fleet = [
        FleetGateway(name=f"g{n:02}", zone="abc"[n % 3], group="ring0" if n < 2 else "rest")
        for n in range(20)
    ]
    stages = (Stage(count=1), Stage(groups=("ring0",)), Stage(share=1.0))
    reached = stage_targets(RolloutPlan(name="to-1.5", base_digest="aa", stages=stages), fleet)
    expected = json.loads((DATA / "order.json").read_bytes())
    assert [list(stage) for stage in reached] == expected["stages"]
    assert [list(batch) for batch in zone_batches(reached[-1], fleet, 3)] == expected["batches"]
