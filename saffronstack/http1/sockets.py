"""Reads messages from blocking sockets, with a deadline for the whole message rather than for each read."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from saffronstack.http1.reader import MessageReader
from saffronstack.net.accept_queue import stop_handshakes
from saffronstack.net.stream import PeerClosed, Stream

__all__ = ["PeerClosed", "Stream", "read_until", "stop_handshakes"]
T = TypeVar("T")
SMALL_READ_BYTES = 1024
MAX_SMALL_READS = 8  # of one message, before reads are spaced
READ_SPACING_S = 0.01


def _ignore_count(count: int) -> None:
    """Do nothing with the number of received bytes."""


def read_until(
    stream: Stream,
    reader: MessageReader,
    take_message: Callable[[], T | None],
    deadline_s: float,
    clock: Callable[[], float],
    on_received: Callable[[int], None] = _ignore_count,
) -> T:
    """Read from a stream until ``take_message`` returns something, and return it.

    Args:
        stream: The stream.
        reader: Parses the bytes.
        take_message: Returns the message once it is complete; a method of the reader.
        deadline_s: Clock time until which the message must be complete.
        clock: Monotonic clock in seconds.
        on_received: Is called with the number of bytes of each read.

    Raises:
        TimeoutError: ``deadline_s`` (clock time, seconds) passed, even if bytes kept arriving slowly.
        PeerClosed: The peer closed its side before the message was complete.
        HttpError: The reader rejected the message.
        OSError: The connection failed.
    """
    while True:
        message = take_message()
        if message is not None:
            return message
        if reader.ended:
            raise PeerClosed("the peer closed the connection")
        remaining_s = deadline_s - clock()
        if remaining_s <= 0:
            raise TimeoutError("message was not received before the deadline")
        received = stream.receive(remaining_s)
        reader.feed(received)
        on_received(len(received))


def read_spaced(
    stream: Stream,
    reader: MessageReader,
    take_message: Callable[[], T | None],
    deadline_s: float,
    clock: Callable[[], float],
    on_received: Callable[[int], None] = _ignore_count,
    sleep: Callable[[float], None] = time.sleep,
) -> T:
    """Read like `read_until`, and space the reads of a message that arrives in many small pieces.

    Without that, clients that send byte by byte would take up a processor with reads.
    """
    small_reads = 0

    def count_small_read(count: int) -> None:
        nonlocal small_reads
        on_received(count)
        small_reads += count < SMALL_READ_BYTES
        if small_reads > MAX_SMALL_READS and count:
            sleep(READ_SPACING_S)

    return read_until(stream, reader, take_message, deadline_s, clock, count_small_read)
