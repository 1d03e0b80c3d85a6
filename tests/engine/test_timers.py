"""Timers are returned in the order of their due times."""

from __future__ import annotations

from saffronstack.engine.timers import Timers


def test_timers_keep_order() -> None:
    timers: Timers[str] = Timers()
    for due_s, name in ((2.0, "c"), (1.0, "a"), (1.0, "b")):
        timers.add(due_s, name)
    assert timers.next_due_s() == 1.0
    assert [timers.pop_due(1.5), timers.pop_due(1.5), timers.pop_due(1.5)] == ["a", "b", None]
    assert len(timers) == 1


def test_without_timers_none_is_due() -> None:
    timers: Timers[str] = Timers()
    assert timers.next_due_s() is None
    assert timers.pop_due(1e9) is None


def test_timers_at_the_head_that_are_not_pending_are_dropped() -> None:
    timers: Timers[str] = Timers()
    for due_s, name in ((1.0, "over"), (2.0, "pending"), (3.0, "over")):
        timers.add(due_s, name)
    assert timers.next_due_s(lambda name: name == "pending") == 2.0
    assert len(timers) == 2
