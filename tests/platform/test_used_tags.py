"""Which tags of a connection count as used, and how much memory they take; no I/O."""

from __future__ import annotations

import random
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronstack.platform.used_tags import (
    BLOCK_TAGS,
    ENTRY_BYTES,
    RESERVED_ENTRIES,
    TAG_LIMIT,
    TagMemory,
    TagUse,
    UsedTags,
)

COUNT = 100_000


def record_all(tags: UsedTags, numbers: list[int]) -> None:
    """Record tags, each of which has to be new and to find space."""
    assert {tags.use(number) for number in numbers} == {TagUse.RECORDED}


@pytest.mark.parametrize(
    "numbers",
    [
        range(1, COUNT),
        range(1025, COUNT),
        range(2**63, 2**63 + COUNT),
        range(10**15 + COUNT, 10**15, -1),
        [number ^ 31 for number in range(5000, 5000 + COUNT - COUNT % 32)],  # out of order by up to 31
    ],
    ids=["from 1", "from 1025", "from 2**63", "falling", "out of order"],
)
def test_tags_without_gaps_need_no_more_than_the_reserved_entries(numbers: list[int]) -> None:
    """Guards against lost requests: tags that did not begin with 1 were refused from the 1,025th on."""
    tags = UsedTags(TagMemory(0))
    for number in numbers:
        assert tags.use(number) is TagUse.RECORDED
        assert tags.entries <= RESERVED_ENTRIES
    assert {tags.use(number) for number in random.Random(1).sample(list(numbers), 1000)} == {
        TagUse.USED_BEFORE
    }


def test_tags_with_gaps_share_entries() -> None:
    tags = UsedTags(TagMemory(COUNT))
    record_all(tags, list(range(7, 4 * COUNT, 4)))  # a counter that four connections share
    assert tags.entries <= 4 * COUNT / BLOCK_TAGS + 1
    assert tags.use(11) is TagUse.USED_BEFORE
    assert tags.use(12) is TagUse.RECORDED


@given(
    st.lists(st.integers(1, 6 * BLOCK_TAGS) | st.integers(1, 2 * TAG_LIMIT), max_size=300), st.integers(0, 20)
)
def test_no_tag_is_recorded_twice_and_none_is_refused_while_there_is_space(
    numbers: list[int], max_entries: int
) -> None:
    memory = TagMemory(max_entries)
    tags, recorded = UsedTags(memory), set[int]()
    for number in numbers:
        has_space = memory.entries < max_entries or tags.entries < RESERVED_ENTRIES
        found = tags.use(number)
        if number in recorded:
            assert found is TagUse.USED_BEFORE
        elif number < TAG_LIMIT and has_space:
            assert found is TagUse.RECORDED
        if found is TagUse.RECORDED:
            assert number not in recorded
            recorded.add(number)
        assert tags.entries <= RESERVED_ENTRIES + max_entries
        assert memory.entries == max(0, tags.entries - RESERVED_ENTRIES)
    tags.clear()
    assert memory.entries == 0


def test_blocks_that_fill_up_in_any_order_are_merged_and_give_their_entries_back() -> None:
    memory = TagMemory(1_000)
    tags, numbers = UsedTags(memory), list(range(BLOCK_TAGS, 201 * BLOCK_TAGS))
    random.Random(2).shuffle(numbers)
    record_all(tags, numbers)
    assert tags.entries == 1
    assert memory.entries == 0
    assert {tags.use(number) for number in numbers} == {TagUse.USED_BEFORE}


def test_the_bound_holds_for_all_connections_together_and_leaves_each_its_reserve() -> None:
    memory = TagMemory(100)
    greedy, other = UsedTags(memory), UsedTags(memory)
    scattered = [number * 10**6 for number in range(1, 200)]
    results = [greedy.use(number) for number in scattered]
    assert results.count(TagUse.RECORDED) == 100 + RESERVED_ENTRIES
    assert results[-1] is TagUse.NO_SPACE
    record_all(other, list(range(1, 5000)))
    assert other.use(10**6) is TagUse.RECORDED
    greedy.clear()
    record_all(other, scattered[1:100])


def test_a_tag_without_space_is_not_recorded_and_a_used_one_is_still_known() -> None:
    tags = UsedTags(TagMemory(0))
    record_all(tags, [number * 1000 for number in range(1, RESERVED_ENTRIES + 1)])
    assert [tags.use(10**6), tags.use(10**6), tags.use(TAG_LIMIT)] == [TagUse.NO_SPACE] * 3
    assert tags.use(1000) is TagUse.USED_BEFORE


def test_an_entry_takes_at_most_its_stated_memory() -> None:
    rng = random.Random(3)
    memory = TagMemory(20_000)
    tags = UsedTags(memory)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        while tags.use(rng.randrange(TAG_LIMIT)) is TagUse.RECORDED:
            pass
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after - before <= tags.entries * ENTRY_BYTES
