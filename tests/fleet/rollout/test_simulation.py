"""Simulated rollouts satisfy the invariants, and the simulation finds each injected defect."""

from __future__ import annotations

import pytest

from saffronstack.harness.rollout.defects import Defect
from saffronstack.harness.rollout.exploration import explore
from saffronstack.harness.rollout.random_walk import walk_randomly
from saffronstack.harness.rollout.simulated_world import InvariantError, WorldSize

STEPS = 250
SMALL = WorldSize(gateways=2, daemons=2, zones=2)
# Maximum number of random walks until a defect is found.
WALKS_TO_FIND = {
    Defect.TOKEN_FORGOTTEN: 3,
    Defect.COMMANDED_BEFORE_STORED: 20,
    Defect.ROLLOUT_RESTARTED: 20,
    Defect.LATE_COMMAND_ACCEPTED: 300,
    Defect.TWO_ZONES_AT_ONCE: 120,
    Defect.NOT_SETTLED: 3,
    Defect.UNOBSERVED_IS_AVAILABLE: 700,
}
FOUND_BY_EXPLORATION = (
    Defect.TOKEN_FORGOTTEN,
    Defect.ROLLOUT_RESTARTED,
    Defect.LATE_COMMAND_ACCEPTED,
    Defect.INCARNATION_IGNORED,
    Defect.NOT_SETTLED,
)


def test_random_walks_keep_the_invariants_and_come_to_an_end() -> None:
    assert sum(walk_randomly(seed, STEPS) for seed in range(800)) > 50_000


@pytest.mark.parametrize("defect", WALKS_TO_FIND, ids=lambda defect: defect.value)
def test_random_walks_find_a_defect(defect: Defect) -> None:
    def violates(seed: int) -> bool:
        try:
            walk_randomly(seed, STEPS, defect)
        except InvariantError:
            return True
        return False

    assert any(violates(seed) for seed in range(WALKS_TO_FIND[defect]))


def test_every_order_of_the_first_steps_keeps_the_invariants() -> None:
    found = explore(1500, 30, size=SMALL)
    assert found.violation == "", found
    assert found.states == 1500, found


@pytest.mark.parametrize("defect", FOUND_BY_EXPLORATION, ids=lambda defect: defect.value)
def test_exploration_finds_a_defect(defect: Defect) -> None:
    found = explore(4000, 30, defect, size=SMALL)
    assert found.violation, found
    assert found.path, found


def test_walks_and_exploration_together_find_all_defects() -> None:
    assert {*WALKS_TO_FIND, *FOUND_BY_EXPLORATION} == set(Defect) - {Defect.NONE}
