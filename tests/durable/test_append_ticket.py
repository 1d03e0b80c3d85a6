"""Tickets of appends: their states, and which transitions exclude each other."""

from __future__ import annotations

import errno

import pytest

from saffronstack.durable.append_ticket import AppendTicket


@pytest.fixture
def ticket() -> AppendTicket[str]:
    return AppendTicket(("a", "bc"), str.encode)


def test_records_are_encoded_at_once(ticket: AppendTicket[str]) -> None:
    assert ticket.encoded == [b"a", b"bc"]
    assert ticket.encoded_bytes == 3


def test_a_started_ticket_cannot_be_revoked(ticket: AppendTicket[str]) -> None:
    assert ticket.start_write()
    assert not ticket.revoke()
    ticket.done.set()
    assert ticket.is_durable


def test_a_revoked_ticket_cannot_be_started(ticket: AppendTicket[str]) -> None:
    assert ticket.revoke()
    assert not ticket.start_write()
    ticket.done.set()
    assert not ticket.is_durable


def test_a_failed_ticket_is_done_and_not_durable(ticket: AppendTicket[str]) -> None:
    assert not ticket.is_durable
    ticket.fail(OSError(errno.EIO, "Input/output error"))
    assert ticket.done.is_set()
    assert not ticket.is_durable
