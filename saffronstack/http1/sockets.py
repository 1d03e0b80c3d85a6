"""Reads messages from blocking sockets, with a deadline for the whole message rather than for each read."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from saffronstack.http1.reader import MessageReader
from saffronstack.net.accept_queue import stop_handshakes
from saffronstack.net.stream import PeerClosed, Stream

__all__ = ["PeerClosed", "Stream", "read_until", "stop_handshakes"]
T = TypeVar("T")


def read_until(
    stream: Stream,
    reader: MessageReader,
    take_message: Callable[[], T | None],
    deadline_s: float,
    clock: Callable[[], float],
) -> T:
    """Read from a stream until ``take_message`` returns something, and return it.

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
        reader.feed(stream.receive(remaining_s))
