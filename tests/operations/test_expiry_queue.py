"""Tests that operations expire in the order in which their deduplication windows end."""

from __future__ import annotations

from saffronstack.operations.expiry_queue import ExpiryQueue


def queue_of_two_windows() -> ExpiryQueue:
    queue = ExpiryQueue()
    queue.add(10.0, 11.0, b"a")
    queue.add(10.0, 13.0, b"c")
    queue.add(5.0, 12.0, b"b")
    return queue


def test_expiries_are_ordered_over_all_windows() -> None:
    assert [digest for _, digest in queue_of_two_windows()] == [b"a", b"b", b"c"]


def test_only_what_has_expired_is_removed() -> None:
    queue = queue_of_two_windows()
    assert {digest for _, digest in queue.pop_expired(12.0)} == {b"a", b"b"}
    assert list(queue) == [(13.0, b"c")]


def test_the_earliest_is_removed_first() -> None:
    queue = queue_of_two_windows()
    assert [queue.pop_earliest() for _ in range(4)] == [(11.0, b"a"), (12.0, b"b"), (13.0, b"c"), None]
    assert len(queue) == 0
