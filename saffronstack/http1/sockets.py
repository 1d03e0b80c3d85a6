"""Reading messages from blocking sockets under a deadline for the whole message, not for each byte."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TypeVar

from saffronstack.http1.reader import MessageReader

T = TypeVar("T")
READ_SIZE = 64 * 1024


class PeerClosed(ConnectionError):
    """The peer ended its side before the message was whole."""


def read_until(
    sock: socket.socket,
    reader: MessageReader,
    take: Callable[[], T | None],
    deadline_s: float,
    clock: Callable[[], float],
) -> T:
    """What ``take`` yields once enough bytes have come.

    TimeoutError past ``deadline_s`` (clock time, seconds) however slowly bytes trickle in; PeerClosed
    where the peer ends first; HttpError from the reader."""
    while True:
        taken = take()
        if taken is not None:
            return taken
        if reader.ended:
            raise PeerClosed("the peer closed the connection")
        left = deadline_s - clock()
        if left <= 0:
            raise TimeoutError("the message did not come in time")
        sock.settimeout(left)
        reader.feed(sock.recv(READ_SIZE))


def peer_state(sock: socket.socket) -> bool:
    """Whether the peer still holds its side open, without waiting and without taking its bytes.

    The socket is left non-blocking: whoever uses it next sets a time-out, as `read_until` does."""
    try:
        sock.settimeout(0)
        return sock.recv(1, socket.MSG_PEEK) != b""
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
