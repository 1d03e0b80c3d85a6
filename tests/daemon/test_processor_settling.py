"""When a process that may run on all CPUs is pinned to one again; times are passed in."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from saffronstack.daemon.processor_choice import CPU_SAMPLE_INTERVAL_S, MAX_BACKOFF_S, NS_PER_S, MoveBackoff
from saffronstack.daemon.processor_settling import (
    MIN_IDLE_TIME_S,
    CpuIdleSample,
    CpuPinningPolicy,
    choose_initial_cpu,
)

CPUS = (0, 1, 2)

UsedFraction = Callable[[float, int], float]  # fraction of a CPU that is used at a time


class PinningSimulation:
    """A process that is unpinned again ``unpinned_after_s`` after it was pinned."""

    def __init__(self, offset: int = 0, unpinned_after_s: float = 1.0) -> None:
        self.policy = CpuPinningPolicy(offset, MoveBackoff())
        self.unpinned_after_s = unpinned_after_s

    def simulate(self, used: UsedFraction, length_s: float) -> list[tuple[float, int]]:
        """Return when it was pinned, and to which CPU."""
        idle_ns = dict.fromkeys(CPUS, 0)
        pinned: list[tuple[float, int]] = []
        for number in range(int(length_s / CPU_SAMPLE_INTERVAL_S) + 1):
            now_s = number * CPU_SAMPLE_INTERVAL_S
            if not pinned or now_s >= pinned[-1][0] + self.unpinned_after_s:
                chosen = self.policy.choose(CpuIdleSample(now_s, dict(idle_ns)))
                if chosen is not None:
                    pinned.append((now_s, chosen))
            for cpu in CPUS:
                idle_ns[cpu] += int((1.0 - used(now_s, cpu)) * CPU_SAMPLE_INTERVAL_S * NS_PER_S)
        return pinned


def test_it_is_pinned_once_a_cpu_was_idle_long_enough_after_an_overload() -> None:
    """After an overload of 3 s an unpinned gateway lost two thirds of its calls until it was restarted."""
    (pinned,) = PinningSimulation(unpinned_after_s=1000.0).simulate(
        lambda now_s, cpu: 1.0 if now_s < 3 else 0.1, 60.0
    )
    assert pinned == (3 + MIN_IDLE_TIME_S, 0)


def test_it_stays_unpinned_if_each_cpu_is_used_at_times() -> None:
    def used(now_s: float, cpu: int) -> float:
        return 0.9 if int(now_s) % 9 == cpu else 0.0

    assert PinningSimulation().simulate(used, 300.0) == []


def test_processes_that_are_pinned_together_get_different_cpus() -> None:
    def used(now_s: float, cpu: int) -> float:
        return 0.9 if cpu == 1 else 0.0

    assert [PinningSimulation(offset).simulate(used, MIN_IDLE_TIME_S)[0][1] for offset in range(3)] == [
        0,
        2,
        0,
    ]


def test_a_process_that_is_unpinned_repeatedly_is_pinned_less_and_less_often() -> None:
    times_s = [now_s for now_s, _ in PinningSimulation().simulate(lambda now_s, cpu: 0.0, 600.0)]
    pauses_s = [after - before for before, after in itertools.pairwise(times_s)]
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] >= MAX_BACKOFF_S
    assert len(times_s) <= 16


def test_samples_from_before_it_was_pinned_do_not_count() -> None:
    policy = CpuPinningPolicy(0, MoveBackoff())
    samples = [
        CpuIdleSample(at_s, {0: int(at_s * NS_PER_S)})
        for at_s in (0.0, MIN_IDLE_TIME_S - 1, MIN_IDLE_TIME_S, MIN_IDLE_TIME_S + 1)
    ]
    assert [policy.choose(sample) for sample in samples[:2]] == [None, None]
    policy.reset()
    assert [policy.choose(sample) for sample in samples[2:]] == [None, None]


def test_it_stays_unpinned_if_idle_times_are_not_available() -> None:
    policy = CpuPinningPolicy(0, MoveBackoff())
    assert [
        policy.choose(CpuIdleSample(at_s, {})) for at_s in (0.0, MIN_IDLE_TIME_S, 2 * MIN_IDLE_TIME_S)
    ] == [None] * 3


def initial_cpu(idle_fractions: dict[int, float], offset: int = 0) -> int:
    after = {cpu: int(fraction * NS_PER_S) for cpu, fraction in idle_fractions.items()}
    return choose_initial_cpu(
        CPUS, offset, CpuIdleSample(0.0, dict.fromkeys(after, 0)), CpuIdleSample(1.0, after)
    )


def test_a_starting_process_is_not_pinned_to_a_contended_cpu() -> None:
    """A successor of a gateway was pinned by its process id alone, and served nobody until it had moved."""
    assert [initial_cpu({0: 0.0, 1: 0.9, 2: 0.1}, offset) for offset in range(6)] == [1] * 6


def test_processes_that_start_together_are_pinned_to_different_cpus() -> None:
    assert [initial_cpu({0: 0.6, 1: 0.9, 2: 0.7}, offset) for offset in range(4)] == [0, 1, 2, 0]


def test_without_an_idle_cpu_or_idle_times_all_cpus_are_used_in_turn() -> None:
    assert [initial_cpu(dict.fromkeys(CPUS, 0.0), offset) for offset in range(4)] == [0, 1, 2, 0]
    assert [initial_cpu({}, offset) for offset in range(4)] == [0, 1, 2, 0]
