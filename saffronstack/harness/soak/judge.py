"""Judges a play: one whole answer for each request, no effect twice. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from saffronstack.harness.soak.thread_samples import find_thread, process_wait_s, thread_wait_s
from saffronstack.harness.soak.traffic import ObservedRun, SentRequest
from saffronstack.platform.front import CLIENTS_THREAD

KILL_MARGIN_S = 0.05  # a request that the gateway had less processor time for may be without an answer
COUNTED_WAIT_SPAN_S = 0.2  # before the kill; an earlier wait for a processor excuses nothing
RESPONSE_DUE_S = 0.1  # before the kill a call that is with a host is to be answered, if not before
CROSSING_S = 0.05  # by the protocol's page: a request may cross the end of a connection with nothing open
MAX_BUSY_CROSSINGS = 0  # in a play whose busy clients need no more connections than clients may use
MAX_LATENESS_S = 0.5  # after its time a request counts as lost
SERVED, REJECTED = "OK", "BUSY"


@dataclass(frozen=True, slots=True)
class CheckReport:
    """What a play came to.

    Attributes:
        breaches: What broke a rule, one line each.
        answers: How many requests got which word.
        within_margin: Requests without an answer that arrived right before the kill.
        crossed: Requests without an answer that crossed the end of an idle connection.
        busy_crossed: Those among them of clients that go on calling.
        ended_after_s: When the gateway ended by itself, relative to SIGTERM; None where it was killed.
    """

    breaches: tuple[str, ...]
    response_counts: Counter[str]
    within_margin: int
    crossed: int
    busy_crossed: int
    ended_after_s: float | None = None


def check_run(run: ObservedRun) -> CheckReport:
    """Find every breach."""
    breaches: list[str] = []
    response_counts: Counter[str] = Counter()
    within_margin = crossed = busy_crossed = 0
    if run.exit_status not in (None, 0):
        breaches.append(f"the gateway ended with status {run.exit_status}")
    if run.failed_connects:
        breaches.append(f"{run.failed_connects} clients were not let in before SIGTERM")
    for request in run.requests:
        breaches += _check_effects(request, run.calls[request.request_id])
        if request.responses:
            response_counts[request.responses[0].word] += 1
            breaches += _check_responses(request, run)
        elif run.killed_s is not None and _is_within_margin(request, run, run.killed_s):
            within_margin += 1
        elif _has_crossed(request, run):
            crossed += 1
            busy_crossed += request.is_from_busy_client and _was_sent_before_client_knew(request)
        else:
            breaches.append(
                f"{_describe_time(request, run)}: no answer{_describe_connection_end(request, run)}"
            )
    if run.busy_clients_fit and busy_crossed > MAX_BUSY_CROSSINGS:
        breaches.append(f"{busy_crossed} requests of busy clients crossed the end of an idle connection")
    return CheckReport(tuple(breaches), response_counts, within_margin, crossed, busy_crossed)


def _is_within_margin(request: SentRequest, run: ObservedRun, killed_s: float) -> bool:
    """Whether the kill came before the gateway had time to answer; not where it had ended the connection."""
    ended_s = request.connection_ended_s
    if ended_s is not None and ended_s < killed_s - KILL_MARGIN_S:
        return False
    return _cpu_available_s(request, run, killed_s) < KILL_MARGIN_S


def _cpu_available_s(request: SentRequest, run: ObservedRun, killed_s: float) -> float:
    """How long the gateway had a processor to answer a request before it was killed.

    One that no host has seen waits for the thread that reads. A call that a host has seen waits for several
    threads in turn, from when the host answered, its time was over, or its answer fell due.
    """
    if not run.calls[request.request_id]:
        return killed_s - request.sent_s - _reader_wait_s(request, run, killed_s)
    due_s = min(
        killed_s - RESPONSE_DUE_S,
        request.sent_s + request.timeout_s,
        run.host_response_times_s.get(request.request_id, killed_s),
    )
    due_s = max(request.sent_s, due_s)
    counted_s = max(due_s, killed_s - COUNTED_WAIT_SPAN_S)
    return killed_s - due_s - process_wait_s(run.samples, counted_s, killed_s)


def _reader_wait_s(request: SentRequest, run: ObservedRun, killed_s: float) -> float:
    """How long the thread that reads waited for a processor while a request was there."""
    reader = find_thread(run.samples, CLIENTS_THREAD)
    if reader is None:
        return 0.0
    begin_s = max(request.sent_s, killed_s - COUNTED_WAIT_SPAN_S)
    return thread_wait_s(run.samples, reader, begin_s, killed_s)


def _check_effects(request: SentRequest, calls: int) -> list[str]:
    if not request.is_unsafe:
        return []
    if calls > 1:
        return [f"{request.request_id}: an unsafe call reached hosts {calls} times"]
    if calls and request.responses and request.responses[0].word == REJECTED:
        return [f"{request.request_id}: an unsafe call was refused, and reached a host"]
    return []


def _check_responses(request: SentRequest, run: ObservedRun) -> list[str]:
    first = request.responses[0]
    breaches = []
    if len(request.responses) > 1:
        breaches.append(f"{_describe_time(request, run)}: {len(request.responses)} answers")
    if first.word == SERVED and first.body != request.body:
        breaches.append(f"{_describe_time(request, run)}: served with a body that no host sent")
    late_s = first.at_s - request.sent_s - request.timeout_s
    if late_s > MAX_LATENESS_S:
        breaches.append(f"{_describe_time(request, run)}: answered {late_s:.3f} s after its time")
    return breaches


def _has_crossed(request: SentRequest, run: ObservedRun) -> bool:
    """Whether it crossed the end of an idle connection at a gateway that goes on: it is sent again there."""
    ended_s = request.connection_ended_s
    if ended_s is None or not request.on_idle_connection or ended_s - request.sent_s > CROSSING_S:
        return False
    return ended_s < run.terminated_s or (run.killed_s is not None and ended_s < run.killed_s - KILL_MARGIN_S)


def _was_sent_before_client_knew(request: SentRequest) -> bool:
    """Whether its client can't have known of the end; one that writes later had not looked for so long."""
    ended_s = request.connection_ended_s
    return ended_s is not None and request.sent_s - ended_s <= CROSSING_S


def _describe_time(request: SentRequest, run: ObservedRun) -> str:
    text = f"{request.request_id} at {request.sent_s - run.terminated_s:+.3f} s of SIGTERM"
    if run.killed_s is not None:
        text += f", {run.killed_s - request.sent_s:.3f} s before the kill"
    return text


def _describe_connection_end(request: SentRequest, run: ObservedRun) -> str:
    if request.connection_ended_s is None:
        return ""
    return f" (connection ended at {request.connection_ended_s - run.terminated_s:+.3f} s)"
