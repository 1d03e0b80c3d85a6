"""Validates the plan of a rollout before it starts. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from saffronstack.fleet.rollout.plan import DataFormat, FleetGateway, Release, RolloutPlan, Stage
from saffronstack.fleet.rollout.rollout_order import stage_targets

MAX_FALSE_STOP_PROBABILITY = 0.5


def validate_plan(
    plan: RolloutPlan,
    fleet: Sequence[FleetGateway],
    old: Release,
    new: Release,
    active_rollouts: Iterable[str] = (),
) -> list[str]:
    """Return the problems that prevent a plan from starting, one line with path and reason each.

    Args:
        plan: The plan.
        fleet: All gateways.
        old: The release that runs.
        new: The release to roll out.
        active_rollouts: Names of rollouts in progress.
    """
    problems = [
        f"name: a rollout is under way already, {other!r}: end or abort it" for other in active_rollouts
    ]
    if plan.base_digest != old.digest:
        problems.append(
            f"base: made on {plan.base_digest!r}, and the fleet runs {old.digest!r}: the plan is stale"
        )  # fmt: skip
    if new.digest == old.digest:
        problems.append(f"release: {new.version} is what runs already")
    counts = Counter(gateway.name for gateway in fleet)
    problems += [f"fleet: {name!r} stands twice" for name in sorted(counts) if counts[name] > 1]
    if not fleet:
        return [*problems, "fleet: no gateway"]
    problems += _validate_limits(plan, len(fleet))
    problems += _validate_stages(plan, fleet)
    if not plan.allow_irreversible:
        problems += validate_formats(old, new)
    return problems


def _validate_limits(plan: RolloutPlan, fleet_size: int) -> list[str]:
    problems: list[str] = []
    if not plan.max_unavailable >= 1:
        problems.append(f"unavailable_most: {plan.max_unavailable}; with none down nothing can change")
    elif plan.max_unavailable >= fleet_size > 1:
        problems.append(f"unavailable_most: {plan.max_unavailable} of {fleet_size} gateways would be all")
    if not 0 < plan.false_stop_probability < MAX_FALSE_STOP_PROBABILITY:
        problems.append(f"false_stop: {plan.false_stop_probability:g} is no chance between 0 and 0.5")
    if not (plan.settle_s >= 0 and math.isfinite(plan.settle_s)):
        problems.append(f"settle_s: {plan.settle_s:g} s")
    if not 0 < plan.gross_failure_increase <= 1:
        problems.append(f"gross: {plan.gross_failure_increase:g} is no part of calls")
    if plan.min_calls < 1:
        problems.append(f"calls_least: {plan.min_calls}; without calls nothing can be judged")
    return problems


def _validate_stages(plan: RolloutPlan, fleet: Sequence[FleetGateway]) -> list[str]:
    if not plan.stages:
        return ["stages: none"]
    problems: list[str] = []
    groups = {gateway.group for gateway in fleet}
    reached = 0
    for number, stage in enumerate(plan.stages):
        path = f"stages[{number}]"
        problems += [f"{path}{line}" for line in _validate_stage(stage, groups, len(fleet))]
        if problems:
            continue  # the size of a stage is only known if all stages up to it are valid
        size = len(stage_targets(plan, fleet)[number])
        if size <= reached:
            problems.append(f"{path}: reaches {size} gateways, and the stage before {reached}")
        reached = size
    if not problems and reached < len(fleet):
        problems.append(f"stages: the last one reaches {reached} of {len(fleet)} gateways")
    return problems


def _validate_stage(stage: Stage, groups: set[str], fleet_size: int) -> list[str]:
    given_keys = [key for key in ("count", "share", "groups") if getattr(stage, key)]
    if len(given_keys) != 1:
        return [f": {' and '.join(given_keys) or 'nothing'} given; one of count, share, groups"]
    problems: list[str] = []
    if stage.count < 0 or stage.count > fleet_size:
        problems.append(f".count: {stage.count} of {fleet_size} gateways")
    if not 0 <= stage.share <= 1:
        problems.append(f".share: {stage.share:g} is no part of a fleet")
    problems += [f".groups: no gateway is in {group!r}" for group in stage.groups if group not in groups]
    if not (stage.bake_s > 0 and math.isfinite(stage.bake_s)):
        problems.append(f".bake_s: {stage.bake_s:g} s")
    return problems


def validate_formats(old: Release, new: Release) -> list[str]:
    """Return the formats that the new release can't read, or the old one could not read after a rollback."""
    old_formats = {old_format.component: old_format for old_format in old.formats}
    problems: list[str] = []
    for number, new_format in enumerate(new.formats):
        path = f"release.formats[{number}] ({new_format.component})"
        old_format = old_formats.pop(new_format.component, None)
        if old_format is not None:  # the old release ignores components that it does not know
            problems += [f"{path}{line}" for line in _compare_formats(old_format, new_format, old.version)]
    problems += [
        f"release.formats: {component}, which {old.version} writes, is unknown to {new.version}"
        for component in old_formats
    ]
    return problems


def _compare_formats(old: DataFormat, new: DataFormat, old_version: str) -> list[str]:
    problems: list[str] = []
    if old.written_version not in new.readable_versions:
        problems.append(f".reads: format {old.written_version}, which {old_version} wrote, is missing")
    if new.written_version not in old.readable_versions:
        problems.append(
            f".writes: {old_version} can't read format {new.written_version} back: going back would lose it "
            "(one_way, if that is meant)"
        )
    return problems
