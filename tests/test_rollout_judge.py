"""The judge of a rolling change: what it finds, how often it is wrong, and that silence is no good word."""

from __future__ import annotations

import numpy
import pytest

from saffronstack.fleet.rollout.canary_analysis import analyze, compare_samples
from saffronstack.fleet.rollout.canary_types import AnalysisLimits, FailureRatio, GatewaySample, Verdict

LOOKS = 10
MEASURES = ("refused/look", "refused/sell", "late/look", "failed/sell")


def fleet(
    chance: numpy.random.Generator,
    part: float,
    *,
    gateways: int = 40,
    new: int = 4,
    calls: float = 400.0,
    harm: float = 0.0,
    harmed: str = "refused/look",
    scatter: float = 0.3,
    sick_zone: str = "",
    base: float = 0.02,
) -> list[GatewaySample]:
    """Gateways of three zones at a part of the bake. Their rates differ by ``scatter``; ``harm`` is added to
    one measure of the new side's."""
    units = []
    for number in range(gateways):
        zone, is_new = "abc"[number % 3], number < new
        ratios = {}
        for measure in MEASURES:
            of = int(chance.poisson(calls * part * chance.uniform(0.3, 2.0)))
            rate = base * float(chance.gamma(1 / scatter**2, scatter**2))
            rate += 0.2 * (zone == sick_zone) + harm * (is_new and measure == harmed)
            ratios[measure] = FailureRatio(int(chance.binomial(of, min(1.0, rate))), of)
        grown = float(chance.normal(1.0, 0.5))
        units.append(GatewaySample(f"g{number}", zone, is_new, ratios, {"memory_mb": grown}))
    return units


def bake(seed: int, limits: AnalysisLimits | None = None, **how: object) -> tuple[Verdict, float]:
    """A whole stage: the verdict, and the part of the bake at which it fell. Counts grow with each look."""
    chance, spent = numpy.random.default_rng(seed), 0.0
    whole = fleet(chance, 1.0, **how)  # type: ignore[arg-type]
    for number in range(1, LOOKS + 1):
        part = number / LOOKS
        units = [
            GatewaySample(
                unit.gateway, unit.zone, unit.is_canary,
                {
                    name: FailureRatio(
                        int(chance.binomial(ratio.failures, part)), max(1, round(ratio.total * part))
                    )
                    for name, ratio in unit.ratios.items()
                },
                unit.gauges,
            )
            for unit in whole
        ] if part < 1 else whole  # fmt: skip
        found = analyze(limits or AnalysisLimits(), units, part, spent)
        spent = found.alpha_spent
        if found.verdict is not Verdict.RUNNING:
            return found.verdict, part
    raise AssertionError("a bake that does not end")


def share(verdict: Verdict, runs: int, **how: object) -> float:
    return sum(bake(seed, **how)[0] is verdict for seed in range(runs)) / runs  # type: ignore[arg-type]


@pytest.mark.parametrize("new", [1, 4, 20])
def test_a_stage_without_harm_is_seldom_stopped(new: int) -> None:
    limits = AnalysisLimits(false_stop_probability=0.05)
    assert (
        share(Verdict.FAILED, 100, new=new, limits=limits) <= 0.08
    )  # 0.05 is promised; this scatters by 0.02


def test_a_sick_zone_harms_both_sides_and_stops_nothing() -> None:
    assert (
        share(Verdict.FAILED, 60, sick_zone="b", limits=AnalysisLimits(false_stop_probability=0.05)) <= 0.08
    )


@pytest.mark.parametrize(("new", "harm", "least"), [(1, 0.2, 0.9), (4, 0.05, 0.9), (20, 0.02, 0.9)])
def test_harm_is_found_by_its_size_and_the_number_of_gateways(new: int, harm: float, least: float) -> None:
    assert share(Verdict.FAILED, 40, new=new, harm=harm) >= least


def test_great_harm_ends_a_stage_early_and_in_one_class_alone() -> None:
    verdict, part = bake(1, harm=0.5, harmed="failed/sell", new=4)
    assert verdict is Verdict.FAILED and part <= 0.3
    found = analyze(
        AnalysisLimits(), fleet(numpy.random.default_rng(1), 1.0, harm=0.5, harmed="failed/sell"), 1.0
    )
    assert len(found.reasons) == 1 and found.reasons[0].startswith("failed/sell: new 0.")
    (worse,) = (one for one in found.comparisons if one.measure == "failed/sell")
    assert worse.canary > 0.4 > 0.05 > worse.baseline


