"""Inputs and result of a canary analysis.

Gateways that run the new release are canaries; the other gateways are the baseline.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Verdict(Enum):
    """The outcome of an analysis; the values appear in logs."""

    SUCCESSFUL = "good"  # the bake is over, and no measure is worse
    RUNNING = "wait"  # the bake goes on
    FAILED = "bad"  # the canaries are worse
    INCONCLUSIVE = "doubt"  # the bake is over, but there is too little data


@dataclass(frozen=True, slots=True)
class FailureRatio:
    """Number of failures among a number of calls; a failure may also be a late or rejected call."""

    failures: int
    total: int


@dataclass(frozen=True, slots=True)
class GatewaySample:
    """Measurements of one gateway since the bake began.

    Attributes:
        gateway: Its name.
        zone: Its zone; canaries are compared with the baseline of their zone.
        is_canary: Whether it runs the new release.
        ratios: Failure ratios by measure and class, such as "failed/sale".
        gauges: Values by measure, such as "memory_mb"; higher is worse.
        restarts: Number of unplanned exits of its processes.
        violations: Number of violations of the gateway's invariants.
        is_unreachable: Whether it could not be polled, so that it has neither ratios nor gauges.
    """

    gateway: str
    zone: str
    is_canary: bool
    ratios: dict[str, FailureRatio] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)
    restarts: int = 0
    violations: int = 0
    is_unreachable: bool = False


@dataclass(frozen=True, slots=True)
class AnalysisLimits:
    """Limits of a stage.

    Attributes:
        false_stop_probability: Probability that a stage is stopped though the new release is no worse.
        min_calls: Minimum calls of the canaries; with fewer the stage is inconclusive.
        max_unreachable_fraction: Maximum fraction of unreachable canaries; with more the stage is
            inconclusive.
        max_restarts: Maximum of unplanned restarts of canaries, if the baseline has none; with more the stage
            fails.
        gross_failure_increase: Increase of a class's failure ratio that fails the stage even if there are few
            gateways.
        min_differences: Minimum difference that can fail the stage, by the part of the measure's name before
            the slash.
    """

    false_stop_probability: float = 0.01
    min_calls: int = 200
    max_unreachable_fraction: float = 0.2
    max_restarts: int = 1
    gross_failure_increase: float = 0.1
    min_differences: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Comparison of one measure between canaries and baseline.

    Attributes:
        measure: Name of the measure.
        canary: Mean over the canaries, weighted by zone.
        baseline: Mean over the baseline, weighted by zone.
        p_value: Probability of a difference at least this large if the sides do not differ.
        p_value_by_calls: The same under the assumption that the calls of one gateway are independent, which
            mostly makes it too small.
    """

    measure: str
    canary: float
    baseline: float
    p_value: float
    p_value_by_calls: float = 1.0

    def describe(self) -> str:
        """Return a description for operators."""
        return (
            f"{self.measure}: new {self.canary:.4g}, old {self.baseline:.4g} (by chance {self.p_value:.2g})"
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class AnalysisResult:
    """Result of one analysis.

    Attributes:
        verdict: Its outcome.
        alpha_spent: Part of the stage's false stop probability spent by this and all previous analyses.
        reasons: Reasons for the verdict, one line each.
        comparisons: All measures that were compared.
    """

    verdict: Verdict
    alpha_spent: float
    reasons: tuple[str, ...]
    comparisons: tuple[Comparison, ...] = ()
