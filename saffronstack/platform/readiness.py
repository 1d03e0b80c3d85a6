"""Finds the client connections that their clients have ended, with one system call for all of them."""

from __future__ import annotations

import select
from collections.abc import Iterable

from saffronstack.platform.idle_order import ClientConnectionView


def ended_by_clients(connections: Iterable[ClientConnectionView]) -> list[ClientConnectionView]:
    """Return the connections that their clients have closed or reset; they may still have unread bytes."""
    poll = select.poll()
    by_descriptor: dict[int, ClientConnectionView] = {}
    for connection in connections:
        descriptor = connection.fileno()
        if descriptor >= 0:
            by_descriptor[descriptor] = connection
            poll.register(descriptor, select.POLLRDHUP)
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]
