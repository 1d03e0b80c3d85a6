"""When the runs of a task start and when they are cancelled."""

from __future__ import annotations

from saffronstack.fleet.tasks.schedule import (
    CANCEL_TIMEOUT_S,
    CancelRun,
    ReleaseLease,
    StartRun,
    TaskSchedule,
    TaskState,
)


def test_a_run_starts_with_the_lease_each_period_and_after_a_backoff_when_one_failed() -> None:
    schedule = TaskSchedule(period_s=60.0, run_timeout_s=10.0)
    assert schedule.tick(5.0) == []
    assert schedule.lease_acquired(10.0, 3) == [StartRun(1, 3)]
    assert schedule.tick(15.0) == []
    assert schedule.run_ended(16.0, 1, True) == []
    assert schedule.tick(75.9) == []
    assert schedule.tick(76.0) == [StartRun(2, 3)]
    schedule.run_ended(77.0, 2, False)
    assert schedule.tick(77.9) == []
    assert schedule.tick(78.0) == [StartRun(3, 3)]
    schedule.run_ended(79.0, 3, False)
    assert schedule.tick(80.9) == []
    assert schedule.tick(81.0) == [StartRun(4, 3)]
    # The end of an earlier run changes nothing.
    assert schedule.run_ended(82.0, 3, True) == []
    assert schedule.state is TaskState.RUNNING


def test_a_run_past_its_time_limit_is_cancelled_and_its_lease_released_when_it_does_not_end() -> None:
    schedule = TaskSchedule(60.0, 10.0)
    schedule.lease_acquired(0.0, 3)
    (cancel,) = schedule.tick(10.0)
    assert isinstance(cancel, CancelRun)
    assert "exceeded its timeout of 10 s" in cancel.reason
    assert schedule.tick(10.0 + CANCEL_TIMEOUT_S - 0.1) == []
    assert schedule.tick(10.0 + CANCEL_TIMEOUT_S) == [ReleaseLease()]
    # No run starts while the cancelled run has not ended.
    assert schedule.lease_acquired(30.0, 9) == [ReleaseLease()]
    assert schedule.tick(31.0) == []
    schedule.run_ended(40.0, 1, True)
    assert schedule.lease_acquired(50.0, 11) == [StartRun(2, 11)]


def test_a_lost_lease_cancels_the_run_and_the_next_run_has_a_new_token() -> None:
    schedule = TaskSchedule(60.0, 10.0)
    schedule.lease_acquired(0.0, 3)
    assert schedule.lease_lost(1.0, "cut off") == [CancelRun(1, "cut off")]
    schedule.run_ended(1.5, 1, False)
    assert schedule.state is TaskState.STANDBY
    assert schedule.tick(500.0) == []
    assert schedule.lease_acquired(500.0, 8) == [StartRun(2, 8)]
