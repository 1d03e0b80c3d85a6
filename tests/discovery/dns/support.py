"""A discovery server that answers as a test says, and a resolver that reports to the test."""

from __future__ import annotations

import io
import socket
import threading
from collections.abc import Callable

from saffronstack.discovery.dns.endpoint_list import EndpointList, WorkerChanges
from saffronstack.discovery.dns.messages import encode_query
from saffronstack.discovery.dns.resolver import Resolver, ResolverOptions
from saffronstack.runtime.logs import KeyValueLogger
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.platform import HostEntry, dns_response
from tests.support.platform import WAIT_S

NAME = "_work._tcp.fleet.local"
MESSAGE_ID = 7
ENTRIES = [HostEntry("s-1", "127.0.0.1:1001"), HostEntry("s-2", "127.0.0.1:1002")]
Respond = Callable[[bytes, int], list[bytes]]  # query and the port it came from, to what is sent there


def response(serial: int, entries: list[HostEntry], message_id: int = MESSAGE_ID, name: str = NAME) -> bytes:
    """Return the server's response to a query."""
    return dns_response(encode_query(message_id, name), serial, entries)


class DiscoveryServer:
    """Answers queries as ``respond`` says; `ports` are those that queries came from."""

    def __init__(self, respond: Respond) -> None:
        self.ports: list[int] = []
        self._respond = respond
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._socket.getsockname()
        start_thread("server", self._run)

    def _run(self) -> None:
        while True:
            try:
                query, peer = self._socket.recvfrom(4096)
                self.ports.append(peer[1])
                for message in self._respond(query, peer[1]):
                    self._socket.sendto(message, peer)
            except OSError:
                return

    def close(self) -> None:
        self._socket.close()


class ObservedResolver:
    """A resolver, and the changes that it reported."""

    def __init__(self, server: tuple[str, int] = ("127.0.0.1", 9), interval_s: float = 0.25) -> None:
        self.changes: list[WorkerChanges] = []
        self.endpoint_list = EndpointList(["east"], ["std"])
        self.log = io.StringIO()
        self.resolver = Resolver(
            self.endpoint_list,
            NAME,
            server,
            self._record,
            KeyValueLogger("test", self.log),
            options=ResolverOptions(interval_s, timeout_s=interval_s, seed=1),
        )
        self._reported = threading.Semaphore(0)

    def _record(self, changes: WorkerChanges) -> None:
        self.changes.append(changes)
        self._reported.release()

    def wait(self) -> WorkerChanges:
        """Return the next change."""
        assert self._reported.acquire(timeout=WAIT_S)
        return self.changes[-1]

    def handle(self, message: bytes) -> bool:
        """Hand it a response to the query `MESSAGE_ID`; return whether it was accepted."""
        return self.resolver.handle_response(message, [MESSAGE_ID])
