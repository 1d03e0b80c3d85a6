"""The measures of an even load, on loads with known results."""

from __future__ import annotations

import math
import random

import pytest

from saffronstack.harness.fleet.load_spread import (
    Arrival,
    Sample,
    evenness,
    expected_max_load,
    herds,
    idle_beside_queue,
    quantile,
)  # fmt: skip

FAIR = {f"h{n}": 0.1 for n in range(10)}


def test_round_robin_load_is_even_and_a_single_loaded_host_is_not() -> None:
    round_robin = [Arrival(n / 100, f"h{n % 10}") for n in range(1000)]
    found = evenness(round_robin, FAIR, 0.0, 10.0, 5.0)
    assert [(one.calls, one.max_over_mean, one.deviation) for one in found] == [(500, 1.0, 0.0)] * 2
    one_host = [Arrival(n / 100, "h3") for n in range(100)]
    (found_one,) = evenness(one_host, FAIR, 0.0, 10.0, 5.0)
    assert found_one.max_over_mean == pytest.approx(10.0)
    assert found_one.deviation == pytest.approx(3.0)


def test_evenness_weighs_work_by_each_hosts_share_of_capacity() -> None:
    shares = {"big": 0.75, "small": 0.25}
    arrivals = [Arrival(0.1, "big", 3.0), Arrival(0.2, "small", 1.0)]
    (found,) = evenness(arrivals, shares, 0.0, 1.0, 1.0)
    assert found.max_over_mean == pytest.approx(1.0)
    with pytest.raises(ValueError, match=r"add up to 0\.5"):
        evenness(arrivals, {"big": 0.5}, 0.0, 1.0, 1.0)


def test_a_herd_within_one_round_trip_counts_once() -> None:
    steady = [Arrival(n / 100, f"h{n % 10}") for n in range(1000)]
    assert herds(steady, FAIR, 0.02) == []
    rush = [Arrival(5.0 + n / 10_000, "h7") for n in range(8)]
    (found,) = herds(steady + rush, FAIR, 0.02)
    assert found.host == "h7"
    assert found.work_s >= 8


def test_the_longest_idle_time_beside_a_queue_is_reported() -> None:
    samples = []
    for step in range(100):
        t = step / 10
        queued = 20 <= step < 70
        samples.append(Sample(t, "full", waiting=3 if queued else 0, working=2, cores=2))
        samples.append(Sample(t, "idle", waiting=0, working=0, cores=2))
        samples.append(Sample(t, "drains", waiting=0, working=0, cores=2, ready=False))
    found = idle_beside_queue(samples)
    assert found.host == "idle"
    assert found.longest_s == pytest.approx(4.9)
    assert found.share == pytest.approx(50 / 200)


@pytest.mark.parametrize("choices", [1, 2, 3])
def test_random_and_two_choices_are_as_published(choices: int) -> None:
    """Balls into bins: one choice about mean + sqrt(2 mean ln bins), d choices mean + ln ln bins / ln d."""
    balls, bins = 3600, 36
    max_load = expected_max_load(balls, bins, choices, repetitions=40) * balls / bins
    if choices == 1:
        assert max_load == pytest.approx(100 + math.sqrt(2 * 100 * math.log(bins)), rel=0.06)
    else:
        assert 100 < max_load < 100 + math.log(math.log(bins)) / math.log(choices) + 2


def test_measured_evenness_of_a_random_load_matches_balls_into_bins() -> None:
    """The evenness measured from arrivals equals the theoretical value."""
    chance = random.Random(4)
    hosts = {f"h{n}": 1 / 36 for n in range(36)}
    names = list(hosts)
    arrivals = [Arrival(window + 0.5, chance.choice(names)) for window in range(200) for _ in range(360)]
    found = evenness(arrivals, hosts, 0.0, 200.0, 1.0)
    mean = sum(one.max_over_mean for one in found) / len(found)
    assert mean == pytest.approx(expected_max_load(360, 36, 1, repetitions=100), rel=0.03)


def test_quantiles() -> None:
    assert (quantile([3.0, 1.0, 2.0], 0.5), quantile([], 0.5), quantile([1.0, 2.0], 1.0)) == (2.0, 0.0, 2.0)
