"""Detection of processes that are ready to run but get no CPU time."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time

import pytest

from saffronstack.daemon.processor_starvation import (
    SAMPLE_INTERVAL_S,
    ProcessSample,
    StarvationMonitor,
    ThreadSample,
    ThreadSamples,
    allow_all_cpus,
    is_contended,
    is_starved,
    read_cpu_affinity,
    read_run_ns,
    read_threads,
)

WAITING_PROCESS = (
    "import sys, threading; threading.Thread(target=sys.stdin.read).start(); print(1, flush=True)"
)


@pytest.mark.parametrize(
    ("before", "after", "starved"),
    [
        (ThreadSample(True, 5), ThreadSample(True, 5), True),
        (ThreadSample(True, 5), ThreadSample(True, 6), False),  # it ran
        (ThreadSample(False, 5), ThreadSample(True, 5), False),  # ready only now
        (ThreadSample(False, 5), ThreadSample(False, 5), False),  # nothing to do
    ],
)
def test_a_thread_that_is_ready_in_both_samples_and_does_not_run_is_starved(
    before: ThreadSample, after: ThreadSample, starved: bool
) -> None:
    assert is_starved({1: before}, {1: after, 2: ThreadSample(True, 0)}) is starved


MS = 1_000_000
TICK_S = 0.01
USED_CPU_S = 0.05


@pytest.mark.parametrize(
    ("waits_ms", "runs_ms", "found"),
    [
        ((480, 0), (10, 0), True),  # one time slice in a span, as beside 150 busy processes
        ((60, 0), (10, 0), True),
        ((40, 0), (10, 0), False),
        ((480, 10), (10, 470), False),  # it waits for the other thread of its process
        ((150, 150), (10, 10), True),
        ((150, 150), (150, 150), False),  # both threads woke up together
    ],
)
def test_contention_is_found_in_the_second_span(
    waits_ms: tuple[int, int], runs_ms: tuple[int, int], found: bool
) -> None:
    """With one time slice in each 0.5 s a gateway stayed on a CPU where it served 1/40 of its calls."""
    now_s, spans = 100.0, 0
    released: list[float] = []

    def read(pid: int) -> ThreadSamples:
        threads = zip(waits_ms, runs_ms, strict=True)
        return {
            number: ThreadSample(True, spans * run_ms * MS + MS, spans * wait_ms * MS)
            if run_ms
            else ThreadSample(False, 0, spans * wait_ms * MS)
            for number, (wait_ms, run_ms) in enumerate(threads)
        }

    def release(pid: int) -> bool:
        released.append(now_s)
        return True

    monitor = StarvationMonitor(
        lambda: now_s,
        read,
        release,
        read_run_ns=lambda pid: spans * sum(runs_ms) * MS,
        read_affinity=lambda pid: frozenset({0}),
    )
    for _ in range(3):
        now_s += SAMPLE_INTERVAL_S
        monitor.check([1])
        spans += 1
    assert released == ([now_s] if found else [])


def process_sample(wait_ms: int, run_ms: int, cpu: int = 0) -> ProcessSample:
    return ProcessSample({7: ThreadSample(False, 0, wait_ms * MS)}, run_ms * MS, frozenset({cpu}))


def test_the_run_time_of_ended_threads_counts() -> None:
    """Otherwise a gateway with a thread for each connection counts as contended."""
    assert not is_contended(process_sample(0, 0), process_sample(480, 480), SAMPLE_INTERVAL_S)
    assert is_contended(process_sample(0, 0), process_sample(480, 10), SAMPLE_INTERVAL_S)


def test_wait_times_before_a_move_do_not_count_after_it() -> None:
    """A gateway that had just moved was unpinned because of its wait time on the previous CPU."""
    assert not is_contended(process_sample(0, 0), process_sample(480, 0, cpu=1), SAMPLE_INTERVAL_S)


def test_the_cpu_time_of_a_process_includes_ended_threads() -> None:
    def use_cpu() -> None:
        while time.thread_time() < USED_CPU_S:
            pass

    before_ns = read_run_ns(os.getpid())
    thread = threading.Thread(target=use_cpu)
    thread.start()
    thread.join()
    after_ns = read_run_ns(os.getpid())
    assert before_ns is not None
    assert after_ns is not None
    assert after_ns - before_ns >= (USED_CPU_S - TICK_S) * 1000 * MS


def test_a_starved_process_is_unpinned_once_and_others_stay_pinned() -> None:
    """A gateway on a CPU that a benchmark used did not exit for 20 s, undetected."""
    now_s = 100.0
    samples: dict[int, ThreadSamples] = {1: {1: ThreadSample(True, 7)}, 2: {2: ThreadSample(False, 7)}}
    pinned = {1, 2}

    def release(pid: int) -> bool:
        was_pinned = pid in pinned
        pinned.discard(pid)
        return was_pinned

    monitor = StarvationMonitor(lambda: now_s, lambda pid: samples[pid], release)
    found = []
    for _ in range(8):
        now_s += SAMPLE_INTERVAL_S / 2
        found.append(monitor.check([1, 2]))
    assert found == [[], [], [], [1], [], [], [], []]
    assert pinned == {2}


@pytest.mark.skipif(len(os.sched_getaffinity(0)) < 2, reason="needs two CPUs")
@pytest.mark.parametrize(
    ("arguments", "released"), [([], True), (["--cpus", "0"], False), (["--cpus=0"], False)]
)
def test_all_threads_of_a_process_are_unpinned_unless_its_command_line_names_cpus(
    arguments: list[str], released: bool
) -> None:
    command = [sys.executable, "-c", WAITING_PROCESS, *arguments]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == b"1\n"
        threads = list(read_threads(process.pid))
        assert len(threads) == 2
        one = {min(os.sched_getaffinity(0))}
        for thread in threads:
            os.sched_setaffinity(thread, one)
        assert allow_all_cpus(process.pid) is released
        allowed = os.sched_getaffinity(0) if released else one
        assert [os.sched_getaffinity(thread) for thread in threads] == [allowed, allowed]
        assert not allow_all_cpus(process.pid)
        assert process.stdin is not None
        process.stdin.close()


def test_a_process_that_has_ended_has_no_threads_and_is_not_unpinned() -> None:
    ended = subprocess.run(
        [sys.executable, "-c", "import os; print(os.getpid())"], capture_output=True, check=True
    )
    pid = int(ended.stdout)
    assert read_threads(pid) == {}
    assert read_run_ns(pid) is None
    assert read_cpu_affinity(pid) == frozenset()
    assert not allow_all_cpus(pid)
