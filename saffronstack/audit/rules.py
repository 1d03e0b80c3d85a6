"""Five checkers, one for each rule, which return every breach that they find in the traffic of a run."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from saffronstack.audit.traffic import ClientRequest, GatewayStop, RuleLimits, Traffic, WorkerLogEntry

NEVER_RAN_CONDITIONS = ("Refused", "EventAgeExceeded")


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule, with a text that names what broke it."""

    rule: int
    text: str


def find_breaches(traffic: Traffic, limits: RuleLimits) -> list[Breach]:
    """Return every breach of the five rules, ordered by rule."""
    breaches = [
        *check_final_answers(traffic, limits),
        *check_effects(traffic, limits),
        *check_drains(traffic, limits),
        *check_slow_start(traffic, limits),
        *check_load_commands(traffic, limits),
    ]
    return sorted(breaches, key=lambda breach: breach.rule)


def _entries_by_id(entries: Iterable[WorkerLogEntry], what: str) -> dict[str, list[WorkerLogEntry]]:
    found: dict[str, list[WorkerLogEntry]] = defaultdict(list)
    for entry in entries:
        if entry.what == what and entry.id:
            found[entry.id].append(entry)
    return found


def _find_stop(traffic: Traffic, attempt: ClientRequest) -> GatewayStop | None:
    """Return the stop of the request's gateway during which the request was in flight, if any."""
    ended = attempt.ended_s or math.inf
    return next(
        (
            stop
            for stop in traffic.gateway_stops
            if stop.gateway == attempt.gateway
            and attempt.sent_s <= stop.restarted_s + 0.05
            and stop.t <= ended + 0.05
        ),
        None,
    )


def check_final_answers(traffic: Traffic, limits: RuleLimits) -> list[Breach]:
    """Check rule 1: each request that a running gateway accepted has one final answer before its deadline.

    After the final answer, the gateway sends nothing more to the client and no attempt to a worker.
    """
    breaches = []
    arrivals = _entries_by_id(traffic.worker_log, "arrive")
    reached_s: dict[str, list[float]] = defaultdict(list)
    for entry in traffic.worker_log:
        if entry.what == "arrive":
            reached_s[entry.op].append(entry.t - entry.late)
    requests: dict[str, list[ClientRequest]] = defaultdict(list)
    for request in traffic.requests:
        requests[request.op].append(request)
    for request in traffic.requests:
        if request.outcome in ("", "broken"):
            breaches += _check_unanswered(traffic, request, reached_s[request.op], limits)
        elif request.outcome != "left":  # its gateway may read the request and its end late
            breaches += _check_answer(traffic, request, limits)
            if request.id and not request.deferred:
                later = [other for other in requests[request.op] if other.sent_s > request.sent_s]
                breaches += _check_late_attempts(request, later, arrivals.get(request.id, []), limits)
    return breaches


def _describe(request: ClientRequest) -> str:
    return f"{request.op} at gateway {request.gateway} ({request.function})"


def _check_unanswered(
    traffic: Traffic, request: ClientRequest, reached_s: list[float], limits: RuleLimits
) -> list[Breach]:
    """Check a request without a final answer: its gateway must have been killed, or not have accepted it."""
    sent = request.op, request.attempt
    if sent in traffic.lost_responses or sent in traffic.unaccepted:
        return []  # the response was lost after the gateway, or no gateway was there
    stop = _find_stop(traffic, request)
    # During a graceful shutdown, a gateway may close an idle connection just when a request arrives on it.
    # Such a request counts as not accepted if no worker received it.
    ended = request.ended_s + limits.slack_s
    untaken = stop is not None and not request.deferred
    untaken = untaken and not any(request.sent_s <= at <= ended for at in reached_s)
    if stop is not None and (stop.killed or untaken):
        return []
    how = (
        f"{request.outcome} after {request.ended_s - request.sent_s:.3f} s"
        if request.outcome
        else "nothing came"
    )
    return [Breach(1, f"{_describe(request)}: no answer ({how}), and its gateway was not killed")]


