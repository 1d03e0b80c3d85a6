"""Significance tests of canaries against the baseline of their zones. No I/O.

The statistical unit is the gateway, not the call: calls of one gateway are correlated, so failure counts vary
more than a binomial distribution allows. The additional variance is estimated from the gateways themselves
(quasi-binomial dispersion, as in Wedderburn 1974). All comparisons are made within zones, so that a fault of
a zone affects both sides.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from scipy import stats

from saffronstack.fleet.rollout.canary_types import Comparison, FailureRatio

# Minimum gateways beyond one for each side and zone, needed to estimate how much gateways differ.
MIN_DEGREES_OF_FREEDOM = 2


@dataclass(frozen=True, slots=True)
class RatioRow:
    """One gateway's failures."""

    zone: str
    is_canary: bool
    ratio: FailureRatio


@dataclass(frozen=True, slots=True)
class GaugeRow:
    """One gateway's value of a gauge."""

    zone: str
    is_canary: bool
    value: float


@dataclass(frozen=True, slots=True)
class EventRow:
    """One gateway's number of events."""

    is_canary: bool
    count: int


@dataclass(frozen=True, slots=True)
class _ZoneSide:
    """One side of one zone."""

    zone: str
    is_canary: bool


@dataclass(frozen=True, slots=True)
class _WeightedDifference:
    """Weighted sum over zones of canary minus baseline, with its variance."""

    difference: float
    variance: float
    canary_mean: float
    baseline_mean: float


@dataclass(frozen=True, slots=True)
class _Dispersion:
    """Overdispersion: how much more gateways vary than independent calls would."""

    scatter: float
    degrees_of_freedom: int

    def factor(self) -> float:
        return max(1.0, self.scatter / self.degrees_of_freedom)


def compare_ratios(measure: str, rows: Sequence[RatioRow]) -> Comparison | None:
    """Compare failure rates within zones; None if no zone has both sides or no call failed.

    The p-value is the largest of three tests: a t test of the gateways' rates with their dispersion, a t test
    of the rates' angles, and a hypergeometric test of single calls. Only the last one is right if few calls
    failed.
    """
    zones = _zones_with_both_sides(_ZoneSide(row.zone, row.is_canary) for row in rows)
    rows = [row for row in rows if row.zone in zones]
    # The tests are conditional on the total number of failures: they ask on which side the failures occurred.
    # Without failures there is nothing to compare, and no alpha is spent.
    if not any(row.ratio.failures for row in rows):
        return None
    sides: dict[_ZoneSide, list[FailureRatio]] = defaultdict(list)
    for row in rows:
        sides[_ZoneSide(row.zone, row.is_canary)].append(row.ratio)
    totals = {side: _sum_ratios(ratios) for side, ratios in sides.items()}
    rates = _rate_difference(zones, totals)
    if rates.variance <= 0:
        return Comparison(measure, rates.canary_mean, rates.baseline_mean, 1.0)
    by_calls = _hypergeometric_p_value(
        canary=_sum_ratios(totals[_ZoneSide(zone, True)] for zone in zones),
        baseline=_sum_ratios(totals[_ZoneSide(zone, False)] for zone in zones),
    )
    dispersion = _estimate_dispersion(sides, totals)
    if dispersion.degrees_of_freedom < MIN_DEGREES_OF_FREEDOM:
        return Comparison(measure, rates.canary_mean, rates.baseline_mean, 1.0, by_calls)
    statistic = rates.difference / math.sqrt(dispersion.factor() * rates.variance)
    by_gateways = float(stats.t.sf(statistic, dispersion.degrees_of_freedom))
    by_angles = _angle_p_value(measure, rows)
    p_value = max(by_gateways, by_calls, by_angles)
    return Comparison(measure, rates.canary_mean, rates.baseline_mean, p_value, by_calls)


def _sum_ratios(ratios: Iterable[FailureRatio]) -> FailureRatio:
    summed = list(ratios)
    return FailureRatio(sum(one.failures for one in summed), sum(one.total for one in summed))


def _rate_difference(zones: Iterable[str], totals: Mapping[_ZoneSide, FailureRatio]) -> _WeightedDifference:
    difference = variance = weights = canary_rate = baseline_rate = 0.0
    for zone in zones:
        canary, baseline = totals[_ZoneSide(zone, True)], totals[_ZoneSide(zone, False)]
        weight = canary.total * baseline.total / (canary.total + baseline.total)
        rate = (canary.failures + baseline.failures) / (canary.total + baseline.total)
        difference += weight * (canary.failures / canary.total - baseline.failures / baseline.total)
        variance += weight**2 * rate * (1 - rate) * (1 / canary.total + 1 / baseline.total)
        weights += weight
        canary_rate += weight * canary.failures / canary.total
        baseline_rate += weight * baseline.failures / baseline.total
    return _WeightedDifference(difference, variance, canary_rate / weights, baseline_rate / weights)


def _hypergeometric_p_value(canary: FailureRatio, baseline: FailureRatio) -> float:
    calls, failures = canary.total + baseline.total, canary.failures + baseline.failures
    return float(stats.hypergeom.sf(canary.failures - 1, calls, failures, canary.total))


def _estimate_dispersion(
    sides: Mapping[_ZoneSide, Sequence[FailureRatio]], totals: Mapping[_ZoneSide, FailureRatio]
) -> _Dispersion:
    scatter, degrees_of_freedom = 0.0, 0
    for side, ratios in sides.items():
        failures, total = totals[side].failures, totals[side].total
        rate = (failures + 0.5) / (total + 1)
        scatter += sum(
            (one.failures - one.total * failures / total) ** 2 / (one.total * rate * (1 - rate))
            for one in ratios
        )  # fmt: skip
        degrees_of_freedom += len(ratios) - 1
    return _Dispersion(scatter, degrees_of_freedom)


