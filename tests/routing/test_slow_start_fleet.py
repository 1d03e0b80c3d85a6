"""Tests of slow start in a fleet: the attempts of all gateways at one worker stay within its budget."""

from __future__ import annotations

import os

import pytest

from tests.support.slow_start import Scenario, Simulation

# SAFFRONSTACK_MANY=10 runs every scenario with every number of gateways and ten seeds.
SEEDS = int(os.environ.get("SAFFRONSTACK_MANY", "0"))
GATEWAY_COUNTS = (1, 3, 30, 200)

SCENARIOS = {
    "a calm fleet": Scenario(0, load=0.5),
    "near the fleet's capacity": Scenario(0, load=0.9),
    "three times the load it can carry": Scenario(0, load=3.0, replaced=6, gap_s=2.0),
    "seven in ten gateways restart": Scenario(0, load=0.6, replaced=3, restarted=0.7),
    "a release of all functions": Scenario(0, load=0.6, replaced=3, released=True, gap_s=4.0),
    "nearly all workers replaced": Scenario(0, load=0.6, replaced=10, gap_s=0.5),
    "the other workers go, early": Scenario(0, load=0.6, collapse_s=3.0),
    "the other workers go, late": Scenario(0, load=0.9, collapse_s=8.0),
    "connections to starting workers are reset": Scenario(
        0, load=0.6, replaced=2, resets=1.0, collapse_s=3.0
    ),
}


# Scenarios that once exceeded the budget. Without SAFFRONSTACK_MANY, the others run with 30 gateways only.
ALWAYS = (
    "the other workers go, early",
    "the other workers go, late",
    "connections to starting workers are reset",
)
CASES = [
    (scenario, gateways)
    for scenario in SCENARIOS
    for gateways in GATEWAY_COUNTS
    if SEEDS or scenario in ALWAYS or gateways == 30
]


@pytest.mark.parametrize(("scenario", "gateways"), CASES)
def test_no_window_holds_more_than_the_budget(scenario: str, gateways: int) -> None:
    for seed in range(SEEDS or 1):
        load = SCENARIOS[scenario]
        world = Simulation(Scenario(**{**load.__dict__, "gateways": gateways}), seed)
        world.run()
        assert world.max_budget_share() <= 1.0, (scenario, gateways, seed, max(world.budget_shares()))
        assert world.attempts
        assert not world.attempts_without_credit


def test_retries_after_resets_count_like_other_attempts() -> None:
    for seed in range(SEEDS or 1):
        world = Simulation(Scenario(30, load=0.9, replaced=2, resets=0.9, collapse_s=2.0), seed)
        world.run()
        assert not world.attempts_without_credit
