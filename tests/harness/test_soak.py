"""Restarts of gateway processes under clients with persistent connections; and the checker of those runs."""

from __future__ import annotations

import math
import pathlib
from collections import Counter

import pytest

from saffronstack.harness.soak import http_play, restart_play
from saffronstack.harness.soak.defects import DEFECTS, RUNS_AGAIN_AFTER_RESTART
from saffronstack.harness.soak.judge import CROSSING_S, KILL_MARGIN_S, CheckReport, check_run
from saffronstack.harness.soak.platform_play import PlatformRun
from saffronstack.harness.soak.schedule import KILL_AFTER_S, draw
from saffronstack.harness.soak.thread_samples import ProcessSample, ThreadSample
from saffronstack.harness.soak.traffic import ObservedRun, ReceivedResponse, SentRequest
from saffronstack.platform.front import CLIENTS_THREAD

SEEDS = range(1, 11)
HTTP_SEEDS = range(1, 4)
RESTART_SEEDS = range(1, 5)
KILLED_SEED = 1
IDLE_CLIENTS_SEED = 6
IDLE_CLIENTS_DEFECTS = ("closes busy connections",)  # found only if the gateway evicts connections
DEFECT_BREACHES = {
    "closes busy connections": "of busy clients crossed the end of an idle connection",
    "drops an answer": "no answer",
    "ends before the kill": "no answer",
    "runs a call twice": "an unsafe call reached hosts 2 times",
    "stops reading before the kill": "no answer",
}
TERMINATED_S, KILLED_S = 100.0, 103.7


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_is_unanswered_until_the_kill(tmp_path: pathlib.Path, seed: int) -> None:
    """A gateway exited before the kill while clients were sending, and lost requests sent as it closed."""
    result = PlatformRun(draw(seed), tmp_path).run()
    assert result.report.breaches == (), f"{draw(seed).describe()}\n{result.log}"
    assert result.report.response_counts["OK"] > 0


@pytest.mark.parametrize("defect", DEFECTS)
def test_the_judge_finds_a_broken_gateway(tmp_path: pathlib.Path, defect: str) -> None:
    seed = IDLE_CLIENTS_SEED if defect in IDLE_CLIENTS_DEFECTS else 1
    breaches = PlatformRun(draw(seed), tmp_path, DEFECTS[defect]).run().report.breaches
    assert any(DEFECT_BREACHES[defect] in breach for breach in breaches)


@pytest.mark.parametrize("processes", [1, 3])
@pytest.mark.parametrize("seed", HTTP_SEEDS)
def test_no_call_is_lost_as_the_http_gateway_stops(tmp_path: pathlib.Path, seed: int, processes: int) -> None:
    """The gateway accepted reconnecting clients for seconds after SIGTERM, and reset the last connections."""
    report = http_play.HttpRun(http_play.draw(seed, processes), tmp_path).run()
    assert report.breaches == ()
    assert report.outcomes["served"] > 0


@pytest.mark.parametrize("seed", RESTART_SEEDS)
def test_a_restart_loses_no_deferred_call_and_runs_none_again(tmp_path: pathlib.Path, seed: int) -> None:
    report = restart_play.RestartRun(restart_play.draw(seed), tmp_path).run()
    assert report.breaches == ()
    assert report.outcomes["accepted"] > 0


def test_the_checker_finds_an_unsafe_call_that_runs_again_after_a_restart(tmp_path: pathlib.Path) -> None:
    schedule = restart_play.draw(KILLED_SEED)
    report = restart_play.RestartRun(schedule, tmp_path, RUNS_AGAIN_AFTER_RESTART).run()
    assert any("of unsafe record-sale ran 2 times" in breach for breach in report.breaches)


def test_a_seed_draws_one_schedule_and_the_kill_is_the_earliest_allowed() -> None:
    schedules = [draw(seed) for seed in range(1, 200)]
    assert schedules == [draw(seed) for seed in range(1, 200)]
    assert {one.kill_s for one in schedules} == {0.3 + KILL_AFTER_S, 1.0 + KILL_AFTER_S, 3.0 + KILL_AFTER_S}
    assert {len(one.signals) for one in schedules} == set(range(5))


