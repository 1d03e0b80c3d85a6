"""Tests of the comparison of serial numbers that wrap around."""

from __future__ import annotations

from saffronstack.discovery.dns.serial_numbers import is_newer


def test_serial_numbers_wrap_around() -> None:
    assert is_newer(1, 2**32 - 1)
    assert not is_newer(2**32 - 1, 1)
    assert not is_newer(5, 5)
