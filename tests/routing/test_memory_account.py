"""Tests of the account of worker memory that this gateway's attempts use."""

from __future__ import annotations

import math

from saffronstack.routing.memory_account import MemoryAccount
from saffronstack.routing.state import Worker
from tests.helpers import settings
from tests.support.routing import Gateway, make_router
from tests.support.routing_state import make_fleet, make_request, make_worker


def test_placed_memory_returns_after_the_keep_alive() -> None:
    gateway = Gateway(make_router(1))
    number, _ = gateway.request(100.0)
    worker = gateway.router.workers[1]
    assert worker.placed_mb == 500.0
    gateway.finish(100.1, number)
    gateway.request(111.0, function_id=2, memory_mb=300.0)
    assert worker.placed_mb == 300.0


def make_account(*workers: Worker) -> MemoryAccount:
    """Return a memory account over workers with a keep-alive of ten seconds."""
    return MemoryAccount(settings(memory_mb_by_worker_kind=(8000.0, 0.0)), make_fleet(*workers), 10.0)


def test_an_attempt_needs_an_instance_only_where_all_slots_are_in_use() -> None:
    worker = make_worker()
    account, request = make_account(worker), make_request(concurrency=2.0)
    placed = []
    for _ in range(3):
        account.begin_attempt(worker, request)
        placed.append(worker.placed_mb)
    assert placed == [500.0, 500.0, 1000.0]


def test_instances_in_use_do_not_expire() -> None:
    worker = make_worker()
    account = make_account(worker)
    account.begin_attempt(worker, make_request())
    account.schedule_expiry(100.0, 1, 1)
    account.expire(200.0)
    assert worker.placed_mb == 500.0
    assert account.knows_instance(worker, 1)


def test_instances_that_nothing_used_expire_after_the_keep_alive() -> None:
    worker = make_worker()
    account, request = make_account(worker), make_request()
    account.begin_attempt(worker, request)
    account.instances_at(worker, request).attempts_in_flight = 0
    account.schedule_expiry(100.0, 1, 1)
    account.expire(110.0)
    assert account.knows_instance(worker, 1)
    account.expire(110.1)
    assert worker.placed_mb == 0.0
    assert not account.knows_instance(worker, 1)


def test_a_restart_returns_the_memory_and_keeps_attempts_in_flight() -> None:
    worker, other = make_worker(1), make_worker(2)
    account, request = make_account(worker, other), make_request()
    account.begin_attempt(worker, request)
    account.begin_attempt(other, request)
    account.drop_instances(worker)
    assert (worker.placed_mb, other.placed_mb) == (0.0, 500.0)
    assert account.instances_at(worker, request).attempts_in_flight == 1


def test_the_memory_of_a_worker_follows_its_kind() -> None:
    account = make_account()
    workers = [make_worker(kind=kind) for kind in (0, 1, 2)]
    assert [account.memory_mb(worker) for worker in workers] == [8000.0, 1.0, math.inf]
