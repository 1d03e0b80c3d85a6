"""Workers and functions that are no longer used leave no state."""

from __future__ import annotations

from saffronstack.routing.events import CacheStatus, Result
from tests.support.routing import (
    REMOVED,
    Gateway,
    attempts_sent,
    endpoint,
    incremental,
    make_router,
    router_tables,
)


def test_workers_and_functions_that_are_gone_leave_no_state() -> None:
    subject = make_router(0)
    gateway = Gateway(subject)

    def known() -> int:
        tables = [*router_tables(subject), subject.components.memory.expiries]
        return sum(len(table) for table in tables)

    now, most = 100.0, 0
    for worker in range(1, 3000):
        now += 1.0
        subject.handle(now, incremental(endpoint(worker), endpoint(worker - 1, REMOVED)))
        number, actions = gateway.request(now, function_id=worker)
        assert [send.worker_id for send in attempts_sent(actions)] == [worker]
        if worker % 3:
            gateway.finish(now + 0.1, number)
        else:  # in flight while the worker leaves: its outcome finds the worker gone
            subject.handle(now + 0.2, incremental(endpoint(worker, REMOVED)))
            gateway.finish(now + 0.3, number, Result.RESET, CacheStatus.UNKNOWN)
        most = max(most, known())
        if worker == 200:
            early = most
    assert most <= early + 10
