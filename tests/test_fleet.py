"""Forty gateways of the platform in processes of their own, with faults between: judged from the sockets.

`benchmarks/fleet.py` plays the same days at full size."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.day.troubles import DAYS, play

pytestmark = pytest.mark.xdist_group("fleet")  # one after another: each has the machine's cores to itself


@pytest.mark.parametrize("name", sorted(DAYS))
def test_a_day_keeps_the_rules_and_serves(name: str, tmp_path: pathlib.Path) -> None:
    verdict = play(name, tmp_path, gateways=40, hosts=8, rate=100.0, seconds=8.0, seed=1)
    assert not verdict.breaches, "\n".join(verdict.breaches[:20])
    assert verdict.late == 0, verdict.line()
    assert verdict.served >= DAYS[name].served, verdict.line()
    assert verdict.descriptors <= 200, verdict.line()
    assert verdict.links_per_call <= DAYS[name].links_per_call, verdict.line()
    assert verdict.asks_per_gateway <= 6.0, verdict.line()
