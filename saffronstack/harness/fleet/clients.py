"""Clients of a fleet: every try is noted as its socket saw it."""

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

OPEN_MOST = 24  # calls on one connection of clients
ENDINGS = {"OK": "served", "BUSY": "refused"}


class Line:
    """One connection of a gateway's clients; it ends with the first error."""

    def __init__(self, sock: socket.socket, caller: Caller) -> None:
        self.sock = sock
        self.open: dict[int, ClientRequest] = {}  # by tag; under the caller's lock
        self.tags = 0
        self._caller = caller

    def read(self) -> None:
        """Fill in the tries whose answers come, until the connection ends."""
        reader = RespReader(RespLimits(body_bytes=1 << 20))
        self.sock.settimeout(30.0)
        answers = TimestampedReader(self.sock)
        while True:
            try:
                data = answers.recv(65536)
            except OSError:
                data = b""
            if not data:
                self._caller.broke(self)
                return
            now = answers.received_s
            reader.feed(data)
            while (words := reader.next()) is not None:
                self._caller.answered(self, int(words[0]), words[1].decode(), now)


class Caller:
    """The clients of one gateway. Each connection carries fewer calls than a gateway lets one have open: what
    is refused is refused by its decisions, however long a stall of the machine makes calls pile up.
    """

    def __init__(self, gateway: Gateway, tries: list[ClientRequest]) -> None:
        self.gateway = gateway
        self.doubled = 0  # answers under a tag that was answered, or never used
        self._tries = tries
        plan = gateway.plan
        self._facts = f"memory_mb:{plan.memory_mb:g};lanes:{plan.lanes}"
        self._lock = threading.Lock()
        self._lines: list[Line] = []

    def call(
        self, request: int, cls: str, function: str, timeout_s: float, tenant: str = "acme"
    ) -> ClientRequest:
        """Send one; its try is filled in when something comes back."""
        op = f"{request:016x}"
        t = ClientRequest(op, self.gateway.number, function, time.monotonic(), 0.0, id=op, tenant=tenant)
        t.deadline_s = t.sent_s + timeout_s
        told = (
            f"req={op},timeout={timeout_s * 1000:.0f},owner={tenant},subject={function},facts={self._facts}"
        )
        with self._lock:
            self._tries.append(t)
            line = next((one for one in self._lines if len(one.open) < OPEN_MOST), None)
            fresh = line is None
            if line is None:
                try:
                    line = Line(socket.create_connection(self.gateway.address, timeout=5.0), self)
                except OSError:
                    t.outcome, t.ended_s = "not_taken", time.monotonic()
                    return t
                self._lines.append(line)
            line.tags += 1
            words = (b"CALL", b"%d" % line.tags, cls.encode(), told.encode(), b"x")
            line.open[line.tags] = t
            t.sent_s = time.monotonic()  # its time runs from here, however long the connection took
            t.deadline_s = t.sent_s + timeout_s
            try:
                line.sock.sendall(encode(words))
            except OSError:
                self._end(line)
                return t
            # After the first bytes: a thread may be long in starting, and a gateway waits 2 s for them.
            if fresh:
                start_thread("caller", line.read)
        return t

    def answered(self, line: Line, tag: int, word: str, now: float) -> None:
        """An answer came on a connection."""
        with self._lock:
            t = line.open.pop(tag, None)
        if t is None:
            self.doubled += 1
        else:
            t.outcome, t.ended_s = ENDINGS.get(word, "failed"), now

    def broke(self, line: Line) -> None:
        """A connection is over."""
        with self._lock:
            self._end(line)

    def _end(self, line: Line) -> None:
        """What was open on it got nothing."""
        if line in self._lines:
            self._lines.remove(line)
        for t in line.open.values():
            t.outcome, t.ended_s = "broken", time.monotonic()
        line.open.clear()
        with contextlib.suppress(OSError):
            line.sock.close()

    def close(self) -> None:
        """End the connections."""
        with self._lock:
            for line in list(self._lines):
                self._end(line)


class Impatient:
    """Clients that leave long before their answer and come again as somebody new, far too often."""

    def __init__(self, fleet: Fleet, clients: int, patience_s: float, seconds: float) -> None:
        self._fleet, self._patience_s, self._seconds = fleet, patience_s, seconds
        self._clients = clients
        self._numbers = count(1)

    def run(self) -> None:
        """Until its time is over."""
        end_s = time.monotonic() + self._seconds
        threads = [
            start_thread("impatient", lambda n=n: self._client(random.Random(n), end_s))  # type: ignore[misc]
            for n in range(self._clients)
        ]
        for thread in threads:
            thread.join(self._seconds + 10.0)

    def _client(self, chance: random.Random, end_s: float) -> None:
        plan = self._fleet.plan
        facts = f"memory_mb:{plan.memory_mb:g};lanes:{plan.lanes}"
        while time.monotonic() < end_s:
            gateway = chance.choice(self._fleet.gateways)
            place = 1 + 5 * chance.randrange(plan.functions // 5)  # of the class "look"
            function = self._fleet.name_of(place)
            op = f"{0xFEED << 40 | next(self._numbers):016x}"
            t = ClientRequest(op, gateway.number, function, time.monotonic(), 0.0, id=op)
            t.deadline_s = t.sent_s + 3.0
            told = f"req={op},timeout=3000,owner=acme,subject={function},facts={facts}"
            self._fleet.tries.append(t)
            try:
                with socket.create_connection(gateway.address, timeout=5.0) as sock:
                    sock.sendall(encode((b"CALL", b"1", b"look", told.encode(), b"x")))
                    sock.settimeout(self._patience_s)
                    came = sock.recv(65536)
                    t.outcome = "served" if b"OK" in came else "refused" if b"BUSY" in came else "broken"
            except TimeoutError:
                t.outcome = "left"
            except OSError:
                t.outcome = "not_taken"
            t.ended_s = time.monotonic()
