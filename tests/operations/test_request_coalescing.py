"""Tests of coalescing and caching of idempotent requests."""

from __future__ import annotations

from saffronstack.operations.request_coalescing import ENTRY_OVERHEAD_BYTES, CacheKey, CoalescingCache


def test_idempotent_requests_are_coalesced_and_cached_within_a_bound() -> None:
    cache: CoalescingCache[str] = CoalescingCache(20 * ENTRY_OVERHEAD_BYTES)
    key = CacheKey("t", "f", "$LATEST", "sdk:1")
    first, must_execute = cache.join_or_start(key, 5, "id-1", 0.0)
    assert must_execute
    joined, must_execute = cache.join_or_start(key, 5, "id-2", 0.1)
    assert (joined is first, must_execute, first.waiter_count) == (True, False, 1)
    other, must_execute = cache.join_or_start(key, 6, "id-3", 0.1)  # another payload does not join
    assert (other is first, must_execute, first.waiter_count) == (True, False, 1)
    cache.leave(first)
    cache.complete(first, None, 0, 0.0, 0.2)  # no response is cached: the next request executes
    assert first.done is not None
    assert first.done.is_set()
    second, must_execute = cache.join_or_start(key, 5, "id-4", 0.3)
    assert must_execute
    cache.complete(second, "answer", 10, 10.0, 0.4)
    assert cache.join_or_start(key, 5, "x", 9.9)[0].response == "answer"
    assert cache.join_or_start(key, 5, "x", 10.0)[1]  # the response has expired
    for n in range(100):
        entry, must_execute = cache.join_or_start(CacheKey("t", "f", "1", str(n)), 1, "id", 11.0)
        assert must_execute
        cache.complete(entry, "a", 100, 50.0, 11.0)
        assert cache.memory_bytes <= 20 * ENTRY_OVERHEAD_BYTES
    assert cache.evicted_early > 70
    assert cache.find(CacheKey("t", "f", "1", "99")) is not None
    assert cache.find(CacheKey("t", "f", "1", "3")) is None
