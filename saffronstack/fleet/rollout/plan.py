"""The plan of a rollout, and the releases and gateways that it applies to.

The keys of plan files, manifests and stored records must not change. If a key differs from the Python name,
the ``rename`` table of the class gives the key.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct


class FleetGateway(Struct, frozen=True, kw_only=True):
    """A gateway in the fleet file."""

    name: str
    zone: str = ""
    group: str = ""


@dataclass(frozen=True, slots=True)
class RolloutFleet:
    """The gateways of a fleet, and the name of each gateway's daemon."""

    gateways: tuple[FleetGateway, ...]
    daemon_of: Mapping[str, str]

    def zone_of(self) -> dict[str, str]:
        """Return the zone of each gateway by name."""
        return {gateway.name: gateway.zone for gateway in self.gateways}


class DataFormat(
    Struct,
    frozen=True,
    kw_only=True,
    rename={"component": "part", "readable_versions": "reads", "written_version": "writes"},
):
    """Format versions of one kind of stored data (ledger, usage log, ...) that a release reads and writes."""

    component: str
    readable_versions: tuple[int, ...]
    written_version: int


class Release(Struct, frozen=True, kw_only=True):
    """The properties of a release that a rollout needs."""

    version: str
    digest: str
    formats: tuple[DataFormat, ...] = ()


class Stage(Struct, frozen=True, kw_only=True):
    """One stage of a rollout. Exactly one of ``count``, ``share`` and ``groups`` is set.

    Attributes:
        count: Number of gateways that run the new release by the end of the stage.
        share: Fraction of the fleet, from 0 to 1, that runs the new release by the end of the stage.
        groups: Groups whose gateways all run the new release by the end of the stage.
        bake_s: Bake time in seconds, in which the releases are compared before the next stage.
    """

    count: int = 0
    share: float = 0.0
    groups: tuple[str, ...] = ()
    bake_s: float = 60.0


class InconclusivePolicy(enum.Enum):
    """Action on a rollout whose canary analysis is inconclusive."""

    HOLD = "hold"  # holds the rollout until an operator resumes or aborts it
    ROLL_BACK = "back"


class RolloutPlan(
    Struct,
    frozen=True,
    kw_only=True,
    rename={
        "base_digest": "base",
        "max_unavailable": "unavailable_most",
        "on_inconclusive": "on_doubt",
        "allow_irreversible": "one_way",
        "false_stop_probability": "false_stop",
        "min_calls": "calls_least",
        "min_memory_growth_mb": "memory_least_mb",
        "min_descriptor_growth": "descriptors_least",
        "gross_failure_increase": "gross",
    },
):
    """Plan of a rollout, which an operator writes.

    Attributes:
        name: The name of the rollout; it also seeds the order in which gateways are updated.
        base_digest: The digest of the release that the plan was made for. All gateways must run it when the
            rollout starts.
        stages: The stages; the last one reaches the whole fleet.
        settle_s: Seconds between the last start of a gateway in a stage and the bake, because a gateway is
            slow at first.
        max_unavailable: Maximum number of gateways that the update makes unavailable at one time; all of them
            are in one zone.
        on_inconclusive: The action if a canary analysis is inconclusive.
        allow_irreversible: Whether the operator accepts that the old release can't read data that the new one
            writes.
        false_stop_probability: Probability that a stage is stopped though the new release is no worse.
        min_calls: Minimum calls of the canaries; with fewer the stage is inconclusive.
        min_memory_growth_mb: Minimum memory growth in a bake that can fail the stage, because the memory of
            a new process grows a little.
        min_descriptor_growth: The same for the number of open file descriptors.
        gross_failure_increase: Increase of a class's ratio of rejected, failed or unknown calls that fails
            the stage immediately.
    """

    name: str
    base_digest: str
    stages: tuple[Stage, ...]
    settle_s: float = 10.0
    max_unavailable: int = 1
    on_inconclusive: InconclusivePolicy = InconclusivePolicy.HOLD
    allow_irreversible: bool = False
    false_stop_probability: float = 0.01
    min_calls: int = 200
    min_memory_growth_mb: float = 16.0
    min_descriptor_growth: float = 16.0
    gross_failure_increase: float = 0.1
