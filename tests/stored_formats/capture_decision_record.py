"""Write decision records with the code of commit 0684301.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/stored_formats/capture_decision_record.py

Writes to `data/decision_record`. `every_kind.record` contains every kind of event and action, every field
with a value other than its default, and every enum member; `replayable.record` contains the decisions of a
real router. The script imports modules by the names of that commit, which differ from those of the present
code.
"""

from __future__ import annotations

import dataclasses
import importlib
import itertools
import pathlib
import random
from typing import Any

api = importlib.import_module("saffronstack.interface")
record = importlib.import_module("saffronstack.core.record")
choice = importlib.import_module("saffronstack.choice")
random_events = importlib.import_module("tests.test_random_events")

DESTINATION = pathlib.Path(__file__).parent / "data" / "decision_record"
SEED = 11
STEPS = 600
NUMBERS = itertools.count(1)


def every_settings() -> Any:
    """Build settings with all enum members and no default value."""
    groups = itertools.cycle(api.Group)
    classes = tuple(
        api.ClassSettings(
            f"class-{effect.value}-{number}",
            effect,
            aim_s=0.25 + number,
            deadline_s=3.5 + number,
            worth=2.0 + number,
            late_share=0.125 + number / 64,
            group=next(groups),
            window_s=7.5 + number,
            stream=number % 2 == 0,
        )
        for number, effect in enumerate(list(api.Effect) * 2)
    )
    return api.Settings(
        classes=classes,
        instances=3,
        self_index=2,
        zone=1,
        tenants=(api.TenantSettings("corner-books", 0.75, 50.5), api.TenantSettings("campus", 0.25, 9.5)),
        over_share_worth=0.375,
        memory_mb_by_kind=(8000.0, 600.5),
        keep_alive_s=12.5,
        miss_mode=api.MissMode.MISS,
        order_timeout_s=4.25,
        tells_warm=True,
        tells_crowd=True,
        report_via=api.ReportVia.PROBE,
        must_subscribe=True,
        rules=api.RuleSettings(0.01, 1.5, 0.15, 10.5, 2.25, 1.75, 0.625, 2.5, 0.1, 5.5),
        allow=api.AllowSettings(6, True, True, True, True, True, 8.5, 0.875),
        prices=api.PriceSettings(0.5, 1.5, 2.5, 3.5, 4.5, 5.5),
    )


def every_event() -> list[Any]:
    """Build each kind of event with each enum member."""
    report = api.Report(1.5, 2.5, 0.75, 0.125, 40.5, 0.0625, 0.3125, 3.5)
    states = list(api.WorkerState)
    events: list[Any] = [
        api.ListUpdate(
            kind,
            tuple(
                api.WorkerEntry(number + 1, state, 1.5 + number, 2 + number, 3 + number, 4 + number, 90.5)
                for number, state in enumerate(states)
            ),
            17 + place,
        )
        for place, kind in enumerate(api.ListKind)
    ]
    events += [
        api.Request(101, 2, 5, 103.5, 1, 500.5, 1.25, 0.5, 0.75, True, True, api.Prior(4, 98.5)),
        api.Request(102, 1, 6, 104.5),
    ]
    founds = itertools.cycle(api.Found)
    for result in api.Result:
        number = next(NUMBERS)
        found = next(founds)
        events += [
            api.Outcome(200 + number, number, 7, result, 0.5 + number, number % 2 == 0, found, 9, report),
            api.Probed(300 + number, result, 1.5 + number, report),
            api.Loaded(400 + number, 8, 2, result, 2.5 + number),
        ]
    events += [
        api.Outcome(201, 1, 7, api.Result.OK, 0.25),
        api.Probed(302, api.Result.TIMEOUT, 1.25),
        api.Outcome(203, 2, 7, api.Result.OK, 0.25, report=api.Report(waiting=3.0)),
        api.Woken(51),
        api.ClientGone(52),
        api.StreamStarted(53, 3, 9, 0.375),
        api.PeerMessage(2, b"\x00peer\xff"),
    ]
    return events


def every_action() -> list[Any]:
    """Build each kind of action, with and without default values."""
    return [
        api.Send(1, 2, 0.5),
        api.Send(3, 4),
        api.Refuse(5, 1.5),
        api.Refuse(6),
        api.Fail(7),
        api.Cancel(8, 2),
        api.Probe(9),
        api.Load(10, 11, 3),
        api.Unload(12, 13),
        api.WakeMe(0.75, 14),
        api.Watch(False),
        api.Watch(),
        api.FetchList(),
        api.Log("a line for the report: \u00e9"),
    ]


