"""Tests of the read loop: an error on one socket doesn't affect others, and every socket is released."""

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
from saffronstack.standin.platform import HostEntry, StubDnsServer
from tests.support.platform import WAIT_S, Client, ScriptedHost, gateway


class FakeHandler:
    """A handler that queues the data it reads, and None when it is released."""

    def __init__(self, sock: socket.socket, raises: bool = False) -> None:
        self.sock, self.raises = sock, raises
        self.received: queue.Queue[bytes | None] = queue.Queue()
        self.keeps_watching = True

    def fileno(self) -> int:
        return self.sock.fileno()

    def on_readable(self, buffer: bytearray, view: memoryview) -> bool:
        size = self.sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        if self.raises:
            raise KeyError("raised by a test")
        if size:
            self.received.put(bytes(view[:size]))
        return size > 0

    def on_tick(self, now_s: float) -> bool:
        return self.keeps_watching

    def on_released(self) -> None:
        self.sock.close()
        self.received.put(None)


RunningLoop = tuple[ReadLoop, io.StringIO]


@pytest.fixture
def running_loop() -> Iterator[RunningLoop]:
    """A running loop and its log; its clock advances by a second at each reading."""
    log = io.StringIO()
    now = iter(range(10**9))
    loop = ReadLoop(lambda: float(next(now)), KeyValueLogger("test", log))
    loop.start()
    yield loop, log
    assert loop.stop()


def test_an_exception_in_a_handler_releases_only_that_handler(running_loop: RunningLoop) -> None:
    loop, log = running_loop
    pairs = [socket.socketpair() for _ in range(3)]
    handlers = [FakeHandler(far, raises=n == 1) for n, (_, far) in enumerate(pairs)]
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


def test_a_handler_whose_tick_returns_false_is_released(running_loop: RunningLoop) -> None:
    loop, _ = running_loop
    near, far = socket.socketpair()
    handler = FakeHandler(far)
    handler.keeps_watching = False
    with near:
        assert loop.watch(handler)
        assert handler.received.get(timeout=WAIT_S) is None


def test_a_stop_releases_every_handler_and_rejects_new_ones() -> None:
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
    """Return the native IDs of this process's threads that `threading` doesn't list."""
    running = {int(thread_id) for thread_id in os.listdir("/proc/self/task")}
    return running - {thread.native_id for thread in threading.enumerate() if thread.native_id}


def test_established_connections_need_no_threads() -> None:
    """Connects to forty workers. A thread for each connection would exhaust a machine with many gateways."""
    detached_before = detached_threads()
    hosts = [ScriptedHost() for _ in range(40)]
    directory = StubDnsServer(*(HostEntry(f"s-{n}", host.address) for n, host in enumerate(hosts)))
    with gateway(directory, sockets=512) as service:
        client = Client(service.frontend.address)
        subject = 0
        while service.dispatcher.connection_count < 30:
            subject += 1
            assert subject < 2000
            assert client.call_and_read(subject=subject)[0] == "OK"
        assert len(detached_threads() - detached_before) <= 1  # a connection attempt may still be running
        client.sock.close()
    assert service.dispatcher.connection_count == 0
    for host in hosts:
        host.close()


def test_clients_are_served_when_no_thread_can_be_started(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a thread for each connection, a client was disconnected unserved after two seconds without one."""
    host = ScriptedHost()
    directory = StubDnsServer(HostEntry("s-1", host.address))

    def fail_to_start(*arguments: object, **options: object) -> object:
        raise RuntimeError("can't start new thread")

    with gateway(directory) as service:
        first = Client(service.frontend.address)
        assert first.call_and_read() == ("OK", b"x")  # a connection to the worker is established
        before = threading.active_count()
        monkeypatch.setattr("saffronstack.runtime.threads.threading.Thread.start", fail_to_start)
        monkeypatch.setattr("saffronstack.runtime.threads._thread.start_new_thread", fail_to_start)
        clients = [Client(service.frontend.address) for _ in range(50)]
        assert {client.call_and_read() for client in clients} == {("OK", b"x")}
        monkeypatch.undo()
        assert threading.active_count() <= before
        for client in (first, *clients):
            client.sock.close()
    host.close()