def _check_answer(traffic: Traffic, request: ClientRequest, limits: RuleLimits) -> list[Breach]:
    """Check a final answer: it came before the deadline, and only once.

    An accepted deferred call must have exactly one final record.
    """
    breaches = []
    if request.outcome != "not_taken" and request.ended_s > request.deadline_s + limits.slack_s:
        late_s = request.ended_s - request.deadline_s
        breaches.append(Breach(1, f"{_describe(request)}: answered {late_s:.3f} s past its deadline"))
    if request.extra_bytes:
        breaches.append(Breach(1, f"{_describe(request)}: {request.extra_bytes} bytes followed its answer"))
    if request.deferred and request.outcome == "accepted":
        finals = traffic.final_records.get(request.id, [])
        if len(finals) != 1:
            breaches.append(Breach(1, f"{_describe(request)}: {len(finals)} final records: {finals}"))
    return breaches


def _check_late_attempts(
    request: ClientRequest, later: list[ClientRequest], arrivals: list[WorkerLogEntry], limits: RuleLimits
) -> list[Breach]:
    """Return attempts that reached a worker after the final answer, unless a later request caused them."""
    breaches = []
    for arrival in arrivals:
        sent_s = arrival.t - arrival.late
        after_s = sent_s - request.ended_s
        if after_s > limits.slack_s and not any(_is_pending(other, sent_s, limits) for other in later):
            text = (
                f"{_describe(request)}: sent to {arrival.worker} {after_s:.3f} s after it was "
                f"{request.outcome}"
            )
            breaches.append(Breach(1, text))
    return breaches


def _is_pending(request: ClientRequest, at: float, limits: RuleLimits) -> bool:
    """Return whether a request was pending at a time.

    A request whose connection broke may stay pending at the gateway until its deadline.
    """
    ended = request.deadline_s if request.outcome in ("", "broken") else request.ended_s
    return request.sent_s - limits.slack_s <= at <= ended + limits.slack_s


def check_effects(traffic: Traffic, limits: RuleLimits) -> list[Breach]:
    """Check rule 2: a request has its effect at most once, and is not rejected if it may have run.

    At most one attempt of a request is in flight at a time.
    """
    breaches = []
    runs = _entries_by_id(traffic.worker_log, "run")
    arrivals = _entries_by_id(traffic.worker_log, "arrive")
    ends = _attempt_ends(traffic.worker_log)
    for id_, ran in runs.items():
        rule = traffic.function_rule(ran[0].function)
        if rule.effect == "unsafe" and len(ran) > 1:
            breaches.append(Breach(2, f"call {id_} of unsafe {ran[0].function} ran {len(ran)} times"))
        if rule.effect == "keyed":
            breaches.extend(
                _check_group_and_window(
                    traffic, id_, rule.group, rule.window_s, ran, arrivals.get(id_, []), limits
                )
            )
    for id_, received in arrivals.items():
        ordered = sorted(received, key=lambda a: a.t - a.late)
        for first, second in pairwise(ordered):
            end_s = ends.get((id_, first.attempt, first.worker, first.incarnation, first.t))
            if end_s is not None and end_s > second.t - second.late + limits.slack_s:
                breaches.append(
                    Breach(
                        2,
                        f"call {id_}: attempt {second.attempt} reached {second.worker} while "
                        f"attempt {first.attempt} was out at {first.worker}",
                    )
                )
    ops: dict[str, list[ClientRequest]] = defaultdict(list)
    for request in traffic.requests:
        ops[request.op].append(request)
        rule = traffic.function_rule(request.function)
        refusable = rule.effect == "safe" or (rule.effect == "keyed" and rule.group == "all")
        ran_here = runs.get(request.id, []) if request.id else []
        if request.outcome == "refused" and ran_here and not refusable:
            breaches.append(
                Breach(
                    2, f"{request.op} ({request.function}) was refused though it ran at {ran_here[0].worker}"
                )
            )
        if request.outcome == "served" and not ran_here and request.id:
            breaches.append(
                Breach(2, f"{request.op} ({request.function}) was served though no worker ran it")
            )
        conditions = traffic.final_records.get(request.id, [])
        if ran_here and not refusable and any(c in NEVER_RAN_CONDITIONS for c in conditions):
            breaches.append(
                Breach(2, f"{request.op} ({request.function}) ended as {conditions[0]} though it ran")
            )
    for op, requests in ops.items():
        breaches.extend(_check_operation(traffic, op, requests, runs, arrivals, limits))
    return breaches


