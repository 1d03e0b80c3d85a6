"""Clients in the listener's queue: what their requests' time counts from, and how many are let in at once."""

from __future__ import annotations

import errno
import threading
from dataclasses import replace
from typing import Any

import pytest

from saffronstack.platform.front import Front
from saffronstack.standin.platform import Directory, Entry
from tests.support.platform import Client, ScriptedHost, gateway
from tests.test_client_connections import SOCKETS, PausedThread, filled

QUEUED_S = 0.2  # longer than what makes a connection idle
MANY_SOCKETS = 160  # with a reserve of four places
RESERVE = 4
COARSE_S = 0.02  # the kernel counts in ticks
CLASS_DEADLINE_MS = 8000


@pytest.mark.parametrize(("timeout_ms", "word"), [(100, "BUSY"), (CLASS_DEADLINE_MS, "OK")])
def test_the_time_in_the_queue_is_part_of_a_requests_time(
    monkeypatch: pytest.MonkeyPatch, timeout_ms: int, word: str
) -> None:
    """A call that had lain there for longer than its client waits was run, with all of its time before it."""
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address)), sockets=SOCKETS) as service:
        clients = filled(service)
        while not host.seen.empty():
            host.next()
        late: list[Client] = []

        def queue() -> None:
            late.append(Client(service.front.address))
            late[0].call(subject=99, timeout=timeout_ms)
            threading.Event().wait(QUEUED_S)

        PausedThread(service, monkeypatch).run(queue)
        assert late[0].read()[1] == word
        if word == "OK":
            told_ms = float(host.next()["with"]["w"])
            assert told_ms <= timeout_ms - (QUEUED_S - COARSE_S) * 1000
        assert host.seen.empty()
        assert clients[-1].ask()[0] == "OK"
    host.close()


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


def test_want_of_a_descriptor_closes_no_connection_where_nobody_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The system refuses to accept for want of a descriptor before it looks whether anybody waits."""
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address)), sockets=SOCKETS) as service:
        front = service.front
        clients = filled(service)
        listener = front._listener

        class Scarce:
            def accept(self) -> Any:
                raise OSError(errno.EMFILE, "Too many open files")

            def __getattr__(self, name: str) -> Any:
                return getattr(listener, name)

        def accept_nobody() -> None:
            threading.Event().wait(QUEUED_S)
            front._listener = Scarce()  # type: ignore[assignment]
            front.limits = replace(front.limits, connections=len(clients) + 1)
            assert front._accept(front.clock(), 1) == 0
            front._listener = listener

        PausedThread(service, monkeypatch).run(accept_nobody)
        assert [client.ask()[0] for client in clients] == ["OK"] * len(clients)
        assert front.evicted == 0
    host.close()
