"""Checks a run: each request gets one complete response, and no unsafe call takes effect twice. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from saffronstack.harness.soak.thread_samples import find_thread, process_wait_s, thread_wait_s
from saffronstack.harness.soak.traffic import ObservedRun, SentRequest
from saffronstack.platform.front import CLIENTS_THREAD

KILL_MARGIN_S = 0.05  # a request may stay unanswered if the gateway had less CPU time for it before the kill
COUNTED_WAIT_SPAN_S = 0.2  # before the kill; an earlier wait for a CPU excuses no missing response
RESPONSE_DUE_S = 0.1  # a call at a host must be answered at the latest this long before the kill
CROSSING_S = 0.05  # the protocol lets a request that crosses the close of an idle connection go unanswered
MAX_BUSY_CROSSINGS = 0  # in a run whose busy clients fit within the connection limit
MAX_LATENESS_S = 0.5  # a response that is later than this after its deadline is a breach
SERVED, REJECTED = "OK", "BUSY"


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The result of a check.

    Attributes:
        breaches: One line for each breach of a rule.
        response_counts: Number of requests by the status word of their first response.
        within_margin: Number of unanswered requests that are excused because the kill came so soon.
        crossed: Number of unanswered requests that were sent as the gateway closed an idle connection.
        busy_crossed: Number of those that busy clients sent, which send until the end of the run.
        ended_after_s: Seconds from SIGTERM until the gateway exited; None if it was killed.
    """

    breaches: tuple[str, ...]
    response_counts: Counter[str]
    within_margin: int
    crossed: int
    busy_crossed: int
    ended_after_s: float | None = None


def check_run(run: ObservedRun) -> CheckReport:
    """Return a report with every breach."""
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
    """Return whether the kill excuses a missing response.

    It does if the gateway had too little CPU time to respond, unless it closed the connection before.
    """
    ended_s = request.connection_ended_s
    if ended_s is not None and ended_s < killed_s - KILL_MARGIN_S:
        return False
    return _cpu_available_s(request, run, killed_s) < KILL_MARGIN_S


def _cpu_available_s(request: SentRequest, run: ObservedRun, killed_s: float) -> float:
    """Return for how many seconds before the kill the gateway had a CPU to answer a request.

    A request that reached no host waits for the thread that reads clients. A call that reached a host needs
    several threads in turn. Its time counts from the host's response, its deadline or its latest response
    time, whichever comes first.
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
    """Return for how many seconds the reader thread waited for a CPU after a request was sent."""
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
    """Return whether a request crossed the close of an idle connection while the gateway kept running.

    A client can send such a request again.
    """
    ended_s = request.connection_ended_s
    if ended_s is None or not request.on_idle_connection or ended_s - request.sent_s > CROSSING_S:
        return False
    return ended_s < run.terminated_s or (run.killed_s is not None and ended_s < run.killed_s - KILL_MARGIN_S)


def _was_sent_before_client_knew(request: SentRequest) -> bool:
    """Return whether the request was sent so soon that its client could not know of the close.

    A client that writes later had not read from its connection for that long.
    """
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
