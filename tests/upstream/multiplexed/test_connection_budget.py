"""The limit on connections to all workers together."""

from __future__ import annotations

from saffronstack.upstream.multiplexed.connection_budget import ConnectionBudget


def test_a_spent_budget_gives_no_connection_until_one_is_released() -> None:
    budget = ConnectionBudget(1)
    assert budget.try_acquire()
    assert not budget.try_acquire()
    assert budget.in_use == 1
    budget.release()
    assert budget.try_acquire()


def test_a_connection_over_the_limit_is_counted() -> None:
    budget = ConnectionBudget(1)
    assert budget.try_acquire()
    budget.acquire_over_limit()
    assert budget.in_use == 2
    budget.release()
    assert not budget.try_acquire()
