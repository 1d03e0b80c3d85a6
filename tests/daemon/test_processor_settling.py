"""When a process that was let on all processors keeps to one again, in time that is passed in."""

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

UsedFraction = Callable[[float, int], float]  # which part of a processor is used at a time


class PinningSimulation:
    """A process that is let on all processors again ``released_after_s`` after it has settled."""

    def __init__(self, offset: int = 0, unpinned_after_s: float = 1.0) -> None:
        self.policy = CpuPinningPolicy(offset, MoveBackoff())
        self.unpinned_after_s = unpinned_after_s

    def simulate(self, used: UsedFraction, length_s: float) -> list[tuple[float, int]]:
        """When it settled, and on which processor."""
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


def test_it_settles_once_a_processor_was_idle_for_long_after_an_overload() -> None:
    """An overload of three seconds used to cost a gateway two thirds of its calls until it was restarted."""
    (pinned,) = PinningSimulation(unpinned_after_s=1000.0).simulate(
        lambda now_s, cpu: 1.0 if now_s < 3 else 0.1, 60.0
    )
    assert pinned == (3 + MIN_IDLE_TIME_S, 0)


def test_it_stays_on_all_where_each_processor_is_in_use_now_and_then() -> None:
    def used(now_s: float, cpu: int) -> float:
        return 0.9 if int(now_s) % 9 == cpu else 0.0

    assert PinningSimulation().simulate(used, 300.0) == []


def test_processes_that_settle_together_go_to_different_processors() -> None:
    def used(now_s: float, cpu: int) -> float:
        return 0.9 if cpu == 1 else 0.0

    assert [PinningSimulation(offset).simulate(used, MIN_IDLE_TIME_S)[0][1] for offset in range(3)] == [
        0,
        2,
        0,
    ]


def test_one_that_is_released_again_and_again_settles_less_and_less_often() -> None:
    times_s = [now_s for now_s, _ in PinningSimulation().simulate(lambda now_s, cpu: 0.0, 600.0)]
    pauses_s = [after - before for before, after in itertools.pairwise(times_s)]
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] >= MAX_BACKOFF_S
    assert len(times_s) <= 16


def test_what_was_seen_before_it_kept_to_one_does_not_count() -> None:
    policy = CpuPinningPolicy(0, MoveBackoff())
    samples = [
        CpuIdleSample(at_s, {0: int(at_s * NS_PER_S)})
        for at_s in (0.0, MIN_IDLE_TIME_S - 1, MIN_IDLE_TIME_S, MIN_IDLE_TIME_S + 1)
    ]
    assert [policy.choose(sample) for sample in samples[:2]] == [None, None]
    policy.reset()
    assert [policy.choose(sample) for sample in samples[2:]] == [None, None]


def test_it_stays_on_all_where_the_system_does_not_tell_idle_times() -> None:
    policy = CpuPinningPolicy(0, MoveBackoff())
    assert [
        policy.choose(CpuIdleSample(at_s, {})) for at_s in (0.0, MIN_IDLE_TIME_S, 2 * MIN_IDLE_TIME_S)
    ] == [None] * 3


def initial_cpu(idle_fractions: dict[int, float], offset: int = 0) -> int:
    after = {cpu: int(fraction * NS_PER_S) for cpu, fraction in idle_fractions.items()}
    return choose_initial_cpu(
        CPUS, offset, CpuIdleSample(0.0, dict.fromkeys(after, 0)), CpuIdleSample(1.0, after)
    )


def test_a_process_that_starts_keeps_to_no_processor_that_is_taken_up() -> None:
    """The successor of a gateway used to, by its process id, and served nobody until it had left."""
    assert [initial_cpu({0: 0.0, 1: 0.9, 2: 0.1}, offset) for offset in range(6)] == [1] * 6


def test_processes_that_start_together_keep_to_different_processors() -> None:
    assert [initial_cpu({0: 0.6, 1: 0.9, 2: 0.7}, offset) for offset in range(4)] == [0, 1, 2, 0]


def test_where_none_is_idle_or_nothing_is_told_all_are_taken_in_turn() -> None:
    assert [initial_cpu(dict.fromkeys(CPUS, 0.0), offset) for offset in range(4)] == [0, 1, 2, 0]
    assert [initial_cpu({}, offset) for offset in range(4)] == [0, 1, 2, 0]
