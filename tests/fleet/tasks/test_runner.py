"""The runner of one task, on a lease store that the test controls."""

from __future__ import annotations

from saffronstack.fleet.tasks.runner import TaskRunner
from tests.fleet.tasks.fakes import BlockingTask, FakeLeaseStore
from tests.support.stack import eventually


def test_a_run_is_cancelled_when_the_lease_is_lost_and_the_lease_is_released_at_the_end() -> None:
    store, task = FakeLeaseStore(), BlockingTask()
    runner = TaskRunner("t", task, 60.0, 60.0, store)
    runner.start()
    eventually(lambda: task.tokens == [1])
    store.granted[0].is_held = False
    report_lost = store.lost_callbacks[0]
    assert report_lost is not None
    report_lost("cut off")
    assert task.ended.wait(10.0)
    eventually(lambda: task.tokens == [1, 2])
    assert runner.stop()
    assert not store.granted[-1].is_held
