"""When a process leaves the processor that it keeps to, in time that is passed in."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from saffronstack.daemon.processor_choice import (
    FIRST_HOLD_S,
    LONGEST_HOLD_S,
    LOOK_INTERVAL_S,
    Move,
    MoveHold,
    ProcessorChoice,
    ProcessorLook,
)
from saffronstack.daemon.processor_times import parse_idle_ns

NS_PER_S = 1_000_000_000
PROCESSORS = (0, 1, 2, 3)

Shares = Callable[[float, int], float]  # what others use of a processor at a time


@dataclass(frozen=True)
class Times:
    run_ns: int
    wait_ns: int


def waited(now_s: float) -> Times:
    """A thread that waited all the time."""
    return Times(0, int(now_s * NS_PER_S))


def play(others: Shares, own: float, length_s: float, turn: int = 0) -> list[tuple[float, int]]:
    """The moves of a process that starts on processor 0, with their times."""
    choice, processor, run_ns, wait_ns, moves = ProcessorChoice(turn, MoveHold()), 0, 0, 0, []
    idle_ns = dict.fromkeys(PROCESSORS, 0)
    for number in range(int(length_s / LOOK_INTERVAL_S) + 1):
        now_s = number * LOOK_INTERVAL_S
        threads = {1: Times(0, wait_ns), 2: Times(run_ns, 0)}  # the first one waits for all others
        move = choice.choose(ProcessorLook(now_s, processor, run_ns, threads, dict(idle_ns)))
        if move is not None:
            processor = move.processor
            moves.append((now_s, processor))
        for one in PROCESSORS:
            own_here = own if one == processor else 0.0
            used = min(1.0, others(now_s, one) + own_here)
            idle_ns[one] += int((1.0 - used) * LOOK_INTERVAL_S * NS_PER_S)
        wait_ns += int(min(1.0, others(now_s, processor) + own) * LOOK_INTERVAL_S * NS_PER_S)
        run_ns += int(own * LOOK_INTERVAL_S * NS_PER_S)
    return moves


def test_a_process_with_one_slice_in_a_fifth_of_a_second_leaves_within_a_second() -> None:
    """A gateway beside 150 busy processes had some time between any two looks, and stayed for ever."""
    assert play(lambda now_s, one: 0.985 if one == 0 else 0.05, own=0.015, length_s=60.0) == [(1.0, 1)]


@pytest.mark.parametrize("share", [0.2, 0.9])
def test_it_has_moved_a_second_after_neighbours_begin(share: float) -> None:
    (move,) = play(lambda now_s, one: share if one == 0 and now_s >= 5 else 0.0, 0.1, 60.0)
    assert 5 < move[0] <= 6


@pytest.mark.parametrize("own", [0.3, 0.6, 1.0])
def test_a_busy_process_stays_where_nobody_else_is(own: float) -> None:
    """Threads that wake up at once wait for each other: the time that they waited tells nothing."""
    assert play(lambda now_s, one: 0.0, own, length_s=60.0) == []


def test_processes_that_leave_one_processor_together_go_to_different_ones() -> None:
    def others(now_s: float, one: int) -> float:
        return 0.99 if one == 0 else 0.0

    assert [play(others, 0.01, 5.0, turn)[0][1] for turn in range(4)] == [1, 2, 3, 1]


def test_it_stays_where_no_processor_is_idle_for_most_of_the_time() -> None:
    assert play(lambda now_s, one: 0.9 if one == 0 else 0.6, own=0.1, length_s=60.0) == []


def test_a_burst_of_a_second_makes_it_move_once() -> None:
    assert len(play(lambda now_s, one: 0.99 if one == 0 and now_s < 1 else 0.0, 0.01, 60.0)) == 1


def test_a_neighbour_that_comes_and_goes_moves_it_no_more_often_than_the_hold_allows() -> None:
    """It takes up all processors but one by turns, two seconds each."""

    def others(now_s: float, one: int) -> float:
        return 0.0 if one == int(now_s / 2) % len(PROCESSORS) else 0.99

    times_s = [now_s for now_s, _ in play(others, 0.01, 600.0)]
    pauses_s = [after - before for before, after in itertools.pairwise(times_s)]
    hold_s = FIRST_HOLD_S
    for pause_s in pauses_s:
        assert pause_s >= hold_s
        hold_s = min(2 * hold_s, LONGEST_HOLD_S)
    assert 5 <= len(times_s) <= 16


def test_nothing_is_decided_where_the_system_does_not_tell_idle_times() -> None:
    choice = ProcessorChoice(0, MoveHold())
    looks = [ProcessorLook(now_s, 0, 0, {1: waited(now_s)}, {}) for now_s in (0.0, 1.0, 2.0)]
    assert [choice.choose(look) for look in looks] == [None] * 3


def test_a_move_by_something_else_begins_the_span_again() -> None:
    """The daemon may have moved the process: what was seen on the old processor does not count."""
    choice = ProcessorChoice(0, MoveHold())
    looks = [
        ProcessorLook(now_s, processor, 0, {1: waited(now_s)}, {0: 0, 1: 0, 2: int(now_s * NS_PER_S)})
        for now_s, processor in ((0.0, 0), (1.0, 1), (2.0, 1))
    ]
    assert [choice.choose(look) for look in looks] == [None, None, Move(2, 1.0)]


def test_idle_times_are_read_for_the_processors_asked_for() -> None:
    stat = b"cpu 9 9 9 9 9\ncpu0 1 0 1 100 20 0 0\ncpu1 1 0 1 300 0 0 0\ncpu10 1 0 1 7 0 0 0\nintr 5\n"
    ticks = {processor: round(ns * 100 / NS_PER_S) for processor, ns in parse_idle_ns(stat, {0, 10}).items()}
    assert ticks == {0: 120, 10: 7}
