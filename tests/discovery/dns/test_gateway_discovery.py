"""Tests of a platform gateway while its discovery server is down."""

from __future__ import annotations

import threading

from saffronstack.standin.platform import HostEntry, StubDnsServer
from tests.support.platform import Client, ScriptedHost, gateway


def test_a_gateway_serves_from_the_list_of_its_start_while_discovery_is_down() -> None:
    """Idle clients use up the gateway's descriptors meanwhile. Discovery continues on its own sockets."""
    host = ScriptedHost()
    directory = StubDnsServer(HostEntry("s-1", host.address))
    silent = threading.Event()
    silent.set()
    directory.edit_response = lambda answer: None if silent.is_set() else answer
    with gateway(directory, sockets=64) as service:
        clients = [Client(service.frontend.address) for _ in range(service.budget.clients)]
        assert {client.call_and_read(subject=place)[0] for place, client in enumerate(clients, 1)} == {"OK"}
        idle = [Client(service.frontend.address) for _ in range(200)]
        assert Client(service.frontend.address).call_and_read(subject=50)[0] == "OK"
        silent.clear()
        directory.update_and_wait(HostEntry("s-1", host.address), HostEntry("s-2", host.address))
        assert len(service.endpoint_list.specs) == 2
        assert Client(service.frontend.address).call_and_read(subject=51)[0] == "OK"
        for client in (*clients, *idle):
            client.sock.close()
