"""The clients of a soak run: what they record of a request, and that no client delays the others."""

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
    """A client's connection, and the gateway's socket of it."""

    client: ClientConnection
    gateway: socket.socket

    def wait_for(self, events: int) -> None:
        """Wait for events at the client's socket; a reset is POLLHUP."""
        poll = select.poll()
        poll.register(self.client.sock, events)
        end_s = time.monotonic() + TIMEOUT_S
        while not any(found & events for _, found in poll.poll(TIMEOUT_S * 1000)):
            assert time.monotonic() < end_s


@pytest.fixture
def pair() -> Iterator[Pair]:
    """Yield an open-loop client that has sent one request."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sock = socket.create_connection(listener.getsockname())
        gateway, _ = listener.accept()
    sock.setblocking(False)
    gateway.settimeout(TIMEOUT_S)
    with sock, gateway:
        client = ClientConnection(ClientKind.OPEN_LOOP, sock, random.Random(1), 1.0)
        client.send_due(time.monotonic())
        yield Pair(client, gateway)


def test_a_paused_client_does_not_delay_the_recorded_connection_end(pair: Pair) -> None:
    """A garbage collection in the client's thread was reported as a gateway that closes 0.14 s late."""
    pair.gateway.recv(1024)
    pair.gateway.close()
    pair.wait_for(select.POLLIN)
    arrived_s = time.monotonic()
    assert not pair.client.receive()
    pair.client.end(arrived_s + PAUSE_S)
    ended_s = pair.client.sent[0].connection_ended_s
    assert ended_s is not None
    assert ended_s < arrived_s + PAUSE_S


def test_a_reset_is_timed_when_the_client_reads_it(pair: Pair) -> None:
    """The kernel records no time of a reset: an earlier time would excuse an unanswered request."""
    pair.gateway.close()  # with the request unread
    pair.wait_for(select.POLLHUP)
    seen_s = time.monotonic() + PAUSE_S
    assert not pair.client.receive()
    pair.client.end(seen_s)
    assert pair.client.sent[0].connection_ended_s == seen_s


def test_a_reset_that_a_write_reported_is_timed_when_the_client_reads_it(pair: Pair) -> None:
    """The failed write clears the socket's error, so that the next read looks as after a FIN."""
    pair.gateway.close()
    pair.wait_for(select.POLLHUP)
    with pytest.raises(ConnectionError):
        pair.client.send_due(time.monotonic() + 1.0)
    seen_s = time.monotonic() + PAUSE_S
    assert not pair.client.receive()
    pair.client.end(seen_s)
    assert pair.client.sent[0].connection_ended_s == seen_s


def test_the_send_time_excludes_a_pause_before_the_write() -> None:
    assert TcpTimes(sent_s=5.0, received_s=0.0).earliest_send_s(5.0) == 5.0
    assert TcpTimes(sent_s=5.2, received_s=0.0).earliest_send_s(5.0) == 5.2 - KERNEL_TICK_S


def test_the_connection_end_excludes_a_pause_after_it() -> None:
    assert TcpTimes(sent_s=0.0, received_s=5.0).latest_end_s(5.0) == 5.0
    assert TcpTimes(sent_s=0.0, received_s=5.0).latest_end_s(5.2) == 5.0 + KERNEL_TICK_S


def test_a_client_that_cannot_connect_delays_no_other_client() -> None:
    """One blocked connect stopped all clients of a run for up to 2 s."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        listener.settimeout(TIMEOUT_S)
        kinds = (ClientKind.CLOSED_LOOP,) * 4  # more than the backlog holds
        clients = SoakClients(listener.getsockname(), kinds, seed=1, timeout_s=1.0)
        gateway, _ = listener.accept()
        with gateway:
            gateway.settimeout(TIMEOUT_S)
            assert gateway.recv(1024).startswith(b"*")
            clients.stop_reconnecting()
    assert len(clients.stop()) >= 1


def test_a_received_response_is_read_after_a_write_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client whose write failed with a reset dropped its unread responses."""
    write_failed = threading.Event()
    send_due, step = ClientConnection.send_due, SoakClients._poll_sockets

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
    monkeypatch.setattr(SoakClients, "_poll_sockets", step_after_failed_write)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        clients = SoakClients(listener.getsockname(), (ClientKind.OPEN_LOOP,), seed=1, timeout_s=1.0)
        gateway, _ = listener.accept()
        clients.stop_reconnecting()
        gateway.settimeout(TIMEOUT_S)
        gateway.recv(1024)
        gateway.sendall(encode((b"1", b"OK", b"", b"x")))
        gateway.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
        gateway.close()
        assert write_failed.wait(TIMEOUT_S)
    assert [answer.word for answer in clients.stop()[0].responses] == ["OK"]


def test_a_client_waiting_to_reconnect_does_not_connect_to_a_stopping_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An idle client reconnected up to 0.3 s after SIGTERM, to a gateway that may have ended."""
    connect_again = SoakClients._connect_again

    def stop_reconnecting_meanwhile(clients: SoakClients, kind: ClientKind, now: float) -> None:
        connect_again(clients, kind, now)
        clients.stop_reconnecting()

    monkeypatch.setattr(SoakClients, "_connect_again", stop_reconnecting_meanwhile)
    monkeypatch.setattr("saffronstack.harness.soak.clients.IDLE_RECONNECT_DELAY_S", (0.0, 0.0))
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        clients = SoakClients(listener.getsockname(), (ClientKind.IDLE,), seed=1, timeout_s=1.0)
        gateway, _ = listener.accept()
        gateway.recv(1024)
        gateway.close()
        listener.settimeout(ABSENCE_S)
        with pytest.raises(TimeoutError):
            listener.accept()
    clients.stop()
