"""Numbers of functions and workers, derived from their names alone.

Every gateway derives the same number, so that all gateways rank the same workers for a function.
"""

from __future__ import annotations

import xxhash

LATEST = "$LATEST"  # version of a function that is called if the client names none
FUNCTION_NUMBER_BITS = 40


def function_number(name: str) -> int:
    """Return the number of a function, below 2^40."""
    return xxhash.xxh64_intdigest(name.encode()) & ((1 << FUNCTION_NUMBER_BITS) - 1)


def worker_number(name: str) -> int:
    """Return the number of a worker, below 2^32."""
    return xxhash.xxh32_intdigest(name.encode())
