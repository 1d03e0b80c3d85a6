"""The table of exchanges in flight: which exchanges it accepts, and that each ends exactly once."""

from __future__ import annotations

import math
from typing import Any

import pytest

from saffronstack.routing.events import Result
from saffronstack.upstream.multiplexed.exchange import ExchangeContext, PendingExchange
from saffronstack.upstream.multiplexed.in_flight import MAX_ABANDONED_TAGS, Admission, InFlightTable


class FakeWorker:
    """A worker that accepts requests."""

    worker_id, name, succeeded, failed, is_closed = 7, "w-7", 0, 0, False


class FakeConnection:
    """The connection that exchanges are submitted to."""

    def claim(self, exchange: PendingExchange) -> bool:
        return True

    def unclaim(self, exchange: PendingExchange) -> None:
        pass

    def on_dropped(self, exchange: PendingExchange) -> None:
        pass

    def abandon(self, exchange: PendingExchange, result: Result, reason: str) -> None:
        pass


CONNECTION = FakeConnection()


def new_exchange(tag: str, now_s: float = 100.0) -> PendingExchange:
    def report(event: Any) -> None:
        raise AssertionError("the table must not report results")

    return PendingExchange(b"line", tag, FakeWorker(), now_s + 3.0, ExchangeContext(report, lambda: now_s))


@pytest.fixture
def table() -> InFlightTable:
    """Returns a connected table for two exchanges."""
    table = InFlightTable(2)
    assert table.on_connected() == []
    return table


def test_an_exchange_waits_for_the_connection() -> None:
    table, first = InFlightTable(2), new_exchange("a")
    assert table.add(first, CONNECTION) is Admission.QUEUED
    assert first.connection is CONNECTION
    assert table.on_connected() == [first]
    assert table.add(new_exchange("b"), CONNECTION) is Admission.SEND_NOW


def test_a_table_that_was_closed_while_it_connected_returns_no_queued_exchange() -> None:
    table = InFlightTable(2)
    table.add(new_exchange("a"), CONNECTION)
    table.is_closed = True
    assert table.on_connected() == []
    assert len(table) == 1


def test_a_full_table_and_a_tag_in_use_are_rejected(table: InFlightTable) -> None:
    rejected = new_exchange("a")
    assert table.add(new_exchange("a"), CONNECTION) is Admission.SEND_NOW
    assert table.add(rejected, CONNECTION) is Admission.REJECTED
    assert rejected.connection is None
    assert table.add(new_exchange("b"), CONNECTION) is Admission.SEND_NOW
    assert not table.can_accept("c")


def test_each_exchange_is_removed_once(table: InFlightTable) -> None:
    first, second = new_exchange("a"), new_exchange("b")
    table.add(first, CONNECTION)
    table.add(second, CONNECTION)
    assert table.remove(first)
    assert not table.remove(first)
    assert table.pop_answered("b") is second
    assert table.pop_answered("b") is None
    assert first.is_finished
    assert second.is_finished
    assert not len(table)


def test_nothing_is_claimed_once_it_has_ended(table: InFlightTable) -> None:
    first = new_exchange("a")
    table.add(first, CONNECTION)
    assert table.claim(first)
    assert first.is_started
    table.unclaim(first)
    assert not first.is_started
    assert table.close() == [first]
    assert not table.claim(first)
    assert not first.is_started
    assert not table.can_accept("b")


def test_the_tag_of_an_abandoned_request_is_free_once_its_response_has_come(table: InFlightTable) -> None:
    first = new_exchange("a")
    table.add(first, CONNECTION)
    table.claim(first)
    assert table.remove(first, abandon=True)
    assert not table.can_accept("a")
    assert table.pop_answered("a") is None
    assert table.can_accept("a")


def test_the_tag_of_a_request_that_was_never_sent_is_free_at_once(table: InFlightTable) -> None:
    first = new_exchange("a")
    table.add(first, CONNECTION)
    assert table.remove(first, abandon=True)
    assert table.can_accept("a")


def test_a_table_is_drained_once_it_accepts_nothing_and_nothing_is_in_flight(table: InFlightTable) -> None:
    assert not table.is_drained()
    for number in range(MAX_ABANDONED_TAGS):
        abandoned = new_exchange(f"{number}")
        table.add(abandoned, CONNECTION)
        table.claim(abandoned)
        table.remove(abandoned, abandon=True)
    assert table.is_drained()
    assert not table.can_accept("new")
    draining = InFlightTable(2)
    last = new_exchange("a")
    draining.add(last, CONNECTION)
    draining.is_draining = True
    assert not draining.is_drained()
    draining.remove(last)
    assert draining.is_drained()


def test_close_if_idle_closes_only_a_table_without_exchanges(table: InFlightTable) -> None:
    first = new_exchange("a")
    table.add(first, CONNECTION)
    assert not table.close_if_idle()
    assert not table.is_closed
    table.remove(first)
    assert table.close_if_idle()
    assert table.is_closed


def test_the_oldest_exchange_is_the_one_submitted_first(table: InFlightTable) -> None:
    assert table.oldest_submitted_s == math.inf
    table.add(new_exchange("a", now_s=100.0), CONNECTION)
    table.add(new_exchange("b", now_s=101.0), CONNECTION)
    assert table.oldest_submitted_s == 100.0
