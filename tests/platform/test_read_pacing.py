"""The bound on the reading thread's time for one connection, and what a client that left leaves behind."""

from __future__ import annotations

import socket
import struct
import threading

import pytest

from saffronstack.platform.connection import ClientConnection
from saffronstack.platform.identifiers import OpenRequestIds
from saffronstack.platform.read_pacing import (
    BURST_S,
    MAX_PAUSE_S,
    MAX_READ_SHARE,
    PausedConnections,
    ReadPacing,
)
from saffronstack.resp.reader import encode
from saffronstack.standin.platform import HostEntry, StubDnsServer
from tests.support.platform import WAIT_S, BlockedHost, Client, ScriptedHost, gateway
from tests.support.stack import eventually

LARGE_BODY = bytes(16_000)  # a read of the gateway takes about one call


def call_words(tag: int, request: int, body: bytes = b"x", class_name: bytes = b"sell") -> bytes:
    fields = f"req={request:016x},timeout=8000,owner=acme,subject={7:016x},facts=memory_mb:100;lanes:1"
    return encode((b"CALL", b"%d" % tag, class_name, fields.encode(), body))


# ---- pacing


def test_a_connection_within_its_share_is_never_paused() -> None:
    pacing = ReadPacing(0.0)
    step_s = 0.001
    assert all(pacing.record(number * step_s, MAX_READ_SHARE * step_s) == 0.0 for number in range(1, 10_000))


def test_a_connection_at_full_speed_gets_its_share_after_the_burst() -> None:
    """Guards against late answers for all others while one client sends at full speed (issue 68 b)."""
    pacing, now, used_s = ReadPacing(0.0), 0.0, 0.0
    while now < 10.0:
        used_s += 0.001
        now += 0.001 + pacing.record(now, 0.001)
    assert MAX_READ_SHARE * 0.95 * 10.0 <= used_s <= BURST_S + MAX_READ_SHARE * 10.1
    assert pacing.record(now, 5.0) == MAX_PAUSE_S


def test_pauses_end_in_order_and_are_forgotten_with_their_connections() -> None:
    paused = PausedConnections()
    assert paused.remaining_s(0.0, 0.25) == 0.25
    for descriptor, until_s in ((5, 1.0), (6, 2.0), (7, 3.0)):
        paused.pause(descriptor, until_s)
    paused.remove(6)
    assert paused.remaining_s(0.9, 0.25) == pytest.approx(0.1)
    assert paused.pop_due(2.5) == [5]
    assert paused.remaining_s(3.5, 0.25) == 0.0
    assert paused.pop_due(3.5) == [7]
    assert paused.pop_due(9.0) == []


def test_requests_beyond_a_turn_are_all_answered_in_order() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        count = 400  # several turns in one read of 16 KiB
        client.sock.sendall(b"".join(encode((b"CHECK", b"%d" % tag)) for tag in range(1, count + 1)))
        assert [client.read()[:2] for _ in range(count)] == [(tag, "UP") for tag in range(1, count + 1)]
        client.sock.sendall(call_words(count + 1, 1))
        assert client.read()[:2] == (count + 1, "OK")


def test_a_client_that_is_far_ahead_is_rejected_until_it_has_caught_up() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        checks = b"".join(encode((b"CHECK", b"%d" % tag)) for tag in range(1, 201))
        client.sock.sendall(checks + call_words(201, 1))
        answers = [client.read() for _ in range(201)]
        assert answers[-1][:2] == (201, "BUSY")
        assert host.messages.empty()
        client.sock.sendall(call_words(202, 2))
        assert client.read()[:2] == (202, "OK")


# ---- clients that left


@pytest.mark.parametrize("way", ["close", "reset", "half-close"])
def test_requests_that_are_unread_when_their_client_leaves_are_not_sent(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls sent after their client closed with much still unread (issue 68 c)."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        other = Client(service.frontend.address)
        assert other.call_and_read(subject=5)[0] == "OK"
        host.next_message()
        paused, resume = threading.Event(), threading.Event()
        on_readable = ClientConnection.on_readable
        blocker, client = Client(service.frontend.address), Client(service.frontend.address)
        eventually(lambda: service.frontend.connections == 3)

        def hold_blocker(
            connection: ClientConnection, buffer: bytearray, view: memoryview, now: float
        ) -> bool:
            if connection._sock.getpeername() == blocker.sock.getsockname():
                paused.set()
                assert resume.wait(WAIT_S)
            return on_readable(connection, buffer, view, now)

        monkeypatch.setattr(ClientConnection, "on_readable", hold_blocker)
        blocker.send(b"CHECK", b"1")  # holds the thread that reads
        assert paused.wait(WAIT_S)
        client.sock.sendall(b"".join(call_words(tag, 100 + tag, LARGE_BODY) for tag in range(1, 5)))
        if way == "half-close":
            client.sock.shutdown(socket.SHUT_WR)
        elif way == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if way != "half-close":
            client.sock.close()
        resume.set()
        eventually(lambda: service.frontend.connections == 2)
        assert other.call_and_read(subject=9)[0] == "OK"
        assert host.next_message()["with"]["k"] == f"{9:016x}"
        assert host.messages.empty()


def test_an_id_is_not_sent_again_after_its_client_left(blocked_host: BlockedHost) -> None:
    """Guards against a second run of a call whose client left and came back (issue 68 c)."""
    with gateway(StubDnsServer(HostEntry("s-1", blocked_host.address))) as service:
        first = Client(service.frontend.address)
        first.sock.sendall(call_words(1, 42))
        assert blocked_host.next_message()["tag"] == f"{42:016x}"
        first.sock.close()
        eventually(lambda: service.frontend.open_calls == 0)
        again = Client(service.frontend.address)
        again.sock.sendall(call_words(1, 42))
        assert again.read()[:2] == (1, "FAILED")
        blocked_host.release.set()
        again.sock.sendall(call_words(2, 43))
        assert again.read()[:2] == (2, "OK")
        messages = [blocked_host.next_message() for _ in range(blocked_host.messages.qsize())]
        assert [message["tag"] for message in messages if message["what"] == "CALL"].count(f"{42:016x}") == 0


@pytest.fixture
def blocked_host() -> BlockedHost:
    return BlockedHost()


def test_ids_stay_in_use_until_their_deadline_and_in_bounded_number() -> None:
    ids = OpenRequestIds(max_recent=3)
    assert ids.add("never ran", 0.0)
    ids.remove("never ran", 1.0, 1.0)
    assert ids.add("never ran", 1.0)
    assert ids.add("ran", 1.0)
    ids.remove("ran", 2.0, 5.0)
    assert len(ids) == 1
    assert not ids.add("ran", 4.9)
    assert ids.add("ran", 5.0)
    for number in range(10):
        assert ids.add(f"id-{number}", 6.0)
        ids.remove(f"id-{number}", 6.0, 9.0)
    assert ids.recent_count == 3
    assert ids.add("id-0", 6.0)
    assert not ids.add("id-9", 6.0)
    ids.remove("id-0", 9.0, 9.0)
    assert ids.recent_count == 0
