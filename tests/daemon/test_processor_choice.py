"""When a process moves away from the CPU that it is pinned to; times are passed in."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from saffronstack.daemon.processor_choice import (
    CPU_SAMPLE_INTERVAL_S,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    CpuMove,
    CpuMovePolicy,
    CpuSample,
    MoveBackoff,
)
from saffronstack.daemon.processor_times import parse_idle_ns

NS_PER_S = 1_000_000_000
CPUS = (0, 1, 2, 3)

UsedFraction = Callable[[float, int], float]  # fraction of a CPU that other processes use at a time


@dataclass(frozen=True)
class FakeThreadTimes:
    run_ns: int
    wait_ns: int


def always_waiting(now_s: float) -> FakeThreadTimes:
    """Return the times of a thread that has waited all the time."""
    return FakeThreadTimes(0, int(now_s * NS_PER_S))


def simulate(
    used_by_others: UsedFraction, own_usage: float, length_s: float, offset: int = 0
) -> list[tuple[float, int]]:
    """Return the times and targets of the moves of a process that starts on CPU 0."""
    policy, own_cpu, run_ns, wait_ns, moves = CpuMovePolicy(offset, MoveBackoff()), 0, 0, 0, []
    idle_ns = dict.fromkeys(CPUS, 0)
    for number in range(int(length_s / CPU_SAMPLE_INTERVAL_S) + 1):
        now_s = number * CPU_SAMPLE_INTERVAL_S
        # Thread 1 waits for all other threads.
        threads = {1: FakeThreadTimes(0, wait_ns), 2: FakeThreadTimes(run_ns, 0)}
        move = policy.choose(CpuSample(now_s, own_cpu, run_ns, threads, dict(idle_ns)))
        if move is not None:
            own_cpu = move.cpu
            moves.append((now_s, own_cpu))
        for cpu in CPUS:
            own_usage_here = own_usage if cpu == own_cpu else 0.0
            used = min(1.0, used_by_others(now_s, cpu) + own_usage_here)
            idle_ns[cpu] += int((1.0 - used) * CPU_SAMPLE_INTERVAL_S * NS_PER_S)
        wait_ns += int(
            min(1.0, used_by_others(now_s, own_cpu) + own_usage) * CPU_SAMPLE_INTERVAL_S * NS_PER_S
        )
        run_ns += int(own_usage * CPU_SAMPLE_INTERVAL_S * NS_PER_S)
    return moves


def test_a_process_that_runs_once_in_a_fifth_of_a_second_moves_within_a_second() -> None:
    """Beside 150 busy processes a gateway got some CPU time between any two samples and never moved."""
    assert simulate(lambda now_s, cpu: 0.985 if cpu == 0 else 0.05, own_usage=0.015, length_s=60.0) == [
        (1.0, 1)
    ]


@pytest.mark.parametrize("fraction", [0.2, 0.9])
def test_it_moves_within_a_second_after_other_processes_start(fraction: float) -> None:
    (move,) = simulate(lambda now_s, cpu: fraction if cpu == 0 and now_s >= 5 else 0.0, 0.1, 60.0)
    assert 5 < move[0] <= 6


@pytest.mark.parametrize("own_usage", [0.3, 0.6, 1.0])
def test_a_busy_process_stays_on_a_cpu_that_no_other_process_uses(own_usage: float) -> None:
    """Threads that wake up together wait for each other, so wait time alone does not show contention."""
    assert simulate(lambda now_s, cpu: 0.0, own_usage, length_s=60.0) == []


def test_processes_that_leave_one_cpu_together_move_to_different_cpus() -> None:
    def used_by_others(now_s: float, cpu: int) -> float:
        return 0.99 if cpu == 0 else 0.0

    assert [simulate(used_by_others, 0.01, 5.0, offset)[0][1] for offset in range(4)] == [1, 2, 3, 1]


def test_it_stays_if_no_cpu_is_idle_for_most_of_the_time() -> None:
    assert simulate(lambda now_s, cpu: 0.9 if cpu == 0 else 0.6, own_usage=0.1, length_s=60.0) == []


def test_a_burst_of_a_second_makes_it_move_once() -> None:
    assert len(simulate(lambda now_s, cpu: 0.99 if cpu == 0 and now_s < 1 else 0.0, 0.01, 60.0)) == 1


def test_a_load_that_alternates_between_cpus_moves_it_no_more_often_than_the_backoff_allows() -> None:
    """The load uses all CPUs but one; the free CPU changes every two seconds."""

    def used_by_others(now_s: float, cpu: int) -> float:
        return 0.0 if cpu == int(now_s / 2) % len(CPUS) else 0.99

    times_s = [now_s for now_s, _ in simulate(used_by_others, 0.01, 600.0)]
    pauses_s = [after - before for before, after in itertools.pairwise(times_s)]
    backoff_s = INITIAL_BACKOFF_S
    for pause_s in pauses_s:
        assert pause_s >= backoff_s
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
    assert 5 <= len(times_s) <= 16


def test_it_stays_if_idle_times_are_not_available() -> None:
    policy = CpuMovePolicy(0, MoveBackoff())
    samples = [CpuSample(now_s, 0, 0, {1: always_waiting(now_s)}, {}) for now_s in (0.0, 1.0, 2.0)]
    assert [policy.choose(sample) for sample in samples] == [None] * 3


def test_a_move_by_another_process_restarts_the_window() -> None:
    """The daemon may have moved the process, so samples of the old CPU do not count."""
    policy = CpuMovePolicy(0, MoveBackoff())
    samples = [
        CpuSample(now_s, cpu, 0, {1: always_waiting(now_s)}, {0: 0, 1: 0, 2: int(now_s * NS_PER_S)})
        for now_s, cpu in ((0.0, 0), (1.0, 1), (2.0, 1))
    ]
    assert [policy.choose(sample) for sample in samples] == [None, None, CpuMove(2, 1.0)]


def test_idle_times_are_read_for_the_requested_cpus() -> None:
    stat = b"cpu 9 9 9 9 9\ncpu0 1 0 1 100 20 0 0\ncpu1 1 0 1 300 0 0 0\ncpu10 1 0 1 7 0 0 0\nintr 5\n"
    ticks = {cpu: round(ns * 100 / NS_PER_S) for cpu, ns in parse_idle_ns(stat, {0, 10}).items()}
    assert ticks == {0: 120, 10: 7}
