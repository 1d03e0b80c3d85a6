"""The canary analysis: which harm it finds, how often it is wrong, and that missing data is not a success."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy
import pytest

from saffronstack.fleet.rollout.canary_analysis import analyze, compare_samples
from saffronstack.fleet.rollout.canary_types import (
    AnalysisLimits,
    AnalysisResult,
    FailureRatio,
    GatewaySample,
    Verdict,
)

ANALYSES = 10  # analyses in one bake
MEASURES = ("refused/look", "refused/sell", "late/look", "failed/sell")
BASE_RATE = 0.02  # failure rate without harm
MEAN_CALLS = 400.0  # calls of one gateway and measure in a bake
RATE_VARIATION = 0.3  # relative standard deviation of rates between gateways
ZONE_FAULT_RATE = 0.2
LIMITS = AnalysisLimits()
# The limit is 0.05; the fraction measured over 60 to 100 bakes has a standard deviation of about 0.02.
FALSE_STOP_LIMITS = AnalysisLimits(false_stop_probability=0.05)
MAX_FALSE_STOPS = 0.08


@dataclass(frozen=True)
class Scenario:
    """A fleet of three zones in a bake; ``harm`` is added to one measure of the canaries."""

    gateways: int = 40
    canaries: int = 4
    harm: float = 0.0
    harmed_measure: str = "refused/look"
    faulty_zone: str = ""

    def samples(self, generator: numpy.random.Generator) -> list[GatewaySample]:
        """Draw the fleet at the end of the bake."""
        return [self._sample(generator, number) for number in range(self.gateways)]

    def _sample(self, generator: numpy.random.Generator, number: int) -> GatewaySample:
        zone, is_canary = "abc"[number % 3], number < self.canaries
        ratios = {}
        for measure in MEASURES:
            calls = int(generator.poisson(MEAN_CALLS * generator.uniform(0.3, 2.0)))
            rate = BASE_RATE * float(generator.gamma(1 / RATE_VARIATION**2, RATE_VARIATION**2))
            rate += ZONE_FAULT_RATE * (zone == self.faulty_zone)
            rate += self.harm * (is_canary and measure == self.harmed_measure)
            ratios[measure] = FailureRatio(int(generator.binomial(calls, min(1.0, rate))), calls)
        gauges = {"memory_mb": float(generator.normal(1.0, 0.5))}
        return GatewaySample(f"g{number}", zone, is_canary, ratios, gauges)


@dataclass(frozen=True)
class BakeResult:
    """The verdict of a bake, and the fraction of the bake after which it was reached."""

    verdict: Verdict
    progress: float


def thin_samples(
    generator: numpy.random.Generator, samples: list[GatewaySample], fraction: float
) -> list[GatewaySample]:
    """Draw the samples after a fraction of the bake."""

    def thin_ratio(ratio: FailureRatio) -> FailureRatio:
        failures = int(generator.binomial(ratio.failures, fraction))
        return FailureRatio(failures, max(1, round(ratio.total * fraction)))

    return [
        GatewaySample(
            one.gateway, one.zone, one.is_canary,
            {name: thin_ratio(ratio) for name, ratio in one.ratios.items()}, one.gauges,
        )
        for one in samples
    ]  # fmt: skip


def bake(seed: int, scenario: Scenario, limits: AnalysisLimits = LIMITS) -> BakeResult:
    """Analyze a bake until its verdict."""
    generator, spent = numpy.random.default_rng(seed), 0.0
    final = scenario.samples(generator)
    for number in range(1, ANALYSES + 1):
        progress = number / ANALYSES
        samples = thin_samples(generator, final, progress) if progress < 1 else final
        result = analyze(limits, samples, progress, spent)
        spent = result.alpha_spent
        if result.verdict is not Verdict.RUNNING:
            return BakeResult(result.verdict, progress)
    raise AssertionError("the bake has no verdict")


def stopped_fraction(bakes: int, scenario: Scenario, limits: AnalysisLimits = LIMITS) -> float:
    return sum(bake(seed, scenario, limits).verdict is Verdict.FAILED for seed in range(bakes)) / bakes


def draw(seed: int, scenario: Scenario) -> list[GatewaySample]:
    return scenario.samples(numpy.random.default_rng(seed))


def one_canary_of(count: int, **canary: Any) -> list[GatewaySample]:
    """Return one canary with these fields and a baseline with default values."""
    baseline = [GatewaySample(f"g{number}", "a", False) for number in range(1, count)]
    return [GatewaySample("g0", "a", True, **canary), *baseline]


def make_unreachable(samples: list[GatewaySample], is_affected: list[bool]) -> list[GatewaySample]:
    return [
        GatewaySample(one.gateway, one.zone, one.is_canary, is_unreachable=True) if is_unreachable else one
        for one, is_unreachable in zip(samples, is_affected, strict=True)
    ]


@pytest.mark.parametrize("canaries", [1, 4, 20])
def test_a_stage_without_harm_is_seldom_stopped(canaries: int) -> None:
    assert stopped_fraction(100, Scenario(canaries=canaries), FALSE_STOP_LIMITS) <= MAX_FALSE_STOPS


def test_a_faulty_zone_affects_both_sides_and_does_not_stop_the_stage() -> None:
    assert stopped_fraction(60, Scenario(faulty_zone="b"), FALSE_STOP_LIMITS) <= MAX_FALSE_STOPS


@pytest.mark.parametrize(("canaries", "harm"), [(1, 0.2), (4, 0.05), (20, 0.02)])
def test_harm_is_found_depending_on_its_size_and_the_number_of_canaries(canaries: int, harm: float) -> None:
    assert stopped_fraction(40, Scenario(canaries=canaries, harm=harm)) >= 0.9


def test_severe_harm_to_one_class_stops_the_stage_early() -> None:
    result = bake(1, Scenario(harm=0.5, harmed_measure="failed/sell"))
    assert result.verdict is Verdict.FAILED
    assert result.progress <= 0.3


def test_the_reasons_name_the_harmed_measure_alone() -> None:
    result = analyze(LIMITS, draw(1, Scenario(harm=0.5, harmed_measure="failed/sell")), 1.0)
    assert len(result.reasons) == 1
    assert result.reasons[0].startswith("failed/sell: new 0.")
    (worse,) = (one for one in result.comparisons if one.measure == "failed/sell")
    assert worse.canary > 0.4 > 0.05 > worse.baseline


def test_one_failed_call_is_not_significant() -> None:
    """The test of single calls gives p = 0.02; a test by gateways, of which only one had a failure, 0."""
    samples = [
        GatewaySample(f"g{number}", "a", number == 0, {"failed": FailureRatio(int(number == 0), 50)})
        for number in range(50)
    ]
    (comparison,) = compare_samples(samples)
    assert 0.015 < comparison.p_value < 0.025
    assert analyze(AnalysisLimits(min_calls=10), samples, 1.0).verdict is Verdict.SUCCESSFUL


def test_two_gateways_are_too_few_for_a_comparison() -> None:
    ratios = {True: FailureRatio(90, 1000), False: FailureRatio(10, 1000)}
    samples = [
        GatewaySample(f"g{is_canary}", "a", is_canary, {"late": ratio}) for is_canary, ratio in ratios.items()
    ]
    assert compare_samples(samples)[0].p_value == 1.0  # the variance between gateways is unknown


def test_zones_with_only_one_side_are_not_compared() -> None:
    samples = [GatewaySample(f"g{n}", "a", True, {"late": FailureRatio(500, 1000)}) for n in range(5)]
    samples += [GatewaySample(f"h{n}", "b", False, {"late": FailureRatio(10, 1000)}) for n in range(5)]
    assert compare_samples(samples) == []


def test_a_violation_on_a_canary_stops_the_stage_at_once() -> None:
    result = analyze(LIMITS, one_canary_of(5, violations=1), 0.01)
    assert result.verdict is Verdict.FAILED
    assert result.reasons == ("g0: 1 rules broken",)


def test_a_violation_that_the_baseline_has_too_does_not_stop_the_stage() -> None:
    samples = [*one_canary_of(5, violations=1), GatewaySample("g9", "a", False, violations=1)]
    assert analyze(LIMITS, samples, 0.01).verdict is Verdict.RUNNING


@pytest.mark.parametrize(("restarts", "verdict"), [(1, Verdict.RUNNING), (3, Verdict.FAILED)])
def test_a_canary_that_keeps_restarting_is_found_and_one_restart_is_not(
    restarts: int, verdict: Verdict
) -> None:
    assert analyze(LIMITS, one_canary_of(40, restarts=restarts), 0.3).verdict is verdict


@pytest.mark.parametrize(
    ("limits", "verdict"),
    [(LIMITS, Verdict.FAILED), (AnalysisLimits(min_differences={"memory_mb": 20.0}), Verdict.RUNNING)],
)
def test_memory_growth_on_canaries_is_found_beyond_the_allowed_difference(
    limits: AnalysisLimits, verdict: Verdict
) -> None:
    generator = numpy.random.default_rng(3)
    grown_mb = [float(generator.normal(9.0 if number < 6 else 1.0, 0.5)) for number in range(30)]
    samples = [
        GatewaySample(f"g{number}", "ab"[number % 2], number < 6, gauges={"memory_mb": grown})
        for number, grown in enumerate(grown_mb)
    ]
    assert analyze(limits, samples, 0.5).verdict is verdict


@pytest.fixture(name="harmless")
def harmless_samples() -> list[GatewaySample]:
    """Return samples of a fleet without harm, whose analysis succeeds."""
    samples = draw(4, Scenario(canaries=10))
    assert analyze(LIMITS, samples, 1.0).verdict is Verdict.SUCCESSFUL
    return samples


def test_the_stage_fails_if_only_canaries_are_unreachable(harmless: list[GatewaySample]) -> None:
    result = analyze(LIMITS, make_unreachable(harmless, [one.is_canary for one in harmless]), 1.0)
    assert result.verdict is Verdict.FAILED
    assert result.reasons[0].startswith("silent: new 1, old 0")


def assert_inconclusive(result: AnalysisResult, reason: str) -> None:
    assert result.verdict is Verdict.INCONCLUSIVE
    assert reason in result.reasons[0]


def test_an_unreachable_zone_is_inconclusive(harmless: list[GatewaySample]) -> None:
    samples = make_unreachable(harmless, [one.zone == "a" for one in harmless])
    assert_inconclusive(analyze(LIMITS, samples, 1.0), "new gateways could not be asked")


def test_too_few_calls_are_inconclusive(harmless: list[GatewaySample]) -> None:
    result = analyze(AnalysisLimits(min_calls=10**9), harmless, 1.0)
    assert_inconclusive(result, "calls, 1000000000 at least")


def test_a_fleet_without_canaries_is_inconclusive(harmless: list[GatewaySample]) -> None:
    samples = [one for one in harmless if not one.is_canary]
    assert_inconclusive(analyze(LIMITS, samples, 1.0), "no gateway of the new side")


def test_all_analyses_together_spend_no_more_alpha_than_the_stage_has() -> None:
    limits, spent = AnalysisLimits(false_stop_probability=0.03), 0.0
    samples = draw(5, Scenario())
    for number in range(1, 101):
        result = analyze(limits, samples, number / 100, spent)
        assert spent <= result.alpha_spent <= 0.03
        spent = result.alpha_spent
    assert spent == pytest.approx(0.03)
