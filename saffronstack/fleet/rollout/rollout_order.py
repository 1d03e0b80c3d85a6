"""The order in which a rollout updates gateways. No I/O.

The order depends only on the plan and the gateways, so every leader computes the same order.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from saffronstack.fleet.rollout.plan import FleetGateway, RolloutPlan, Stage

ROUNDING_MARGIN = 1e-9  # gateways; keeps a rounding error from adding a gateway to a share


@dataclass(frozen=True, slots=True, order=True)
class _Placement:
    """Sort key of a gateway in the interleaved order."""

    fraction: float
    zone: str
    index: int


def stage_targets(plan: RolloutPlan, fleet: Sequence[FleetGateway]) -> list[tuple[str, ...]]:
    """Return for each stage all gateways that run the new release by its end, in the order of their update.

    Zones alternate in proportion to their size, so that each zone has both canaries and baseline gateways as
    early as possible. Within a zone the order is pseudorandom, seeded by the plan's name.
    """
    ordered = interleave_zones(plan.name, fleet)
    targets: list[tuple[str, ...]] = []
    for stage in plan.stages:
        previous_target = targets[-1] if targets else ()
        targets.append(previous_target + _names_added_by(stage, ordered, previous_target))
    return targets


def _names_added_by(
    stage: Stage, ordered: Sequence[FleetGateway], previous_target: tuple[str, ...]
) -> tuple[str, ...]:
    remaining = [gateway for gateway in ordered if gateway.name not in previous_target]
    if stage.groups:
        return tuple(gateway.name for gateway in remaining if gateway.group in stage.groups)
    size = stage.count or math.ceil(stage.share * len(ordered) - ROUNDING_MARGIN)
    return tuple(gateway.name for gateway in remaining[: max(0, size - len(previous_target))])


def interleave_zones(seed: str, fleet: Sequence[FleetGateway]) -> list[FleetGateway]:
    """Return all gateways in an order that distributes those of each zone evenly."""
    zones: dict[str, list[FleetGateway]] = defaultdict(list)
    for gateway in sorted(fleet, key=lambda one: xxhash.xxh3_64_intdigest(f"{seed}/{one.name}".encode())):
        zones[gateway.zone].append(gateway)
    gateway_by_placement = {
        _Placement((index + 0.5) / len(members), zone, index): gateway
        for zone, members in zones.items()
        for index, gateway in enumerate(members)
    }
    return [gateway_by_placement[placement] for placement in sorted(gateway_by_placement)]


def zone_batches(
    names: Sequence[str], fleet: Sequence[FleetGateway], max_unavailable: int
) -> list[tuple[str, ...]]:
    """Return the batches in which gateways are updated.

    A batch has at most ``max_unavailable`` gateways, all of one zone.
    """
    zone_of = {gateway.name: gateway.zone for gateway in fleet}
    zones: dict[str, list[str]] = defaultdict(list)
    for name in names:
        zones[zone_of[name]].append(name)
    batches: list[tuple[str, ...]] = []
    for members in zones.values():
        starts = range(0, len(members), max_unavailable)
        batches += [tuple(members[start : start + max_unavailable]) for start in starts]
    return batches
