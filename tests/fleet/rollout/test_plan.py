"""Tests of rollout plans: validation, the gateways of a stage, and the order of updates."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from saffronstack.fleet.rollout.plan import DataFormat, FleetGateway, Release, RolloutPlan, Stage
from saffronstack.fleet.rollout.plan_validation import validate_plan
from saffronstack.fleet.rollout.rollout_order import interleave_zones, stage_targets, zone_batches

OLD = Release(
    version="1.4",
    digest="aa",
    formats=(DataFormat(component="ledger", readable_versions=(1, 2), written_version=2),),
)
NEW = Release(
    version="1.5",
    digest="bb",
    formats=(DataFormat(component="ledger", readable_versions=(2, 3), written_version=2),),
)
FLEET = [
    FleetGateway(name=f"g{n:02}", zone="abc"[n % 3], group="ring0" if n < 2 else "rest") for n in range(40)
]
STAGES = (Stage(count=1), Stage(share=0.1), Stage(share=0.5), Stage(share=1.0))
PLAN = RolloutPlan(name="to-1.5", base_digest="aa", stages=STAGES, max_unavailable=4)


def problems(
    plan: RolloutPlan = PLAN, fleet: list[FleetGateway] = FLEET, old: Release = OLD, new: Release = NEW
) -> str:
    return "\n".join(validate_plan(plan, fleet, old, new))


def test_a_valid_plan_has_no_problems() -> None:
    assert problems() == ""
    assert problems(replace(PLAN, stages=(Stage(groups=("ring0",)), Stage(share=1.0)))) == ""


@pytest.mark.parametrize(
    ("change", "line"),
    [
        ({"base_digest": "zz"}, "base: made on 'zz', and the fleet runs 'aa': the plan is stale"),
        ({"stages": ()}, "stages: none"),
        ({"stages": (Stage(count=1, share=0.5),)}, "stages[0]: count and share given"),
        ({"stages": (Stage(),)}, "stages[0]: nothing given; one of count, share, groups"),
        ({"stages": (Stage(count=41),)}, "stages[0].count: 41 of 40 gateways"),
        ({"stages": (Stage(share=1.5),)}, "stages[0].share: 1.5 is no part of a fleet"),
        ({"stages": (Stage(groups=("ring9",)),)}, "stages[0].groups: no gateway is in 'ring9'"),
        ({"stages": (Stage(count=1, bake_s=0.0),)}, "stages[0].bake_s: 0 s"),
        ({"stages": (Stage(share=0.5), Stage(share=0.2))}, "stages[1]: reaches 20 gateways, and the stage"),
        ({"stages": (Stage(share=0.5),)}, "stages: the last one reaches 20 of 40 gateways"),
        ({"max_unavailable": 0}, "unavailable_most: 0"),
        ({"max_unavailable": 40}, "40 of 40 gateways would be all"),
        ({"false_stop_probability": 0.7}, "false_stop: 0.7"),
        ({"min_calls": 0}, "calls_least: 0"),
    ],
)  # fmt: skip
def test_a_problem_is_reported_with_its_path(change: dict[str, Any], line: str) -> None:
    assert line in problems(replace(PLAN, **change))


def test_a_format_that_can_not_be_read_back_is_rejected_unless_the_plan_allows_it() -> None:
    new_write_format = replace(
        NEW, formats=(DataFormat(component="ledger", readable_versions=(2, 3), written_version=3),)
    )
    assert "release.formats[0] (ledger).writes: 1.4 can't read format 3 back" in problems(
        new=new_write_format
    )
    assert problems(replace(PLAN, allow_irreversible=True), new=new_write_format) == ""
    unreadable_old_format = replace(
        NEW, formats=(DataFormat(component="ledger", readable_versions=(3,), written_version=2),)
    )
    assert "reads: format 2, which 1.4 wrote, is missing" in problems(new=unreadable_old_format)
    added_component = replace(
        NEW, formats=(*NEW.formats, DataFormat(component="copies", readable_versions=(1,), written_version=1))
    )
    assert problems(new=added_component) == ""  # the old release ignores a component that it does not know
    assert "ledger, which 1.4 writes, is unknown to 1.5" in problems(new=replace(NEW, formats=()))


def test_concurrent_rollouts_duplicate_names_and_plans_without_change_are_rejected() -> None:
    assert validate_plan(PLAN, FLEET, OLD, NEW, ["other"]) == [
        "name: a rollout is under way already, 'other': end or abort it"
    ]
    assert "fleet: 'g00' stands twice" in problems(fleet=[*FLEET, FLEET[0]])
    assert problems(fleet=[]) == "fleet: no gateway"
    assert "1.4 is what runs already" in problems(new=OLD)


def test_a_stage_contains_the_one_before_and_canaries_of_each_zone() -> None:
    first, tenth, half, whole = stage_targets(PLAN, FLEET)
    assert [len(stage) for stage in (first, tenth, half, whole)] == [1, 4, 20, 40]
    assert tenth[:1] == first
    assert half[:4] == tenth
    assert whole[:20] == half
    assert set(whole) == {gateway.name for gateway in FLEET}
    zone_of = {gateway.name: gateway.zone for gateway in FLEET}
    assert set(Counter(zone_of[name] for name in tenth)) == {"a", "b", "c"}
    assert max(Counter(zone_of[name] for name in half).values()) <= 7
    assert (
        len({stage_targets(replace(PLAN, name=f"p{n}"), FLEET)[0] for n in range(8)}) > 3
    )  # different plans start with different gateways
    assert stage_targets(PLAN, FLEET[::-1]) == stage_targets(
        PLAN, FLEET
    )  # independent of the order in the fleet file


def test_a_stage_of_groups_reaches_their_gateways() -> None:
    group, rest = stage_targets(replace(PLAN, stages=(Stage(groups=("ring0",)), Stage(share=1.0))), FLEET)
    assert set(group) == {"g00", "g01"}
    assert len(rest) == 40


@settings(deadline=None, max_examples=100, derandomize=True)
@given(st.lists(st.sampled_from("abcd"), min_size=1, max_size=60), st.integers(1, 7))
def test_a_batch_has_one_zone_and_respects_the_limit_of_unavailable_gateways(
    zones: list[str], max_unavailable: int
) -> None:
    fleet = [FleetGateway(name=f"g{n}", zone=zone) for n, zone in enumerate(zones)]
    zone_of = {gateway.name: gateway.zone for gateway in fleet}
    ordered = [gateway.name for gateway in interleave_zones("p", fleet)]
    batches = zone_batches(ordered, fleet, max_unavailable)
    assert sorted(name for batch in batches for name in batch) == sorted(ordered)  # each gateway occurs once
    for batch in batches:
        assert 1 <= len(batch) <= max_unavailable
        assert len({zone_of[name] for name in batch}) == 1