def request(sent_s: float, *words: str, unsafe: bool = False, ended_s: float | None = None) -> SentRequest:
    answers = [ReceivedResponse(sent_s + 0.1, word, b"x") for word in words]
    return SentRequest("0" * 16, unsafe, b"x", sent_s, 1.0, True, answers, ended_s)


def check_requests(*requests: SentRequest, calls: int = 1, killed_s: float | None = KILLED_S) -> CheckReport:
    exit_status = 0 if killed_s is None else None
    return check_run(
        ObservedRun(list(requests), Counter({"0" * 16: calls}), TERMINATED_S, killed_s, exit_status)
    )


def test_one_response_per_request_breaks_no_rule() -> None:
    found = check_requests(request(101.0, "OK"), request(101.0, "BUSY"), request(101.0, "FAILED"))
    assert found.breaches == ()
    assert found.response_counts == {"OK": 1, "BUSY": 1, "FAILED": 1}


def test_an_unanswered_request_is_excused_only_right_before_the_kill() -> None:
    late = check_requests(request(KILLED_S - KILL_MARGIN_S / 2))
    assert (late.breaches, late.within_margin) == ((), 1)
    assert len(check_requests(request(KILLED_S - KILL_MARGIN_S * 2)).breaches) == 1


READER, OTHER, NEVER_RAN = 1, 2, 3  # thread ids
NAMES = {READER: CLIENTS_THREAD, OTHER: "decisions", NEVER_RAN: "worker-connect"}


def check_with_samples(
    request: SentRequest,
    *waiting_s: tuple[int, float, float],
    host_response_s: float | None = None,
    busiest: int = READER,
) -> CheckReport:
    """Check a request in a gateway whose threads sleep, except in spans in which they wait for a CPU.

    A span is a thread, and seconds before the kill at which its wait begins and ends. ``host_response_s`` is
    how long before the kill the host that received the call responded: None if no host received it, minus
    infinity if the host did not respond. ``busiest`` is the thread with the most CPU time.
    """
    samples = []
    for number in range(100, -1, -1):  # a sample every 5 ms
        before_s = number * 0.005
        threads = {
            thread: ThreadSample(
                any(one == thread and begin_s >= before_s >= end_s for one, begin_s, end_s in waiting_s),
                ran_s=ran_s + (0.1 if thread == busiest and number < 100 else 0.0),
                waited_s=0.0,
                times_scheduled=0,
                name=NAMES[thread],
            )
            for thread, ran_s in ((READER, 1.0), (OTHER, 2.0), (NEVER_RAN, 0.0))
        }
        samples.append(ProcessSample(KILLED_S - before_s, threads))
    calls = Counter({request.request_id: 1} if host_response_s is not None else {})
    answers_s = {request.request_id: KILLED_S - host_response_s} if host_response_s is not None else {}
    return check_run(
        ObservedRun(
            [request],
            calls,
            TERMINATED_S,
            KILLED_S,
            exit_status=None,
            host_response_times_s=answers_s,
            samples=tuple(samples),
        )
    )


@pytest.mark.parametrize("busiest", [READER, OTHER], ids=["the reader ran most", "another ran most"])
@pytest.mark.parametrize(
    ("unanswered_s", "waiting_s", "breaches"),
    [
        (0.1, [(READER, 0.06, 0.0)], 0),
        (0.1, [(READER, 0.04, 0.0)], 1),
        (0.1, [(READER, 0.3, 0.105)], 1),  # before the request arrived
        (0.1, [(OTHER, 0.1, 0.0)], 1),  # the reader thread sleeps: the program blocks it
        (0.1, [(READER, 0.1, 0.07), (OTHER, 0.07, 0.0)], 1),
        (0.3, [(READER, 0.3, 0.0)], 1),  # longer before the kill than the counted span
    ],
)
def test_an_unread_request_is_excused_only_while_the_reader_thread_waits_for_a_cpu(
    unanswered_s: float, waiting_s: list[tuple[int, float, float]], breaches: int, busiest: int
) -> None:
    """The wait of the busiest thread was counted in place of the reader thread's."""
    unread = request(KILLED_S - unanswered_s)
    assert len(check_with_samples(unread, *waiting_s, busiest=busiest).breaches) == breaches


