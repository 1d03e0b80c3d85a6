"""Tests of the write loop: peers that read slowly must not delay others."""

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
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class CountingBuffer(WriteBuffer):
    """Counts how often the loop checks it for a stall."""

    checks = 0

    def break_if_stalled(self) -> bool:
        self.checks += 1
        return super().break_if_stalled()


@contextmanager
def running_loop(clock: Clock, log: Logger | None = None) -> Iterator[WriteLoop]:
    """Run a loop until the end of the test."""
    loop = WriteLoop(clock, log)
    loop.start()
    try:
        _, _, peer = add_full_buffer(loop, clock)
        read_bytes(peer, MESSAGE_BYTES)  # the loop has read the clock before the test advances it
        yield loop
    finally:
        assert loop.stop()


def add_full_buffer(loop: WriteLoop, clock: Clock) -> tuple[CountingBuffer, socket.socket, socket.socket]:
    """Return a buffer with most of a message queued, its socket and its peer, which has not read yet."""
    ours, peer = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    peer.settimeout(WAIT_S)
    buffer = CountingBuffer(ours, loop, 2 * MESSAGE_BYTES, STALL_S, clock)
    assert buffer.send(OutgoingMessage(b"x" * MESSAGE_BYTES))
    assert buffer.has_pending
    return buffer, ours, peer


def read_bytes(peer: socket.socket, size: int) -> None:
    """Read ``size`` bytes in many small reads, each of which wakes the loop."""
    while size > 0:
        size -= len(peer.recv(min(size, 8192)))


def test_stalled_buffers_are_not_checked_on_every_write() -> None:
    clock = Clock()
    with running_loop(clock) as loop:
        stalled = [add_full_buffer(loop, clock) for _ in range(30)]
        _, _, reader = add_full_buffer(loop, clock)
        read_bytes(reader, MESSAGE_BYTES)
        assert [buffer.checks for buffer, _, _ in stalled] == [0] * 30  # the clock has not advanced
        clock.now += STALL_CHECK_S
        _, _, reader = add_full_buffer(loop, clock)
        read_bytes(reader, MESSAGE_BYTES)
        assert eventually(lambda: all(buffer.checks for buffer, _, _ in stalled), WAIT_S)
        assert max(buffer.checks for buffer, _, _ in stalled) == 1


def test_a_stalled_peer_is_shut_down_and_other_peers_are_still_served() -> None:
    clock = Clock()
    with running_loop(clock) as loop:
        stalled, _, stalled_peer = add_full_buffer(loop, clock)
        _, _, other = add_full_buffer(loop, clock)
        read_bytes(other, MESSAGE_BYTES)  # the loop has added and flushed the stalled buffer before
        clock.now += STALL_S
        _, _, reader = add_full_buffer(loop, clock)  # its stall timeout has not expired
        clock.now += 2 * STALL_CHECK_S
        assert eventually(lambda: stalled.is_broken, WAIT_S)
        read_bytes(reader, MESSAGE_BYTES)
        received = 0
        while data := stalled_peer.recv(65536):
            received += len(data)
        assert received < MESSAGE_BYTES  # only what was sent before the shutdown


def test_a_reused_descriptor_is_flushed_for_its_new_buffer() -> None:
    clock = Clock()
    with running_loop(clock) as loop:
        old, ours, _ = add_full_buffer(loop, clock)
        descriptor = ours.fileno()
        old.discard()
        ours.close()
        pairs = [add_full_buffer(loop, clock) for _ in range(2)]
        assert descriptor in [sock.fileno() for _, sock, _ in pairs]
        for _, _, peer in pairs:
            read_bytes(peer, MESSAGE_BYTES)
        assert eventually(lambda: not any(buffer.has_pending for buffer, _, _ in pairs), WAIT_S)


def test_an_exception_in_a_message_breaks_only_its_buffer_and_is_logged() -> None:
    class FailingMessage(OutgoingMessage):
        def prepare_to_send(self) -> bool:
            raise KeyError("raised by a test")

    clock, log = Clock(), io.StringIO()
    with running_loop(clock, KeyValueLogger("test", log)) as loop:
        broken, _, peer = add_full_buffer(loop, clock)
        _, _, other = add_full_buffer(loop, clock)
        assert broken.send(FailingMessage(b"x"))
        read_bytes(peer, MESSAGE_BYTES)
        assert peer.recv(1) == b""  # shut down
        read_bytes(other, MESSAGE_BYTES)
        assert broken.is_broken
        assert "writing to a socket failed\nTraceback" in log.getvalue()


def test_messages_sent_while_the_loop_flushes_are_received_in_order() -> None:
    clock = Clock()
    with running_loop(clock) as loop:
        ours, peer = socket.socketpair()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        peer.settimeout(WAIT_S)
        buffer = WriteBuffer(ours, loop, 64 << 20, STALL_S, clock)
        messages = [b"%06d" % number * 500 for number in range(400)]
        sender = threading.Thread(
            target=lambda: [buffer.send(OutgoingMessage(message)) for message in messages]
        )
        sender.start()
        expected = b"".join(messages)
        received = b""
        while len(received) < len(expected):
            received += peer.recv(5000)
        sender.join(WAIT_S)
        assert received == expected
