"""A discovery server with responses chosen by the test, and a resolver whose changes are recorded."""

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
Respond = Callable[[bytes, int], list[bytes]]  # from a query and its source port to the responses


def response(serial: int, entries: list[HostEntry], message_id: int = MESSAGE_ID, name: str = NAME) -> bytes:
    """Return a response of the server."""
    return dns_response(encode_query(message_id, name), serial, entries)


class DiscoveryServer:
    """Responds to queries with the datagrams from ``respond``. `ports` has the source port of each query."""

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
    """Records the changes that a resolver reports."""

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
            options=ResolverOptions(interval_s, seed=1),
        )
        self._reported = threading.Semaphore(0)

    def _record(self, changes: WorkerChanges) -> None:
        self.changes.append(changes)
        self._reported.release()

    def wait(self) -> WorkerChanges:
        """Wait for the next change and return the latest one."""
        assert self._reported.acquire(timeout=WAIT_S)
        return self.changes[-1]

    def handle(self, message: bytes) -> bool:
        """Pass a response to the query `MESSAGE_ID` to the resolver. Return whether it was accepted."""
        return self.resolver.handle_response(message, [MESSAGE_ID])
