"""The clients of a soak: what they note of a request, and that none holds up the others."""

from __future__ import annotations

import socket
import threading

import pytest

from saffronstack.harness.soak.clients import ClientConnection, SoakClients
from saffronstack.harness.soak.schedule import ClientKind
from saffronstack.resp.reader import encode

TIMEOUT_S = 10.0
ABORT = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER: a close sends a reset


def test_a_client_that_is_not_let_in_holds_up_no_other() -> None:
    """One connect that waited used to stop all clients of the play for up to 2 s."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        listener.settimeout(TIMEOUT_S)
        kinds = (ClientKind.CLOSED_LOOP,) * 4  # more than the backlog holds
        clients = SoakClients(listener.getsockname(), kinds, seed=1, timeout_s=1.0)
        gateway, _ = listener.accept()
        with gateway:
            gateway.settimeout(TIMEOUT_S)
            assert gateway.recv(1024).startswith(b"*")
            clients.gateway_terminated()
    assert len(clients.stop()) >= 1


def test_an_answer_that_waits_is_read_though_a_write_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client whose write met a reset used to drop the answers that it had not read."""
    write_failed = threading.Event()
    send_due, step = ClientConnection.send_due, SoakClients._step

    def note_failed_write(connection: ClientConnection, now: float) -> None:
        try:
            send_due(connection, now)
        except ConnectionError:
            write_failed.set()
            raise

    def step_after_failed_write(clients: SoakClients) -> None:
        if write_failed.wait(0.001):
            step(clients)

    monkeypatch.setattr(ClientConnection, "send_due", note_failed_write)
    monkeypatch.setattr(SoakClients, "_step", step_after_failed_write)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        clients = SoakClients(listener.getsockname(), (ClientKind.OPEN_LOOP,), seed=1, timeout_s=1.0)
        gateway, _ = listener.accept()
        clients.gateway_terminated()
        gateway.settimeout(TIMEOUT_S)
        gateway.recv(1024)
        gateway.sendall(encode((b"1", b"OK", b"", b"x")))
        gateway.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
        gateway.close()
        assert write_failed.wait(TIMEOUT_S)
    assert [answer.word for answer in clients.stop()[0].answers] == ["OK"]
