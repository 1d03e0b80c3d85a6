"""Unix time that is not affected by steps of the system clock."""

from __future__ import annotations

from saffronstack.deferred.steady_clock import SteadyClock


def test_the_clock_follows_monotonic_time_and_ignores_steps_of_the_system_time() -> None:
    monotonic, wall_clock = [100.0], [5000.0]
    clock = SteadyClock(lambda: monotonic[0], lambda: wall_clock[0])
    monotonic[0] = 101.0
    wall_clock[0] = 0.0
    assert clock.now() == 5001.0
    assert clock.to_monotonic(5001.0) == 101.0
    assert clock.to_unix(101.0) == 5001.0
