"""What waits in a write buffer: messages dropped before their first byte, overflow and stalls."""

from __future__ import annotations

import socket

import pytest

from saffronstack.net.write_buffer import OutgoingMessage, SendProgress, WriteBuffer, WriteLoop
from tests.support.limited_socket import LimitedSocket


class DroppableMessage(OutgoingMessage):
    """Stands until it is barred."""

    __slots__ = ("is_barred", "is_dropped")

    def __init__(self, data: bytes) -> None:
        super().__init__(data)
        self.is_barred = self.is_dropped = False

    def prepare_to_send(self) -> bool:
        return not self.is_barred

    def on_dropped(self) -> None:
        self.is_dropped = True


def write_buffer(sock: LimitedSocket, now: list[float], most: int = 100) -> WriteBuffer:
    return WriteBuffer(sock, WriteLoop(lambda: now[0]), most, 2.0, lambda: now[0])  # type: ignore[arg-type]


def test_what_waits_in_an_outbox_is_asked_again_before_its_first_byte() -> None:
    sock = LimitedSocket(3)
    out = write_buffer(sock, [0.0])
    first, second, third = DroppableMessage(b"first"), DroppableMessage(b"second"), DroppableMessage(b"third")
    assert out.send(first)
    assert out.send(second)
    assert out.send(third)
    assert (first.progress, second.progress) == (SendProgress.PARTIAL, SendProgress.NOTHING)
    first.is_barred = second.is_barred = True  # the first has begun, and half of it would be no message
    sock.capacity = 100
    assert out.flush()
    assert sock.taken == b"firstthird"
    assert first.progress is SendProgress.COMPLETE
    assert not first.is_dropped
    assert second.progress is SendProgress.NOTHING
    assert second.is_dropped


def test_an_outbox_that_overflows_or_stalls_breaks_its_socket() -> None:
    sock, now = LimitedSocket(1), [0.0]
    out = write_buffer(sock, now, 10)
    assert out.send(OutgoingMessage(b"12345"))
    assert out.send(OutgoingMessage(b"123456"))
    assert not out.send(OutgoingMessage(b"7"))
    assert sock.shut
    sock = LimitedSocket(1)
    out = write_buffer(sock, now)
    assert out.send(OutgoingMessage(b"12345"))
    now[0] = 1.9
    assert not out.break_if_stalled()
    now[0] = 2.1
    assert out.break_if_stalled()
    assert sock.shut
    assert not out.send(OutgoingMessage(b"x"))


def test_a_stopped_writer_writes_into_no_ones_descriptor() -> None:
    writer = WriteLoop(lambda: 0.0)
    writer.start()
    assert writer.stop()
    reused, other = socket.socketpair()
    with reused, other:
        other.setblocking(False)
        writer.watch(WriteBuffer(reused, writer, 10, 1.0, lambda: 0.0))
        with pytest.raises(BlockingIOError):
            other.recv(8)
