"""One thread reads for all: what ends one socket ends no other, and none is left behind."""

from __future__ import annotations

import io
import queue
import socket
import threading
from collections.abc import Iterator

import pytest

from saffronstack.net.read_loop import ReadLoop
from saffronstack.runtime.logs import KeyValueLogger
from saffronstack.standin.platform import Directory, Entry
from tests.support.platform import WAIT_S, Client, ScriptedHost, gateway


class Fake:
    """A handler over one end of a pair; what it read and its end go to a queue."""

    def __init__(self, sock: socket.socket, fault: bool = False) -> None:
        self.sock, self.fault = sock, fault
        self.heard: queue.Queue[bytes | None] = queue.Queue()
        self.lives = True

    def fileno(self) -> int:
        return self.sock.fileno()

    def on_readable(self, buffer: bytearray, view: memoryview) -> bool:
        came = self.sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        if self.fault:
            raise KeyError("a fault of its own")
        if came:
            self.heard.put(bytes(view[:came]))
        return came > 0

    def on_tick(self, now_s: float) -> bool:
        return self.lives

    def on_released(self) -> None:
        self.sock.close()
        self.heard.put(None)


Made = tuple[ReadLoop, io.StringIO]


@pytest.fixture
def made() -> Iterator[Made]:
    """A reader whose clock passes a second at each look, and its log."""
    told = io.StringIO()
    now = iter(range(10**9))
    reader = ReadLoop(lambda: float(next(now)), KeyValueLogger("test", told))
    reader.start()
    yield reader, told
    assert reader.stop()


def test_each_hears_its_own_and_a_fault_ends_its_socket_alone(made: Made) -> None:
    reader, told = made
    pairs = [socket.socketpair() for _ in range(3)]
    fakes = [Fake(far, fault=n == 1) for n, (_, far) in enumerate(pairs)]
    assert all(reader.watch(fake) for fake in fakes)
    for n, (near, _) in enumerate(pairs):
        near.sendall(b"%d" % n)
    assert [fakes[0].heard.get(timeout=WAIT_S), fakes[2].heard.get(timeout=WAIT_S)] == [b"0", b"2"]
    assert fakes[1].heard.get(timeout=WAIT_S) is None and "KeyError" in told.getvalue()
    pairs[0][0].close()
    assert fakes[0].heard.get(timeout=WAIT_S) is None
    pairs[2][0].sendall(b"still")
    assert fakes[2].heard.get(timeout=WAIT_S) == b"still"
    for near, _ in pairs:
        near.close()


def test_one_that_is_over_by_its_own_look_is_let_go(made: Made) -> None:
    reader, _ = made
    near, far = socket.socketpair()
    fake = Fake(far)
    fake.lives = False
    with near:
        assert reader.watch(fake)
        assert fake.heard.get(timeout=WAIT_S) is None


def test_a_stop_ends_all_that_is_held_and_takes_nothing_more() -> None:
    reader = ReadLoop(lambda: 0.0, KeyValueLogger("test", io.StringIO()))
    reader.start()
    pairs = [socket.socketpair() for _ in range(2)]
    held, late = (Fake(far) for _, far in pairs)
    assert reader.watch(held)
    assert reader.stop()
    assert held.heard.get(timeout=WAIT_S) is None
    assert not reader.watch(late)
    for near, _ in pairs:
        near.close()
    late.sock.close()


def test_links_take_no_threads_once_they_stand() -> None:
    """Forty hosts, a link to each at least: what a fleet of gateways adds up to on one machine."""
    hosts = [ScriptedHost() for _ in range(40)]
    directory = Directory(*(Entry(f"s-{n}", host.address) for n, host in enumerate(hosts)))
    with gateway(directory, sockets=512) as service:
        client = Client(service.front.address)
        subject = 0
        while service.hosts.connection_count < 30:
            subject += 1
            assert subject < 2000 and client.ask(subject=subject)[0] == "OK"
        named = [thread.name for thread in threading.enumerate()]
        assert named.count("upstream-connect") <= 1, named  # one that still connects
        client.sock.close()
    assert service.hosts.connection_count == 0
    for host in hosts:
        host.close()


def test_clients_are_served_where_the_system_has_no_threads_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections used to need a thread each: one was turned away after two seconds without any, unheard."""
    host = ScriptedHost()
    directory = Directory(Entry("s-1", host.address))

    def none(*arguments: object, **options: object) -> object:
        raise RuntimeError("can't start new thread")

    with gateway(directory) as service:
        first = Client(service.front.address)
        assert first.ask() == ("OK", b"x")  # a link to the host stands
        before = threading.active_count()
        monkeypatch.setattr("saffronstack.runtime.threads.threading.Thread.start", none)
        crowd = [Client(service.front.address) for _ in range(50)]
        assert {client.ask() for client in crowd} == {("OK", b"x")}
        monkeypatch.undo()
        assert threading.active_count() <= before
        for client in (first, *crowd):
            client.sock.close()
    host.close()
