"""The five rules, each as a judge of traffic that names every breach it finds."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from saffronstack.audit.traffic import Figures, Seen, Stopped, Traffic, Try

NEVER_RAN_CONDITIONS = ("Refused", "EventAgeExceeded")


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule broken, and by what."""

    rule: int
    text: str


def judge(traffic: Traffic, figures: Figures) -> list[Breach]:
    """Every breach of the five rules."""
    breaches = [
        *one_answer(traffic, figures),
        *one_effect(traffic, figures),
        *drains(traffic, figures),
        *cold(traffic, figures),
        *rations(traffic, figures),
    ]
    return sorted(breaches, key=lambda breach: breach.rule)


def _by_id(seen: Iterable[Seen], what: str) -> dict[str, list[Seen]]:
    found: dict[str, list[Seen]] = defaultdict(list)
    for entry in seen:
        if entry.what == what and entry.id:
            found[entry.id].append(entry)
    return found


def _stop_of(traffic: Traffic, attempt: Try) -> Stopped | None:
    """The stop of its gateway that a try ran into."""
    ended = attempt.ended_s or math.inf
    return next(
        (
            stop
            for stop in traffic.stopped
            if stop.gateway == attempt.gateway
            and attempt.sent_s <= stop.back_s + 0.05
            and stop.t <= ended + 0.05
        ),
        None,
    )


def one_answer(traffic: Traffic, figures: Figures) -> list[Breach]:
    """Rule 1: one final answer in time for all that a running gateway took, and nothing sent afterwards."""
    breaches = []
    arrivals = _by_id(traffic.seen, "arrive")
    reached: dict[str, list[float]] = defaultdict(list)
    for entry in traffic.seen:
        if entry.what == "arrive":
            reached[entry.op].append(entry.t - entry.late)
    tries: dict[str, list[Try]] = defaultdict(list)
    for t in traffic.tries:
        tries[t.op].append(t)
    for t in traffic.tries:
        if t.end in ("", "broken"):
            breaches += _without_answer(traffic, t, reached[t.op], figures)
        elif t.end != "left":  # a gateway may read of both, the call and its end, only later
            breaches += _answered_wrongly(traffic, t, figures)
            if t.id and not t.deferred:
                later = [other for other in tries[t.op] if other.sent_s > t.sent_s]
                breaches += _sent_after_answer(t, later, arrivals.get(t.id, []), figures)
    return breaches


def _where(t: Try) -> str:
    return f"{t.op} at gateway {t.gateway} ({t.function})"


def _without_answer(traffic: Traffic, t: Try, reached: list[float], figures: Figures) -> list[Breach]:
    """A try that got no answer, unless its gateway was killed or never took it."""
    sent = t.op, t.attempt
    if sent in traffic.lost or sent in traffic.untaken:
        return []  # the gateway answered, and the answer was lost behind it; or none was there
    stop = _stop_of(traffic, t)
    # A gateway that ends may close an idle connection onto which a request is on its way: it was
    # not taken, if no worker ever saw it.
    ended = t.ended_s + figures.slack_s
    untaken = stop is not None and not t.deferred
    untaken = untaken and not any(t.sent_s <= at <= ended for at in reached)
    if stop is not None and (stop.killed or untaken):
        return []
    how = f"{t.end} after {t.ended_s - t.sent_s:.3f} s" if t.end else "nothing came"
    return [Breach(1, f"{_where(t)}: no answer ({how}), and its gateway was not killed")]


def _answered_wrongly(traffic: Traffic, t: Try, figures: Figures) -> list[Breach]:
    """An answer past the deadline, more than one, or an accepted call without its one record."""
    breaches = []
    if t.end != "not_taken" and t.ended_s > t.deadline_s + figures.slack_s:
        late_s = t.ended_s - t.deadline_s
        breaches.append(Breach(1, f"{_where(t)}: answered {late_s:.3f} s past its deadline"))
    if t.extra_bytes:
        breaches.append(Breach(1, f"{_where(t)}: {t.extra_bytes} bytes followed its answer"))
    if t.deferred and t.end == "accepted":
        finals = traffic.finals.get(t.id, [])
        if len(finals) != 1:
            breaches.append(Breach(1, f"{_where(t)}: {len(finals)} final records: {finals}"))
    return breaches


def _sent_after_answer(t: Try, later: list[Try], arrivals: list[Seen], figures: Figures) -> list[Breach]:
    """Attempts that reached a worker after the answer, and that no later try of the client asked for."""
    breaches = []
    for arrival in arrivals:
        sent_s = arrival.t - arrival.late
        after_s = sent_s - t.ended_s
        if after_s > figures.slack_s and not any(_under_way(other, sent_s, figures) for other in later):
            text = f"{_where(t)}: sent to {arrival.worker} {after_s:.3f} s after it was {t.end}"
            breaches.append(Breach(1, text))
    return breaches


