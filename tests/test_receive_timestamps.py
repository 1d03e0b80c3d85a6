"""What the kernel says of when data came: a reader that a busy machine delays accuses nobody."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import pytest

from saffronstack.standin.receive_timestamps import TimestampedReader, enable_timestamps

Pair = tuple[socket.socket, socket.socket]


@pytest.fixture
def pair() -> Iterator[Pair]:
    """Two ends of a connection, the second one's times noted from the first byte on."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        enable_timestamps(listener)
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
        far.settimeout(10.0)
        with near, far:
            # The system begins to note times soon after the first socket asks for it, not at once.
            end_s, noted = time.monotonic() + 10.0, False
            while not noted and time.monotonic() < end_s:
                near.sendall(b".")
                noted = bool(far.recvmsg(1, 64)[1])
            yield near, far


def test_what_is_read_late_lay_there_so_long(pair: Pair) -> None:
    near, far = pair
    near.sendall(b"call\n")
    # The reader's clock stands seven seconds after the kernel's: so late does it read.
    reader = TimestampedReader(far, wall_clock=lambda: time.time() + 7.0)
    assert reader.recv(64) == b"call\n"
    assert 6.99 <= time.monotonic() - reader.received_s < 12.0


def test_a_thread_that_is_held_up_after_the_read_changes_nothing(pair: Pair) -> None:
    near, far = pair
    now = [100.0]

    def held_up() -> float:
        now[0] += 0.001  # each look at a clock takes a while
        return now[0]

    reader = TimestampedReader(far, wall_clock=lambda: time.time() - time.monotonic() + now[0], clock=held_up)
    near.sendall(b"call\n")
    assert reader.recv(64) == b"call\n"
    now[0] += 50.0
    assert reader.received_s < 101.0


@pytest.mark.parametrize("step_s", [-3600.0, -1.0, 1.0, 3600.0])
def test_a_clock_that_was_set_since_the_last_read_accuses_nobody(pair: Pair, step_s: float) -> None:
    near, far = pair
    set_by = [0.0]
    reader = TimestampedReader(far, wall_clock=lambda: time.time() + 7.0 + set_by[0])
    near.sendall(b"call\n")
    set_by[0] = step_s
    before_s = time.monotonic()
    assert reader.recv(64) == b"call\n"
    assert reader.received_s >= before_s
    near.sendall(b"next\n")
    assert reader.recv(64) == b"next\n"
    assert time.monotonic() - reader.received_s >= max(0.0, 6.99 + step_s)


def test_lines_come_one_at_a_time_whole_and_the_rest_at_the_end(pair: Pair) -> None:
    near, far = pair
    near.sendall(b"one\ntwo\nth")
    reader = TimestampedReader(far)
    assert [reader.read_line(64), reader.read_line(64)] == [b"one\n", b"two\n"]
    near.sendall(b"ree\n" + b"x" * 10 + b"\nrest")
    near.shutdown(socket.SHUT_WR)
    assert [reader.read_line(64), reader.read_line(4), reader.read_line(64)] == [
        b"three\n",
        b"xxxx",
        b"xxxxxx\n",
    ]
    assert [reader.read_line(64), reader.read_line(64)] == [b"rest", b""]


def test_a_line_with_more_behind_it_counts_as_come_after_the_last_read(pair: Pair) -> None:
    """The kernel keeps one moment of two segments that it joins: the later one's."""
    near, far = pair
    now = [100.0]
    reader = TimestampedReader(
        far, wall_clock=lambda: time.time() - time.monotonic() + now[0], clock=lambda: now[0]
    )
    near.sendall(b"one\n")
    near.sendall(b"two\n")
    while len(far.recv(64, socket.MSG_PEEK)) < 8:
        pass
    now[0] = 103.0
    assert reader.read_line(64) == b"one\n"
    assert now[0] - reader.received_s >= 2.99
    assert reader.read_line(64) == b"two\n"


class JoinsOnRead:
    """A socket to which a second line comes between the look at the first one and its read."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self._near, self._far = near, far

    def recv(self, size: int, flags: int = 0) -> bytes:
        return self._far.recv(size, flags)

    def recvmsg(self, size: int, more: int) -> tuple[bytes, list[tuple[int, int, bytes]], int, object]:
        self._near.sendall(b"two\n")
        while len(self._far.recv(64, socket.MSG_PEEK)) < 8:
            pass
        return self._far.recvmsg(size, more)

    def fileno(self) -> int:
        return self._far.fileno()

    def setsockopt(self, *option: int) -> None:
        self._far.setsockopt(*option)


def test_a_line_that_another_one_joins_while_it_is_read_keeps_the_earliest_moment(pair: Pair) -> None:
    near, far = pair
    now = [100.0]
    joins = JoinsOnRead(near, far)
    reader = TimestampedReader(
        joins,  # type: ignore[arg-type]
        wall_clock=lambda: time.time() - time.monotonic() + now[0], clock=lambda: now[0],
    )  # fmt: skip
    near.sendall(b"one\n")
    while len(far.recv(64, socket.MSG_PEEK)) < 4:
        pass
    now[0] = 103.0
    assert reader.read_line(64) == b"one\n"
    assert now[0] - reader.received_s >= 2.99
