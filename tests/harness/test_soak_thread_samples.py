"""The time that threads waited for a CPU, computed from samples of the kernel's counters."""

from __future__ import annotations

import itertools
import os
import subprocess
import sys
import threading

import pytest

from saffronstack.harness.soak.judge import COUNTED_WAIT_SPAN_S
from saffronstack.harness.soak.thread_sampler import (
    RETENTION_S,
    decode,
    encode,
    read_threads,
    sample_until_end,
)
from saffronstack.harness.soak.thread_samples import (
    ProcessSample,
    ThreadSample,
    find_thread,
    process_wait_s,
    thread_wait_s,
)
from saffronstack.runtime.threads import start_thread

WAIT_S = 20.0
WAITING, ASLEEP = ThreadSample(True, 1.0, 2.0, 7), ThreadSample(False, 1.0, 2.0, 7)
RAN = ThreadSample(True, 1.1, 2.0, 8)
WAITED = ThreadSample(False, 1.0, 2.04, 8)


def pair(before: dict[int, ThreadSample], after: dict[int, ThreadSample]) -> list[ProcessSample]:
    return [ProcessSample(100.0, before), ProcessSample(100.1, after)]


@pytest.mark.parametrize(
    ("before", "after", "wait_s"),
    [(WAITING, WAITING, 0.1), (WAITING, WAITED, 0.04), (WAITING, RAN, 0.0), (ASLEEP, ASLEEP, 0.0)],
    ids=["goes on", "is over", "ran", "slept"],
)
def test_an_unfinished_cpu_wait_is_counted(before: ThreadSample, after: ThreadSample, wait_s: float) -> None:
    """The kernel's counter alone showed 0 s for a wait of 0.195 s that lasted until the kill."""
    samples = pair({1: before}, {1: after})
    assert thread_wait_s(samples, 1, 99.0, 101.0) == pytest.approx(wait_s)
    assert thread_wait_s(samples, 1, 100.05, 101.0) == pytest.approx(wait_s / 2)
    assert thread_wait_s(samples, 2, 99.0, 101.0) == 0.0


def test_a_wait_behind_a_thread_of_the_same_process_is_not_counted() -> None:
    """A gateway was excused although its own threads kept the reader thread from running."""
    behind = ThreadSample(True, 5.0, 0.0, 1), ThreadSample(True, 5.08, 0.0, 1)
    samples = pair({1: WAITING, 2: behind[0]}, {1: WAITING, 2: behind[1]})
    assert thread_wait_s(samples, 1, 99.0, 101.0) == pytest.approx(0.02)


def test_a_process_waits_only_while_none_of_its_threads_runs() -> None:
    never_ran = ThreadSample(True, 0.0, 0.0, 0)
    assert process_wait_s(pair({1: WAITING, 2: ASLEEP}, {1: WAITING, 2: ASLEEP}), 0, 200) == pytest.approx(
        0.1
    )
    assert process_wait_s(pair({1: WAITING, 2: WAITING}, {1: WAITING, 2: RAN}), 0, 200) == pytest.approx(0.0)
    assert process_wait_s(pair({1: never_ran}, {1: never_ran}), 0, 200) == 0.0


def test_a_thread_is_found_by_name_regardless_of_cpu_time() -> None:
    """The busiest thread was taken for the reader thread, but at times it was the decision thread."""
    decisions, busier = (
        ThreadSample(True, 9.0, 0.0, 1, "decisions"),
        ThreadSample(True, 9.9, 0.0, 2, "decisions"),
    )
    unnamed, clients = ThreadSample(True, 1.0, 0.0, 1, "python"), ThreadSample(True, 1.1, 0.0, 2, "clients")
    samples = pair({1: decisions, 2: unnamed}, {1: busier, 2: clients})
    assert find_thread(samples, "clients") == 2
    assert find_thread(samples, "writer") is None
    assert find_thread([], "clients") is None


def test_a_sampler_keeps_the_last_samples_until_no_thread_is_left() -> None:
    times_s = itertools.count(100.0, RETENTION_S / 2)
    found = iter([{1: WAITING}] * 9 + [{}])
    samples = sample_until_end(lambda: next(found), lambda: next(times_s), lambda _: None)
    assert [sample.at_s for sample in samples] == [100.0 + number * RETENTION_S / 2 for number in (7, 8, 9)]
    assert decode(encode(samples)) == tuple(samples)


def test_samples_from_before_the_kill_are_kept_when_the_process_takes_seconds_to_exit() -> None:
    """A gateway that got no CPU for 1.6 s after the kill had no sample left from before the kill."""
    killed_s = 101.0
    times_s = itertools.count(100.0, 0.1)
    found = iter([{1: WAITING}] * 110 + [{}])  # the process ends 10 s after the kill
    samples = sample_until_end(lambda: next(found), lambda: next(times_s), lambda _: None)
    assert samples[0].at_s <= killed_s - COUNTED_WAIT_SPAN_S


def test_the_counters_of_each_thread_of_a_running_process_are_read() -> None:
    assert read_threads(os.getpid())[threading.get_native_id()].ran_s > 0
    stop_event = threading.Event()
    thread = start_thread("odd ) name (", stop_event.wait)
    try:
        assert thread.native_id is not None
        while (sample := read_threads(os.getpid())[thread.native_id]).name != "odd ) name (":
            assert sample.ran_s < WAIT_S  # the thread has not set its name yet
    finally:
        stop_event.set()
    exited = subprocess.Popen([sys.executable, "-c", ""])
    exited.wait(WAIT_S)
    assert read_threads(exited.pid) == {}
