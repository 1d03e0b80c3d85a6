"""The clients of a soak: what they note of a request, and that none holds up the others."""

from __future__ import annotations

import random
import select
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from saffronstack.harness.soak.clients import ClientConnection, SoakClients
from saffronstack.harness.soak.kernel_times import KERNEL_TICK_S, TcpTimes
from saffronstack.harness.soak.schedule import ClientKind
from saffronstack.resp.reader import encode

PAUSE_S = 60.0
TIMEOUT_S = 10.0
ABSENCE_S = 0.5
ABORT = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER: a close sends a reset


@dataclass(frozen=True, slots=True)
class Pair:
    """A client's connection, and the gateway's side of it."""

    client: ClientConnection
    gateway: socket.socket

    def wait_for(self, events: int) -> None:
        """Until something has arrived at the client; a reset is POLLHUP."""
        poll = select.poll()
        poll.register(self.client.sock, events)
        end_s = time.monotonic() + TIMEOUT_S
        while not any(found & events for _, found in poll.poll(TIMEOUT_S * 1000)):
            assert time.monotonic() < end_s


@pytest.fixture
def pair() -> Iterator[Pair]:
    """A client in an open loop that has sent one request."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sock = socket.create_connection(listener.getsockname())
        gateway, _ = listener.accept()
    sock.setblocking(False)
    gateway.settimeout(TIMEOUT_S)
    with sock, gateway:
        client = ClientConnection(ClientKind.OPEN_LOOP, sock, random.Random(1), 1.0)
        client.send_due(time.monotonic())
        yield Pair(client, gateway)


def test_a_pause_of_the_client_does_not_move_the_end_of_its_connection(pair: Pair) -> None:
    """A full collection of garbage in the client's thread was judged as a gateway that closes 0.14 s late."""
    pair.gateway.recv(1024)
    pair.gateway.close()
    pair.wait_for(select.POLLIN)
    arrived_s = time.monotonic()
    assert not pair.client.receive()
    pair.client.end(arrived_s + PAUSE_S)
    ended_s = pair.client.sent[0].connection_ended_s
    assert ended_s is not None
    assert ended_s < arrived_s + PAUSE_S


def test_a_reset_counts_from_when_it_was_seen(pair: Pair) -> None:
    """The kernel notes no time of a reset alone: an earlier end would excuse a request."""
    pair.gateway.close()  # with the request unread
    pair.wait_for(select.POLLHUP)
    seen_s = time.monotonic() + PAUSE_S
    assert not pair.client.receive()
    pair.client.end(seen_s)
    assert pair.client.sent[0].connection_ended_s == seen_s


def test_a_reset_that_a_write_has_met_counts_from_when_it_was_seen(pair: Pair) -> None:
    """The failed write takes the error from the socket, which then reads as after a FIN."""
    pair.gateway.close()
    pair.wait_for(select.POLLHUP)
    with pytest.raises(ConnectionError):
        pair.client.send_due(time.monotonic() + 1.0)
    seen_s = time.monotonic() + PAUSE_S
    assert not pair.client.receive()
    pair.client.end(seen_s)
    assert pair.client.sent[0].connection_ended_s == seen_s


def test_a_write_counts_from_before_it_but_for_a_pause_before_it() -> None:
    assert TcpTimes(sent_s=5.0, received_s=0.0).earliest_send_s(5.0) == 5.0
    assert TcpTimes(sent_s=5.2, received_s=0.0).earliest_send_s(5.0) == 5.2 - KERNEL_TICK_S


def test_an_end_counts_until_it_was_seen_but_for_a_pause_after_it() -> None:
    assert TcpTimes(sent_s=0.0, received_s=5.0).latest_end_s(5.0) == 5.0
    assert TcpTimes(sent_s=0.0, received_s=5.0).latest_end_s(5.2) == 5.0 + KERNEL_TICK_S


def test_a_client_that_is_not_let_in_holds_up_no_other() -> None:
    """One connect that waited used to stop all clients of the play for up to 2 s."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        listener.settimeout(TIMEOUT_S)
        kinds = (ClientKind.CLOSED_LOOP,) * 4  # more than the backlog holds
        clients = SoakClients(listener.getsockname(), kinds, seed=1, timeout_s=1.0)
        gateway, _ = listener.accept()
        with gateway:
            gateway.settimeout(TIMEOUT_S)
            assert gateway.recv(1024).startswith(b"*")
            clients.gateway_terminated()
    assert len(clients.stop()) >= 1


def test_an_answer_that_waits_is_read_though_a_write_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client whose write met a reset used to drop the answers that it had not read."""
    write_failed = threading.Event()
    send_due, step = ClientConnection.send_due, SoakClients._step

    def note_failed_write(connection: ClientConnection, now: float) -> None:
        try:
            send_due(connection, now)
        except ConnectionError:
            write_failed.set()
            raise

    def step_after_failed_write(clients: SoakClients) -> None:
        if write_failed.wait(0.001):
            step(clients)

    monkeypatch.setattr(ClientConnection, "send_due", note_failed_write)
    monkeypatch.setattr(SoakClients, "_step", step_after_failed_write)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        clients = SoakClients(listener.getsockname(), (ClientKind.OPEN_LOOP,), seed=1, timeout_s=1.0)
        gateway, _ = listener.accept()
        clients.gateway_terminated()
        gateway.settimeout(TIMEOUT_S)
        gateway.recv(1024)
        gateway.sendall(encode((b"1", b"OK", b"", b"x")))
        gateway.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
        gateway.close()
        assert write_failed.wait(TIMEOUT_S)
    assert [answer.word for answer in clients.stop()[0].answers] == ["OK"]


def test_a_client_that_waits_to_come_again_stays_away_from_a_gateway_that_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client of the crowd came up to 0.3 s after SIGTERM, to a gateway that may have ended."""
    connect_again = SoakClients._connect_again

    def terminate_meanwhile(clients: SoakClients, kind: ClientKind, now: float) -> None:
        connect_again(clients, kind, now)
        clients.gateway_terminated()

    monkeypatch.setattr(SoakClients, "_connect_again", terminate_meanwhile)
    monkeypatch.setattr("saffronstack.harness.soak.clients.CROWD_RETURN_S", (0.0, 0.0))
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        clients = SoakClients(listener.getsockname(), (ClientKind.CROWD,), seed=1, timeout_s=1.0)
        gateway, _ = listener.accept()
        gateway.recv(1024)
        gateway.close()
        listener.settimeout(ABSENCE_S)
        with pytest.raises(TimeoutError):
            listener.accept()
    clients.stop()
