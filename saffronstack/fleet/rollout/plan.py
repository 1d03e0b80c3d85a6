"""The plan of a rollout, and the releases and gateways that it is about.

The keys of plan files, manifests and stored records are fixed; where a key differs from the Python name, the
class's ``rename`` table holds it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct


class FleetGateway(Struct, frozen=True, kw_only=True):
    """One gateway of the fleet file."""

    name: str
    zone: str = ""
    group: str = ""


@dataclass(frozen=True, slots=True)
class RolloutFleet:
    """The gateways of a fleet, and the daemon of each."""

    gateways: tuple[FleetGateway, ...]
    daemon_of: Mapping[str, str]

    def zone_of(self) -> dict[str, str]:
        """Return each gateway's zone."""
        return {gateway.name: gateway.zone for gateway in self.gateways}


class DataFormat(
    Struct,
    frozen=True,
    kw_only=True,
    rename={"component": "part", "readable_versions": "reads", "written_version": "writes"},
):
    """The format versions of one kind of stored data (ledger, usage log, ...) that a release handles."""

    component: str
    readable_versions: tuple[int, ...]
    written_version: int


class Release(Struct, frozen=True, kw_only=True):
    """A release, as far as a rollout needs it."""

    version: str
    digest: str
    formats: tuple[DataFormat, ...] = ()


class Stage(Struct, frozen=True, kw_only=True):
    """How far the new release has come by the end of a stage: one of a count, a share, or whole groups.

    Attributes:
        count: So many gateways.
        share: This part of the fleet, from 0 to 1.
        groups: All gateways of these groups.
        bake_s: How long old and new are compared before the next stage.
    """

    count: int = 0
    share: float = 0.0
    groups: tuple[str, ...] = ()
    bake_s: float = 60.0


class InconclusivePolicy(enum.Enum):
    """What becomes of a rollout whose analysis is inconclusive."""

    HOLD = "hold"  # until an operator resumes or aborts it
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
    """What an operator asks for.

    Attributes:
        name: Of the rollout; it also seeds the order in which gateways are updated.
        base_digest: The release that the plan was made on, and that must run everywhere at the start.
        stages: The last one reaches the whole fleet.
        settle_s: Between a stage's last start and its bake: a young gateway is slow at first.
        max_unavailable: Gateways that may be down for the update at one time, all of one zone.
        on_inconclusive: What becomes of it where the analysis is inconclusive.
        allow_irreversible: The operator accepts that the old release can't read the new one's data.
        false_stop_probability: That a stage without harm is stopped.
        min_calls: Of the canaries, for an analysis of the stage.
        min_memory_growth_mb: Growth in a bake below this stops nothing: young processes grow a little.
        min_descriptor_growth: The same for open file descriptors.
        gross_failure_increase: So much more of a class's calls rejected, failed or unknown stops at once.
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
