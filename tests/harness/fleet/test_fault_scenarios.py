"""Scenarios with forty platform gateway processes under fault injection, checked from what sockets observed.

`benchmarks/fleet.py` runs the same scenarios at full size.
"""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.harness.fleet.scenario import SCENARIOS, run_scenario

SHORT_SCENARIOS = ("hot", "once", "sizes", "alone", "paused", "idle")  # scenarios with few or no faults
SHORT_S = 5.0
LONG_S = 8.0
MAX_DESCRIPTORS = 200  # of one gateway
MAX_POLLS_PER_S = 6.0  # of one gateway, for the endpoint list
# Two scenarios run at a time: each has three of eight cores, and most of its processes wait.
SCENARIO_PARAMETERS = [
    pytest.param(name, marks=pytest.mark.xdist_group(f"fleet-{number % 2}"))
    for number, name in enumerate(SCENARIOS)
]


@pytest.mark.parametrize("name", SCENARIO_PARAMETERS)
def test_a_scenario_breaks_no_rule_and_serves_what_it_should(name: str, tmp_path: pathlib.Path) -> None:
    duration_s = SHORT_S if name in SHORT_SCENARIOS else LONG_S
    report = run_scenario(name, tmp_path, gateways=40, hosts=8, rate=100.0, seconds=duration_s, seed=1)
    assert not report.breaches, "\n".join(report.breaches[:20])
    assert not report.complaints, f"{report.complaints}; {report.line()}"
    assert report.late == 0, report.line()
    assert report.served >= SCENARIOS[name].min_served_fraction, report.line()
    assert report.descriptors <= MAX_DESCRIPTORS, report.line()
    assert report.links_per_call <= SCENARIOS[name].max_connections_per_call, report.line()
    assert report.asks_per_gateway <= MAX_POLLS_PER_S, report.line()
