"""One small test per defence: each fails without it."""

from __future__ import annotations

from saffronstack.routing.actions import Action, LoadFunction, Reject
from saffronstack.routing.events import (
    CacheStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    LoadCommandResult,
    Result,
    TimerFired,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import MissMode, PermissionSettings, RuleSettings, TenantSettings
from saffronstack.routing.state import Function

from .helpers import DRAINING, Gateway, change, entry, finals, router, sends, settings


def loads(actions: list[Action]) -> list[LoadFunction]:
    return [action for action in actions if isinstance(action, LoadFunction)]


def warm(gateway: Gateway, worker: int, function: int = 1, now: float = 100.0, entries: int = 1) -> None:
    decider = gateway.decider
    made = decider.functions.setdefault(function, Function())
    made.warm_instances += [(decider.workers[worker], now)] * entries


def test_front_ends_meet_on_the_same_worker() -> None:
    first, second = (Gateway(Router(settings(), seed)) for seed in (1, 2))
    for gateway in (first, second):
        gateway.decider.handle(
            100.0, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(entry(w) for w in range(1, 9)))
        )
    met = 0
    for function in range(30):
        one, a = first.ask(100.0, function_id=function)
        two, b = second.ask(100.0, function_id=function)
        met += sends(a)[0].worker_id == sends(b)[0].worker_id
        first.end(100.05, one)
        second.end(100.05, two)
    assert met == 30


def test_a_finished_load_frees_all_its_lanes() -> None:
    gateway = Gateway(router(1, 2))
    number, _ = gateway.ask(100.0, concurrency=4.0)
    gateway.end(101.0, number, cache_status=CacheStatus.STARTED_LOAD)
    assert len(gateway.decider.functions[1].warm_instances) == 4


def test_own_loads_are_bounded_and_held_requests_are_answered_in_time() -> None:
    gateway = Gateway(router(1, 2, gateway_count=4))
    sent = []
    for function in range(40):
        number, actions = gateway.ask(100.0, function_id=function)
        sent += sends(actions)
        assert not finals(actions)
    assert 0 < len(sent) < 10
    answered = 0
    for number in range(1, 41):
        if number not in gateway.where:
            gateway.decider.handle(100.2, TimerFired(number))
    for number in range(1, 41):
        if number not in gateway.where:
            answered += len(finals(gateway.decider.handle(102.96, TimerFired(number))))
    assert answered == 40 - len(gateway.where)


def test_a_held_request_takes_the_lane_that_a_finished_one_frees() -> None:
    gateway = Gateway(router(1, 2, 3))
    warm(gateway, 1)
    first, _ = gateway.ask(100.0)
    second, actions = gateway.ask(100.0)
    assert not sends(actions)
    actions = gateway.end(100.1, first)
    assert [(a.request_id, a.worker_id) for a in sends(actions)] == [(second, 1)]


def test_a_worker_that_is_not_reached_is_ejected_and_comes_back_by_a_trial() -> None:
    gateway = Gateway(router(1, 2, 3, 4))
    for step in range(2):
        warm(gateway, 1, step, 100.0 + step)
        number, _ = gateway.ask(100.0 + step, function_id=step)
        gateway.end(100.25 + step, number, Result.CONNECT_FAILED)
    assert gateway.decider.workers[1].is_ejected
    warm(gateway, 1, 9, 101.3)
    _, actions = gateway.ask(101.3, function_id=9)
    assert sends(actions)[0].worker_id != 1
    number, actions = gateway.ask(103.0, function_id=9)
    assert sends(actions)[0].worker_id == 1
    gateway.end(103.1, number)
    assert not gateway.decider.workers[1].is_ejected


def _ejected(results: dict[int, tuple[Result, float]], rounds: int = 30) -> set[int]:
    gateway = Gateway(router(*range(1, 7)))
    for step in range(rounds):
        for worker, (result, took) in results.items():
            now = 100.0 + step
            made = gateway.decider.functions.setdefault(worker, Function())
            made.warm_instances[:] = [(gateway.decider.workers[worker], now)]
            number, _ = gateway.ask(now, function_id=worker)
            if gateway.where.get(number) == worker:
                gateway.end(now + took, number, result, elapsed_s=took, is_final=True)
    return {number for number, worker in gateway.decider.workers.items() if worker.is_ejected}


def test_a_worker_that_fails_fast_is_ejected() -> None:
    assert _ejected({w: (Result.ERROR if w == 3 else Result.OK, 0.05) for w in range(1, 7)}) == {3}


def test_a_slow_worker_is_ejected() -> None:
    assert _ejected({w: (Result.OK, 0.6 if w == 3 else 0.05) for w in range(1, 7)}) == {3}


def test_ejection_is_capped() -> None:
    assert len(_ejected({w: (Result.ERROR if w > 2 else Result.OK, 0.05) for w in range(1, 7)})) <= 2


def test_no_load_is_begun_without_the_time_for_it() -> None:
    gateway = Gateway(router(1, 2, 3))
    number, _ = gateway.ask(100.0)
    gateway.end(101.0, number, cache_status=CacheStatus.STARTED_LOAD, elapsed_s=1.0)
    _, actions = gateway.ask(101.0, function_id=2, deadline_s=101.5)
    assert not sends(actions)


def _missing(**changes: object) -> Gateway:
    return Gateway(
        router(
            1,
            2,
            miss_mode=MissMode.REJECT,
            load_command_timeout_s=10.0,
            permissions=PermissionSettings(max_attempts=6, load_commands=True),
            **changes,
        )
    )


