"""Client connections at the connection limit, on real sockets: eviction, rejection and lost clients."""

from __future__ import annotations

import errno
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import pytest

from saffronstack.platform.eviction import CLOSED_SCAN_INTERVAL_S, EvictionOrder
from saffronstack.platform.front import Frontend
from saffronstack.platform.service import Service
from saffronstack.resp.reader import encode
from saffronstack.routing.router import Router
from saffronstack.standin.platform import HostEntry, StubDnsServer
from tests.support.platform import WAIT_S, BlockedHost, Client, ScriptedHost, gateway
from tests.support.stack import eventually

SOCKETS = 64  # file descriptors: a limit of 16 client connections


class PausedThread:
    """Pauses the frontend's thread while ``run`` brings events into a fixed order."""

    def __init__(self, service: Service, monkeypatch: pytest.MonkeyPatch) -> None:
        self._frontend = service.frontend
        self._monkeypatch = monkeypatch

    def run(self, arrange: Callable[[], None]) -> None:
        paused, resume = threading.Event(), threading.Event()
        tick: Callable[[Frontend, float], None] = Frontend._tick

        def pause(frontend: Frontend, now: float) -> None:
            if frontend is self._frontend and not resume.is_set():
                paused.set()
                assert resume.wait(WAIT_S)
            tick(frontend, now)

        self._monkeypatch.setattr(Frontend, "_tick", pause)
        assert paused.wait(WAIT_S)
        arrange()
        resume.set()


@pytest.fixture
def blocked_host() -> Iterator[BlockedHost]:
    host = BlockedHost()
    yield host
    host.release.set()
    host.close()


def fill_connections(service: Service) -> list[Client]:
    """Return clients up to the connection limit; each was answered once, and none can time out."""
    service.frontend.limits = replace(service.frontend.limits, idle_timeout_s=60.0, message_timeout_s=60.0)
    clients = [Client(service.frontend.address) for _ in range(service.budget.clients)]
    assert {client.call_and_read(subject=index)[0] for index, client in enumerate(clients, 1)} == {"OK"}
    return clients


def is_closed(client: Client) -> bool:
    """Return whether the gateway has closed the client's connection; waits at most 0.05 s."""
    client.sock.settimeout(0.05)
    try:
        return client.sock.recv(1, socket.MSG_PEEK) == b""
    except TimeoutError:
        return False
    finally:
        client.sock.settimeout(WAIT_S)


def test_at_the_limit_a_new_client_evicts_the_longest_idle_connection() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        clients = fill_connections(service)
        assert clients[0].call_and_read()[0] == "OK"  # now the second client is the longest idle
        new_client = Client(service.frontend.address)
        assert new_client.call_and_read(subject=99)[0] == "OK"
        assert [is_closed(client) for client in clients] == [index == 1 for index in range(len(clients))]