def _under_way(t: Try, at: float, figures: Figures) -> bool:
    """Whether a client waited for a try then; one that broke may be worked on until its client's time is
    up.
    """
    ended = t.deadline_s if t.end in ("", "broken") else t.ended_s
    return t.sent_s - figures.slack_s <= at <= ended + figures.slack_s


def one_effect(traffic: Traffic, figures: Figures) -> list[Breach]:
    """Rule 2: no second effect, no refusal of what may have run, one attempt out at a time."""
    breaches = []
    runs = _by_id(traffic.seen, "run")
    arrivals = _by_id(traffic.seen, "arrive")
    ends = _attempt_ends(traffic.seen)
    for id_, ran in runs.items():
        rule = traffic.rule_of(ran[0].function)
        if rule.effect == "unsafe" and len(ran) > 1:
            breaches.append(Breach(2, f"call {id_} of unsafe {ran[0].function} ran {len(ran)} times"))
        if rule.effect == "keyed":
            breaches.extend(
                _outside(traffic, id_, rule.group, rule.window_s, ran, arrivals.get(id_, []), figures)
            )
    for id_, came in arrivals.items():
        ordered = sorted(came, key=lambda a: a.t - a.late)
        for first, second in pairwise(ordered):
            end_s = ends.get((id_, first.attempt, first.worker, first.incarnation, first.t))
            if end_s is not None and end_s > second.t - second.late + figures.slack_s:
                breaches.append(
                    Breach(
                        2,
                        f"call {id_}: attempt {second.attempt} reached {second.worker} while "
                        f"attempt {first.attempt} was out at {first.worker}",
                    )
                )
    ops: dict[str, list[Try]] = defaultdict(list)
    for t in traffic.tries:
        ops[t.op].append(t)
        rule = traffic.rule_of(t.function)
        refusable = rule.effect == "safe" or (rule.effect == "keyed" and rule.group == "all")
        ran_here = runs.get(t.id, []) if t.id else []
        if t.end == "refused" and ran_here and not refusable:
            breaches.append(
                Breach(2, f"{t.op} ({t.function}) was refused though it ran at {ran_here[0].worker}")
            )
        if t.end == "served" and not ran_here and t.id:
            breaches.append(Breach(2, f"{t.op} ({t.function}) was served though no worker ran it"))
        conditions = traffic.finals.get(t.id, [])
        if ran_here and not refusable and any(c in NEVER_RAN_CONDITIONS for c in conditions):
            breaches.append(Breach(2, f"{t.op} ({t.function}) ended as {conditions[0]} though it ran"))
    for op, tries in ops.items():
        breaches.extend(_one_operation(traffic, op, tries, runs, arrivals, figures))
    return breaches


def _one_operation(
    traffic: Traffic,
    op: str,
    tries: list[Try],
    runs: dict[str, list[Seen]],
    arrivals: dict[str, list[Seen]],
    figures: Figures,
) -> list[Breach]:
    """All tries of one operation together. Where its class is noted durably they are as one call: one run of
    an unsafe one, one group and window of a keyed one, one answer, one deferred call.
    """
    rule = traffic.rule_of(tries[0].function)
    where = f"{op} ({tries[0].function})"
    ids = {t.id for t in tries if t.id}
    breaches = []
    if rule.effect == "unsafe":
        known = [r for id_ in ids for r in runs.get(id_, [])]
        total = len({(r.worker, r.incarnation, r.t) for r in [*known, *_of_op(traffic, op, rule.noted)]})
        broken = 0 if rule.noted else sum(t.end in ("broken", "") for t in tries)
        if total > 1 + broken:
            breaches.append(Breach(2, f"{where} ran {total} times over {len(tries)} tries"))
    if not rule.noted:
        return breaches
    if rule.effect == "keyed":
        ran = _of_op(traffic, op, True)
        came = traffic.by_op("arrive").get(op, [])
        if len({r.id for r in ran}) > 1 and ran:
            breaches.extend(_outside(traffic, op, rule.group, rule.window_s, ran, came, figures))
    answers = {(t.id, t.answer) for t in tries if t.end in ("served", "failed")}
    if len(answers) > 1:
        breaches.append(Breach(2, f"{where} got {len(answers)} answers over {len(tries)} tries"))
    accepted = {t.id for t in tries if t.end == "accepted"}
    if len(accepted) > 1:
        breaches.append(Breach(2, f"{where} was accepted as {len(accepted)} deferred calls"))
    return breaches


def _of_op(traffic: Traffic, op: str, noted: bool) -> list[Seen]:
    """Runs under an operation's own mark, whatever their request ids."""
    return traffic.by_op("run").get(op, []) if noted else []


