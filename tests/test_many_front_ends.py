"""Hundreds of front ends, large lists and uneven traffic: one small test for each failure found or feared."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from saffronstack.routing.events import (
    CacheStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    LoadReport,
    Request,
    Result,
    TimerFired,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import RuleSettings, TenantSettings

from .helpers import (
    GONE,
    KEYED_CELL,
    SAFE,
    UNSAFE,
    Gateway,
    change,
    entry,
    finals,
    full,
    router,
    sends,
    settings,
)

COLD = RuleSettings(
    drain_grace_s=1.0,
    slow_start_min_fraction=0.15,
    slow_start_s=18.0,
    overload_multiple=2.0,
    overload_window_s=1.0,
)
QUIET = RuleSettings()


def many(count: int, workers: int, rules: RuleSettings = QUIET) -> list[Gateway]:
    """Front ends that know the same workers, all warm."""
    made = []
    for seed in range(count):
        gateway = Gateway(Router(settings(gateway_count=count, rules=rules), seed))
        gateway.decider.handle(100.0, full(*(entry(w) for w in range(1, workers + 1))))
        made.append(gateway)
    return made


@pytest.mark.parametrize("busy", [None, 0.4])
def test_a_young_worker_is_not_tipped_by_many_front_ends_together(busy: float | None) -> None:
    gateways = many(200, 10, COLD)
    chance = random.Random(3)
    rate = 200.0  # so that each of ten workers carries 20 a second

    def serve(start: float, seconds: float, watched: int) -> dict[int, int]:
        sent: dict[int, int] = {}
        for step in range(int(seconds * rate)):
            now = start + step / rate
            gateway = chance.choice(gateways)
            number, actions = gateway.ask(now, function_id=int(40 * chance.random() ** 2))
            for send in sends(actions):
                if send.worker_id == watched:
                    sent[int(now)] = sent.get(int(now), 0) + 1
                gateway.end(
                    now, number, load_report=None if busy is None else LoadReport(cpu_utilization=busy)
                )
        return sent

    serve(100.0, 30.0, 0)
    for gateway in gateways:
        gateway.decider.handle(130.0, change(entry(11, started_s=130.0)))
    sent = serve(130.0, 18.0, 11)
    assert sum(sent.values()) > 20  # it is used
    for second, count in sent.items():
        able = 20.0 * (0.15 + 0.85 * (second + 1 - 130) / 18.0)
        assert count <= 2.0 * able + 2


def shared(gateway: Gateway, functions: int = 30) -> None:
    """Teach a front end that it mostly meets copies which others had loaded."""
    for function in range(functions):
        number, actions = gateway.ask(100.0 + function * 0.1, function_id=1000 + function)
        if sends(actions):
            gateway.end(100.05 + function * 0.1, number, cache_status=CacheStatus.WARM)


def test_own_copies_do_not_count_as_shared() -> None:
    gateway = Gateway(router(*range(1, 9)))
    for step in range(60):
        number, _ = gateway.ask(100.0 + step * 0.1, function_id=step % 3)
        gateway.end(
            100.05 + step * 0.1,
            number,
            cache_status=CacheStatus.STARTED_LOAD if step < 3 else CacheStatus.WARM,
        )
    assert gateway.decider.components.shared_instances.fraction < 0.01


def test_a_hot_function_goes_to_more_workers_where_copies_are_shared() -> None:
    gateway = Gateway(router(*range(1, 41), gateway_count=300))
    shared(gateway)
    used = set()
    for step in range(30):
        now = 104.0 + step * 0.1
        number, actions = gateway.ask(now, function_id=1)
        used |= {send.worker_id for send in sends(actions)}
        if sends(actions):
            gateway.end(now + 0.05, number)
            gateway.decider.functions[1].warm_instances.clear()
    assert len(used) > 3


def test_sends_that_mostly_meet_shared_copies_are_not_held() -> None:
    gateway = Gateway(router(*range(1, 41), gateway_count=300))
    shared(gateway)
    sent = 0
    for function in range(20):
        sent += len(sends(gateway.ask(104.0, function_id=function)[1]))
    assert sent == 20


def test_a_late_answer_leaves_no_entry_where_copies_are_shared() -> None:
    gateway = Gateway(router(*range(1, 41), gateway_count=300))
    shared(gateway)
    for elapsed_s, entries in ((0.1, 1), (1.0, 0)):
        number, _ = gateway.ask(104.0, function_id=int(10 * elapsed_s))
        gateway.end(104.0 + elapsed_s, number, elapsed_s=elapsed_s)
        assert len(gateway.decider.functions[int(10 * elapsed_s)].warm_instances) == entries


def test_repeats_are_budgeted() -> None:
    gateway = Gateway(router(*range(1, 41), gateway_count=300))
    attempts = 0
    for step in range(100):
        now = 100.0 + step
        number, actions = gateway.ask(now, function_id=step)
        while sends(actions):
            attempts += 1
            actions = gateway.end(now, number, Result.AT_CAPACITY, CacheStatus.UNKNOWN)
        gateway.decider.handle(now + 0.9, TimerFired(number))
    assert attempts <= 100 + 10 + 20


def test_full_answers_refuse_a_part_at_once_and_timely_ones_end_that() -> None:
    gateway = Gateway(router(*range(1, 41), gateway_count=300))
    shared(gateway, 60)
    for step in range(80):
        number, actions = gateway.ask(110.0 + step * 0.01, function_id=step)
        while sends(actions):
            actions = gateway.end(110.0 + step * 0.01, number, Result.AT_CAPACITY, CacheStatus.UNKNOWN)
    assert gateway.decider.components.load_shedder.shed_fraction > 0.2
    refused = sum(len(finals(gateway.ask(111.0, function_id=2000 + step)[1])) for step in range(100))
    assert 10 < refused < 90
    for step in range(200):
        number, actions = gateway.ask(112.0 + step * 0.1, function_id=step)
        if sends(actions):
            gateway.end(112.05 + step * 0.1, number)
    assert gateway.decider.components.load_shedder.shed_fraction < 0.05


def shares_copies(gateway: Gateway) -> None:
    """It has learned that all front ends share copies: sends without an entry find them."""
    for step in range(40):
        now = 100.0 + step / 8
        number, actions = gateway.ask(now, function_id=1000 + step)
        assert sends(actions)
        gateway.end(now + 0.1, number, concurrency=0)
    assert gateway.decider.components.shared_instances.fraction > 0.2


def refused_part(
    gateway: Gateway, at: float, rate: float, seconds: float, took: Callable[[], float]
) -> float:
    """The part refused at once of so many requests a second, whose sends are answered after ``took``."""
    asked = refused = 0
    out: list[tuple[float, int, float]] = []
    for step in range(int(rate * seconds)):
        now = at + step / rate
        while out and out[0][0] <= now:
            ended_s, number, took_s = heapq.heappop(out)
            gateway.end(ended_s, number, elapsed_s=took_s, concurrency=0)
        number, actions = gateway.ask(now, function_id=10_000 + gateway.serial)
        asked += 1
        refused += bool(finals(actions))
        if sends(actions):
            took_s = took()
            heapq.heappush(out, (now + took_s, number, took_s))
    while out:
        ended_s, number, took_s = heapq.heappop(out)
        gateway.end(ended_s, number, elapsed_s=took_s, concurrency=0)
    return refused / asked


@pytest.mark.parametrize("rate", [6.0, 60.0])
def test_a_front_end_refuses_soon_in_an_overload_and_no_longer_than_that(rate: float) -> None:
    gateway = Gateway(router(*range(1, 9), gateway_count=100))
    shares_copies(gateway)
    assert refused_part(gateway, 110.0, rate, 5.0, lambda: 0.05) == 0.0
    refused_part(gateway, 120.0, rate, 3.0, lambda: 2.5)  # far over the aim
    assert refused_part(gateway, 126.0, rate, 3.0, lambda: 2.5) > 0.25
    refused_part(gateway, 132.0, rate, 4.0, lambda: 0.05)
    assert refused_part(gateway, 137.0, rate, 5.0, lambda: 0.05) == 0.0


def test_a_late_answer_in_five_is_chance_and_refuses_hardly_any() -> None:
    gateway = Gateway(router(*range(1, 9), gateway_count=100))
    shares_copies(gateway)
    chance = random.Random(5)
    assert refused_part(gateway, 110.0, 6.0, 120.0, lambda: chance.choices((1.0, 0.05), (1, 4))[0]) < 0.05


@pytest.mark.parametrize("answers_others", [True, False])
def test_times_that_run_out_at_a_worker_that_answers_others_are_overload(answers_others: bool) -> None:
    """A worker that says nothing at all may be cut off: others could serve, and refusing would lose that."""
    gateway = Gateway(router(1, gateway_count=100))
    shares_copies(gateway)
    for step in range(3):
        now = 110.0 + 4 * step
        lost, actions = gateway.ask(now, function_id=5000 + step)
        assert sends(actions)
        if answers_others:
            other, _ = gateway.ask(now + 0.1, function_id=6000 + step)
            gateway.end(now + 0.2, other, concurrency=0, elapsed_s=0.1)
        gateway.end(now + 3.0, lost, Result.TIMEOUT, CacheStatus.UNKNOWN, elapsed_s=3.0, is_final=True)
    assert (gateway.decider.components.load_shedder.shed_fraction > 0) is answers_others


def test_a_front_end_that_carries_most_does_not_take_its_tenants_for_over_their_share() -> None:
    tenants = (TenantSettings("a", 0.5, 100.0), TenantSettings("b", 0.5, 100.0))
    decider = router(1, 2, tenants=tenants, over_quota_weight=0.05, gateway_count=200)
    gateway = Gateway(decider)
    for step in range(400):
        gateway.ask(100.0 + step * 0.01, function_id=step, tenant=step % 2)
    assert decider.components.load_shedder.quota_factor(104.0, 0) > 0.8


def test_thin_traffic_reaches_its_worker_at_each_of_many_front_ends() -> None:
    for gateway in many(300, 60)[::30]:
        for step in range(4):
            number, actions = gateway.ask(100.0 + 20.0 * step, function_id=step)
            assert len(sends(actions)) == 1
            assert not finals(gateway.end(100.1 + 20.0 * step, number))


def test_a_list_of_hundreds_that_mostly_vanishes_or_restarts_at_once() -> None:
    gateway = Gateway(router(*range(1, 401)))
    number, _ = gateway.ask(100.0, function_id=1)
    home = gateway.where[number]
    gateway.end(100.1, number)
    gateway.decider.handle(101.0, change(*(entry(w, started_s=100.5) for w in range(1, 301))))
    assert all(not function.warm_instances or home > 300 for function in gateway.decider.functions.values())
    gateway.decider.handle(102.0, full(*(entry(w) for w in range(391, 401))))
    number, actions = gateway.ask(102.0, function_id=2)
    assert sends(actions)[0].worker_id > 390


def test_waiting_requests_are_answered_when_all_workers_vanish() -> None:
    gateway = Gateway(router(1, 2, gateway_count=4))
    numbers = [gateway.ask(100.0, function_id=function)[0] for function in range(30)]
    held = [number for number in numbers if number not in gateway.where]
    assert held
    gateway.decider.handle(100.1, change(entry(1, GONE), entry(2, GONE)))
    for number in held:
        answers = finals(gateway.decider.handle(100.2, TimerFired(number)))
        assert len(answers) == 1


def test_an_answer_that_never_comes_is_repeated_only_where_that_is_allowed() -> None:
    for cls, again in ((SAFE, True), (UNSAFE, False), (KEYED_CELL, True)):
        gateway = Gateway(router(1, 2, 3))
        number, _ = gateway.ask(100.0, cls)
        actions = gateway.end(101.0, number, Result.TIMEOUT, CacheStatus.UNKNOWN)
        assert bool(sends(actions)) is again
        assert bool(finals(actions)) is not again


def test_a_restarted_front_end_starts_from_the_list_alone() -> None:
    decider = Router(settings(rules=COLD, gateway_count=200), 1)
    decider.handle(100.0, EndpointUpdate(EndpointUpdateKind.CACHED, (entry(1, started_s=99.0),)))
    assert not sends(decider.handle(100.0, Request(1, SAFE, 1, 103.0, memory_mb=500.0)))


def test_a_worker_told_as_busy_gets_fewer_loads_and_comes_back() -> None:
    """Hundreds of front ends that see little load some workers at 0.9 and others at 0.1, for as long as the
    functions live: own counts show nothing, the answers' reports do."""

    def loads(busy: dict[int, float], later_s: float = 0.0) -> list[int]:
        got = [0] * 9
        for gateway in many(20, 8):
            for step in range(120):  # each worker is heard of some times
                now = 99.0 + step * 0.01
                number, _ = gateway.ask(now, function_id=5000 + step, memory_mb=1.0)
                gateway.end(
                    now, number, load_report=LoadReport(cpu_utilization=busy.get(gateway.where[number], 0.5))
                )
            for worker in gateway.decider.workers.values():
                worker.placed_mb = 0.0  # memory aside
            for function in range(40):
                number, actions = gateway.ask(100.2 + later_s, function_id=function, memory_mb=1.0)
                got[sends(actions)[0].worker_id] += 1
                gateway.end(100.2 + later_s, number)
        return got

    even, told = loads({}), loads({1: 1.0, 2: 0.0})
    assert told[1] < 0.5 * even[1] and told[2] > 1.3 * even[2]
    assert loads({1: 1.0, 2: 0.0}, later_s=120.0)[1] > 0.8 * even[1]  # words of long ago say nothing


def test_copies_with_a_free_lane_do_not_widen_the_spread() -> None:
    """Nearly every send of hundreds of front ends finds a copy: a spread that grew on that had no end. Where
    the use of cores is not told, nothing else evens load, and it grows on each."""

    def spread_after(crowd: int | None, busy: float | None = 0.5) -> float:
        gateway = Gateway(router(*range(1, 41), gateway_count=300))
        for function in range(200):
            number, actions = gateway.ask(100.0 + function * 0.1, function_id=1000 + function)
            if sends(actions):
                end = 100.05 + function * 0.1
                gateway.end(
                    end,
                    number,
                    cache_status=CacheStatus.WARM,
                    concurrency=crowd,
                    load_report=LoadReport(cpu_utilization=busy),
                )
        assert gateway.decider.components.shared_instances.fraction > 0.2
        return gateway.decider.components.placement.spread

    assert spread_after(0) == 1.0
    assert spread_after(1) == spread_after(None) == 10.0  # every lane taken; a site that does not tell
    assert spread_after(0, busy=None) == 10.0