def write_every_kind() -> None:
    """Write an entry for each event: the first with all actions, the others with one action each."""
    recorder = record.Recorder(str(DESTINATION / "every_kind.record"), every_settings(), SEED)
    variants = [every_settings()]
    variants += [dataclasses.replace(variants[0], miss_mode=mode) for mode in api.MissMode]
    variants += [dataclasses.replace(variants[0], report_via=via) for via in api.ReportVia]
    actions = every_action()
    for number, event in enumerate(every_event()):
        recorder.record(100.5 + number, event, actions if number == 0 else [actions[number % len(actions)]])
    assert recorder.close()
    for number, settings in enumerate(variants[1:]):
        head = record.Recorder(str(DESTINATION / f"settings-{number}.record"), settings, SEED + number)
        assert head.close()


class RecordedRouter:
    """Wraps a router and records its decisions."""

    def __init__(self, settings: Any, path: pathlib.Path) -> None:
        """Start the decision record at `path`."""
        self._router = choice.Router(settings, SEED)
        self._recorder = record.Recorder(str(path), settings, SEED)

    def handle(self, now: float, event: Any) -> Any:
        """Let the router decide and record the decision."""
        actions = self._router.handle(now, event)
        self._recorder.record(now, event, actions)
        return actions

    def close(self) -> None:
        """Close the decision record."""
        assert self._recorder.close()


def write_replayable() -> None:
    """Record the decisions of a router for seeded random events."""
    chance = random.Random(SEED)
    config = random_events.settings(
        tells_crowd=True,
        tenants=(api.TenantSettings("a", 0.7, 50.0), api.TenantSettings("b", 0.3, 1.0)),
        rules=api.RuleSettings(0.01, 1.0, 0.15, 10.0, 2.0, 1.0, 0.0, 2.0, 0.1, 5.0),
        allow=api.AllowSettings(max_attempts=4, orders=True, probes=True),
        report_via=api.ReportVia.ANSWERS,
        instances=3,
    )
    router = RecordedRouter(config, DESTINATION / "replayable.record")
    world = random_events.World(router, config)
    world.list(dict.fromkeys(range(1, 7), api.WorkerState.READY), api.ListKind.FULL, 0.0)
    for serial in range(1, STEPS):
        kind, number = chance.choice("aaaaoooowtlLpg"), chance.randrange(10_000)
        play_step(world, kind, number, serial)
    world.pass_time(10.0)
    router.close()


def play_step(world: Any, kind: str, number: int, serial: int) -> None:
    """Pass the next event to the router."""
    if kind == "a":
        request = api.Request(
            serial, number % 5, number % 7, world.now + 3, number % 2, 500.0, 1.0 + number % 4
        )
        world.owed[serial] = request
        world.tell(request)
    elif kind == "o" and world.out:
        results = [result for result in api.Result if result is not api.Result.CANCELLED]
        world.finish(number, results[(number // 7) % len(results)], list(api.Found)[number % 4])
    elif kind == "w":
        world.pass_time(number / 2000)
    elif kind == "t":
        world.pass_time(0.01)
    elif kind == "l":
        state = list(api.WorkerState)[number % 3]
        world.list({1 + number % 8: state}, api.ListKind.CHANGE, world.now if number % 2 else 0.0)
    elif kind == "L" and world.orders:
        worker, function = world.orders.pop()
        result = (api.Result.OK, api.Result.FULL, api.Result.ERROR)[number % 3]
        world.tell(api.Loaded(worker, function, number % 2, result, 0.5))
    elif kind == "p":
        report = api.Report(in_hand=float(number % 9), waiting=1.0, busy=0.5, fail_rate=0.1)
        world.tell(api.Probed(1 + number % 8, api.Result.OK, 0.01, report))
    elif kind == "g" and world.out:
        request = world.out[number % len(world.out)][0]
        if request in world.owed:
            del world.owed[request]
            world.tell(api.ClientGone(request))


if __name__ == "__main__":
    DESTINATION.mkdir(parents=True, exist_ok=True)
    write_every_kind()
    write_replayable()
