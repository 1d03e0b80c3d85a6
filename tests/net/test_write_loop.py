"""The thread that writes for sockets which were full: slow readers must not delay the others."""

from __future__ import annotations

import io
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from saffronstack.net.write_buffer import STALL_CHECK_S, OutgoingMessage, WriteBuffer, WriteLoop
from saffronstack.runtime.logs import KeyValueLogger, Logger
from tests.support.stack import eventually

STALL_S = 2.0
MESSAGE_BYTES = 400_000
WAIT_S = 20.0


class Clock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class CountingBuffer(WriteBuffer):
    """Counts how often it is looked at for a peer that takes nothing."""

    looks = 0

    def break_if_stalled(self) -> bool:
        self.looks += 1
        return super().break_if_stalled()


@contextmanager
def running(clock: Clock, log: Logger | None = None) -> Iterator[WriteLoop]:
    """A loop that ends with the test."""
    loop = WriteLoop(clock, log)
    loop.start()
    try:
        _, _, peer = full(loop, clock)
        read(peer, MESSAGE_BYTES)  # it runs, and has read the clock before the test moves it
        yield loop
    finally:
        assert loop.stop()


def full(loop: WriteLoop, clock: Clock) -> tuple[CountingBuffer, socket.socket, socket.socket]:
    """A buffer whose peer has not read: most of its message waits."""
    ours, peer = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    peer.settimeout(WAIT_S)
    buffer = CountingBuffer(ours, loop, 2 * MESSAGE_BYTES, STALL_S, clock)
    assert buffer.send(OutgoingMessage(b"x" * MESSAGE_BYTES))
    assert buffer.has_pending
    return buffer, ours, peer


def read(peer: socket.socket, size: int) -> None:
    """Take so many bytes, in many small reads, each of which wakes the loop."""
    while size > 0:
        size -= len(peer.recv(min(size, 8192)))


def test_a_crowd_of_peers_that_take_nothing_is_not_looked_at_for_each_write() -> None:
    clock = Clock()
    with running(clock) as loop:
        stuck = [full(loop, clock) for _ in range(30)]
        _, _, reader = full(loop, clock)
        read(reader, MESSAGE_BYTES)
        assert [buffer.looks for buffer, _, _ in stuck] == [0] * 30  # no time has passed
        clock.now += STALL_CHECK_S
        _, _, reader = full(loop, clock)
        read(reader, MESSAGE_BYTES)
        assert eventually(lambda: all(buffer.looks for buffer, _, _ in stuck), WAIT_S)
        assert max(buffer.looks for buffer, _, _ in stuck) == 1


def test_a_peer_that_takes_nothing_for_too_long_is_shut_down_and_the_others_go_on() -> None:
    clock = Clock()
    with running(clock) as loop:
        stuck, _, deaf = full(loop, clock)
        _, _, other = full(loop, clock)
        read(other, MESSAGE_BYTES)  # the loop holds the one before it, and has written what it could
        clock.now += STALL_S
        _, _, reader = full(loop, clock)  # still in time
        clock.now += 2 * STALL_CHECK_S
        assert eventually(lambda: stuck.is_broken, WAIT_S)
        read(reader, MESSAGE_BYTES)
        held = 0
        while data := deaf.recv(65536):
            held += len(data)
        assert held < MESSAGE_BYTES  # what had left, and then the end


def test_a_descriptor_that_is_closed_and_given_anew_is_written_for_its_new_owner() -> None:
    clock = Clock()
    with running(clock) as loop:
        old, ours, _ = full(loop, clock)
        number = ours.fileno()
        old.discard()
        ours.close()
        pairs = [full(loop, clock) for _ in range(2)]
        assert number in [sock.fileno() for _, sock, _ in pairs]
        for _, _, peer in pairs:
            read(peer, MESSAGE_BYTES)
        assert eventually(lambda: not any(buffer.has_pending for buffer, _, _ in pairs), WAIT_S)


def test_a_fault_of_a_message_breaks_its_buffer_alone_and_is_logged() -> None:
    class Faulty(OutgoingMessage):
        def prepare_to_send(self) -> bool:
            raise KeyError("a fault of its own")

    clock, log = Clock(), io.StringIO()
    with running(clock, KeyValueLogger("test", log)) as loop:
        broken, _, peer = full(loop, clock)
        _, _, other = full(loop, clock)
        assert broken.send(Faulty(b"x"))
        read(peer, MESSAGE_BYTES)
        assert peer.recv(1) == b""  # shut down
        read(other, MESSAGE_BYTES)
        assert broken.is_broken
        assert "writing to a socket failed\nTraceback" in log.getvalue()


def test_messages_sent_while_the_loop_empties_a_buffer_all_leave_in_order() -> None:
    clock = Clock()
    with running(clock) as loop:
        ours, peer = socket.socketpair()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        peer.settimeout(WAIT_S)
        buffer = WriteBuffer(ours, loop, 64 << 20, STALL_S, clock)
        words = [b"%06d" % number * 500 for number in range(400)]
        sender = threading.Thread(target=lambda: [buffer.send(OutgoingMessage(word)) for word in words])
        sender.start()
        whole = b"".join(words)
        came = b""
        while len(came) < len(whole):
            came += peer.recv(5000)
        sender.join(WAIT_S)
        assert came == whole
