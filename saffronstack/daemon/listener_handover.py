"""Passes a listening socket from a gateway process to another process, for a graceful takeover.

A daemon that dies leaves its gateways serving on sockets that it created. The next daemon requests the socket
from each gateway. The connections in the socket's accept queue then survive the end of that gateway; a second
socket on the same address would have a queue of its own. The transport is a Unix socket with an abstract
name, which serves only processes of the same user. Processes of other versions use the same name, message
and environment variable.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import threading

import xxhash

from saffronstack.runtime.threads import start_thread

ACCEPT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 1.0
BACKLOG = 4
MARK_VARIABLE = "SAFFRON_LIFE"  # environment variable of a gateway process that holds its mark
_MESSAGE = b"listener"
_MAX_MESSAGE_BYTES = 64
_CREDENTIALS = struct.Struct("3i")  # process id, user id, group id


def socket_name(mark: str, pid: int) -> str:
    """Return the abstract name of the Unix socket on which a gateway process passes on its listener."""
    return "\0saffronstack-" + xxhash.xxh3_128_hexdigest(f"{mark}/{pid}".encode())


class ListenerHandover:
    """Passes this process's listening socket to each process that requests it, on a separate thread."""

    def __init__(self, mark: str, listener: socket.socket) -> None:
        """Start answering requests.

        Args:
            mark: Names this process's daemon and release; only a requester that knows it gets the socket.
            listener: The socket to pass on; it stays open in this process.

        Raises:
            OSError: The socket name is in use.
        """
        self._listener = listener
        self._stopping = threading.Event()
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self._socket.bind(socket_name(mark, os.getpid()))
            self._socket.listen(BACKLOG)
            self._socket.settimeout(ACCEPT_TIMEOUT_S)
        except OSError:
            self._socket.close()
            raise
        start_thread("hand-over", self._serve)

    def stop(self) -> None:
        """Stop answering requests. Does not wait for the thread, which ends within `ACCEPT_TIMEOUT_S`."""
        self._stopping.set()

    def _serve(self) -> None:
        with self._socket:
            while not self._stopping.is_set():
                try:
                    peer, _ = self._socket.accept()
                except OSError:  # no request arrived in time
                    continue
                # The peer may disconnect, and the listener may just have been closed.
                with peer, contextlib.suppress(OSError, ValueError):
                    self._send_listener(peer)

    def _send_listener(self, peer: socket.socket) -> None:
        if _is_same_user(peer) and self._listener.fileno() >= 0:
            peer.settimeout(REQUEST_TIMEOUT_S)
            socket.send_fds(peer, [_MESSAGE], [self._listener.fileno()])


def request_listener(mark: str, pid: int) -> socket.socket | None:
    """Request the listening socket of another process.

    Args:
        mark: Mark of the process.
        pid: Id of the process.

    Returns:
        The socket; None if the process does not pass it on within `REQUEST_TIMEOUT_S`.
    """
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
            connection.settimeout(REQUEST_TIMEOUT_S)
            connection.connect(socket_name(mark, pid))
            if not _is_same_user(connection):
                return None
            _, descriptors, _, _ = socket.recv_fds(connection, _MAX_MESSAGE_BYTES, 1)
    except OSError:  # the process does not exist or does not respond
        return None
    if not descriptors:
        return None
    os.set_inheritable(descriptors[0], False)
    return socket.socket(fileno=descriptors[0])


def _is_same_user(peer: socket.socket) -> bool:
    raw = peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return int(_CREDENTIALS.unpack(raw)[1]) == os.geteuid()
