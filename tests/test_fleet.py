"""Forty gateways of the platform in processes of their own, with faults between: judged from the sockets.

`benchmarks/fleet.py` plays the same days at full size."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.harness.fleet.scenario import DAYS, play

SHORT = ("hot", "once", "sizes", "alone", "paused", "idle")  # days on which little changes
# Two at a time: each has three of eight cores, and most of its processes wait.
NAMES = [pytest.param(name, marks=pytest.mark.xdist_group(f"fleet-{n % 2}")) for n, name in enumerate(DAYS)]


@pytest.mark.parametrize("name", NAMES)
def test_a_day_keeps_the_rules_and_serves(name: str, tmp_path: pathlib.Path) -> None:
    seconds = 5.0 if name in SHORT else 8.0
    verdict = play(name, tmp_path, gateways=40, hosts=8, rate=100.0, seconds=seconds, seed=1)
    assert not verdict.breaches, "\n".join(verdict.breaches[:20])
    assert not verdict.complaints, f"{verdict.complaints}; {verdict.line()}"
    assert verdict.late == 0, verdict.line()
    assert verdict.served >= DAYS[name].served, verdict.line()
    assert verdict.descriptors <= 200, verdict.line()
    assert verdict.links_per_call <= DAYS[name].links_per_call, verdict.line()
    assert verdict.asks_per_gateway <= 6.0, verdict.line()
