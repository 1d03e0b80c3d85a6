"""Numbers for names: every gateway gives a function or a worker the same one, so that ranks agree."""

from __future__ import annotations

import xxhash

LATEST = "$LATEST"  # the version of a function that is called where none is named
FUNCTION_BITS = 40  # the module's functions are numbers below 2^40


def function_number(name: str) -> int:
    """The number of a function's name, the same on every gateway and after every restart."""
    return xxhash.xxh64_intdigest(name.encode()) & ((1 << FUNCTION_BITS) - 1)


def worker_number(name: str) -> int:
    """The number of a worker's id, below 2^32."""
    return xxhash.xxh32_intdigest(name.encode())
