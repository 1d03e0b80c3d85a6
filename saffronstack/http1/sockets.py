"""Messages over blocking sockets, under a deadline for the whole message and not for each byte."""

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
    """What ``take_message`` yields once enough bytes have come.

    TimeoutError past ``deadline_s`` (clock time, seconds) however slowly bytes trickle in; PeerClosed
    where the peer ends first; HttpError from the reader.
    """
    while True:
        message = take_message()
        if message is not None:
            return message
        if reader.ended:
            raise PeerClosed("the peer closed the connection")
        remaining_s = deadline_s - clock()
        if remaining_s <= 0:
            raise TimeoutError("the message did not come in time")
        reader.feed(stream.receive(remaining_s))
