"""A listening socket from the process that listens to the one that comes to keep it.

A daemon that dies leaves its gateways serving on sockets that it had made. The next daemon asks each of them
for its socket, so that connections in its queue outlive that gateway too: a second socket on the address
would not get what waits in the first one's queue. The way is a Unix socket without a file (an abstract name),
for processes of the same user alone."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import threading

import xxhash

from saffronstack.runtime.threads import start_thread

LOOK_S = 0.5
ASK_S = 1.0
MARK = "SAFFRON_LIFE"  # in a life's environment: whose it is
_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


def _name(mark: str, pid: int) -> str:
    return "\0saffronstack-" + xxhash.xxh3_128_hexdigest(f"{mark}/{pid}".encode())


class HandOver:
    """Gives this process's listening socket to whoever keeps it, until it is stopped."""

    def __init__(self, mark: str, listener: socket.socket) -> None:
        """OSError where the name can't be had."""
        self._listener = listener
        self._stopping = threading.Event()
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self._socket.bind(_name(mark, os.getpid()))
            self._socket.listen(4)
            self._socket.settimeout(LOOK_S)
        except OSError:
            self._socket.close()
            raise
        start_thread("hand-over", self._run)

    def stop(self) -> None:
        """Give it to nobody any more."""
        self._stopping.set()

    def _run(self) -> None:
        with self._socket:
            while not self._stopping.is_set():
                try:
                    peer, _ = self._socket.accept()
                except OSError:
                    continue
                with peer, contextlib.suppress(OSError, ValueError):
                    if _same_user(peer) and self._listener.fileno() >= 0:
                        peer.settimeout(ASK_S)
                        socket.send_fds(peer, [b"listener"], [self._listener.fileno()])


def take(mark: str, pid: int) -> socket.socket | None:
    """The socket on which a process listens; None where it gives none within a second."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as asking:
            asking.settimeout(ASK_S)
            asking.connect(_name(mark, pid))
            if not _same_user(asking):
                return None
            _, descriptors, _, _ = socket.recv_fds(asking, 64, 1)
    except OSError:
        return None
    if not descriptors:
        return None
    os.set_inheritable(descriptors[0], False)
    return socket.socket(fileno=descriptors[0])


def _same_user(peer: socket.socket) -> bool:
    raw = peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return int(_CREDENTIALS.unpack(raw)[1]) == os.geteuid()
