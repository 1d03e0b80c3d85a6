"""Mailboxes of a lease server for processes that poll for notifications.

Not thread-safe: callers hold a lock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.fleet.leases.messages import Message, SendMessage

MAX_MAILBOXES = 4096
MAX_MESSAGES = 64  # older messages that are kept when another arrives
EXPIRY_S = 2.0  # a process that does not poll again within this time is considered gone


@dataclass(slots=True)
class Mailbox:
    """The notifications for one process."""

    messages: list[Message] = field(default_factory=list)
    pollers: int = 0
    last_polled_s: float = 0.0

    def take_messages(self) -> list[Message]:
        """Remove and return all messages."""
        messages, self.messages = self.messages, []
        return messages

    def end_poll(self, now: float) -> None:
        """Record the end of a poll at ``now`` (local clock, seconds)."""
        self.pollers -= 1
        self.last_polled_s = now

    def is_expired(self, now: float) -> bool:
        """Return whether no process polls the mailbox or has polled it recently."""
        return not self.pollers and now - self.last_polled_s > EXPIRY_S


class Mailboxes:
    """The mailboxes of all processes that poll or polled recently."""

    def __init__(self) -> None:
        """Create an empty set of mailboxes."""
        self._by_process: dict[str, Mailbox] = {}

    def __contains__(self, process: str) -> bool:
        """Return whether a process has a mailbox."""
        return process in self._by_process

    def open(self, process: str) -> Mailbox | None:
        """Begin a poll of a process and return its mailbox; None if `MAX_MAILBOXES` others exist."""
        mailbox = self._by_process.get(process)
        if mailbox is None:
            if len(self._by_process) >= MAX_MAILBOXES:
                return None
            mailbox = self._by_process[process] = Mailbox()
        mailbox.pollers += 1
        return mailbox

    def put(self, notification: SendMessage, now: float) -> bool:
        """Put a notification into the mailbox of the receiver's process; return whether it has a mailbox."""
        for expired in [process for process, box in self._by_process.items() if box.is_expired(now)]:
            del self._by_process[expired]
        # A process polls for all its candidates; their names are its name, a dot and a number.
        process = notification.receiver.rpartition(".")[0] or notification.receiver
        mailbox = self._by_process.get(process)
        if mailbox is None:
            return False
        mailbox.messages = [*mailbox.messages[-MAX_MESSAGES:], notification.message]
        return True