def _angle_p_value(measure: str, rows: Sequence[RatioRow]) -> float:
    """Compare the angles of rates (Anscombe): rates are skewed, which makes the far tails of t too small."""
    angles = [
        GaugeRow(
            row.zone, row.is_canary,
            math.asin(math.sqrt((row.ratio.failures + 0.375) / (row.ratio.total + 0.75))),
        )
        for row in rows
    ]  # fmt: skip
    comparison = compare_gauges(measure, angles)
    assert comparison is not None  # all rows are of zones with both sides
    return comparison.p_value


def compare_gauges(measure: str, rows: Sequence[GaugeRow]) -> Comparison | None:
    """Compare means within zones, with one pooled variance of all gateways about the mean of their side.

    Returns None if no zone has both sides.
    """
    zones = _zones_with_both_sides(_ZoneSide(row.zone, row.is_canary) for row in rows)
    sides: dict[_ZoneSide, list[float]] = defaultdict(list)
    for row in rows:
        if row.zone in zones and math.isfinite(row.value):
            sides[_ZoneSide(row.zone, row.is_canary)].append(row.value)
    zones = _zones_with_both_sides(sides)
    if not zones:
        return None
    means = {side: sum(values) / len(values) for side, values in sides.items()}
    squares = sum((value - means[side]) ** 2 for side, values in sides.items() for value in values)
    degrees_of_freedom = sum(len(values) - 1 for values in sides.values())
    gauge = _gauge_difference(zones, sides, means)
    if degrees_of_freedom < MIN_DEGREES_OF_FREEDOM or (squares <= 0 and gauge.difference <= 0):
        return Comparison(measure, gauge.canary_mean, gauge.baseline_mean, 1.0)
    if squares <= 0:
        p_value = 1 / _count_assignments(zones, sides)
    else:
        statistic = gauge.difference / math.sqrt(squares / degrees_of_freedom * gauge.variance)
        p_value = float(stats.t.sf(statistic, degrees_of_freedom))
    return Comparison(measure, gauge.canary_mean, gauge.baseline_mean, p_value)


def _gauge_difference(
    zones: Iterable[str], sides: Mapping[_ZoneSide, Sequence[float]], means: Mapping[_ZoneSide, float]
) -> _WeightedDifference:
    """Return the difference of means, with its variance for values of variance 1."""
    difference = variance = weights = canary_mean = baseline_mean = 0.0
    for zone in zones:
        canary, baseline = _ZoneSide(zone, True), _ZoneSide(zone, False)
        canary_count, baseline_count = len(sides[canary]), len(sides[baseline])
        weight = canary_count * baseline_count / (canary_count + baseline_count)
        difference += weight * (means[canary] - means[baseline])
        variance += weight**2 * (1 / canary_count + 1 / baseline_count)
        weights += weight
        canary_mean += weight * means[canary]
        baseline_mean += weight * means[baseline]
    return _WeightedDifference(difference, variance, canary_mean / weights, baseline_mean / weights)


def _count_assignments(zones: Iterable[str], sides: Mapping[_ZoneSide, Sequence[float]]) -> int:
    """Return the number of ways to choose the canaries of all zones: the cases of a permutation test."""
    sizes = [(len(sides[_ZoneSide(zone, True)]), len(sides[_ZoneSide(zone, False)])) for zone in zones]
    return math.prod(math.comb(canary + baseline, canary) for canary, baseline in sizes)


def compare_event_counts(measure: str, rows: Sequence[EventRow]) -> Comparison | None:
    """Test how likely so many events would fall on the canaries by chance (binomial)."""
    events = _EventTotals.from_rows(rows)
    if not events.is_comparable:
        return None
    p_value = float(stats.binom.sf(events.canary_events - 1, events.total, events.canaries / len(rows)))
    return events.comparison(measure, p_value)


def compare_affected_gateways(measure: str, rows: Sequence[EventRow]) -> Comparison | None:
    """Test how likely so many affected gateways, each with a count of 1, would be canaries by chance."""
    events = _EventTotals.from_rows(rows)
    if not events.is_comparable:
        return None
    p_value = float(stats.hypergeom.sf(events.canary_events - 1, len(rows), events.total, events.canaries))
    return events.comparison(measure, p_value)


@dataclass(frozen=True, slots=True)
class _EventTotals:
    gateways: int
    canaries: int
    total: int
    canary_events: int

    @classmethod
    def from_rows(cls, rows: Sequence[EventRow]) -> _EventTotals:
        return cls(
            gateways=len(rows),
            canaries=sum(row.is_canary for row in rows),
            total=sum(row.count for row in rows),
            canary_events=sum(row.count for row in rows if row.is_canary),
        )

    @property
    def is_comparable(self) -> bool:
        return self.total > 0 and 0 < self.canaries < self.gateways

    def comparison(self, measure: str, p_value: float) -> Comparison:
        baseline_mean = (self.total - self.canary_events) / (self.gateways - self.canaries)
        return Comparison(measure, self.canary_events / self.canaries, baseline_mean, p_value)


def _zones_with_both_sides(sides: Iterable[_ZoneSide]) -> set[str]:
    sides_by_zone: dict[str, set[bool]] = defaultdict(set)
    for side in sides:
        sides_by_zone[side.zone].add(side.is_canary)
    return {zone for zone, zone_sides in sides_by_zone.items() if len(zone_sides) == 2}
