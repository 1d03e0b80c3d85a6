"""The audit finds each kind of breach in forged traffic, and none in traffic that the rules allow."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from saffronstack.audit.rules import find_breaches
from saffronstack.audit.traffic import (
    ClientRequest,
    EndpointChange,
    FunctionRule,
    GatewayStop,
    RuleLimits,
    Traffic,
    WorkerLogEntry,
)

LIMITS = RuleLimits(
    drain_grace_s=2.0,
    overload_multiple=2.0,
    overload_window_s=1.0,
    slow_start_min_fraction=0.1,
    slow_start_s=10.0,
    capacity_rps={"w1": 20.0, "w2": 20.0},
    load_command_burst=1,
    load_commands_per_request=0.1,
    load_command_window_s=10.0,
)


def clean_traffic() -> Traffic:
    """Return the traffic of three served calls and one deferred call, without a breach."""
    functions = {
        "sale": FunctionRule("unsafe"),
        "look": FunctionRule("safe"),
        "set": FunctionRule("keyed", "zone", 5.0),
    }
    traffic = Traffic(functions, {"w1": ("za", "ca"), "w2": ("zb", "cb")})
    for n, function in enumerate(("sale", "look", "set")):
        traffic.requests.append(
            ClientRequest(
                f"op{n}", 0, function, 10.0 + n, 13.0 + n, id=f"id{n}", ended_s=10.5 + n, outcome="served"
            )
        )
        add_served_attempt(traffic, f"id{n}", function, 10.1 + n)
    traffic.requests.append(
        ClientRequest("op9", 0, "sale", 14.0, 17.0, deferred=True, id="id9", ended_s=14.1, outcome="accepted")
    )
    add_served_attempt(traffic, "id9", "sale", 15.0)
    traffic.final_records["id9"] = ["Success"]
    return traffic


def add_served_attempt(
    traffic: Traffic,
    id_: str,
    function: str,
    arrived_s: float,
    worker: str = "w1",
    attempt: int = 0,
    duration_s: float = 0.2,
) -> None:
    traffic.worker_log += [
        WorkerLogEntry(arrived_s, worker, "i", "arrive", id_, attempt, function),
        WorkerLogEntry(arrived_s + 0.01, worker, "i", "run", id_, attempt, function),
        WorkerLogEntry(arrived_s + duration_s, worker, "i", "answer", id_, attempt, function, 200),
    ]


def no_response(t: Traffic) -> None:
    t.requests[0].outcome = "broken"


def late_response(t: Traffic) -> None:
    t.requests[1].ended_s = 14.2


def second_response(t: Traffic) -> None:
    t.requests[0].extra_bytes = 20


def attempt_after_the_final_answer(t: Traffic) -> None:
    t.worker_log.append(WorkerLogEntry(12.9, "w2", "i", "arrive", "id1", 1, "look"))


def no_final_record(t: Traffic) -> None:
    t.final_records["id9"] = []


def two_final_records(t: Traffic) -> None:
    t.final_records["id9"] = ["Success", "OutcomeUnknown"]


def ran_twice(t: Traffic) -> None:
    t.requests[0].ended_s = 12.0
    add_served_attempt(t, "id0", "sale", 11.0, "w2", 1)


def rejected_after_it_ran(t: Traffic) -> None:
    t.requests[0].outcome = "refused"


def repeated_after_it_ran(t: Traffic) -> None:
    t.requests.append(ClientRequest("op0", 1, "sale", 20.0, 23.0, id="id20", ended_s=20.5, outcome="served"))
    add_served_attempt(t, "id20", "sale", 20.1)


def log_operations(t: Traffic) -> None:
    for function in ("sale", "set"):
        t.functions[function].is_logged = True
    for entry in t.worker_log:
        entry.op = entry.op or f"op{entry.id.removeprefix('id')}"


def repeated_after_a_kill_though_logged(t: Traffic) -> None:
    repeated_after_a_kill(t)
    log_operations(t)


def ran_under_another_id(t: Traffic) -> None:
    log_operations(t)
    t.worker_log.append(WorkerLogEntry(11.5, "w2", "i", "run", "id-that-no-client-saw", 0, "sale", op="op0"))


def two_responses(t: Traffic) -> None:
    log_operations(t)
    t.requests[0].answer = "x"
    t.requests.append(
        ClientRequest("op0", 0, "sale", 20.0, 23.0, id="id0", ended_s=20.1, outcome="failed", answer="y")
    )


def accepted_twice(t: Traffic) -> None:
    log_operations(t)
    t.requests.append(
        ClientRequest(
            "op9",
            0,
            "sale",
            24.0,
            27.0,
            deferred=True,
            id="id10",
            ended_s=24.1,
            outcome="accepted",
            attempt=1,
        )
    )
    t.final_records["id10"] = ["Success"]


def a_keyed_operation_left_its_group(t: Traffic) -> None:
    log_operations(t)
    t.requests.append(
        ClientRequest("op2", 0, "set", 13.0, 16.0, id="id22", ended_s=13.5, outcome="served", attempt=1)
    )
    add_served_attempt(t, "id22", "set", 13.1, "w2")
    for entry in t.worker_log[-3:]:
        entry.op = "op2"


def response_lost_after_the_gateway(t: Traffic) -> None:
    log_operations(t)
    t.requests.insert(0, ClientRequest("op0", 0, "sale", 9.0, 12.0, ended_s=9.9, outcome="broken", attempt=3))
    t.lost_responses.add(("op0", 3))


def no_gateway_running(t: Traffic) -> None:
    t.requests.insert(0, ClientRequest("op0", 0, "sale", 9.0, 12.0, ended_s=9.1, outcome="broken", attempt=3))
    t.unaccepted.add(("op0", 3))


def two_attempts_in_flight(t: Traffic) -> None:
    add_served_attempt(t, "id1", "look", 11.2, "w2", 1)


def left_the_group(t: Traffic) -> None:
    t.requests[2].ended_s = 14.0
    add_served_attempt(t, "id2", "set", 13.0, "w2", 1)


def left_the_window(t: Traffic) -> None:
    t.requests[2].deadline_s, t.requests[2].ended_s = 30.0, 19.0
    add_served_attempt(t, "id2", "set", 18.0, "w1", 1)


def expired_though_it_ran(t: Traffic) -> None:
    t.final_records["id9"] = ["EventAgeExceeded"]


def served_without_a_run(t: Traffic) -> None:
    t.worker_log = [e for e in t.worker_log if not (e.id == "id0" and e.what == "run")]


def call_after_the_drain_grace(t: Traffic) -> None:
    t.endpoint_changes.append(EndpointChange(7.0, "w1", "draining"))


def load_command_after_the_drain_grace(t: Traffic) -> None:
    t.endpoint_changes.append(EndpointChange(7.0, "w2", "gone"))
    t.worker_log.append(WorkerLogEntry(9.5, "w2", "i", "order", count=1))


def overloaded_while_starting(t: Traffic) -> None:
    t.endpoint_changes.append(EndpointChange(40.0, "w1", "ready", started_s=40.0))
    t.worker_log += [WorkerLogEntry(40.2 + n * 0.05, "w1", "i", "arrive", f"x{n}") for n in range(12)]


def too_many_load_commands(t: Traffic) -> None:
    t.worker_log += [WorkerLogEntry(12.0 + n, "w1", "i", "order", count=1) for n in range(3)]


@pytest.mark.parametrize(
    ("rule", "change_traffic"),
    [
        (1, no_response),
        (1, late_response),
        (1, second_response),
        (1, attempt_after_the_final_answer),
        (1, no_final_record),
        (1, two_final_records),
        (2, ran_twice),
        (2, rejected_after_it_ran),
        (2, repeated_after_it_ran),
        (2, two_attempts_in_flight),
        (2, left_the_group),
        (2, left_the_window),
        (2, expired_though_it_ran),
        (2, served_without_a_run),
        (2, repeated_after_a_kill_though_logged),
        (2, ran_under_another_id),
        (2, two_responses),
        (2, accepted_twice),
        (2, a_keyed_operation_left_its_group),
        (3, call_after_the_drain_grace),
        (3, load_command_after_the_drain_grace),
        (4, overloaded_while_starting),
        (5, too_many_load_commands),
    ],
)
def test_each_breach_is_found(rule: int, change_traffic: Callable[[Traffic], None]) -> None:
    traffic = clean_traffic()
    change_traffic(traffic)
    traffic.worker_log.sort(key=lambda entry: entry.t)
    assert rule in {breach.rule for breach in find_breaches(traffic, LIMITS)}


def killed_with_the_call(t: Traffic) -> None:
    t.requests[0].outcome = "broken"
    t.gateway_stops.append(GatewayStop(0, 10.3, killed=True, restarted_s=12.0))


def repeated_after_a_kill(t: Traffic) -> None:
    killed_with_the_call(t)
    repeated_after_it_ran(t)


def closed_before_it_was_read(t: Traffic) -> None:
    t.requests.append(ClientRequest("op30", 0, "sale", 30.0, 33.0, ended_s=30.01, outcome="broken"))
    t.gateway_stops.append(GatewayStop(0, 29.9, killed=False, restarted_s=32.0))


def drained_and_ready_again(t: Traffic) -> None:
    t.endpoint_changes += [EndpointChange(3.0, "w1", "draining"), EndpointChange(9.0, "w1", "ready")]


def sent_within_the_drain_grace(t: Traffic) -> None:
    t.endpoint_changes.append(EndpointChange(14.5, "w1", "draining"))


def a_safe_second_run(t: Traffic) -> None:
    t.requests[1].ended_s = 12.5
    t.worker_log = [e for e in t.worker_log if not (e.id == "id1" and e.what == "answer")]
    add_served_attempt(t, "id1", "look", 12.0, "w2", 1)


def read_late_by_the_worker(t: Traffic) -> None:
    t.worker_log.append(WorkerLogEntry(12.9, "w2", "i", "arrive", "id1", 1, "look", late=1.5))


def a_ready_cold_worker(t: Traffic) -> None:
    t.endpoint_changes.append(EndpointChange(40.0, "w1", "ready", started_s=40.0))
    t.worker_log += [WorkerLogEntry(40.2 + n * 0.5, "w1", "i", "arrive", f"x{n}") for n in range(12)]


@pytest.mark.parametrize(
    "change_traffic",
    [
        lambda t: None,
        killed_with_the_call,
        repeated_after_a_kill,
        closed_before_it_was_read,
        response_lost_after_the_gateway,
        no_gateway_running,
        log_operations,
        drained_and_ready_again,
        sent_within_the_drain_grace,
        a_safe_second_run,
        read_late_by_the_worker,
        a_ready_cold_worker,
    ],
)
def test_what_the_rules_allow_is_no_breach(change_traffic: Callable[[Traffic], None]) -> None:
    traffic = clean_traffic()
    change_traffic(traffic)
    traffic.worker_log.sort(key=lambda entry: entry.t)
    assert find_breaches(traffic, LIMITS) == []
