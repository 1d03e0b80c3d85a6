"""When the monitor finds a process that sends no heartbeats."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.daemon.heartbeat_monitor import (
    MAX_CHECK_GAP_S,
    STOPPED_TIMEOUT_S,
    STUCK_FACTOR,
    HeartbeatMonitor,
)

CHECK_INTERVAL_S = 0.05  # the supervisor's interval


@dataclass(frozen=True)
class Detection:
    """A process that the monitor found unresponsive, and when."""

    index: int
    at_s: float


def check_until(
    monitor: HeartbeatMonitor, since_s: float, until_s: float, stopped: set[int]
) -> list[Detection]:
    """Check at the supervisor's interval; return the first detections."""
    now_s = since_s
    while now_s < until_s:
        unresponsive = monitor.check(now_s, lambda index: index in stopped)
        if unresponsive:
            return [Detection(process.index, now_s) for process in unresponsive]
        now_s += CHECK_INTERVAL_S
    return []


def test_a_stopped_process_is_replaced_soon() -> None:
    monitor = HeartbeatMonitor(3)
    for index in range(3):
        monitor.heartbeat_received(index, 0.0)
    assert check_until(monitor, 0.0, STOPPED_TIMEOUT_S, {1}) == []
    found = check_until(monitor, STOPPED_TIMEOUT_S, 5.0, {1})
    assert [detection.index for detection in found] == [1]
    assert found[0].at_s < STOPPED_TIMEOUT_S + 0.2


def test_a_slow_process_is_replaced_late() -> None:
    monitor = HeartbeatMonitor(1)
    monitor.heartbeat_received(0, 0.0)
    assert check_until(monitor, 0.0, STOPPED_TIMEOUT_S * STUCK_FACTOR, set()) == []
    assert check_until(monitor, STOPPED_TIMEOUT_S * STUCK_FACTOR, 30.0, set())


def test_a_process_is_not_replaced_before_its_first_heartbeat() -> None:
    monitor = HeartbeatMonitor(1)
    assert check_until(monitor, 0.0, 60.0, {0}) == []
    monitor.heartbeat_received(0, 60.0)
    monitor.process_started(0)
    assert check_until(monitor, 60.0, 120.0, {0}) == []


def test_no_process_is_replaced_if_the_timeout_is_zero() -> None:
    monitor = HeartbeatMonitor(1, 0.0)
    monitor.heartbeat_received(0, 0.0)
    assert check_until(monitor, 0.0, 60.0, {0}) == []


def test_no_process_is_replaced_because_the_whole_machine_was_paused() -> None:
    monitor = HeartbeatMonitor(2)
    for index in range(2):
        monitor.heartbeat_received(index, 0.0)
    assert check_until(monitor, 0.0, 0.5, set()) == []
    assert monitor.check(60.0, lambda index: True) == []  # the monitor was paused as well
    # The full timeout starts again for each process.
    assert check_until(monitor, 60.05, 60.0 + STOPPED_TIMEOUT_S, {0, 1}) == []
    monitor.heartbeat_received(0, 60.9)
    found = check_until(monitor, 60.0 + STOPPED_TIMEOUT_S, 63.0, {0, 1})
    assert [detection.index for detection in found] == [1]
    assert MAX_CHECK_GAP_S < STOPPED_TIMEOUT_S
