"""Tests of which workers may get an attempt of a request."""

from __future__ import annotations

import random

import pytest

from saffronstack.routing.cpu_utilization import CpuUtilization
from saffronstack.routing.eligibility import Eligibility
from saffronstack.routing.rate_estimator import RequestRates
from saffronstack.routing.slow_start import SlowStart
from tests.helpers import KEYED_CELL, KEYED_ZONE, settings
from tests.support.routing_state import make_attempt, make_fleet, make_pending, make_request, make_worker


@pytest.fixture
def eligibility() -> Eligibility:
    """Return an `Eligibility` without slow start."""
    rates, cpu = RequestRates(), CpuUtilization()
    return Eligibility(SlowStart(settings(), make_fleet(), rates, cpu, random.Random(1)))


def test_only_ready_workers_are_eligible(eligibility: Eligibility) -> None:
    assert eligibility.is_eligible(100.0, make_pending(), make_worker())
    assert not eligibility.is_eligible(100.0, make_pending(), make_worker(is_ready=False))


def test_an_ejected_worker_is_eligible_when_its_trial_is_due(eligibility: Eligibility) -> None:
    worker = make_worker()
    worker.is_ejected, worker.next_trial_s = True, 101.0
    assert not eligibility.is_eligible(100.0, make_pending(), worker)
    assert eligibility.is_eligible(101.0, make_pending(), worker)


def test_a_worker_gets_one_attempt_of_a_request(eligibility: Eligibility) -> None:
    pending = make_pending()
    pending.attempts.append(make_attempt(make_worker(1)))
    assert not eligibility.is_eligible(100.0, pending, make_worker(1))
    assert eligibility.is_eligible(100.0, pending, make_worker(2))


@pytest.mark.parametrize(
    ("class_index", "expected"), [(KEYED_ZONE, [True, False]), (KEYED_CELL, [False, True])]
)
def test_a_request_that_may_have_executed_stays_in_its_scope(
    eligibility: Eligibility, class_index: int, expected: list[bool]
) -> None:
    pending = make_pending(make_request(class_index=class_index))
    pending.maybe_executed = make_attempt(make_worker(1, zone=1, cell=1))
    workers = [make_worker(2, zone=1, cell=2), make_worker(3, zone=2, cell=1)]
    assert [eligibility.is_eligible(100.0, pending, worker) for worker in workers] == expected


@pytest.mark.parametrize(
    ("class_index", "expected"), [(KEYED_ZONE, [True, False]), (KEYED_CELL, [False, True])]
)
def test_a_retry_after_a_disconnect_stays_in_the_scope_of_a_request_that_may_have_executed(
    eligibility: Eligibility, class_index: int, expected: list[bool]
) -> None:
    """Guards against a second effect: the retry went to workers that do not know the idempotency key."""
    pending = make_pending(make_request(class_index=class_index))
    pending.maybe_executed = make_attempt(make_worker(1, zone=1, cell=1))
    workers = [make_worker(2, zone=1, cell=2), make_worker(3, zone=2, cell=1)]
    for worker in workers:
        pending.attempts.append(make_attempt(worker))
        pending.attempts[-1].connection_lost = True
    can_retry = [eligibility.can_retry_after_disconnect(100.0, pending, worker) for worker in workers]
    assert can_retry == expected


def test_a_request_may_be_retried_where_its_connection_was_lost(eligibility: Eligibility) -> None:
    worker, pending = make_worker(), make_pending()
    attempt = make_attempt(worker)
    pending.attempts.append(attempt)
    assert not eligibility.can_retry_after_disconnect(100.0, pending, worker)
    attempt.connection_lost = True
    assert eligibility.can_retry_after_disconnect(100.0, pending, worker)
    worker.is_ejected = True
    assert not eligibility.can_retry_after_disconnect(100.0, pending, worker)
