"""The inputs and the result of a canary analysis, without the statistics behind it.

Gateways that run the new release are canaries; the others, beside them, are the baseline.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Verdict(Enum):
    """The outcome of an analysis; the values stand in logs."""

    SUCCESSFUL = "good"  # the bake is over, and nothing is worse
    RUNNING = "wait"  # the bake goes on
    FAILED = "bad"  # the canaries are worse
    INCONCLUSIVE = "doubt"  # the bake is over, and there is too little data


@dataclass(frozen=True, slots=True)
class FailureRatio:
    """So many failures of so many calls; also of calls that were late, rejected, ..."""

    failures: int
    total: int


@dataclass(frozen=True, slots=True)
class GatewaySample:
    """One gateway since the bake began.

    Attributes:
        gateway: Its name.
        zone: Its zone; canaries are compared with the baseline of their zone.
        is_canary: Whether it runs the new release.
        ratios: By measure and class, as in "failed/sale".
        gauges: By measure, where more is worse, as in "memory_mb".
        restarts: Unplanned ends of its processes.
        violations: Of the gateway's invariants.
        is_silent: It could not be polled, and has neither ratios nor gauges.
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
    """The limits of a stage.

    Attributes:
        false_stop_probability: That a stage without harm is stopped.
        min_calls: Of the canaries; with fewer the stage is inconclusive.
        max_silent_share: Of the canaries; with more silent ones the stage is inconclusive.
        max_restarts: Unplanned ones of canaries, where the baseline has none; with more the stage fails.
        gross_failure_increase: So much more of a class's calls failing is harm, on however few gateways.
        min_differences: Smaller differences stop nothing, whatever their significance; by measure, the part
            of its name before a slash.
    """

    false_stop_probability: float = 0.01
    min_calls: int = 200
    max_unreachable_fraction: float = 0.2
    max_restarts: int = 1
    gross_failure_increase: float = 0.1
    min_differences: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Comparison:
    """One measure of canaries beside that of the baseline.

    Attributes:
        measure: Its name.
        canary: Its mean over the canaries, by zones.
        baseline: The same over the baseline.
        p_value: The probability of so great a difference where the sides do not differ.
        p_value_by_calls: The same if calls of one gateway were independent: mostly too small.
    """

    measure: str
    canary: float
    baseline: float
    p_value: float
    p_value_by_calls: float = 1.0

    def describe(self) -> str:
        """Return a line for operators."""
        return (
            f"{self.measure}: new {self.canary:.4g}, old {self.baseline:.4g} (by chance {self.p_value:.2g})"
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class AnalysisResult:
    """What one analysis came to.

    Attributes:
        verdict: Its outcome.
        alpha_spent: Of the stage's probability of a false stop, by this and all analyses before.
        reasons: For the verdict, a line each.
        comparisons: All measures that were compared.
    """

    verdict: Verdict
    alpha_spent: float
    reasons: tuple[str, ...]
    comparisons: tuple[Comparison, ...] = ()
