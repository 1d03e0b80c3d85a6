"""Random legal events under varied settings: one final answer, the repeat rules, drains and determinism."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saffronstack.choice import Router
from saffronstack.interface import (
    Action,
    AllowSettings,
    Effect,
    Event,
    Fail,
    Found,
    Group,
    ListKind,
    ListUpdate,
    Load,
    Loaded,
    MissMode,
    Outcome,
    Refuse,
    Request,
    Result,
    RuleSettings,
    Send,
    Settings,
    TenantSettings,
    WakeMe,
    Woken,
    WorkerEntry,
    WorkerState,
)

from .helpers import CLASSES, settings

PROVED = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT, Result.MISS)


@dataclass
class World:
    """Plays clients, workers and clock for one router and checks the rules at each action."""

    decider: Router
    config: Settings
    now: float = 100.0
    ready: dict[int, bool] = field(default_factory=dict)
    owed: dict[int, Request] = field(default_factory=dict)
    sent: dict[int, int] = field(default_factory=dict)
    first_maybe: dict[int, tuple[int, float]] = field(default_factory=dict)
    out: list[tuple[int, int, int, float]] = field(default_factory=list)
    orders: list[tuple[int, int]] = field(default_factory=list)
    wakes: list[tuple[float, int]] = field(default_factory=list)
    log: list[str] = field(default_factory=list)

    def tell(self, event: Event) -> None:
        for action in self.decider.handle(self.now, event):
            self.log.append(repr(action))
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            ask = self.owed[action.request]  # nothing is sent after the final answer
            assert self.ready[action.worker] and self.now < ask.deadline_s
            assert all(number != action.request for number, *_ in self.out)  # never two at once
            self.may_repeat(action.request, action.worker)
            attempt = self.sent.get(action.request, 0)
            assert attempt < self.config.allow.max_attempts
            self.sent[action.request] = attempt + 1
            self.out.append((action.request, attempt, action.worker, self.now))
        elif isinstance(action, Load):
            assert self.ready[action.worker] and self.config.allow.orders
            self.orders.append((action.worker, action.function))
        elif isinstance(action, Refuse | Fail):
            ask = self.owed.pop(action.request)  # exactly one
            cls = CLASSES[ask.class_index]
            if isinstance(action, Refuse) and action.request in self.first_maybe:
                everywhere = cls.effect is Effect.KEYED and cls.group is Group.ALL
                assert cls.effect is Effect.SAFE or everywhere
        elif isinstance(action, WakeMe):
            self.wakes.append((self.now + action.after_s, action.ref))

    def may_repeat(self, request: int, worker: int) -> None:
        maybe = self.first_maybe.get(request)
        cls = CLASSES[self.owed[request].class_index]
        if maybe is None or cls.effect is Effect.SAFE:
            return
        assert cls.effect is Effect.KEYED
        assert self.now < maybe[1] + cls.window_s
        if cls.group is Group.ZONE:
            assert worker % 2 == maybe[0] % 2
        if cls.group is Group.CELL:
            assert worker % 3 == maybe[0] % 3

    def list(self, workers: dict[int, WorkerState], kind: ListKind, since_s: float) -> None:
        if kind is ListKind.FULL:
            self.ready = {number: False for number in self.ready}
        for number, state in workers.items():
            self.ready[number] = state is WorkerState.READY
        entries = (WorkerEntry(n, s, zone=n % 2, cell=n % 3, since_s=since_s) for n, s in workers.items())
        self.tell(ListUpdate(kind, tuple(entries)))

    def finish(self, place: int, result: Result, found: Found) -> None:
        request, attempt, worker, sent_s = self.out.pop(place % len(self.out))
        if result not in PROVED:
            self.first_maybe.setdefault(request, (worker, sent_s))
        done = result is Result.OK
        if done:
            self.owed.pop(request, None)
        self.tell(Outcome(request, attempt, worker, result, self.now - sent_s, finished=done, found=found))

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            due = [(then, 0, ref) for then, ref in self.wakes]
            due += [(self.owed[n].deadline_s - 0.01, 1, n) for n, *_ in self.out if n in self.owed]
            due = [one for one in due if one[0] <= end]
            if not due:
                break
            then, kind, number = min(due)
            self.now = max(self.now, then)
            if kind == 0:
                self.wakes.remove((then, number))
                self.tell(Woken(number))
            else:
                self.finish([n for n, *_ in self.out].index(number), Result.TIMEOUT, Found.UNTOLD)
        self.now = end


STEPS = st.lists(st.tuples(st.sampled_from("aaaaoooowtlL"), st.integers(0, 9999)), max_size=60)
SHAPES = st.fixed_dictionaries(
    {
        "instances": st.sampled_from([1, 3, 300]),
        "tells_crowd": st.booleans(),
        "miss_mode": st.sampled_from([MissMode.LOAD, MissMode.MISS]),
        "tenants": st.sampled_from([(), (TenantSettings("a", 0.7, 50.0), TenantSettings("b", 0.3, 1.0))]),
        "memory_mb_by_kind": st.sampled_from([(), (600.0,), (8000.0,)]),
        "rules": st.sampled_from(
            [
                RuleSettings(answer_slack_s=0.01, drain_grace_s=1.0),
                RuleSettings(cold_share=0.15, cold_s=10.0, tip_multiple=2.0, tip_after_s=1.0),
                RuleSettings(load_free=2.0, load_part=0.1, load_span_s=5.0),
            ]
        ),
        "allow": st.sampled_from(
            [
                AllowSettings(max_attempts=4, orders=True),
                AllowSettings(max_attempts=2),
            ]
        ),
    }
)


def play(shape: dict[str, Any], steps: list[tuple[str, int]]) -> list[str]:
    config = settings(**shape)
    world = World(Router(config, 11), config)
    world.list({number: WorkerState.READY for number in range(1, 7)}, ListKind.FULL, 0.0)
    serial = 0
    for kind, number in steps:
        if kind == "a":
            serial += 1
            ask = Request(serial, number % 5, number % 7, world.now + 3, number % 2, 500.0, 1.0 + number % 4)
            world.owed[serial] = ask
            world.tell(ask)
        elif kind == "o" and world.out:
            results = [r for r in Result if r is not Result.CANCELLED]
            found = list(Found)[number % 4]
            world.finish(number, results[(number // 7) % len(results)], found)
        elif kind == "w":
            world.pass_time(number / 2000)
        elif kind == "t":
            world.pass_time(0.01)
        elif kind == "l":
            state = list(WorkerState)[number % 3]
            world.list({1 + number % 8: state}, ListKind.CHANGE, world.now if number % 2 else 0.0)
        elif kind == "L" and world.orders:
            worker, function = world.orders.pop()
            result = (Result.OK, Result.FULL, Result.ERROR)[number % 3]
            world.tell(Loaded(worker, function, number % 2, result, 0.5))
    world.pass_time(10.0)
    assert not world.owed  # everything was answered in time
    return world.log


@hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
@given(SHAPES, STEPS)
def test_random_legal_events_keep_the_rules(shape: dict[str, Any], steps: list[tuple[str, int]]) -> None:
    assert play(shape, steps) == play(shape, steps)
