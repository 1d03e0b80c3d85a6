"""Decides whether the canaries are worse than the baseline. No I/O.

A bake is analyzed many times. Each analysis spends a part of the stage's probability of a false stop (alpha
spending by Lan and DeMets 1983, power family). This part is divided among all measures that are compared
(Bonferroni), so that the total holds however the analyses depend on each other.
"""

from __future__ import annotations

from collections.abc import Sequence

from saffronstack.fleet.rollout import canary_statistics as statistics
from saffronstack.fleet.rollout.canary_types import (
    AnalysisLimits,
    AnalysisResult,
    Comparison,
    GatewaySample,
    Verdict,
)

ALPHA_SPENDING_POWER = 2.0  # alpha is spent with the square of the time, as early analyses have little data
GATEWAY_FAILURES = ("failed", "refused", "unknown")  # outcomes that the called function does not cause
MAX_NAMES_SHOWN = 5


def analyze(
    limits: AnalysisLimits, samples: Sequence[GatewaySample], progress: float, alpha_spent: float = 0.0
) -> AnalysisResult:
    """Compare canaries and baseline during a bake.

    Args:
        limits: Limits of the stage.
        samples: Samples of all gateways since the bake began.
        progress: Fraction of the bake time that has passed; 1 at its end.
        alpha_spent: Alpha that the previous analyses have spent.
    """
    reasons = _immediate_failures(limits, samples)
    if reasons:
        return AnalysisResult(Verdict.FAILED, alpha_spent, reasons)
    comparisons = tuple(compare_samples(samples))
    alpha = limits.false_stop_probability * min(1.0, max(0.0, progress)) ** ALPHA_SPENDING_POWER
    alpha_each = max(0.0, alpha - alpha_spent) / max(1, len(comparisons))
    worse = [one for one in comparisons if _is_worse(limits, one, alpha_each)]
    if worse:
        worse.sort(key=lambda one: one.p_value)
        return AnalysisResult(Verdict.FAILED, alpha, tuple(one.describe() for one in worse), comparisons)
    total_spent = max(alpha, alpha_spent)
    if progress < 1:
        return AnalysisResult(Verdict.RUNNING, total_spent, (), comparisons)
    gaps = tuple(_data_gaps(limits, samples))
    verdict = Verdict.INCONCLUSIVE if gaps else Verdict.SUCCESSFUL
    return AnalysisResult(verdict, total_spent, gaps, comparisons)


def _immediate_failures(limits: AnalysisLimits, samples: Sequence[GatewaySample]) -> tuple[str, ...]:
    """Return violations and restarts that fail the stage without statistics: only canaries have them."""
    canaries = [sample for sample in samples if sample.is_canary]
    baseline = [sample for sample in samples if not sample.is_canary]
    violations = [f"{one.gateway}: {one.violations} rules broken" for one in canaries if one.violations]
    if violations and not any(sample.violations for sample in baseline):
        return tuple(violations)
    restarts = sum(sample.restarts for sample in canaries)
    if restarts > limits.max_restarts and not any(sample.restarts for sample in baseline):
        return tuple(
            f"{one.gateway} ended by itself {one.restarts} times" for one in canaries if one.restarts
        )
    return ()


def _is_worse(limits: AnalysisLimits, comparison: Comparison, alpha: float) -> bool:
    difference = comparison.canary - comparison.baseline
    kind = comparison.measure.partition("/")[0]
    is_significant = comparison.p_value < alpha and difference >= limits.min_differences.get(kind, 0.0)
    # A few gateways can't show how much gateways differ anyway, but a release that fails every tenth call
    # must be stopped all the same. So a gross difference needs no significance by gateways: gateways of one
    # release do not differ that much.
    is_gross = (
        kind in GATEWAY_FAILURES
        and comparison.p_value_by_calls < alpha
        and difference >= limits.gross_failure_increase
    )
    return is_significant or is_gross


def _data_gaps(limits: AnalysisLimits, samples: Sequence[GatewaySample]) -> list[str]:
    """Return the reasons why the data does not suffice for a success."""
    canaries = [sample for sample in samples if sample.is_canary]
    baseline = [sample for sample in samples if not sample.is_canary]
    unreachable = [sample.gateway for sample in canaries if sample.is_unreachable]
    gaps: list[str] = []
    if not canaries:
        gaps.append("no gateway of the new side")
    elif len(unreachable) > limits.max_unreachable_fraction * len(canaries):
        names = ", ".join(unreachable[:MAX_NAMES_SHOWN])
        gaps.append(f"{len(unreachable)} of {len(canaries)} new gateways could not be asked: {names}")
    canary_calls = _count_calls(canaries)
    if canary_calls < limits.min_calls:
        gaps.append(f"the new side had {canary_calls} calls, {limits.min_calls} at least")
    if baseline and not _count_calls(baseline):
        gaps.append("the old side had no calls to compare with")
    return gaps


def _count_calls(samples: Sequence[GatewaySample]) -> int:
    return sum(max((ratio.total for ratio in one.ratios.values()), default=0) for one in samples)


def compare_samples(samples: Sequence[GatewaySample]) -> list[Comparison]:
    """Compare each measure for which a zone has both canaries and a baseline."""
    reporting = [sample for sample in samples if not sample.is_unreachable]
    comparisons = [
        statistics.compare_ratios(
            measure,
            [
                statistics.RatioRow(one.zone, one.is_canary, one.ratios[measure])
                for one in reporting
                if measure in one.ratios and one.ratios[measure].total > 0
            ],
        )
        for measure in sorted({name for sample in reporting for name in sample.ratios})
    ]
    comparisons += [
        statistics.compare_gauges(
            measure,
            [
                statistics.GaugeRow(one.zone, one.is_canary, one.gauges[measure])
                for one in reporting
                if measure in one.gauges
            ],
        )
        for measure in sorted({name for sample in reporting for name in sample.gauges})
    ]
    restarts = [statistics.EventRow(one.is_canary, one.restarts) for one in samples]
    comparisons.append(statistics.compare_event_counts("restarts", restarts))
    unreachable = [statistics.EventRow(one.is_canary, int(one.is_unreachable)) for one in samples]
    comparisons.append(statistics.compare_affected_gateways("silent", unreachable))
    return [one for one in comparisons if one is not None]
