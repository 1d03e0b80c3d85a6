"""Forty platform gateways in processes of their own, with faults injected: judged from the sockets.

`benchmarks/fleet.py` plays the same scenarios at full size.
"""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.harness.fleet.scenario import DAYS, play

SHORT_SCENARIOS = ("hot", "once", "sizes", "alone", "paused", "idle")  # on which little changes
SHORT_S = 5.0
LONG_S = 8.0
MAX_DESCRIPTORS = 200  # of one gateway
MAX_POLLS_PER_S = 6.0  # of one gateway, for the endpoint list
# Two at a time: each has three of eight cores, and most of its processes wait.
SCENARIOS = [
    pytest.param(name, marks=pytest.mark.xdist_group(f"fleet-{n % 2}")) for n, name in enumerate(DAYS)
]


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_scenario_breaks_no_rule_and_serves_what_it_should(name: str, tmp_path: pathlib.Path) -> None:
    duration_s = SHORT_S if name in SHORT_SCENARIOS else LONG_S
    verdict = play(name, tmp_path, gateways=40, hosts=8, rate=100.0, seconds=duration_s, seed=1)
    assert not verdict.breaches, "\n".join(verdict.breaches[:20])
    assert not verdict.complaints, f"{verdict.complaints}; {verdict.line()}"
    assert verdict.late == 0, verdict.line()
    assert verdict.served >= DAYS[name].served, verdict.line()
    assert verdict.descriptors <= MAX_DESCRIPTORS, verdict.line()
    assert verdict.links_per_call <= DAYS[name].links_per_call, verdict.line()
    assert verdict.asks_per_gateway <= MAX_POLLS_PER_S, verdict.line()