def test_no_cpu_wait_excuses_a_request_whose_connection_the_gateway_closed() -> None:
    """A CPU wait until the kill would excuse a gateway that closes connections before the kill."""
    waiting_s = (READER, 0.2, 0.0)
    assert check_with_samples(request(KILLED_S - 0.2), waiting_s).breaches == ()
    assert len(check_with_samples(request(KILLED_S - 0.2, ended_s=KILLED_S - 0.07), waiting_s).breaches) == 1


@pytest.mark.parametrize(
    ("host_response_s", "waiting_s", "breaches"),
    [
        (-math.inf, [(OTHER, 0.1, 0.07), (READER, 0.07, 0.035)], 0),  # two threads in turn
        (-math.inf, [(OTHER, 0.1, 0.07)], 1),
        (-math.inf, [], 1),
        (
            -math.inf,
            [(NEVER_RAN, 0.5, 0.0)],
            1,
        ),  # a thread that has not started is not starved: another thread blocks it
        (0.4, [(OTHER, 0.1, 0.0)], 1),  # the host answered long before: the gateway dropped the response
        (0.4, [(OTHER, 0.4, 0.0)], 1),  # longer before the kill than the counted span
    ],
)
def test_a_call_that_a_host_has_received_must_be_answered_before_the_kill(
    host_response_s: float, waiting_s: list[tuple[int, float, float]], breaches: int
) -> None:
    """A response that was due while no thread had a CPU was timed from the arrival of its request."""
    assert (
        len(
            check_with_samples(request(KILLED_S - 0.45), *waiting_s, host_response_s=host_response_s).breaches
        )
        == breaches
    )


def test_no_cpu_wait_excuses_a_call_whose_deadline_passed_long_before() -> None:
    """A gateway that missed a deadline passed if any thread waited for a CPU right before the kill."""
    assert (
        len(
            check_with_samples(request(KILLED_S - 3.0), (OTHER, 0.1, 0.0), host_response_s=-math.inf).breaches
        )
        == 1
    )


def test_a_request_that_crosses_an_idle_close_is_excused_only_while_the_gateway_runs() -> None:
    crossing = request(101.0, ended_s=101.01)
    crossing.is_from_busy_client = False
    excused = check_requests(crossing)
    assert (excused.breaches, excused.crossed, excused.busy_crossed) == ((), 1, 0)
    assert len(check_requests(crossing, killed_s=None).breaches) == 1
    assert len(check_requests(request(101.0, ended_s=101.2)).breaches) == 1


def test_no_request_of_a_busy_client_crosses_a_close_below_the_connection_limit() -> None:
    """A gateway with many idle clients evicted connections in use, and no run found it."""
    crossings = [request(101.0, ended_s=100.0 + 1.01), request(101.0, ended_s=101.0 - CROSSING_S / 2)]
    assert [len(check_requests(crossing).breaches) for crossing in crossings] == [1, 1]
    over_capacity = ObservedRun(crossings, Counter(), TERMINATED_S, KILLED_S, None, busy_clients_fit=False)
    assert (check_run(over_capacity).breaches, check_run(over_capacity).busy_crossed) == ((), 2)


def test_a_request_written_long_after_the_close_is_not_counted_as_crossing_it() -> None:
    unaware = check_requests(request(101.0, ended_s=101.0 - CROSSING_S * 2))
    assert (unaware.breaches, unaware.crossed, unaware.busy_crossed) == ((), 1, 0)


@pytest.mark.parametrize(
    "broken",
    [
        check_requests(request(101.0, "OK", "OK")),
        check_requests(request(101.0, "OK", unsafe=True), calls=2),
        check_requests(request(101.0, "BUSY", unsafe=True)),
        check_run(ObservedRun([], Counter(), TERMINATED_S, None, 1)),
        check_run(ObservedRun([], Counter(), TERMINATED_S, KILLED_S, None, failed_connects=1)),
    ],
    ids=["two answers", "two effects", "refused with an effect", "exit status", "not let in"],
)
def test_each_breach_is_reported(broken: CheckReport) -> None:
    assert len(broken.breaches) == 1


def test_a_late_response_and_a_wrong_body_are_reported() -> None:
    late = request(101.0)
    late.responses.append(ReceivedResponse(102.6, "OK", b"y"))
    assert len(check_requests(late).breaches) == 2