def test_a_connection_with_an_unread_request_is_not_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    """While the thread is paused, a new client connects, and then the longest idle client sends."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        clients = fill_connections(service)
        new_client: list[Client] = []

        def arrange() -> None:
            new_client.append(Client(service.frontend.address))
            new_client[0].call(subject=99)
            clients[0].call(subject=1)

        PausedThread(service, monkeypatch).run(arrange)
        assert new_client[0].read()[1] == "OK"
        assert clients[0].read()[1] == "OK"
        assert is_closed(clients[1])


def test_a_connection_with_a_partial_request_is_not_evicted() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        clients = fill_connections(service)
        frame = encode((b"CHECK", b"77", b""))
        clients[0].sock.sendall(frame[:9])
        connection = next(iter(service.frontend._connections.values()))
        eventually(lambda: not connection.idle)
        new_client = Client(service.frontend.address)
        assert new_client.call_and_read(subject=99)[0] == "OK"
        clients[0].sock.sendall(frame[9:])
        assert clients[0].read()[:2] == (77, "UP")
        assert is_closed(clients[1])


def test_while_every_connection_has_an_open_call_a_new_client_is_rejected_at_once(
    blocked_host: BlockedHost,
) -> None:
    with gateway(StubDnsServer(HostEntry("s-1", blocked_host.address)), sockets=SOCKETS) as service:
        clients = [Client(service.frontend.address) for _ in range(service.budget.clients)]
        tags = [client.call(subject=index) for index, client in enumerate(clients, 1)]
        eventually(lambda: service.frontend.open_calls == len(clients))
        new_client = Client(service.frontend.address)
        tag = new_client.call(subject=99)
        answered_tag, word, fields, _ = new_client.read()
        assert (answered_tag, word) == (tag, "BUSY")
        assert fields.startswith(b"holdoff=")
        blocked_host.release.set()
        assert [client.read()[:2] for client in clients] == [(tag, "OK") for tag in tags]
        assert service.frontend.over_limit_accepted == 1
        assert service.frontend.evicted == 0


def test_without_over_limit_connections_a_new_client_waits_and_is_then_served(
    blocked_host: BlockedHost,
) -> None:
    with gateway(StubDnsServer(HostEntry("s-1", blocked_host.address)), sockets=SOCKETS) as service:
        service.frontend.limits = replace(service.frontend.limits, max_over_limit_connections=0)
        clients = [Client(service.frontend.address) for _ in range(service.budget.clients)]
        for index, client in enumerate(clients, 1):
            client.call(subject=index)
        eventually(lambda: service.frontend.open_calls == len(clients))
        new_client = Client(service.frontend.address)
        new_client.call(subject=99)
        eventually(lambda: not service.frontend._listener.is_polled)
        blocked_host.release.set()
        assert new_client.read()[1] == "OK"


def test_open_connections_are_served_while_no_descriptor_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """Accept fails ten times for want of a descriptor; idle connections are evicted and calls continue."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        working = Client(service.frontend.address)
        assert working.call_and_read()[0] == "OK"
        accept_errors = iter([OSError(errno.EMFILE, "Too many open files")] * 10)
        listener = service.frontend._listener.sock

        class ListenerWithoutDescriptors:
            def accept(self) -> Any:
                for accept_error in accept_errors:
                    raise accept_error
                return listener.accept()

            def __getattr__(self, name: str) -> Any:
                return getattr(listener, name)

        service.frontend._listener.sock = ListenerWithoutDescriptors()  # type: ignore[assignment]
        tag = working.call()
        new_client = Client(service.frontend.address)
        assert new_client.call_and_read(subject=2)[0] == "OK"
        assert next(accept_errors, None) is None
        assert working.read()[:2] == (tag, "OK")


def test_connections_reset_right_after_connecting_disturb_no_other_client() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        working = Client(service.frontend.address)
        for index in range(200):
            reset_socket = socket.create_connection(service.frontend.address, timeout=WAIT_S)
            reset_socket.sendall(encode((b"CHECK", b"1", b""))[: index % 20])
            reset_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            reset_socket.close()
            if index % 20 == 0:
                assert working.call_and_read()[0] == "OK"
        eventually(lambda: service.frontend.connections == 1)


def test_open_calls_keep_their_deadline_after_unreadable_bytes(blocked_host: BlockedHost) -> None:
    """Guards against failing running calls one second after the first unreadable byte."""
    with gateway(StubDnsServer(HostEntry("s-1", blocked_host.address))) as service:
        service.frontend.limits = replace(service.frontend.limits, linger_timeout_s=0.0)
        client = Client(service.frontend.address)
        tag = client.call()
        blocked_host.next_message()
        client.sock.sendall(b"\xff\xfe\r\n" * 100)
        connection = next(iter(service.frontend._connections.values()))
        eventually(lambda: connection.state.name == "FINISHING")
        ticks = threading.Semaphore(0)
        on_tick = connection.on_tick

        def count_tick(now: float) -> bool:
            ticks.release()
            return on_tick(now)

        connection.on_tick = count_tick  # type: ignore[method-assign]
        for _ in range(3):
            assert ticks.acquire(timeout=WAIT_S)
        blocked_host.release.set()
        assert client.read()[:2] == (tag, "OK")
        with pytest.raises(EOFError):
            client.read()


def test_open_calls_keep_their_deadline_after_an_incomplete_request(blocked_host: BlockedHost) -> None:
    with gateway(StubDnsServer(HostEntry("s-1", blocked_host.address))) as service:
        service.frontend.limits = replace(
            service.frontend.limits, message_timeout_s=0.0, linger_timeout_s=0.0
        )
        client = Client(service.frontend.address)
        tag = client.call()
        blocked_host.next_message()
        client.sock.sendall(b"*5\r\n$4\r\nCA")
        connection = next(iter(service.frontend._connections.values()))
        eventually(lambda: connection._reader.pending)
        blocked_host.release.set()
        assert client.read()[:2] == (tag, "OK")
        with pytest.raises(EOFError):
            client.read()


def test_requests_after_a_malformed_but_complete_one_are_answered() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        frames = [(b"HELLO", b"50", b""), (b"CALL", b"51", b"look"), (b"CHECK", b"52", b"")]
        client.sock.sendall(b"".join(encode(frame) for frame in frames))
        assert [client.read()[:2] for _ in frames] == [(50, "FAILED"), (51, "FAILED"), (52, "UP")]
        assert client.call_and_read()[0] == "OK"


