"""Clients in the listener's queue, and how many are let in at once."""

from __future__ import annotations

import threading

import pytest

from saffronstack.platform.front import Front
from saffronstack.standin.platform import Directory, Entry
from tests.support.platform import Client, ScriptedHost, gateway
from tests.test_client_connections import PausedThread, filled

QUEUED_S = 0.2  # longer than what makes a connection idle
MANY_SOCKETS = 160  # with a reserve of four places
RESERVE = 4


def test_idle_connections_make_room_for_several_newcomers_in_one_pass(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One a pass was let in: of a crowd the last waited for longer than its requests had time."""
    host = ScriptedHost()
    accepted_at_once: list[int] = []
    accept = Front._accept

    def note(front: Front, now: float, max_accepted: int) -> int:
        accepted_at_once.append(accept(front, now, max_accepted))
        return accepted_at_once[-1]

    with gateway(Directory(Entry("s-1", host.address)), sockets=MANY_SOCKETS) as service:
        assert service.budget.client_reserve == RESERVE
        clients = filled(service)
        newcomers: list[Client] = []

        def queue() -> None:
            threading.Event().wait(QUEUED_S)
            newcomers.extend(Client(service.front.address) for _ in range(RESERVE))
            for newcomer in newcomers:
                newcomer.call(subject=99)

        monkeypatch.setattr(Front, "_accept", note)
        PausedThread(service, monkeypatch).run(queue)
        assert [newcomer.read()[1] for newcomer in newcomers] == ["OK"] * RESERVE
        assert max(accepted_at_once) == RESERVE
        assert clients[-1].ask()[0] == "OK"
    host.close()