def test_one_bad_call_of_a_few_proves_nothing() -> None:
    """Of single calls the chance is 0.02; of gateways, which all had none, it would be nothing at all."""
    units = [
        GatewaySample(f"g{n}", "a", n == 0, {"failed": FailureRatio(int(n == 0), 50)}) for n in range(50)
    ]
    (found,) = compare_samples(units)
    assert 0.015 < found.p_value < 0.025
    assert analyze(AnalysisLimits(min_calls=10), units, 1.0).verdict is Verdict.SUCCESSFUL


def test_two_gateways_alone_can_not_be_told_apart() -> None:
    sides = {True: FailureRatio(90, 1000), False: FailureRatio(10, 1000)}
    units = [GatewaySample(f"g{new}", "a", new, {"late": ratio}) for new, ratio in sides.items()]
    assert compare_samples(units)[0].p_value == 1.0  # how much gateways differ anyway is not known


def test_zones_with_one_side_alone_say_nothing() -> None:
    units = [GatewaySample(f"g{n}", "a", True, {"late": FailureRatio(500, 1000)}) for n in range(5)]
    units += [GatewaySample(f"h{n}", "b", False, {"late": FailureRatio(10, 1000)}) for n in range(5)]
    assert compare_samples(units) == []


def test_a_broken_rule_stops_at_once_unless_the_old_side_breaks_it_too() -> None:
    units = [
        GatewaySample("g0", "a", True, violations=1),
        *(GatewaySample(f"g{n}", "a", False) for n in range(1, 5)),
    ]
    found = analyze(AnalysisLimits(), units, 0.01)
    assert found.verdict is Verdict.FAILED and found.reasons == ("g0: 1 rules broken",)
    both = [*units, GatewaySample("g9", "a", False, violations=1)]
    assert analyze(AnalysisLimits(), both, 0.01).verdict is Verdict.RUNNING


def test_a_gateway_that_starts_again_and_again_is_found_and_one_restart_is_not() -> None:
    def with_restarts(count: int) -> list[GatewaySample]:
        return [
            GatewaySample("g0", "a", True, restarts=count),
            *(GatewaySample(f"g{n}", "a", False) for n in range(1, 40)),
        ]

    assert analyze(AnalysisLimits(), with_restarts(1), 0.3).verdict is Verdict.RUNNING
    assert analyze(AnalysisLimits(), with_restarts(3), 0.3).verdict is Verdict.FAILED


def test_memory_that_grows_on_the_new_side_is_found_beyond_what_is_allowed() -> None:
    chance = numpy.random.default_rng(3)
    grown = [float(chance.normal(9.0 if n < 6 else 1.0, 0.5)) for n in range(30)]
    units = [
        GatewaySample(f"g{n}", "ab"[n % 2], n < 6, gauges={"memory_mb": mb}) for n, mb in enumerate(grown)
    ]
    assert analyze(AnalysisLimits(), units, 0.5).verdict is Verdict.FAILED
    assert analyze(AnalysisLimits(min_differences={"memory_mb": 20.0}), units, 0.5).verdict is Verdict.RUNNING


def test_no_data_is_no_good_data() -> None:
    calm = fleet(numpy.random.default_rng(4), 1.0, new=10)
    assert analyze(AnalysisLimits(), calm, 1.0).verdict is Verdict.SUCCESSFUL
    silent = [
        GatewaySample(one.gateway, one.zone, one.is_canary, is_silent=True) if one.is_canary else one
        for one in calm
    ]
    found = analyze(AnalysisLimits(), silent, 1.0)
    assert found.verdict is Verdict.FAILED and found.reasons[0].startswith("silent: new 1, old 0")
    # Cut off on both sides, say with the zone: nobody's fault, and no good word either.
    cut = [
        GatewaySample(one.gateway, one.zone, one.is_canary, is_silent=True) if one.zone == "a" else one
        for one in calm
    ]
    doubt = analyze(AnalysisLimits(), cut, 1.0)
    assert doubt.verdict is Verdict.INCONCLUSIVE and "new gateways could not be asked" in doubt.reasons[0]
    few = analyze(AnalysisLimits(min_calls=10**9), calm, 1.0)
    assert few.verdict is Verdict.INCONCLUSIVE and "calls, 1000000000 at least" in few.reasons[0]
    assert (
        analyze(AnalysisLimits(), [one for one in calm if not one.is_canary], 1.0).verdict
        is Verdict.INCONCLUSIVE
    )


def test_looks_together_spend_no_more_than_the_stage_has() -> None:
    spent = 0.0
    units = fleet(numpy.random.default_rng(5), 1.0)
    for number in range(1, 101):
        found = analyze(AnalysisLimits(false_stop_probability=0.03), units, number / 100, spent)
        assert spent <= found.alpha_spent <= 0.03
        spent = found.alpha_spent
    assert spent == pytest.approx(0.03)
