"""Sends one HTTP request to another process, on a new connection."""

from __future__ import annotations

import socket
from collections.abc import Callable

from saffronstack.daemon.errors import NoResponseError, NotSentError
from saffronstack.http1.messages import HttpError, MessageLimits, ResponseHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_until

CONNECT_TIMEOUT_S = 2.0
MIN_CONNECT_TIMEOUT_S = 0.01  # a timeout of zero would make the socket non-blocking
MAX_BODY_BYTES = 64 * 1024 * 1024


def exchange(
    address: str, request: bytes, deadline_s: float, clock: Callable[[], float]
) -> tuple[ResponseHead, bytes]:
    """Send a request and read the response.

    Args:
        address: HOST:PORT of the other process.
        request: The encoded request.
        deadline_s: Time by which the response must be complete, in seconds of ``clock``.
        clock: Monotonic clock in seconds.

    Returns:
        The head and the body of the response.

    Raises:
        NotSentError: No byte of the request was sent.
        NoResponseError: The request was sent, at least in part, and no complete response came in time.
    """
    stream = Stream(_connect(address, deadline_s - clock()))
    reader = MessageReader(MessageLimits(body_bytes=MAX_BODY_BYTES))
    try:
        if not stream.send(request, deadline_s, clock):
            raise NotSentError(f"{address}: no byte of the request was sent")
        head = read_until(stream, reader, reader.response, deadline_s, clock)
        return head, read_until(stream, reader, reader.body, deadline_s, clock)
    except (OSError, HttpError, PeerClosed) as error:
        raise NoResponseError(str(error)) from error
    finally:
        stream.close()


def _connect(address: str, remaining_s: float) -> socket.socket:
    timeout_s = min(CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, remaining_s))
    try:
        host, _, port = address.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=timeout_s)
    except (OSError, ValueError) as error:
        raise NotSentError(str(error)) from error
