"""Acceptance of deferred calls."""

from __future__ import annotations

import time

import pytest

from saffronstack.config.schema import Config
from saffronstack.deferred.call_acceptor import LEDGER_FULL_RETRY_AFTER_S, CallAcceptor, Submission
from saffronstack.deferred.errors import FAILED_COMMIT_RETRY_AFTER_S, CommitError, LedgerFullError
from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.steady_clock import SteadyClock
from tests.deferred.conftest import FaultyDisk
from tests.support.stack import eventually


@pytest.fixture
def acceptor(config: Config, ledger: Ledger) -> CallAcceptor:
    assert config.ledger is not None
    return CallAcceptor(ledger, config.ledger, SteadyClock(time.monotonic, time.time))


def submission(request_id: str) -> Submission:
    return Submission(request_id, "record-sale", "corner-books", b"{}")


def test_an_accepted_call_is_durable(acceptor: CallAcceptor, ledger: Ledger) -> None:
    accepted = acceptor.accept(submission("id-1"))
    assert ledger.state.open["id-1"].accepted is accepted


def test_no_more_calls_are_accepted_than_may_be_open(acceptor: CallAcceptor) -> None:
    for number in range(3):
        acceptor.accept(submission(f"id-{number}"))
    with pytest.raises(LedgerFullError, match="3 deferred calls are open") as raised:
        acceptor.accept(submission("id-3"))
    assert raised.value.retry_after_s == LEDGER_FULL_RETRY_AFTER_S


def test_a_call_that_a_full_disk_does_not_store_is_not_accepted(
    acceptor: CallAcceptor, ledger: Ledger, disk: FaultyDisk
) -> None:
    disk.is_full = True
    with pytest.raises(CommitError, match="No space left") as raised:
        acceptor.accept(submission("id-1"))
    assert raised.value.retry_after_s == FAILED_COMMIT_RETRY_AFTER_S
    assert not raised.value.may_be_stored
    assert not ledger.state.open


def test_a_write_under_way_may_be_stored_and_is_withdrawn(
    acceptor: CallAcceptor, ledger: Ledger, disk: FaultyDisk
) -> None:
    disk.unblocked.clear()
    with pytest.raises(CommitError, match="not written within") as raised:
        acceptor.accept(submission("id-1"))
    assert raised.value.may_be_stored
    disk.unblocked.set()
    acceptor.accept(submission("id-2"))
    eventually(lambda: list(ledger.state.open) == ["id-2"])


def test_a_stalled_disk_rejects_before_anything_is_written(
    acceptor: CallAcceptor, ledger: Ledger, disk: FaultyDisk
) -> None:
    disk.unblocked.clear()
    ledger.append()
    eventually(lambda: ledger.stalled_s > 0)
    with pytest.raises(CommitError, match="has not answered for") as raised:
        acceptor.accept(submission("id-1"))
    assert not raised.value.may_be_stored
    assert raised.value.retry_after_s >= 1.0
    assert ledger.queued_appends == 0
