"""Serial numbers of DNS zones, which wrap around (RFC 1982)."""

from __future__ import annotations

SERIAL_NUMBER_COUNT = 1 << 32
_HALF_RANGE = SERIAL_NUMBER_COUNT // 2  # a later serial number is ahead by less than half of the circle


def is_newer(serial: int, other: int) -> bool:
    """Return whether a serial number comes after another one."""
    return serial != other and (serial - other) % SERIAL_NUMBER_COUNT < _HALF_RANGE