def test_a_request_byte_by_byte_is_served() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        fields = b"req=00000000000000aa,timeout=8000,owner=acme,subject=0000000000000001"
        for byte in encode((b"CALL", b"1", b"look", fields, b"in pieces")):
            client.sock.sendall(bytes([byte]))
        assert client.read() == (1, "OK", b"", b"in pieces")


WAYS_TO_LEAVE = ["close", "reset", "half-close", "cancel", "cancel-in-one-segment"]


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
def test_nothing_is_sent_for_a_client_that_left_while_the_decision_thread_was_blocked(way: str) -> None:
    """The decision thread is blocked until the client has left; the host's messages show what was sent."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        other = Client(service.frontend.address)
        assert other.call_and_read(subject=5)[0] == "OK"
        host.next_message()
        paused, resume = threading.Event(), threading.Event()

        def hold(now: float, router: Router) -> None:
            paused.set()
            assert resume.wait(WAIT_S)

        service.engine.inspect(hold)
        assert paused.wait(WAIT_S)
        client = Client(service.frontend.address)
        cancel = encode((b"CANCEL", b"1"))
        if way == "cancel-in-one-segment":
            fields = b"req=00000000000000ab,timeout=8000,owner=acme,subject=0000000000000007"
            client.sock.sendall(encode((b"CALL", b"1", b"sell", fields, b"x")) + cancel)
        else:
            client.call(subject=7, class_name=b"sell")
            eventually(lambda: service.frontend.open_calls == 1)
        if way == "cancel":
            client.sock.sendall(cancel)
        elif way == "half-close":
            client.sock.shutdown(socket.SHUT_WR)
        elif way == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if way in ("close", "reset"):
            client.sock.close()
        eventually(lambda: service.engine.queued_events >= 2 and service.frontend.open_calls == 0)
        resume.set()
        assert other.call_and_read(subject=6)[0] == "OK"
        assert host.next_message()["with"]["k"] == f"{6:016x}"
        assert host.messages.empty()


def test_connections_ended_by_their_clients_are_evicted_before_idle_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each has a partial request, and an unread reset by the time a new client is accepted."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        service.frontend.limits = replace(
            service.frontend.limits, idle_timeout_s=60.0, message_timeout_s=60.0
        )
        working = Client(service.frontend.address)
        assert working.call_and_read()[0] == "OK"
        closed_clients = [Client(service.frontend.address) for _ in range(service.budget.clients - 1)]
        for client in closed_clients:
            client.sock.sendall(b"*3\r\n$5\r\nCHE")
        eventually(
            lambda: (
                sum(not connection.idle for connection in service.frontend._connections.values())
                == len(closed_clients)
            )
        )
        new_client: list[Client] = []

        def arrange() -> None:
            new_client.append(Client(service.frontend.address))
            for client in closed_clients:
                client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                client.sock.close()

        PausedThread(service, monkeypatch).run(arrange)
        assert new_client[0].call_and_read(subject=9)[0] == "OK"
        assert working.call_and_read()[0] == "OK"


def test_a_flood_of_new_clients_scans_all_connections_once() -> None:
    """Guards against a scan for each new client: some hundred of them a second took a whole CPU."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        clients = fill_connections(service)
        connections = list(service.frontend._connections.values())
        order = EvictionOrder()
        for connection in connections:
            order.add(connection)
            order.touch(connection)
        for expected in connections[:10]:
            assert order.next_victim(100.0) is expected
            order.remove(expected)
        assert order.scans == 1
        assert clients[10].call_and_read()[0] == "OK"
        order.touch(connections[10])  # a connection that was used since is no longer the longest idle
        assert order.next_victim(100.0) is connections[11]
        assert order.next_victim(100.0 + 2 * CLOSED_SCAN_INTERVAL_S) is connections[11]
        assert order.scans == 2


def test_connections_that_never_sent_anything_are_evicted_first() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=SOCKETS) as service:
        clients = fill_connections(service)
        silent_clients = [Client(service.frontend.address) for _ in range(3 * len(clients))]
        new_client = Client(service.frontend.address)
        assert new_client.call_and_read(subject=99)[0] == "OK"
        assert {client.call_and_read()[0] for client in clients[1:]} == {"OK"}
        assert is_closed(clients[0]), "the first silent client evicts the longest idle connection"
        assert sum(is_closed(client) for client in silent_clients) >= len(silent_clients) - 1
