"""Assignment of operations to processes by rendezvous hashing over slots. No I/O.

Every member computes the same assignment from the same list of live members. While the lists of two members
differ, both may consider themselves assigned to a slot. Then the holder of the slot's lock (`slot_locks`)
executes, and the other member waits or forwards requests to it.
"""

from __future__ import annotations

from collections.abc import Collection

import xxhash

SLOT_COUNT = 64  # part of the stored format: an operation's slot never changes


def slot_for(digest: bytes) -> int:
    """Return the slot of an operation."""
    return digest[0] % SLOT_COUNT


def assigned_member(slot: int, members: Collection[str]) -> str | None:
    """Return the live member that should hold a slot; None if no member is live.

    When a member joins or leaves, only the slots that it gains or held are reassigned.
    """
    return max(
        members,
        key=lambda member: (xxhash.xxh64_intdigest(f"{slot}:{member}".encode()), member),
        default=None,
    )
