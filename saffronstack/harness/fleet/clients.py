"""Clients of a fleet. Each attempt is recorded as its socket observed it."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from itertools import count
from typing import TYPE_CHECKING

from saffronstack.audit.traffic import ClientRequest
from saffronstack.harness.fleet.gateway import Gateway
from saffronstack.resp.reader import RespLimits, RespReader, encode
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.receive_timestamps import TimestampedReader

if TYPE_CHECKING:
    from saffronstack.harness.fleet.cluster import Fleet

MAX_IN_FLIGHT_PER_CONNECTION = 24  # calls
OUTCOMES = {"OK": "served", "BUSY": "refused"}


class ClientConnection:
    """One connection of a gateway's clients. It is closed at the first error."""

    def __init__(self, sock: socket.socket, clients: GatewayClients) -> None:
        self.sock = sock
        self.in_flight: dict[int, ClientRequest] = {}  # by tag; guarded by the lock of `GatewayClients`
        self.last_tag = 0
        self._clients = clients

    def read(self) -> None:
        """Record received responses until the connection ends."""
        reader = RespReader(RespLimits(body_bytes=1 << 20))
        self.sock.settimeout(30.0)
        receiver = TimestampedReader(self.sock)
        while True:
            try:
                data = receiver.recv(65536)
            except OSError:
                data = b""
            if not data:
                self._clients.connection_ended(self)
                return
            now = receiver.received_s
            reader.feed(data)
            while (words := reader.next()) is not None:
                self._clients.response_received(self, int(words[0]), words[1].decode(), now)


class GatewayClients:
    """The clients of one gateway.

    Each connection carries fewer calls than the gateway's limit per connection. A rejection is thus a routing
    decision, even if a stall of the machine makes calls pile up.
    """

    def __init__(self, gateway: Gateway, tries: list[ClientRequest]) -> None:
        self.gateway = gateway
        self.unexpected_responses = 0  # responses with a tag that was answered before or never used
        self._tries = tries
        plan = gateway.plan
        self._facts = f"memory_mb:{plan.memory_mb:g};lanes:{plan.lanes}"
        self._lock = threading.Lock()
        self._connections: list[ClientConnection] = []

    def call(
        self, request: int, class_name: str, function: str, timeout_s: float, tenant: str = "acme"
    ) -> ClientRequest:
        """Send a call; return its attempt, whose outcome is filled in once a response arrives."""
        op = f"{request:016x}"
        attempt = ClientRequest(
            op, self.gateway.number, function, time.monotonic(), 0.0, id=op, tenant=tenant
        )
        attempt.deadline_s = attempt.sent_s + timeout_s
        fields = (
            f"req={op},timeout={timeout_s * 1000:.0f},owner={tenant},subject={function},facts={self._facts}"
        )
        with self._lock:
            self._tries.append(attempt)
            connection = next(
                (one for one in self._connections if len(one.in_flight) < MAX_IN_FLIGHT_PER_CONNECTION), None
            )
            is_new = connection is None
            if connection is None:
                try:
                    connection = ClientConnection(
                        socket.create_connection(self.gateway.address, timeout=5.0), self
                    )
                except OSError:
                    attempt.outcome, attempt.ended_s = "not_taken", time.monotonic()
                    return attempt
                self._connections.append(connection)
            connection.last_tag += 1
            words = (b"CALL", b"%d" % connection.last_tag, class_name.encode(), fields.encode(), b"x")
            connection.in_flight[connection.last_tag] = attempt
            attempt.sent_s = time.monotonic()  # the deadline excludes the time that the connect took
            attempt.deadline_s = attempt.sent_s + timeout_s
            try:
                connection.sock.sendall(encode(words))
            except OSError:
                self._close_connection(connection)
                return attempt
            # The thread starts after the first bytes are sent. The gateway waits only 2 s for them, and the
            # start of a thread can be delayed.
            if is_new:
                start_thread("caller", connection.read)
        return attempt

    def response_received(self, connection: ClientConnection, tag: int, word: str, now: float) -> None:
        """Record a response that arrived on a connection."""
        with self._lock:
            attempt = connection.in_flight.pop(tag, None)
        if attempt is None:
            self.unexpected_responses += 1
        else:
            attempt.outcome, attempt.ended_s = OUTCOMES.get(word, "failed"), now

    def connection_ended(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        with self._lock:
            self._close_connection(connection)

    def _close_connection(self, connection: ClientConnection) -> None:
        """Close a connection, and record its attempts in flight as broken."""
        if connection in self._connections:
            self._connections.remove(connection)
        for attempt in connection.in_flight.values():
            attempt.outcome, attempt.ended_s = "broken", time.monotonic()
        connection.in_flight.clear()
        with contextlib.suppress(OSError):
            connection.sock.close()

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            for connection in list(self._connections):
                self._close_connection(connection)


class ImpatientClients:
    """Clients that disconnect long before the response and send a new request at once on a new connection."""

    def __init__(self, fleet: Fleet, clients: int, timeout_s: float, duration_s: float) -> None:
        self._fleet, self._timeout_s, self._duration_s = fleet, timeout_s, duration_s
        self._clients = clients
        self._numbers = count(1)

    def run(self) -> None:
        """Run the clients for the duration."""
        end_s = time.monotonic() + self._duration_s
        threads = [
            start_thread("impatient", lambda n=n: self._client(random.Random(n), end_s))  # type: ignore[misc]
            for n in range(self._clients)
        ]
        for thread in threads:
            thread.join(self._duration_s + 10.0)

    def _client(self, rng: random.Random, end_s: float) -> None:
        plan = self._fleet.plan
        facts = f"memory_mb:{plan.memory_mb:g};lanes:{plan.lanes}"
        while time.monotonic() < end_s:
            gateway = rng.choice(self._fleet.gateways)
            function_number = 1 + 5 * rng.randrange(plan.functions // 5)  # of the class "look"
            function = self._fleet.function_id(function_number)
            op = f"{0xFEED << 40 | next(self._numbers):016x}"
            attempt = ClientRequest(op, gateway.number, function, time.monotonic(), 0.0, id=op)
            attempt.deadline_s = attempt.sent_s + 3.0
            fields = f"req={op},timeout=3000,owner=acme,subject={function},facts={facts}"
            self._fleet.tries.append(attempt)
            try:
                with socket.create_connection(gateway.address, timeout=5.0) as sock:
                    sock.sendall(encode((b"CALL", b"1", b"look", fields.encode(), b"x")))
                    sock.settimeout(self._timeout_s)
                    received = sock.recv(65536)
                    attempt.outcome = (
                        "served" if b"OK" in received else "refused" if b"BUSY" in received else "broken"
                    )
            except TimeoutError:
                attempt.outcome = "left"
            except OSError:
                attempt.outcome = "not_taken"
            attempt.ended_s = time.monotonic()
