"""Tests of a platform gateway while its discovery server is down."""

from __future__ import annotations

import threading

from saffronstack.standin.platform import Directory, Entry
from tests.support.platform import Client, ScriptedHost, gateway


def test_a_gateway_serves_from_the_list_of_its_start_while_discovery_is_down() -> None:
    """Idle clients use up the gateway's descriptors meanwhile. Discovery continues on its own sockets."""
    host = ScriptedHost()
    directory = Directory(Entry("s-1", host.address))
    silent = threading.Event()
    silent.set()
    directory.spoil = lambda answer: None if silent.is_set() else answer
    with gateway(directory, sockets=64) as service:
        clients = [Client(service.frontend.address) for _ in range(service.budget.clients)]
        assert {client.ask(subject=place)[0] for place, client in enumerate(clients, 1)} == {"OK"}
        idle = [Client(service.frontend.address) for _ in range(200)]
        assert Client(service.frontend.address).ask(subject=50)[0] == "OK"
        silent.clear()
        directory.tell(Entry("s-1", host.address), Entry("s-2", host.address))
        assert len(service.endpoint_list.specs) == 2
        assert Client(service.frontend.address).ask(subject=51)[0] == "OK"
        for client in (*clients, *idle):
            client.sock.close()
