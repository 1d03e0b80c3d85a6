"""Detection of stalled disks."""

from __future__ import annotations

import pytest

from saffronstack.durable.disk_health import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    STALL_THRESHOLD_S,
    DiskHealth,
)


def test_a_stall_is_counted_from_the_start_of_its_operation() -> None:
    health = DiskHealth()
    assert health.stalled_s(100.0) == 0.0
    health.start_operation(100.0)
    assert health.stalled_s(100.0 + STALL_THRESHOLD_S) == 0.0
    assert health.stalled_s(100.0 + STALL_THRESHOLD_S + 0.5) == STALL_THRESHOLD_S + 0.5
    health.end_operation(104.0)
    assert health.stalled_s(200.0) == 0.0
    assert health.stall_count == 1
    assert health.longest_stall_s == 4.0
    health.start_operation(200.0)
    health.end_operation(200.2)
    assert health.stall_count == 1


@pytest.mark.parametrize(
    ("elapsed_s", "expected_s"), [(0.1, MIN_RETRY_AFTER_S), (4.0, 4.0), (500.0, MAX_RETRY_AFTER_S)]
)
def test_the_retry_time_grows_with_the_stall_within_bounds(elapsed_s: float, expected_s: float) -> None:
    health = DiskHealth()
    health.start_operation(0.0)
    assert health.retry_after_s(elapsed_s) == expected_s
