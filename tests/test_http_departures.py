"""Clients of the HTTP frontend that leave while requests of theirs are unread or waiting."""

from __future__ import annotations

import socket
import struct

import pytest

from saffronstack.net.stream import Stream
from saffronstack.standin.model import Profile
from tests.support.stack import Stack, eventually, running_gateway

WORK_S = 0.4  # the next request of a connection would be sent this long after its client left
PIPELINED = 10
BODY_BYTES = 40_000


def pipeline(stack: Stack, function: str) -> socket.socket:
    """Send requests without reading a response; most of them stay unread in the gateway's socket."""
    body = b'"%b"' % (b"x" * BODY_BYTES)
    path = f"/2015-03-31/functions/{function}/invocations"
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    sock = stack.connect()
    sock.sendall((head + body) * PIPELINED)
    return sock


@pytest.mark.parametrize("way", ["close", "reset"])
def test_pipelined_requests_of_a_client_that_left_are_not_sent(way: str) -> None:
    """Guards against calls sent long after their client closed, one after the other (issue 68 c)."""
    with running_gateway(1, profile=Profile(work_s=WORK_S, load_s=0.01)) as stack:
        sock = pipeline(stack, "record-sale")
        eventually(lambda: stack.run_count("record-sale") >= 1)
        if way == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        eventually(lambda: stack.gateway.server.connections == 0)
        assert stack.run_count("record-sale") == 1


def test_a_peer_that_left_is_noticed_behind_unread_data() -> None:
    ours, theirs = tcp_pair()
    stream = Stream(ours)
    assert stream.is_peer_open()
    theirs.sendall(b"unread")
    assert stream.is_peer_open()
    theirs.close()
    eventually(lambda: not stream.is_peer_open())
    assert stream.receive(1.0) == b"unread"
    stream.close()
    assert not stream.is_peer_open()


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    return ours, theirs
