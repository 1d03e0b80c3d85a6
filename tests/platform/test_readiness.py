"""`ended_by_clients` finds the connections that their clients have ended."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from typing import cast

from saffronstack.platform.idle_order import ClientConnectionView
from saffronstack.platform.readiness import ended_by_clients

ABORT = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset


@dataclass(eq=False)
class AcceptedConnection:
    sock: socket.socket

    def fileno(self) -> int:
        return self.sock.fileno()


def test_only_connections_closed_or_reset_by_their_clients_are_found() -> None:
    """One system call covers all sockets: a call for each of 420 released the interpreter lock 420 times."""
    clients, accepted = [], []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        for _ in range(5):
            clients.append(socket.create_connection(listener.getsockname()))
            accepted.append(AcceptedConnection(listener.accept()[0]))
    closed, reset, speaking, _, own = clients
    closed.close()
    reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    reset.close()
    speaking.sendall(b"x")
    accepted[-1].sock.close()  # closed by the gateway in the meantime
    found = ended_by_clients(cast(list[ClientConnectionView], accepted))
    assert {id(connection) for connection in found} == {id(accepted[0]), id(accepted[1])}
    for sock in (*clients, *(connection.sock for connection in accepted)):
        sock.close()
    assert own.fileno() == -1
