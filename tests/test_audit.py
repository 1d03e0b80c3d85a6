"""The audit against forged traffic: one breach of each rule is found, the traffic beside it is clean."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from saffronstack.audit.rules import judge
from saffronstack.audit.traffic import Figures, FunctionRule, Seen, Stopped, Told, Traffic, Try

FIGURES = Figures(
    drain_grace_s=2.0,
    tip_multiple=2.0,
    tip_after_s=1.0,
    cold_share=0.1,
    cold_s=10.0,
    capacity_rps={"w1": 20.0, "w2": 20.0},
    load_free=1,
    load_part=0.1,
    load_span_s=10.0,
)


def clean() -> Traffic:
    """Three calls that went well, one deferred."""
    functions = {
        "sale": FunctionRule("unsafe"),
        "look": FunctionRule("safe"),
        "set": FunctionRule("keyed", "zone", 5.0),
    }
    traffic = Traffic(functions, {"w1": ("za", "ca"), "w2": ("zb", "cb")})
    for n, function in enumerate(("sale", "look", "set")):
        traffic.tries.append(
            Try(f"op{n}", 0, function, 10.0 + n, 13.0 + n, id=f"id{n}", ended_s=10.5 + n, end="served")
        )
        served(traffic, f"id{n}", function, 10.1 + n)
    traffic.tries.append(
        Try("op9", 0, "sale", 14.0, 17.0, deferred=True, id="id9", ended_s=14.1, end="accepted")
    )
    served(traffic, "id9", "sale", 15.0)
    traffic.finals["id9"] = ["Success"]
    return traffic


def served(
    traffic: Traffic,
    id_: str,
    function: str,
    at: float,
    worker: str = "w1",
    attempt: int = 0,
    took: float = 0.2,
) -> None:
    traffic.seen += [
        Seen(at, worker, "i", "arrive", id_, attempt, function),
        Seen(at + 0.01, worker, "i", "run", id_, attempt, function),
        Seen(at + took, worker, "i", "answer", id_, attempt, function, 200),
    ]


def no_answer(t: Traffic) -> None:
    t.tries[0].end = "broken"


def late_answer(t: Traffic) -> None:
    t.tries[1].ended_s = 14.2


def second_answer(t: Traffic) -> None:
    t.tries[0].extra_bytes = 20


def sent_after_the_answer(t: Traffic) -> None:
    t.seen.append(Seen(12.9, "w2", "i", "arrive", "id1", 1, "look"))


def no_final_record(t: Traffic) -> None:
    t.finals["id9"] = []


def two_final_records(t: Traffic) -> None:
    t.finals["id9"] = ["Success", "OutcomeUnknown"]


def ran_twice(t: Traffic) -> None:
    t.tries[0].ended_s = 12.0
    served(t, "id0", "sale", 11.0, "w2", 1)


def refused_though_it_ran(t: Traffic) -> None:
    t.tries[0].end = "refused"


def repeated_after_it_ran(t: Traffic) -> None:
    t.tries.append(Try("op0", 1, "sale", 20.0, 23.0, id="id20", ended_s=20.5, end="served"))
    served(t, "id20", "sale", 20.1)


def noted(t: Traffic) -> None:
    for function in ("sale", "set"):
        t.functions[function].noted = True
    for entry in t.seen:
        entry.op = entry.op or f"op{entry.id.removeprefix('id')}"


def repeated_after_a_kill_though_noted(t: Traffic) -> None:
    repeated_after_a_kill(t)
    noted(t)


def ran_under_another_id(t: Traffic) -> None:
    noted(t)
    t.seen.append(Seen(11.5, "w2", "i", "run", "id-that-no-client-saw", 0, "sale", op="op0"))


def two_answers(t: Traffic) -> None:
    noted(t)
    t.tries[0].answer = "x"
    t.tries.append(Try("op0", 0, "sale", 20.0, 23.0, id="id0", ended_s=20.1, end="failed", answer="y"))


def accepted_twice(t: Traffic) -> None:
    noted(t)
    t.tries.append(
        Try("op9", 0, "sale", 24.0, 27.0, deferred=True, id="id10", ended_s=24.1, end="accepted", attempt=1)
    )
    t.finals["id10"] = ["Success"]


def a_keyed_operation_left_its_group(t: Traffic) -> None:
    noted(t)
    t.tries.append(Try("op2", 0, "set", 13.0, 16.0, id="id22", ended_s=13.5, end="served", attempt=1))
    served(t, "id22", "set", 13.1, "w2")
    for entry in t.seen[-3:]:
        entry.op = "op2"


def lost_behind_the_gateway(t: Traffic) -> None:
    noted(t)
    t.tries.insert(0, Try("op0", 0, "sale", 9.0, 12.0, ended_s=9.9, end="broken", attempt=3))
    t.lost.add(("op0", 3))


def nobody_there(t: Traffic) -> None:
    t.tries.insert(0, Try("op0", 0, "sale", 9.0, 12.0, ended_s=9.1, end="broken", attempt=3))
    t.untaken.add(("op0", 3))


def two_attempts_out(t: Traffic) -> None:
    served(t, "id1", "look", 11.2, "w2", 1)


def left_the_group(t: Traffic) -> None:
    t.tries[2].ended_s = 14.0
    served(t, "id2", "set", 13.0, "w2", 1)


def left_the_window(t: Traffic) -> None:
    t.tries[2].deadline_s, t.tries[2].ended_s = 30.0, 19.0
    served(t, "id2", "set", 18.0, "w1", 1)


def expired_though_it_ran(t: Traffic) -> None:
    t.finals["id9"] = ["EventAgeExceeded"]


def served_without_a_run(t: Traffic) -> None:
    t.seen = [e for e in t.seen if not (e.id == "id0" and e.what == "run")]


def call_after_a_drain(t: Traffic) -> None:
    t.told.append(Told(7.0, "w1", "draining"))


def order_after_a_drain(t: Traffic) -> None:
    t.told.append(Told(7.0, "w2", "gone"))
    t.seen.append(Seen(9.5, "w2", "i", "order", count=1))


def pushed_over(t: Traffic) -> None:
    t.told.append(Told(40.0, "w1", "ready", started_s=40.0))
    t.seen += [Seen(40.2 + n * 0.05, "w1", "i", "arrive", f"x{n}") for n in range(12)]


def over_ration(t: Traffic) -> None:
    t.seen += [Seen(12.0 + n, "w1", "i", "order", count=1) for n in range(3)]


@pytest.mark.parametrize(
    ("rule", "forge"),
    [
        (1, no_answer),
        (1, late_answer),
        (1, second_answer),
        (1, sent_after_the_answer),
        (1, no_final_record),
        (1, two_final_records),
        (2, ran_twice),
        (2, refused_though_it_ran),
        (2, repeated_after_it_ran),
        (2, two_attempts_out),
        (2, left_the_group),
        (2, left_the_window),
        (2, expired_though_it_ran),
        (2, served_without_a_run),
        (2, repeated_after_a_kill_though_noted),
        (2, ran_under_another_id),
        (2, two_answers),
        (2, accepted_twice),
        (2, a_keyed_operation_left_its_group),
        (3, call_after_a_drain),
        (3, order_after_a_drain),
        (4, pushed_over),
        (5, over_ration),
    ],
)
def test_each_breach_is_found(rule: int, forge: Callable[[Traffic], None]) -> None:
    traffic = clean()
    forge(traffic)
    traffic.seen.sort(key=lambda entry: entry.t)
    assert rule in {breach.rule for breach in judge(traffic, FIGURES)}


def killed_with_the_call(t: Traffic) -> None:
    t.tries[0].end = "broken"
    t.stopped.append(Stopped(0, 10.3, killed=True, back_s=12.0))


def repeated_after_a_kill(t: Traffic) -> None:
    killed_with_the_call(t)
    repeated_after_it_ran(t)


def closed_before_it_was_read(t: Traffic) -> None:
    t.tries.append(Try("op30", 0, "sale", 30.0, 33.0, ended_s=30.01, end="broken"))
    t.stopped.append(Stopped(0, 29.9, killed=False, back_s=32.0))


def drained_and_back(t: Traffic) -> None:
    t.told += [Told(3.0, "w1", "draining"), Told(9.0, "w1", "ready")]


def sent_within_the_grace(t: Traffic) -> None:
    t.told.append(Told(14.5, "w1", "draining"))


def a_safe_second_run(t: Traffic) -> None:
    t.tries[1].ended_s = 12.5
    t.seen = [e for e in t.seen if not (e.id == "id1" and e.what == "answer")]
    served(t, "id1", "look", 12.0, "w2", 1)


def slow_to_be_read(t: Traffic) -> None:
    t.seen.append(Seen(12.9, "w2", "i", "arrive", "id1", 1, "look", late=1.5))


def a_ready_cold_worker(t: Traffic) -> None:
    t.told.append(Told(40.0, "w1", "ready", started_s=40.0))
    t.seen += [Seen(40.2 + n * 0.5, "w1", "i", "arrive", f"x{n}") for n in range(12)]


@pytest.mark.parametrize(
    "forge",
    [
        lambda t: None,
        killed_with_the_call,
        repeated_after_a_kill,
        closed_before_it_was_read,
        lost_behind_the_gateway,
        nobody_there,
        noted,
        drained_and_back,
        sent_within_the_grace,
        a_safe_second_run,
        slow_to_be_read,
        a_ready_cold_worker,
    ],
)
def test_what_the_rules_allow_is_no_breach(forge: Callable[[Traffic], None]) -> None:
    traffic = clean()
    forge(traffic)
    traffic.seen.sort(key=lambda entry: entry.t)
    assert judge(traffic, FIGURES) == []
