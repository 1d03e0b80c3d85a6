"""When a process that was let on all processors keeps to one again, in time that is passed in."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from saffronstack.daemon.processor_choice import LONGEST_HOLD_S, LOOK_INTERVAL_S, NS_PER_S, MoveHold
from saffronstack.daemon.processor_settling import (
    SETTLE_S,
    IdleLook,
    ProcessorSettling,
    choose_first_processor,
)

PROCESSORS = (0, 1, 2)

Shares = Callable[[float, int], float]  # which part of a processor is used at a time


class Settling:
    """A process that is let on all processors again ``released_after_s`` after it has settled."""

    def __init__(self, turn: int = 0, released_after_s: float = 1.0) -> None:
        self.rule = ProcessorSettling(turn, MoveHold())
        self.released_after_s = released_after_s

    def play(self, used: Shares, length_s: float) -> list[tuple[float, int]]:
        """When it settled, and on which processor."""
        idle_ns = dict.fromkeys(PROCESSORS, 0)
        settled: list[tuple[float, int]] = []
        for number in range(int(length_s / LOOK_INTERVAL_S) + 1):
            now_s = number * LOOK_INTERVAL_S
            if not settled or now_s >= settled[-1][0] + self.released_after_s:
                processor = self.rule.choose(IdleLook(now_s, dict(idle_ns)))
                if processor is not None:
                    settled.append((now_s, processor))
            for one in PROCESSORS:
                idle_ns[one] += int((1.0 - used(now_s, one)) * LOOK_INTERVAL_S * NS_PER_S)
        return settled


def test_it_settles_once_a_processor_was_idle_for_long_after_an_overload() -> None:
    """An overload of three seconds used to cost a gateway two thirds of its calls until it was restarted."""
    (settled,) = Settling(released_after_s=1000.0).play(lambda now_s, one: 1.0 if now_s < 3 else 0.1, 60.0)
    assert settled == (3 + SETTLE_S, 0)


def test_it_stays_on_all_where_each_processor_is_in_use_now_and_then() -> None:
    def used(now_s: float, one: int) -> float:
        return 0.9 if int(now_s) % 9 == one else 0.0

    assert Settling().play(used, 300.0) == []


def test_processes_that_settle_together_go_to_different_processors() -> None:
    def used(now_s: float, one: int) -> float:
        return 0.9 if one == 1 else 0.0

    assert [Settling(turn).play(used, SETTLE_S)[0][1] for turn in range(3)] == [0, 2, 0]


def test_one_that_is_released_again_and_again_settles_less_and_less_often() -> None:
    times_s = [now_s for now_s, _ in Settling().play(lambda now_s, one: 0.0, 600.0)]
    pauses_s = [after - before for before, after in itertools.pairwise(times_s)]
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] >= LONGEST_HOLD_S
    assert len(times_s) <= 16


def test_what_was_seen_before_it_kept_to_one_does_not_count() -> None:
    rule = ProcessorSettling(0, MoveHold())
    looks = [
        IdleLook(at_s, {0: int(at_s * NS_PER_S)}) for at_s in (0.0, SETTLE_S - 1, SETTLE_S, SETTLE_S + 1)
    ]
    assert [rule.choose(look) for look in looks[:2]] == [None, None]
    rule.restart()
    assert [rule.choose(look) for look in looks[2:]] == [None, None]


def test_it_stays_on_all_where_the_system_does_not_tell_idle_times() -> None:
    rule = ProcessorSettling(0, MoveHold())
    assert [rule.choose(IdleLook(at_s, {})) for at_s in (0.0, SETTLE_S, 2 * SETTLE_S)] == [None] * 3


def first_processor(idle_shares: dict[int, float], turn: int = 0) -> int:
    after = {one: int(share * NS_PER_S) for one, share in idle_shares.items()}
    return choose_first_processor(
        PROCESSORS, turn, IdleLook(0.0, dict.fromkeys(after, 0)), IdleLook(1.0, after)
    )


def test_a_process_that_starts_keeps_to_no_processor_that_is_taken_up() -> None:
    """The successor of a gateway used to, by its process id, and served nobody until it had left."""
    assert [first_processor({0: 0.0, 1: 0.9, 2: 0.1}, turn) for turn in range(6)] == [1] * 6


def test_processes_that_start_together_keep_to_different_processors() -> None:
    assert [first_processor({0: 0.6, 1: 0.9, 2: 0.7}, turn) for turn in range(4)] == [0, 1, 2, 0]


def test_where_none_is_idle_or_nothing_is_told_all_are_taken_in_turn() -> None:
    assert [first_processor(dict.fromkeys(PROCESSORS, 0.0), turn) for turn in range(4)] == [0, 1, 2, 0]
    assert [first_processor({}, turn) for turn in range(4)] == [0, 1, 2, 0]
