"""Compares serial numbers of DNS zones, which wrap around (RFC 1982)."""

from __future__ import annotations

SERIAL_NUMBER_COUNT = 1 << 32
_HALF_RANGE = SERIAL_NUMBER_COUNT // 2  # a newer serial number is ahead by less than half of the range


def is_newer(serial: int, other: int) -> bool:
    """Return whether a serial number is newer than another one."""
    return serial != other and (serial - other) % SERIAL_NUMBER_COUNT < _HALF_RANGE
