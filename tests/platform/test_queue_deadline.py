"""Clients in the accept queue: deadlines of their requests, and how many are accepted in one pass."""

from __future__ import annotations

import errno
import threading
from dataclasses import replace
from typing import Any

import pytest

from saffronstack.platform.front import Frontend
from saffronstack.standin.platform import HostEntry, StubDnsServer
from tests.support.platform import Client, ScriptedHost, gateway
from tests.test_client_connections import SOCKETS, PausedThread, fill_connections

QUEUED_S = 0.2  # longer than the time after which a connection counts as idle
MANY_SOCKETS = 160  # file descriptors that leave a reserve of four connections
SILENT_RESERVE = 4
KERNEL_TICK_S = 0.02  # tolerance: the kernel measures the waiting time in ticks
CLASS_DEADLINE_MS = 8000


@pytest.mark.parametrize(("timeout_ms", "word"), [(100, "BUSY"), (CLASS_DEADLINE_MS, "OK")])
def test_time_in_the_accept_queue_counts_toward_the_deadline(
    monkeypatch: pytest.MonkeyPatch, timeout_ms: int, word: str
) -> None:
    """Guards against running a call with its full timeout after it waited in the queue past its deadline."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        clients = fill_connections(service)
        while not host.messages.empty():
            host.next_message()
        new_clients: list[Client] = []

        def wait_in_accept_queue() -> None:
            new_clients.append(Client(service.frontend.address))
            new_clients[0].call(subject=99, timeout=timeout_ms)
            threading.Event().wait(QUEUED_S)

        PausedThread(service, monkeypatch).run(wait_in_accept_queue)
        assert new_clients[0].read()[1] == word
        if word == "OK":
            timeout_sent_ms = float(host.next_message()["with"]["w"])
            assert timeout_sent_ms <= timeout_ms - (QUEUED_S - KERNEL_TICK_S) * 1000
        assert host.messages.empty()
        assert clients[-1].call_and_read()[0] == "OK"
    host.close()


def test_several_new_clients_are_accepted_at_the_limit_in_one_pass(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against accepting one client per pass.

    The last of many waiting clients then waited longer than the timeout of its requests.
    """
    host = ScriptedHost()
    accepted_at_once: list[int] = []
    accept = Frontend._accept

    def count_accepted(frontend: Frontend, now: float, max_accepted: int) -> int:
        accepted_at_once.append(accept(frontend, now, max_accepted))
        return accepted_at_once[-1]

    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=MANY_SOCKETS) as service:
        assert service.budget.client_reserve == SILENT_RESERVE
        clients = fill_connections(service)
        new_clients: list[Client] = []

        def wait_in_accept_queue() -> None:
            threading.Event().wait(QUEUED_S)
            new_clients.extend(Client(service.frontend.address) for _ in range(SILENT_RESERVE))
            for new_client in new_clients:
                new_client.call(subject=99)

        monkeypatch.setattr(Frontend, "_accept", count_accepted)
        PausedThread(service, monkeypatch).run(wait_in_accept_queue)
        assert [new_client.read()[1] for new_client in new_clients] == ["OK"] * SILENT_RESERVE
        assert max(accepted_at_once) == SILENT_RESERVE
        assert clients[-1].call_and_read()[0] == "OK"
    host.close()


def test_a_descriptor_shortage_evicts_no_connection_while_no_client_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an eviction for nobody: without a descriptor, accept fails even on an empty queue."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        frontend = service.frontend
        clients = fill_connections(service)
        listener = frontend._listener.sock

        class ListenerWithoutDescriptors:
            def accept(self) -> Any:
                raise OSError(errno.EMFILE, "Too many open files")

            def __getattr__(self, name: str) -> Any:
                return getattr(listener, name)

        def accept_nobody() -> None:
            threading.Event().wait(QUEUED_S)
            frontend._listener.sock = ListenerWithoutDescriptors()  # type: ignore[assignment]
            frontend.limits = replace(frontend.limits, max_connections=len(clients) + 1)
            assert frontend._accept(frontend.clock(), 1) == 0
            frontend._listener.sock = listener

        PausedThread(service, monkeypatch).run(accept_nobody)
        assert [client.call_and_read()[0] for client in clients] == ["OK"] * len(clients)
        assert frontend.evicted == 0
    host.close()
