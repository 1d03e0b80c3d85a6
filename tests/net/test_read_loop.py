"""One thread reads for all: what ends one socket ends no other, and none is left behind."""

from __future__ import annotations

import io
import os
import queue
import socket
import threading
from collections.abc import Iterator

import pytest

from saffronstack.net.read_loop import ReadLoop
from saffronstack.runtime.logs import KeyValueLogger
from saffronstack.standin.platform import Directory, Entry
from tests.support.platform import WAIT_S, Client, ScriptedHost, gateway


class FakeHandler:
    """A handler over one end of a pair; what it read and its end go to a queue."""

    def __init__(self, sock: socket.socket, fault: bool = False) -> None:
        self.sock, self.fault = sock, fault
        self.received: queue.Queue[bytes | None] = queue.Queue()
        self.is_wanted = True

    def fileno(self) -> int:
        return self.sock.fileno()

    def on_readable(self, buffer: bytearray, view: memoryview) -> bool:
        came = self.sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        if self.fault:
            raise KeyError("a fault of its own")
        if came:
            self.received.put(bytes(view[:came]))
        return came > 0

    def on_tick(self, now_s: float) -> bool:
        return self.is_wanted

    def on_released(self) -> None:
        self.sock.close()
        self.received.put(None)


RunningLoop = tuple[ReadLoop, io.StringIO]


@pytest.fixture
def running_loop() -> Iterator[RunningLoop]:
    """A loop whose clock passes a second at each reading, and its log."""
    log = io.StringIO()
    now = iter(range(10**9))
    loop = ReadLoop(lambda: float(next(now)), KeyValueLogger("test", log))
    loop.start()
    yield loop, log
    assert loop.stop()


def test_each_handler_reads_its_own_socket_and_a_fault_releases_it_alone(running_loop: RunningLoop) -> None:
    loop, log = running_loop
    pairs = [socket.socketpair() for _ in range(3)]
    handlers = [FakeHandler(far, fault=n == 1) for n, (_, far) in enumerate(pairs)]
    assert all(loop.watch(handler) for handler in handlers)
    for n, (near, _) in enumerate(pairs):
        near.sendall(b"%d" % n)
    assert [handlers[n].received.get(timeout=WAIT_S) for n in (0, 2)] == [b"0", b"2"]
    assert handlers[1].received.get(timeout=WAIT_S) is None
    assert "KeyError" in log.getvalue()
    pairs[0][0].close()
    assert handlers[0].received.get(timeout=WAIT_S) is None
    pairs[2][0].sendall(b"still")
    assert handlers[2].received.get(timeout=WAIT_S) == b"still"
    for near, _ in pairs:
        near.close()


def test_a_handler_that_declines_a_tick_is_released(running_loop: RunningLoop) -> None:
    loop, _ = running_loop
    near, far = socket.socketpair()
    handler = FakeHandler(far)
    handler.is_wanted = False
    with near:
        assert loop.watch(handler)
        assert handler.received.get(timeout=WAIT_S) is None


def test_a_stop_releases_every_handler_and_accepts_no_other() -> None:
    loop = ReadLoop(lambda: 0.0, KeyValueLogger("test", io.StringIO()))
    loop.start()
    pairs = [socket.socketpair() for _ in range(2)]
    watched, late = (FakeHandler(far) for _, far in pairs)
    assert loop.watch(watched)
    assert loop.stop()
    assert watched.received.get(timeout=WAIT_S) is None
    assert not loop.watch(late)
    for near, _ in pairs:
        near.close()
    late.sock.close()


def detached_threads() -> set[int]:
    """Native ids of this process's threads that `threading` doesn't list."""
    running = {int(thread_id) for thread_id in os.listdir("/proc/self/task")}
    return running - {thread.native_id for thread in threading.enumerate() if thread.native_id}


def test_established_connections_need_no_threads() -> None:
    """Forty workers with a connection each: as many as a fleet of gateways has on one machine."""
    detached_before = detached_threads()
    hosts = [ScriptedHost() for _ in range(40)]
    directory = Directory(*(Entry(f"s-{n}", host.address) for n, host in enumerate(hosts)))
    with gateway(directory, sockets=512) as service:
        client = Client(service.frontend.address)
        subject = 0
        while service.dispatcher.connection_count < 30:
            subject += 1
            assert subject < 2000
            assert client.ask(subject=subject)[0] == "OK"
        assert len(detached_threads() - detached_before) <= 1  # one that still connects
        client.sock.close()
    assert service.dispatcher.connection_count == 0
    for host in hosts:
        host.close()


def test_clients_are_served_where_the_system_has_no_threads_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections used to need a thread each: one was turned away after two seconds without any, unheard."""
    host = ScriptedHost()
    directory = Directory(Entry("s-1", host.address))

    def none(*arguments: object, **options: object) -> object:
        raise RuntimeError("can't start new thread")

    with gateway(directory) as service:
        first = Client(service.frontend.address)
        assert first.ask() == ("OK", b"x")  # a connection to the worker is established
        before = threading.active_count()
        monkeypatch.setattr("saffronstack.runtime.threads.threading.Thread.start", none)
        monkeypatch.setattr("saffronstack.runtime.threads._thread.start_new_thread", none)
        crowd = [Client(service.frontend.address) for _ in range(50)]
        assert {client.ask() for client in crowd} == {("OK", b"x")}
        monkeypatch.undo()
        assert threading.active_count() <= before
        for client in (first, *crowd):
            client.sock.close()
    host.close()
