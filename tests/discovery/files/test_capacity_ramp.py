"""Tests of the capacity ramp."""

from __future__ import annotations

import pytest

from saffronstack.discovery.files.capacity_ramp import CapacityRamp
from tests.discovery.files.support import worker


def test_capacities_move_in_steps() -> None:
    ramp = CapacityRamp()
    assert ramp.advance({"w1": worker("w1", size=1.0)}, 0.0)["w1"].size == 1.0
    seen = []
    now = 1.0
    while True:
        seen.append(ramp.advance({"w1": worker("w1", size=4.0)}, now)["w1"].size)
        if not ramp.is_ramping:
            break
        now += 0.5
    assert seen == [1.5, 1.5, 2.25, 2.25, 3.375, 3.375, 4.0]
    assert ramp.advance({"w1": worker("w1", size=1.0)}, now + 1.0)["w1"].size == pytest.approx(4.0 / 1.5)
    new = ramp.advance({"w2": worker("w2", size=4.0)}, now + 2.0)["w2"]
    assert new.size == 4.0  # a new worker starts with its listed capacity
