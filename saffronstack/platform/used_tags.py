"""Tracks the tags that the requests of a client connection have used, in bounded memory. No I/O.

Tags are stored in blocks of `BLOCK_TAGS` consecutive numbers. A block of which all tags are used is merged
with its neighbours into a range, so a connection whose tags leave no gaps needs a few entries, wherever it
starts and whether its tags rise or fall. An entry is either a partly used block or a range of full blocks.

Owned by the frontend's thread.
"""

from __future__ import annotations

import enum
from bisect import bisect_right

BLOCK_TAGS = 256
FULL_BLOCK = (1 << BLOCK_TAGS) - 1
TAG_LIMIT = 1 << 128  # larger tags are not stored; it bounds the size of an entry
ENTRY_BYTES = 256  # upper bound of the memory of an entry
RESERVED_ENTRIES = 8  # of each connection; a connection whose tags leave no gaps needs no more


class TagUse(enum.Enum):
    """What `UsedTags.use` found."""

    RECORDED = enum.auto()  # the tag is new and is used from now on
    USED_BEFORE = enum.auto()
    NO_SPACE = enum.auto()  # the tag is new, but was not recorded because the memory is used up


class TagMemory:
    """Limits the entries of all connections together, apart from those reserved for each."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self.entries = 0  # acquired by all connections

    def try_acquire(self) -> bool:
        """Acquire an entry; return False if none is left."""
        if self.entries >= self._max_entries:
            return False
        self.entries += 1
        return True

    def release(self, count: int) -> None:
        """Release acquired entries."""
        self.entries -= count


class BlockRanges:
    """A set of block numbers, stored as disjoint ranges that do not touch each other."""

    def __init__(self) -> None:
        self._starts: list[int] = []
        self._ends: list[int] = []  # first number after each range

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._starts)

    def __contains__(self, number: int) -> bool:
        index = bisect_right(self._starts, number)
        return index > 0 and number < self._ends[index - 1]

    def add(self, number: int) -> None:
        """Add a number that is not in the set."""
        index = bisect_right(self._starts, number)
        joins_previous = index > 0 and self._ends[index - 1] == number
        joins_next = index < len(self._starts) and self._starts[index] == number + 1
        if joins_previous and joins_next:
            self._ends[index - 1] = self._ends.pop(index)
            del self._starts[index]
        elif joins_previous:
            self._ends[index - 1] = number + 1
        elif joins_next:
            self._starts[index] = number
        else:
            self._starts.insert(index, number)
            self._ends.insert(index, number + 1)


class UsedTags:
    """The tags that one connection has used. They may start anywhere, leave gaps, and rise or fall."""

    def __init__(self, memory: TagMemory) -> None:
        self._memory = memory
        self._acquired_entries = 0
        self._partial_blocks: dict[int, int] = {}  # block number to a bit for each used tag
        self._full_blocks = BlockRanges()

    @property
    def entries(self) -> int:
        """Number of entries in memory."""
        return len(self._partial_blocks) + len(self._full_blocks)

    def use(self, tag: int) -> TagUse:
        """Record a tag, unless it was used before or there is no space for it."""
        if tag >= TAG_LIMIT:
            return TagUse.NO_SPACE
        block, offset = divmod(tag, BLOCK_TAGS)
        used = self._partial_blocks.get(block, 0)
        if used >> offset & 1 or block in self._full_blocks:
            return TagUse.USED_BEFORE
        if not used and not self._acquire_entry():
            return TagUse.NO_SPACE
        used |= 1 << offset
        self._partial_blocks[block] = used
        if used == FULL_BLOCK:
            del self._partial_blocks[block]
            self._full_blocks.add(block)
            self._release_surplus()
        return TagUse.RECORDED

    def clear(self) -> None:
        """Forget all tags and release their memory: the connection has ended."""
        self._partial_blocks = {}
        self._full_blocks = BlockRanges()
        self._release_surplus()

    def _acquire_entry(self) -> bool:
        if self.entries < RESERVED_ENTRIES + self._acquired_entries:
            return True
        if not self._memory.try_acquire():
            return False
        self._acquired_entries += 1
        return True

    def _release_surplus(self) -> None:
        surplus = self._acquired_entries - max(0, self.entries - RESERVED_ENTRIES)
        self._memory.release(surplus)
        self._acquired_entries -= surplus
