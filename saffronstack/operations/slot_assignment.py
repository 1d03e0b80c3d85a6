"""Who runs an operation among the processes, or gateways, that live: rendezvous hashing over slots. No I/O.

Every member works out the same owner from the same list. Where lists differ for a while, two may each think
themselves the owner; which of them is, the slot's lock says (`slots.py`), and the other waits or passes on.
"""

from __future__ import annotations

from collections.abc import Collection

import xxhash

SLOTS = 64  # an operation's slot never changes; as many locks as this, spread over the members


def slot_of(digest: bytes) -> int:
    """An operation's slot."""
    return digest[0] % SLOTS


def owner(slot: int, live: Collection[str]) -> str | None:
    """The member that should hold a slot, None where nobody lives. One that joins or leaves moves only the
    slots that become or were its own."""
    return max(
        live, key=lambda member: (xxhash.xxh64_intdigest(f"{slot}:{member}".encode()), member), default=None
    )