def _check_operation(
    traffic: Traffic,
    op: str,
    requests: list[ClientRequest],
    runs: dict[str, list[WorkerLogEntry]],
    arrivals: dict[str, list[WorkerLogEntry]],
    limits: RuleLimits,
) -> list[Breach]:
    """Check all requests of one operation together.

    If the operations of its class are logged durably, its requests count as one call: an unsafe operation
    runs once, a keyed one stays in one group and window, and there is one answer and one deferred call.
    """
    rule = traffic.function_rule(requests[0].function)
    where = f"{op} ({requests[0].function})"
    ids = {request.id for request in requests if request.id}
    breaches = []
    if rule.effect == "unsafe":
        known = [r for id_ in ids for r in runs.get(id_, [])]
        total = len(
            {
                (r.worker, r.incarnation, r.t)
                for r in [*known, *_runs_of_operation(traffic, op, rule.is_logged)]
            }
        )
        broken = 0 if rule.is_logged else sum(request.outcome in ("broken", "") for request in requests)
        if total > 1 + broken:
            breaches.append(Breach(2, f"{where} ran {total} times over {len(requests)} tries"))
    if not rule.is_logged:
        return breaches
    if rule.effect == "keyed":
        ran = _runs_of_operation(traffic, op, True)
        received = traffic.entries_by_operation("arrive").get(op, [])
        if len({r.id for r in ran}) > 1 and ran:
            breaches.extend(
                _check_group_and_window(traffic, op, rule.group, rule.window_s, ran, received, limits)
            )
    answers = {
        (request.id, request.answer) for request in requests if request.outcome in ("served", "failed")
    }
    if len(answers) > 1:
        breaches.append(Breach(2, f"{where} got {len(answers)} answers over {len(requests)} tries"))
    accepted = {request.id for request in requests if request.outcome == "accepted"}
    if len(accepted) > 1:
        breaches.append(Breach(2, f"{where} was accepted as {len(accepted)} deferred calls"))
    return breaches


def _runs_of_operation(traffic: Traffic, op: str, is_logged: bool) -> list[WorkerLogEntry]:
    """Return the runs whose payload names the operation, whatever their request ids."""
    return traffic.entries_by_operation("run").get(op, []) if is_logged else []


def _attempt_ends(entries: Iterable[WorkerLogEntry]) -> dict[tuple[str, int, str, str, float], float]:
    """Return when each attempt ended at its worker, if the gateway's connection was still open then."""
    ends: dict[tuple[str, int, str, str, float], float] = {}
    out: dict[tuple[str, int, str, str], float] = {}
    for entry in entries:
        key = entry.id, entry.attempt, entry.worker, entry.incarnation
        if entry.what == "arrive":
            out[key] = entry.t
        elif entry.what == "answer" and entry.open and key in out:
            ends[(*key, out.pop(key))] = entry.t
    return ends


