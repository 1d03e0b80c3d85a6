"""Tests of state updates from the outcome of an attempt."""

from __future__ import annotations

import pytest

from saffronstack.routing.components import Components
from saffronstack.routing.events import AttemptOutcome, CacheStatus, LoadReport, Result
from saffronstack.routing.outcome_feedback import OutcomeFeedback
from saffronstack.routing.state import Function
from tests.helpers import settings
from tests.support.routing_state import make_attempt, make_outcome, make_request, make_worker


def apply(outcome: AttemptOutcome, expects_warm: bool = True, concurrency: float = 1.0) -> Components:
    """Apply the outcome of one attempt, sent at time 100, and return the router components."""
    components, worker = Components(settings(), 1), make_worker()
    function = components.functions[1] = Function()
    components.fleet.workers[1] = worker
    attempt = make_attempt(worker, make_request(concurrency=concurrency), expects_warm)
    attempt.instance_freed_s = 99.0
    worker.attempts_in_flight = 1
    if expects_warm:
        worker.warm_attempts_in_flight = function.warm_attempts_in_flight = 1
    else:
        components.load_control.begin(worker, function, 1)
    components.memory.begin_attempt(worker, attempt.request)
    OutcomeFeedback(components).apply(100.5, attempt, outcome)
    return components


@pytest.mark.parametrize("expects_warm", [True, False])
@pytest.mark.parametrize("result", Result)
def test_no_result_leaves_anything_in_flight(result: Result, expects_warm: bool) -> None:
    components = apply(make_outcome(result), expects_warm)
    worker, function = components.fleet.workers[1], components.functions[1]
    assert worker.attempts_in_flight == worker.warm_attempts_in_flight == 0
    assert not worker.loads_in_progress
    assert components.load_control.loads_in_progress == 0
    assert function.warm_attempts_in_flight == function.loads_in_progress == 0
    assert components.memory.instances_at(worker, make_request()).attempts_in_flight == 0


@pytest.mark.parametrize(
    ("result", "freed_s"),
    [(Result.OK, [100.5]), (Result.RESET, [99.0]), (Result.CANCELLED, [100.5]), (Result.ERROR, [])],
)
def test_the_instance_returns_unless_the_attempt_failed_there(result: Result, freed_s: list[float]) -> None:
    components = apply(make_outcome(result))
    assert [freed for _, freed in components.functions[1].warm_instances] == freed_s


def test_a_load_adds_every_slot_of_the_instance() -> None:
    outcome = make_outcome(cache_status=CacheStatus.STARTED_LOAD)
    components = apply(outcome, expects_warm=False, concurrency=3.0)
    assert len(components.functions[1].warm_instances) == 3


@pytest.mark.parametrize(("result", "responded"), [(Result.OK, True), (Result.TIMEOUT, False)])
def test_a_response_shows_the_worker_to_be_alive(result: Result, responded: bool) -> None:
    assert (apply(make_outcome(result)).fleet.workers[1].last_response_s == 100.5) is responded


def test_reported_utilization_counts_as_one_at_most() -> None:
    report = LoadReport(cpu_utilization=1.7)
    assert apply(make_outcome(load_report=report)).fleet.workers[1].cpu_utilization == 1.0