def _attempt_ends(seen: Iterable[Seen]) -> dict[tuple[str, int, str, str, float], float]:
    """When each arrival's attempt ended at its worker, where its peer was still there to see it."""
    ends: dict[tuple[str, int, str, str, float], float] = {}
    out: dict[tuple[str, int, str, str], float] = {}
    for entry in seen:
        key = entry.id, entry.attempt, entry.worker, entry.incarnation
        if entry.what == "arrive":
            out[key] = entry.t
        elif entry.what == "answer" and entry.open and key in out:
            ends[(*key, out.pop(key))] = entry.t
    return ends


def _outside(
    traffic: Traffic,
    id_: str,
    group: str,
    window_s: float,
    ran: list[Seen],
    came: list[Seen],
    figures: Figures,
) -> list[Breach]:
    """Arrivals of a keyed call after its first run's that leave the group or the window."""
    first_run = min(ran, key=lambda r: r.t)
    before = [a for a in came if a.worker == first_run.worker and a.t <= first_run.t]
    first = max(before, key=lambda a: a.t) if before else first_run
    breaches = []
    for a in came:
        if a.t <= first.t:
            continue
        if group != "all":
            place = 0 if group == "zone" else 1
            here = traffic.zones.get(a.worker, ("", ""))[place]
            there = traffic.zones.get(first.worker, ("", ""))[place]
            if here != there:
                breaches.append(
                    Breach(2, f"keyed call {id_} left its {group}: {first.worker}, then {a.worker}")
                )
        if a.t - a.late - first.t > window_s + figures.slack_s:
            breaches.append(Breach(2, f"keyed call {id_} came again {a.t - first.t:.3f} s after it ran"))
    return breaches


def drains(traffic: Traffic, figures: Figures) -> list[Breach]:
    """Rule 3: no call and no load order after the grace, until the worker is told as ready again."""
    breaches = []
    closed: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for told in sorted(traffic.told, key=lambda told: told.t):
        spans = closed[told.worker]
        if told.state == "ready":
            if spans and spans[-1][1] == math.inf:
                spans[-1] = (spans[-1][0], told.t)
        elif not spans or spans[-1][1] != math.inf:
            spans.append((told.t + figures.drain_grace_s, math.inf))
    for entry in traffic.seen:
        if entry.what not in ("arrive", "order"):
            continue
        at = entry.t - entry.late
        for start, end in closed.get(entry.worker, ()):
            if start + figures.slack_s < at < end:
                breaches.append(
                    Breach(
                        3,
                        f"{entry.worker} got a{'n order' if entry.what == 'order' else ' call'} "
                        f"{at - start:.3f} s past the grace of its drain",
                    )
                )
    return breaches


def cold(traffic: Traffic, figures: Figures) -> list[Breach]:
    """Rule 4: a worker told as just started is not sent more than its multiple of what it can do then."""
    if not figures.cold_s or not figures.tip_multiple:
        return []
    breaches = []
    starts = [(told.worker, told.started_s, told.t) for told in traffic.told if told.started_s > 0]
    for worker, started_s, told_s in starts:
        times = sorted(
            e.t - e.late
            for e in traffic.seen
            if e.what == "arrive"
            and e.worker == worker
            and max(told_s, started_s) <= e.t <= started_s + figures.cold_s
        )
        for first, at in enumerate(times):
            inside = bisect_left(times, at + figures.tip_after_s) - first
            age = (at - started_s + figures.tip_after_s / 2) / figures.cold_s
            share = min(1.0, figures.cold_share + (1 - figures.cold_share) * age)
            allowed = figures.tip_multiple * share * figures.capacity_rps[worker] * figures.tip_after_s
            if inside > allowed + 3:  # the slack for chance
                breaches.append(
                    Breach(
                        4,
                        f"{worker}, {at - started_s:.2f} s old, got {inside} calls within "
                        f"{figures.tip_after_s:g} s, {allowed:.1f} allowed",
                    )
                )
                break
    return breaches


def rations(traffic: Traffic, figures: Figures) -> list[Breach]:
    """Rule 5: orders to load within the stated ration, over all gateways together."""
    if not figures.load_span_s:
        return []
    orders = sorted(e.t for e in traffic.seen if e.what == "order" and e.count > 0)
    calls = sorted(t.sent_s for t in traffic.tries)
    breaches = []
    for last, at in enumerate(orders):
        from_s = at - figures.load_span_s
        inside = last + 1 - bisect_left(orders, from_s)
        taken = bisect_left(calls, at) - bisect_left(calls, from_s - figures.slack_s)
        allowed = figures.gateways * figures.load_free + figures.load_part * taken
        if inside > allowed:
            breaches.append(
                Breach(5, f"{inside} orders within {figures.load_span_s:g} s, {allowed:.1f} allowed")
            )
    return breaches