def _check_group_and_window(
    traffic: Traffic,
    id_: str,
    group: str,
    window_s: float,
    ran: list[WorkerLogEntry],
    received: list[WorkerLogEntry],
    limits: RuleLimits,
) -> list[Breach]:
    """Return attempts of a keyed call, after the one that ran first, that left its group or its window."""
    first_run = min(ran, key=lambda r: r.t)
    before = [a for a in received if a.worker == first_run.worker and a.t <= first_run.t]
    first = max(before, key=lambda a: a.t) if before else first_run
    breaches = []
    for a in received:
        if a.t <= first.t:
            continue
        if group != "all":
            index = 0 if group == "zone" else 1
            here = traffic.zones.get(a.worker, ("", ""))[index]
            there = traffic.zones.get(first.worker, ("", ""))[index]
            if here != there:
                breaches.append(
                    Breach(2, f"keyed call {id_} left its {group}: {first.worker}, then {a.worker}")
                )
        if a.t - a.late - first.t > window_s + limits.slack_s:
            breaches.append(Breach(2, f"keyed call {id_} came again {a.t - first.t:.3f} s after it ran"))
    return breaches


def check_drains(traffic: Traffic, limits: RuleLimits) -> list[Breach]:
    """Check rule 3: a draining worker receives no call and no load command after the drain grace.

    The rule ends when the worker is announced as ready again.
    """
    breaches = []
    closed: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for change in sorted(traffic.endpoint_changes, key=lambda change: change.t):
        spans = closed[change.worker]
        if change.state == "ready":
            if spans and spans[-1][1] == math.inf:
                spans[-1] = (spans[-1][0], change.t)
        elif not spans or spans[-1][1] != math.inf:
            spans.append((change.t + limits.drain_grace_s, math.inf))
    for entry in traffic.worker_log:
        if entry.what not in ("arrive", "order"):
            continue
        at = entry.t - entry.late
        for start, end in closed.get(entry.worker, ()):
            if start + limits.slack_s < at < end:
                breaches.append(
                    Breach(
                        3,
                        f"{entry.worker} got a{'n order' if entry.what == 'order' else ' call'} "
                        f"{at - start:.3f} s past the grace of its drain",
                    )
                )
    return breaches


def check_slow_start(traffic: Traffic, limits: RuleLimits) -> list[Breach]:
    """Check rule 4: a starting worker receives at most a multiple of its capacity at its age."""
    if not limits.slow_start_s or not limits.overload_multiple:
        return []
    breaches = []
    starts = [
        (change.worker, change.started_s, change.t)
        for change in traffic.endpoint_changes
        if change.started_s > 0
    ]
    for worker, started_s, announced_s in starts:
        times = sorted(
            e.t - e.late
            for e in traffic.worker_log
            if e.what == "arrive"
            and e.worker == worker
            and max(announced_s, started_s) <= e.t <= started_s + limits.slow_start_s
        )
        for first, at in enumerate(times):
            count = bisect_left(times, at + limits.overload_window_s) - first
            age = (at - started_s + limits.overload_window_s / 2) / limits.slow_start_s
            share = min(1.0, limits.slow_start_min_fraction + (1 - limits.slow_start_min_fraction) * age)
            allowed = (
                limits.overload_multiple * share * limits.capacity_rps[worker] * limits.overload_window_s
            )
            if count > allowed + 3:  # for random bursts
                breaches.append(
                    Breach(
                        4,
                        f"{worker}, {at - started_s:.2f} s old, got {count} calls within "
                        f"{limits.overload_window_s:g} s, {allowed:.1f} allowed",
                    )
                )
                break
    return breaches


def check_load_commands(traffic: Traffic, limits: RuleLimits) -> list[Breach]:
    """Check rule 5: the load commands of all gateways together stay within their limit in each window."""
    if not limits.load_command_window_s:
        return []
    orders = sorted(e.t for e in traffic.worker_log if e.what == "order" and e.count > 0)
    calls = sorted(request.sent_s for request in traffic.requests)
    breaches = []
    for last, at in enumerate(orders):
        from_s = at - limits.load_command_window_s
        count = last + 1 - bisect_left(orders, from_s)
        request_count = bisect_left(calls, at) - bisect_left(calls, from_s - limits.slack_s)
        allowed = (
            limits.gateways * limits.load_command_burst + limits.load_commands_per_request * request_count
        )
        if count > allowed:
            breaches.append(
                Breach(5, f"{count} orders within {limits.load_command_window_s:g} s, {allowed:.1f} allowed")
            )
    return breaches
