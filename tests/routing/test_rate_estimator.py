"""Tests of decayed counters and request rates."""

from __future__ import annotations

import math

import pytest

from saffronstack.routing.rate_estimator import RATE_WINDOW_S, DecayedCounter, RequestRates
from tests.support.routing_state import make_request


def test_a_counter_starts_at_zero() -> None:
    assert DecayedCounter(5.0).value(100.0) == 0.0


def test_a_counted_event_weighs_one_over_e_after_the_window() -> None:
    counter = DecayedCounter(5.0)
    counter.increment(100.0)
    assert counter.value(105.0) == pytest.approx(math.exp(-1))


def test_events_add_up() -> None:
    counter = DecayedCounter(5.0)
    counter.increment(100.0)
    assert counter.increment(105.0) == pytest.approx(1 + math.exp(-1))


def test_a_reset_replaces_the_count() -> None:
    counter = DecayedCounter(5.0)
    counter.increment(100.0)
    counter.reset(101.0, 7.0)
    assert counter.value(101.0) == 7.0


def test_requests_count_in_total_and_by_function_and_tenant() -> None:
    rates = RequestRates()
    rates.record(100.0, make_request(function_id=1, tenant=0))
    rates.record(100.0, make_request(function_id=2, tenant=0))
    assert rates.total.value(100.0) == 2.0
    assert [rates.of_function(100.0, number) for number in (1, 2, 3)] == [1.0, 1.0, 0.0]
    assert [rates.of_tenant(100.0, number) for number in (0, 1)] == [2.0, 0.0]


def test_a_forgotten_function_counts_as_never_requested() -> None:
    rates = RequestRates()
    rates.record(100.0, make_request(function_id=1))
    rates.forget_function(1)
    rates.forget_function(1)  # a second call has no effect
    assert rates.of_function(100.0, 1) == 0.0
    assert rates.total.value(100.0 + RATE_WINDOW_S) > 0