def test_where_a_miss_loads_nothing_an_order_does() -> None:
    gateway = _missing()
    number, actions = gateway.ask(100.0, concurrency=2.0)
    ordered = loads(actions)[0]
    assert not sends(actions) and ordered.instances == 1
    actions = gateway.saw(
        gateway.decider.handle(101.0, LoadCommandResult(ordered.worker_id, 1, 1, Result.OK, 1.0))
    )
    assert [(a.request_id, a.worker_id) for a in sends(actions)] == [(number, ordered.worker_id)]


def test_orders_stay_within_the_ration() -> None:
    """2 free and a tenth of the requests in 5 s: the order at the limit passes, the next does not."""
    gateway = _missing(
        rules=RuleSettings(load_command_burst=2.0, load_commands_per_request=0.1, load_command_window_s=5.0)
    )
    times: list[float] = []
    taken: list[float] = []
    for step in range(400):
        now = 100.0 + step * 0.05
        taken.append(now)
        number, actions = gateway.ask(now, function_id=step)
        while sends(actions):
            actions = gateway.end(now, number, Result.NOT_LOADED, CacheStatus.UNKNOWN)
        for ordered in loads(actions):
            times.append(now)
            span = sum(t > now - 5.0 for t in times)
            assert span <= 2.0 + 0.1 * sum(t > now - 5.0 for t in taken) + 1e-9
            gateway.decider.handle(
                now, LoadCommandResult(ordered.worker_id, ordered.function_id, 1, Result.OK, 0.5)
            )
    assert len(times) > 2


def test_no_order_to_a_draining_worker() -> None:
    gateway = _missing()
    gateway.decider.handle(100.0, change(entry(1, state=DRAINING)))
    for function in range(10):
        _, actions = gateway.ask(100.1, function_id=function)
        assert all(a.worker_id == 2 for a in loads(actions))


def test_all_full_is_refused_with_advice() -> None:
    allow = PermissionSettings(max_attempts=6, max_retry_after_s=0.3)
    gateway = Gateway(router(1, 2, permissions=allow))
    number, actions = gateway.ask(100.0)
    while sends(actions):
        actions = gateway.end(100.1, number, Result.AT_CAPACITY)
    assert actions == [Reject(number, 0.3)]


def test_late_answers_shrink_the_limit_and_requests_wait_here() -> None:
    gateway = Gateway(router(1, 2, 3))
    for function in range(12):
        warm(gateway, 1, function)
    numbers = [gateway.ask(100.0, function_id=function)[0] for function in range(8)]
    for step, number in enumerate(numbers[:6]):
        gateway.end(101.0 + step, number, elapsed_s=1.0 + step)
    worker = gateway.decider.workers[1]
    assert worker.concurrency_limit < 8
    worker.concurrency_limit = 2.0
    warm(gateway, 1, 10, 106.0)
    held, actions = gateway.ask(106.1, function_id=10)
    assert not sends(actions)
    assert held in {a.request_id for a in sends(gateway.end(106.2, numbers[6]))}


def test_traffic_over_its_share_uses_less_of_a_limit() -> None:
    tenants = (TenantSettings("a", 0.5, 1000.0), TenantSettings("b", 0.5, 1.0))
    gateway = Gateway(router(1, 2, tenants=tenants, over_quota_weight=0.05))
    for step in range(400):
        gateway.ask(100.0 + step * 0.01, function_id=1000 + step, tenant=step % 2)
    gateway.decider.workers[1].concurrency_limit = 4.0
    gateway.decider.workers[1].warm_attempts_in_flight = 2
    warm(gateway, 1, 1, 104.0)
    warm(gateway, 1, 2, 104.0)
    _, actions = gateway.ask(104.0, function_id=2, tenant=1)
    assert not sends(actions)
    _, actions = gateway.ask(104.0, function_id=1, tenant=0)
    assert len(sends(actions)) == 1


def test_a_stack_keeps_only_its_freshest_entries() -> None:
    """Thousands of entries at a worker that can't be used made each choice walk them all."""
    gateway = Gateway(router(1, 2))
    warm(gateway, 1, entries=5000)
    gateway.decider.handle(100.1, change(entry(1, state=DRAINING)))
    gateway.ask(100.2)
    assert len(gateway.decider.functions[1].warm_instances) <= 100


def test_slow_loads_shrink_the_bound_on_own_loads_and_usual_ones_grow_it() -> None:
    gateway = Gateway(router(*range(1, 11)))
    start = gateway.decider.components.load_control.loads_per_worker
    for step in range(10):
        now = 100.0 + step
        number, _ = gateway.ask(now, function_id=step)
        took = 0.5 if step < 2 else 2.5
        gateway.end(now + took, number, cache_status=CacheStatus.STARTED_LOAD, elapsed_s=took)
    assert gateway.decider.components.load_control.loads_per_worker < start
    low = gateway.decider.components.load_control.loads_per_worker
    gateway.decider.components.load_control.loads_in_progress = 100  # the bound is in use
    for step in range(10):
        gateway.decider.components.load_control.observe(120.0 + step, Result.OK, 0.5)
    assert gateway.decider.components.load_control.loads_per_worker > low


def test_a_request_begins_few_loads_before_it_is_refused() -> None:
    gateway = Gateway(router(*range(1, 9), permissions=PermissionSettings(max_attempts=8)))
    number, actions = gateway.ask(100.0)
    tries = 0
    while sends(actions):
        tries += 1
        actions = gateway.end(100.0 + tries * 0.01, number, Result.AT_CAPACITY)
    assert tries == 3 and [type(action) for action in actions] == [Reject]
