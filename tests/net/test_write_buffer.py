"""Tests of the write buffer: messages dropped before their first byte, overflow and stalls."""

from __future__ import annotations

import socket

import pytest

from saffronstack.net.write_buffer import OutgoingMessage, SendProgress, WriteBuffer, WriteLoop
from tests.support.limited_socket import LimitedSocket


class DroppableMessage(OutgoingMessage):
    """A message that a test may cancel before its first byte is sent."""

    __slots__ = ("is_cancelled", "is_dropped")

    def __init__(self, data: bytes) -> None:
        super().__init__(data)
        self.is_cancelled = self.is_dropped = False

    def prepare_to_send(self) -> bool:
        return not self.is_cancelled

    def on_dropped(self) -> None:
        self.is_dropped = True


def make_buffer(sock: LimitedSocket, now: list[float], max_bytes: int = 100) -> WriteBuffer:
    return WriteBuffer(sock, WriteLoop(lambda: now[0]), max_bytes, 2.0, lambda: now[0])  # type: ignore[arg-type]


def test_a_queued_message_is_prepared_right_before_its_first_byte() -> None:
    sock = LimitedSocket(3)
    buffer = make_buffer(sock, [0.0])
    first, second, third = DroppableMessage(b"first"), DroppableMessage(b"second"), DroppableMessage(b"third")
    assert buffer.send(first)
    assert buffer.send(second)
    assert buffer.send(third)
    assert (first.progress, second.progress) == (SendProgress.PARTIAL, SendProgress.NOTHING)
    first.is_cancelled = second.is_cancelled = True  # too late for the first one, which is partly sent
    sock.capacity = 100
    assert buffer.flush()
    assert sock.sent == b"firstthird"
    assert first.progress is SendProgress.COMPLETE
    assert not first.is_dropped
    assert second.progress is SendProgress.NOTHING
    assert second.is_dropped


def test_a_buffer_that_overflows_or_stalls_shuts_down_its_socket() -> None:
    sock, now = LimitedSocket(1), [0.0]
    buffer = make_buffer(sock, now, 10)
    assert buffer.send(OutgoingMessage(b"12345"))
    assert buffer.send(OutgoingMessage(b"123456"))
    assert not buffer.send(OutgoingMessage(b"7"))
    assert sock.shut
    sock = LimitedSocket(1)
    buffer = make_buffer(sock, now)
    assert buffer.send(OutgoingMessage(b"12345"))
    now[0] = 1.9
    assert not buffer.break_if_stalled()
    now[0] = 2.1
    assert buffer.break_if_stalled()
    assert sock.shut
    assert not buffer.send(OutgoingMessage(b"x"))


def test_a_stopped_write_loop_does_not_write_to_a_reused_descriptor() -> None:
    loop = WriteLoop(lambda: 0.0)
    loop.start()
    assert loop.stop()
    reused, peer = socket.socketpair()
    with reused, peer:
        peer.setblocking(False)
        loop.watch(WriteBuffer(reused, loop, 10, 1.0, lambda: 0.0))
        with pytest.raises(BlockingIOError):
            peer.recv(8)
