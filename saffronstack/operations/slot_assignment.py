"""Assignment of operations to processes by rendezvous hashing over slots. No I/O.

Every member computes the same assignment from the same list of live members. Where lists differ for a while,
two may each be assigned a slot; the slot's lock (`slot_locks`) decides, and the other one waits or forwards.
"""

from __future__ import annotations

from collections.abc import Collection

import xxhash

SLOT_COUNT = 64  # part of the stored format: an operation's slot never changes


def slot_for(digest: bytes) -> int:
    """Return the slot of an operation."""
    return digest[0] % SLOT_COUNT


def assigned_member(slot: int, members: Collection[str]) -> str | None:
    """Return the live member that should hold a slot; None where there is none.

    A member that joins or leaves moves only the slots that become or were its own.
    """
    return max(
        members,
        key=lambda member: (xxhash.xxh64_intdigest(f"{slot}:{member}".encode()), member),
        default=None,
    )
