"""Tests of the replacement of the socket to the discovery server."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import closing

import pytest

from saffronstack.discovery.dns import server_socket
from saffronstack.discovery.dns.server_socket import MIN_QUERIES_BEFORE_REPLACEMENT, ServerSocket

SERVER, OTHER = ("127.0.0.1", 9), ("127.0.0.1", 10)


@pytest.fixture
def sockets() -> Iterator[ServerSocket]:
    with closing(ServerSocket()) as sockets:
        yield sockets


def fail(server: tuple[str, int]) -> socket.socket:
    raise OSError(24, "Too many open files")


def queries_until_replaced(sockets: ServerSocket) -> int:
    present, queries = sockets.open(SERVER), 0
    while sockets.open(SERVER) is present:
        sockets.record_result(is_answered=False)
        queries += 1
    return queries


def test_an_unresponsive_socket_is_replaced_at_growing_intervals(sockets: ServerSocket) -> None:
    assert [queries_until_replaced(sockets) for _ in range(6)] == [4, 8, 16, 32, 64, 64]
    sockets.record_result(is_answered=True)
    assert queries_until_replaced(sockets) == MIN_QUERIES_BEFORE_REPLACEMENT


def test_a_server_that_moves_gets_a_new_socket_without_queries(sockets: ServerSocket) -> None:
    first = sockets.open(SERVER)
    sockets.message_ids.append(5)
    assert sockets.open(OTHER) is not first
    assert sockets.server == OTHER
    assert not sockets.message_ids
    assert first.fileno() == -1


def test_without_a_free_descriptor_the_socket_is_kept_unless_the_server_moved(
    sockets: ServerSocket, monkeypatch: pytest.MonkeyPatch
) -> None:
    present = sockets.open(SERVER)
    for _ in range(MIN_QUERIES_BEFORE_REPLACEMENT):
        sockets.record_result(is_answered=False)
    monkeypatch.setattr(server_socket, "connect_udp", fail)
    assert sockets.open(SERVER) is present
    with pytest.raises(OSError, match="Too many open files"):
        sockets.open(OTHER)
