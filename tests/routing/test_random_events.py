"""Tests with random valid events and settings: one final answer, retry rules, draining and determinism."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saffronstack.routing.actions import Action, Fail, LoadFunction, Reject, SendAttempt, SetTimer
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadCommandResult,
    Request,
    Result,
    TimerFired,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import (
    DeduplicationScope,
    Idempotency,
    MissMode,
    PermissionSettings,
    RuleSettings,
    Settings,
    TenantSettings,
)
from tests.helpers import CLASSES, KEYED_CELL, KEYED_ZONE, settings

NEVER_EXECUTED = (Result.AT_CAPACITY, Result.CONNECT_FAILED, Result.NOT_STARTED, Result.NOT_LOADED)


@dataclass
class Simulation:
    """Simulates clients, workers and the clock for one router, and checks the rules at each action."""

    router: Router
    config: Settings
    now: float = 100.0
    ready: dict[int, bool] = field(default_factory=dict)
    owed: dict[int, Request] = field(default_factory=dict)
    sent: dict[int, int] = field(default_factory=dict)
    maybe_executed: dict[int, tuple[int, float]] = field(default_factory=dict)
    in_flight: list[tuple[int, int, int, float]] = field(default_factory=list)
    load_commands: list[tuple[int, int]] = field(default_factory=list)
    timers: list[tuple[float, int]] = field(default_factory=list)
    log: list[str] = field(default_factory=list)

    def handle_event(self, event: Event) -> None:
        for action in self.router.handle(self.now, event):
            self.log.append(repr(action))
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            request = self.owed[action.request_id]  # raises KeyError after the final answer
            assert self.ready[action.worker_id]
            assert self.now < request.deadline_s
            # At most one attempt of a request is in flight.
            assert all(number != action.request_id for number, *_ in self.in_flight)
            self.check_retry(action.request_id, action.worker_id)
            attempt = self.sent.get(action.request_id, 0)
            assert attempt < self.config.permissions.max_attempts
            self.sent[action.request_id] = attempt + 1
            self.in_flight.append((action.request_id, attempt, action.worker_id, self.now))
        elif isinstance(action, LoadFunction):
            assert self.ready[action.worker_id]
            assert self.config.permissions.load_commands
            self.load_commands.append((action.worker_id, action.function_id))
        elif isinstance(action, Reject | Fail):
            request = self.owed.pop(action.request_id)  # a second final answer raises KeyError
            request_class = CLASSES[request.class_index]
            if isinstance(action, Reject) and action.request_id in self.maybe_executed:
                is_harmless = (
                    request_class.idempotency is Idempotency.WITH_KEY
                    and request_class.deduplication_scope is DeduplicationScope.ALL
                )
                assert request_class.idempotency is Idempotency.IDEMPOTENT or is_harmless
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay_s, action.timer_id))

    def check_retry(self, request: int, worker: int) -> None:
        first = self.maybe_executed.get(request)
        request_class = CLASSES[self.owed[request].class_index]
        if first is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        assert request_class.idempotency is Idempotency.WITH_KEY
        assert self.now < first[1] + request_class.deduplication_window_s
        if request_class.deduplication_scope is DeduplicationScope.ZONE:
            assert worker % 2 == first[0] % 2
        if request_class.deduplication_scope is DeduplicationScope.CELL:
            assert worker % 3 == first[0] % 3

    def update_endpoints(
        self, workers: dict[int, WorkerState], kind: EndpointUpdateKind, started_s: float
    ) -> None:
        if kind is EndpointUpdateKind.SNAPSHOT:
            self.ready = dict.fromkeys(self.ready, False)
        for number, state in workers.items():
            self.ready[number] = state is WorkerState.READY
        entries = (
            WorkerEndpoint(n, s, zone=n % 2, cell=n % 3, started_s=started_s) for n, s in workers.items()
        )
        self.handle_event(EndpointUpdate(kind, tuple(entries)))

    def finish(self, index: int, result: Result, cache_status: CacheStatus) -> None:
        request, attempt, worker, sent_s = self.in_flight.pop(index % len(self.in_flight))
        if result not in NEVER_EXECUTED:
            self.maybe_executed.setdefault(request, (worker, sent_s))
        is_success = result is Result.OK
        if is_success:
            self.owed.pop(request, None)
        self.handle_event(
            AttemptOutcome(
                request,
                attempt,
                worker,
                result,
                self.now - sent_s,
                is_final=is_success,
                cache_status=cache_status,
            )
        )

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            due = [(due_s, 0, timer_id) for due_s, timer_id in self.timers]
            due += [(self.owed[n].deadline_s - 0.01, 1, n) for n, *_ in self.in_flight if n in self.owed]
            due = [item for item in due if item[0] <= end]
            if not due:
                break
            due_s, kind, number = min(due)
            self.now = max(self.now, due_s)
            if kind == 0:
                self.timers.remove((due_s, number))
                self.handle_event(TimerFired(number))
            else:
                self.finish(
                    [n for n, *_ in self.in_flight].index(number), Result.TIMEOUT, CacheStatus.UNKNOWN
                )
        self.now = end


STEPS = st.lists(st.tuples(st.sampled_from("aaaaoooowtlL"), st.integers(0, 9999)), max_size=60)
SHAPES = st.fixed_dictionaries(
    {
        "gateway_count": st.sampled_from([1, 3, 300]),
        "reports_concurrency": st.booleans(),
        "miss_mode": st.sampled_from([MissMode.LOAD, MissMode.REJECT]),
        "tenants": st.sampled_from([(), (TenantSettings("a", 0.7, 50.0), TenantSettings("b", 0.3, 1.0))]),
        "memory_mb_by_worker_kind": st.sampled_from([(), (600.0,), (8000.0,)]),
        "rules": st.sampled_from(
            [
                RuleSettings(response_slack_s=0.01, drain_grace_s=1.0),
                RuleSettings(
                    slow_start_min_fraction=0.15,
                    slow_start_s=10.0,
                    overload_multiple=2.0,
                    overload_window_s=1.0,
                ),
                RuleSettings(
                    load_command_burst=2.0, load_commands_per_request=0.1, load_command_window_s=5.0
                ),
            ]
        ),
        "permissions": st.sampled_from(
            [
                PermissionSettings(max_attempts=4, load_commands=True),
                PermissionSettings(max_attempts=2),
            ]
        ),
    }
)


def play(shape: dict[str, Any], steps: list[tuple[str, int]]) -> list[str]:
    config = settings(**shape)
    simulation = Simulation(Router(config, 11), config)
    simulation.update_endpoints(
        dict.fromkeys(range(1, 7), WorkerState.READY), EndpointUpdateKind.SNAPSHOT, 0.0
    )
    request_id = 0
    for kind, number in steps:
        if kind == "a":
            request_id += 1
            request = Request(
                request_id, number % 5, number % 7, simulation.now + 3, number % 2, 500.0, 1.0 + number % 4
            )
            simulation.owed[request_id] = request
            simulation.handle_event(request)
        elif kind == "o" and simulation.in_flight:
            results = [r for r in Result if r is not Result.CANCELLED]
            cache_status = list(CacheStatus)[number % 4]
            simulation.finish(number, results[(number // 7) % len(results)], cache_status)
        elif kind == "w":
            simulation.pass_time(number / 2000)
        elif kind == "t":
            simulation.pass_time(0.01)
        elif kind == "l":
            state = list(WorkerState)[number % 3]
            simulation.update_endpoints(
                {1 + number % 8: state}, EndpointUpdateKind.INCREMENTAL, simulation.now if number % 2 else 0.0
            )
        elif kind == "L" and simulation.load_commands:
            worker, function = simulation.load_commands.pop()
            result = (Result.OK, Result.AT_CAPACITY, Result.ERROR)[number % 3]
            simulation.handle_event(LoadCommandResult(worker, function, number % 2, result, 0.5))
    simulation.pass_time(10.0)
    assert not simulation.owed  # every request got its final answer in time
    return simulation.log


@hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
@given(SHAPES, STEPS)
def test_random_legal_events_keep_the_rules(shape: dict[str, Any], steps: list[tuple[str, int]]) -> None:
    assert play(shape, steps) == play(shape, steps)


@pytest.mark.parametrize("seed", range(20))
def test_lost_and_refused_connections_move_no_keyed_request_out_of_its_scope(seed: int) -> None:
    """Guards against two effects: `Simulation.check_retry` fails for a retry outside the scope or window."""
    rng = random.Random(seed)
    config = settings()
    simulation = Simulation(Router(config, seed), config)
    workers = dict.fromkeys(range(1, 7), WorkerState.READY)
    simulation.update_endpoints(workers, EndpointUpdateKind.SNAPSHOT, 0.0)
    results = [Result.OK] * 6 + [Result.CONNECT_FAILED, Result.CONNECT_FAILED, Result.RESET]
    retried = 0
    for number in range(1, 400):
        class_index = rng.choice((KEYED_ZONE, KEYED_CELL))
        request = Request(number, class_index, rng.randrange(2), simulation.now + 3, 0, 500.0, 2.0)
        simulation.owed[number] = request
        simulation.handle_event(request)
        while len(simulation.in_flight) > 4:
            simulation.finish(rng.randrange(9999), rng.choice(results), CacheStatus.WARM)
        simulation.pass_time(rng.uniform(0.0, 0.1))
        retried += simulation.sent.get(number - 10, 0) > 1
    assert retried > 20
