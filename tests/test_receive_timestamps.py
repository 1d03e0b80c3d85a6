"""The kernel's receive timestamps: an audited gateway is not blamed when a busy machine delays the reader."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import pytest

from saffronstack.standin.receive_timestamps import TimestampedReader, enable_timestamps

Pair = tuple[socket.socket, socket.socket]


@pytest.fixture
def pair() -> Iterator[Pair]:
    """Return both ends of a connection; the second one has timestamps from the first byte on."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        enable_timestamps(listener)
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
        receiver.settimeout(10.0)
        with sender, receiver:
            # The kernel starts to stamp segments only some time after the first socket enables timestamps.
            end_s, has_timestamp = time.monotonic() + 10.0, False
            while not has_timestamp and time.monotonic() < end_s:
                sender.sendall(b".")
                has_timestamp = bool(receiver.recvmsg(1, 64)[1])
            yield sender, receiver


def test_data_that_is_read_late_keeps_its_time_of_arrival(pair: Pair) -> None:
    sender, receiver = pair
    sender.sendall(b"call\n")
    # The reader's clock is seven seconds ahead of the kernel's, as if it read seven seconds late.
    reader = TimestampedReader(receiver, wall_clock=lambda: time.time() + 7.0)
    assert reader.recv(64) == b"call\n"
    assert 6.99 <= time.monotonic() - reader.received_s < 12.0


def test_a_delay_after_the_read_does_not_change_the_time_of_arrival(pair: Pair) -> None:
    sender, receiver = pair
    now = [100.0]

    def slow_clock() -> float:
        now[0] += 0.001  # each reading of the clock takes a while
        return now[0]

    reader = TimestampedReader(
        receiver, wall_clock=lambda: time.time() - time.monotonic() + now[0], clock=slow_clock
    )
    sender.sendall(b"call\n")
    assert reader.recv(64) == b"call\n"
    now[0] += 50.0
    assert reader.received_s < 101.0


@pytest.mark.parametrize("step_s", [-3600.0, -1.0, 1.0, 3600.0])
def test_data_counts_as_just_arrived_if_the_clock_was_set_since_the_last_read(
    pair: Pair, step_s: float
) -> None:
    sender, receiver = pair
    step = [0.0]
    reader = TimestampedReader(receiver, wall_clock=lambda: time.time() + 7.0 + step[0])
    sender.sendall(b"call\n")
    step[0] = step_s
    before_s = time.monotonic()
    assert reader.recv(64) == b"call\n"
    assert reader.received_s >= before_s
    sender.sendall(b"next\n")
    assert reader.recv(64) == b"next\n"
    assert time.monotonic() - reader.received_s >= max(0.0, 6.99 + step_s)


def test_lines_are_returned_one_at_a_time_and_the_rest_at_the_end(pair: Pair) -> None:
    sender, receiver = pair
    sender.sendall(b"one\ntwo\nth")
    reader = TimestampedReader(receiver)
    assert [reader.read_line(64), reader.read_line(64)] == [b"one\n", b"two\n"]
    sender.sendall(b"ree\n" + b"x" * 10 + b"\nrest")
    sender.shutdown(socket.SHUT_WR)
    assert [reader.read_line(64), reader.read_line(4), reader.read_line(64)] == [
        b"three\n",
        b"xxxx",
        b"xxxxxx\n",
    ]
    assert [reader.read_line(64), reader.read_line(64)] == [b"rest", b""]


def test_a_line_with_data_after_it_counts_as_received_after_the_last_read(pair: Pair) -> None:
    """The kernel keeps only the later timestamp of two segments that it merges."""
    sender, receiver = pair
    now = [100.0]
    reader = TimestampedReader(
        receiver, wall_clock=lambda: time.time() - time.monotonic() + now[0], clock=lambda: now[0]
    )
    sender.sendall(b"one\n")
    sender.sendall(b"two\n")
    while len(receiver.recv(64, socket.MSG_PEEK)) < 8:
        pass
    now[0] = 103.0
    assert reader.read_line(64) == b"one\n"
    assert now[0] - reader.received_s >= 2.99
    assert reader.read_line(64) == b"two\n"


class MergingSocket:
    """A socket that receives a second line between the peek at the first line and its read."""

    def __init__(self, sender: socket.socket, receiver: socket.socket) -> None:
        self._sender, self._receiver = sender, receiver

    def recv(self, size: int, flags: int = 0) -> bytes:
        return self._receiver.recv(size, flags)

    def recvmsg(self, size: int, more: int) -> tuple[bytes, list[tuple[int, int, bytes]], int, object]:
        self._sender.sendall(b"two\n")
        while len(self._receiver.recv(64, socket.MSG_PEEK)) < 8:
            pass
        return self._receiver.recvmsg(size, more)

    def fileno(self) -> int:
        return self._receiver.fileno()

    def setsockopt(self, *option: int) -> None:
        self._receiver.setsockopt(*option)


def test_a_line_that_is_merged_with_another_during_the_read_keeps_the_earliest_time(pair: Pair) -> None:
    sender, receiver = pair
    now = [100.0]
    merging = MergingSocket(sender, receiver)
    reader = TimestampedReader(
        merging,  # type: ignore[arg-type]
        wall_clock=lambda: time.time() - time.monotonic() + now[0], clock=lambda: now[0],
    )  # fmt: skip
    sender.sendall(b"one\n")
    while len(receiver.recv(64, socket.MSG_PEEK)) < 4:
        pass
    now[0] = 103.0
    assert reader.read_line(64) == b"one\n"
    assert now[0] - reader.received_s >= 2.99
