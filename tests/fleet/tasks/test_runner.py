"""The runner of one task, with a fake lease store or real lease servers."""

from __future__ import annotations

import pathlib
import time

from saffronstack.fleet.tasks.runner import ACQUIRE_TIMEOUT_S, TaskRunner
from tests.fleet.tasks.fakes import BlockingTask, FakeLeaseStore
from tests.support.lease_servers import lease_servers
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


def test_runners_that_wait_for_leases_of_others_stop_immediately(tmp_path: pathlib.Path) -> None:
    """Guards against a slow restart: a gateway's successor starts only after its runners have stopped."""
    with lease_servers(tmp_path, lease_s=30.0) as fleet:
        holder, waiter = fleet.client("p1"), fleet.client("p2")
        assert all(holder.acquire(f"task/{name}", 10.0) for name in ("a", "b"))
        runners = [TaskRunner(name, BlockingTask(), 60.0, 60.0, waiter) for name in ("a", "b")]
        for runner in runners:
            runner.start()
        eventually(lambda: waiter.holder_of("task/a") and waiter.holder_of("task/b"))
        began_s = time.monotonic()
        for runner in runners:
            runner.request_stop()
        waiter.cancel_acquires()
        assert all(runner.stop() for runner in runners)
        assert time.monotonic() - began_s < ACQUIRE_TIMEOUT_S / 2
        waiter.close()
        holder.close()
