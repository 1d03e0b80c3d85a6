"""Compares decisions on seeded random events with digests that the same script computed at commit 0684301."""

from __future__ import annotations

import importlib.util
import pathlib
import sys
from types import ModuleType

import pytest

SCRIPT = pathlib.Path(__file__).parents[2] / "benchmarks" / "decision_digest.py"
SECONDS = 15.0
DIGESTS = {
    "single": "2972e4bd5ca452e3",
    "unlimited": "587d2be48851b7ef",
    "three": "d7f28df0417b1088",
    "reports": "9827013157734764",
    "fleet": "e01cc4e891b267c1",
    "fleet-silent": "833d1d5a744f9b02",
    "wide": "09d5d5aeaf28e2d8",
    "young": "4d0432af85918be5",
    "orders": "45baf9e274406c1e",
    "ration": "ec47111d2fb78d19",
    "fleet-ration": "6fbe09e1bafcc38c",
    "miss": "33791d378f26fec3",
}


def _script() -> ModuleType:
    spec = importlib.util.spec_from_file_location("decision_digest", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["decision_digest"] = module  # the script's dataclasses look up their module
    spec.loader.exec_module(module)
    return module


CASES = [
    *((scenario, 1, SECONDS, digest) for scenario, digest in DIGESTS.items()),
    ("wide", 2, 30.0, "4cc8b1932d568d14"),  # long enough for the spread factor to rise and fall
]


@pytest.mark.parametrize(("scenario", "seed", "seconds", "digest"), CASES)
def test_decisions_equal_those_of_the_first_version_to_the_last_bit(
    scenario: str, seed: int, seconds: float, digest: str
) -> None:
    script = _script()
    workers = script.WORKERS.get(scenario, script.DEFAULT_WORKERS)
    assert script.GatewaySimulation(script.SCENARIOS[scenario], seed, workers).run(seconds) == digest


def test_every_scenario_has_its_digest() -> None:
    assert set(DIGESTS) == set(_script().SCENARIOS)
