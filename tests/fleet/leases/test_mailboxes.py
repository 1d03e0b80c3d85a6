"""Mailboxes of a lease server for processes that poll for notifications."""

from __future__ import annotations

import pytest

from saffronstack.fleet.leases import mailboxes as module
from saffronstack.fleet.leases.mailboxes import EXPIRY_S, MAX_MESSAGES, Mailboxes
from saffronstack.fleet.leases.messages import ReleaseNotification, SendMessage


def notification_for(candidate: str) -> SendMessage:
    return SendMessage(candidate, ReleaseNotification("l", "k0", candidate))


def test_a_notification_is_kept_for_the_process_of_its_candidate() -> None:
    mailboxes = Mailboxes()
    mailbox = mailboxes.open("p1")
    assert mailbox is not None
    assert mailboxes.put(notification_for("p1.4"), 0.0)
    assert mailbox.take_messages() == [ReleaseNotification("l", "k0", "p1.4")]
    assert mailbox.take_messages() == []


def test_a_notification_for_a_process_that_does_not_poll_is_not_kept() -> None:
    mailboxes = Mailboxes()
    mailboxes.open("p1")
    assert not mailboxes.put(notification_for("p2.1"), 0.0)
    assert "p1" in mailboxes
    assert "p2" not in mailboxes


def test_a_mailbox_expires_after_the_last_poll_has_ended() -> None:
    mailboxes = Mailboxes()
    mailbox = mailboxes.open("p1")
    assert mailbox is not None
    assert mailboxes.put(notification_for("p1.1"), 1000.0)
    mailbox.end_poll(1000.0)
    assert mailboxes.put(notification_for("p1.1"), 1000.0 + EXPIRY_S)
    assert not mailboxes.put(notification_for("p1.1"), 1000.1 + EXPIRY_S)
    assert "p1" not in mailboxes


def test_a_mailbox_keeps_the_newest_messages() -> None:
    mailboxes = Mailboxes()
    mailbox = mailboxes.open("p1")
    assert mailbox is not None
    for number in range(2 * MAX_MESSAGES):
        mailboxes.put(notification_for(f"p1.{number}"), 0.0)
    messages = mailbox.take_messages()
    assert len(messages) == MAX_MESSAGES + 1
    assert messages[-1] == ReleaseNotification("l", "k0", f"p1.{2 * MAX_MESSAGES - 1}")


def test_no_mailbox_is_opened_past_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_MAILBOXES", 1)
    mailboxes = Mailboxes()
    assert mailboxes.open("p1") is not None
    assert mailboxes.open("p1") is not None
    assert mailboxes.open("p2") is None
