"""Stubs of the platform on loopback: hosts that speak JSON lines, and a DNS server that lists them.

A host is a `WorkerModel` behind the platform's protocol. It logs the traffic of its sockets as entries that
`saffronstack.audit` reads.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import Any

import msgspec
import xxhash

from saffronstack.runtime.threads import IdleThreadPool, start_thread
from saffronstack.standin.model import Faults, Profile, QueueFullError, Store, WorkerDiedError, WorkerModel
from saffronstack.standin.receive_timestamps import TimestampedReader, enable_timestamps

Log = Callable[[dict[str, Any]], None]
MAX_FILLER_CONNECTIONS = 16  # more than an accept queue of length 0 takes
FILLER_TIMEOUT_S = 0.1  # a connection that is not established by then found the accept queue full
MAX_LINE_BYTES = 128 * 1024
MAX_CALL_S = 10.0
NOTE_BY_CACHE_STATUS = {"warm": "up", "began-load": "fresh"}


@dataclass(frozen=True)
class HostEntry:
    """A host as the DNS server lists it.

    ``started`` is its start in Unix milliseconds, or 0 if it started long ago; ``weight`` its relative size.
    """

    name: str
    address: str
    draining: bool = False
    started: int = 0
    zone: str = "east"
    weight: int = 1


def dns_response(query: bytes, serial: int, entries: Iterable[HostEntry]) -> bytes:
    """Return a complete DNS response with compressed names."""
    question = query[12:]
    services, more = b"", b""
    at = 12 + len(question)
    listed = list(entries)
    for entry in listed:
        host, _, port = entry.address.rpartition(":")
        labels = [entry.name.encode(), entry.zone.encode(), b"hosts"]
        target = b"".join(bytes([len(label)]) + label for label in labels) + b"\0"
        data = struct.pack(">HHH", 1 if entry.draining else 0, 10 * entry.weight, int(port)) + target
        services += b"\xc0\x0c" + struct.pack(">HHIH", 33, 1, 0, len(data)) + data
        pointer = struct.pack(">H", 0xC000 | at + 12 + 6)
        at += 12 + len(data)
        more += pointer + struct.pack(">HHIH", 1, 1, 0, 4) + socket.inet_aton(host)
        texts = b"".join(
            bytes([len(text)]) + text for text in (b"kind=std", b"cell=0", b"started=%d" % entry.started)
        )
        more += pointer + struct.pack(">HHIH", 16, 1, 0, len(texts)) + texts
    soa = b"\0\0" + struct.pack(">IIIII", serial, 1, 1, 1, 1)
    authority = b"\xc0\x0c" + struct.pack(">HHIH", 6, 1, 0, len(soa)) + soa
    header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(listed), 1, 2 * len(listed))
    return header + question + services + authority + more


class StubDnsServer:
    """Answers queries with ``entries`` under the SOA serial ``serial``.

    ``edit_response`` may change each response; if it returns None, the query gets no response.
    """

    def __init__(self, *entries: HostEntry, serial: int = 1, wait_s: float = 10.0) -> None:
        self.entries = list(entries)
        self.serial = serial
        self.edit_response: Callable[[bytes], bytes | None] = lambda answer: answer
        # Decides by the client's port which clients still receive the previous list.
        self.gets_previous_list: Callable[[int], bool] = lambda port: False
        self._previous_list: tuple[int, list[HostEntry]] = (serial, self.entries)
        self.responses_sent = threading.Semaphore(0)
        self.queries: list[tuple[float, tuple[str, int]]] = []  # time and client address
        self._wait_s = wait_s
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        start_thread("directory", self._run)

    def _run(self) -> None:
        while True:
            try:
                query, peer = self._sock.recvfrom(4096)
                self.queries.append((time.monotonic(), peer))
                now = self.serial, self.entries
                answer = self.edit_response(
                    dns_response(query, *(self._previous_list if self.gets_previous_list(peer[1]) else now))
                )
                if answer is not None:
                    self._sock.sendto(answer, peer)
            except OSError:
                return
            self.responses_sent.release()

    def update_and_wait(self, *entries: HostEntry) -> None:
        """Change the list, and wait until queries that came after the change were answered."""
        self.update(*entries)
        self.wait_for_queries()

    def update(self, *entries: HostEntry) -> None:
        """Change the list and increment the serial."""
        self._previous_list = self.serial, self.entries
        self.entries = list(entries)
        self.serial += 1

    def wait_for_queries(self) -> None:
        """Wait until three more queries were answered.

        The first of them may have come before the call; the third shows that its client has processed the
        response to the second.
        """
        while self.responses_sent.acquire(blocking=False):
            pass
        for _ in range(3):
            assert self.responses_sent.acquire(timeout=self._wait_s)

    def close(self) -> None:
        """Stop answering."""
        self._sock.close()


def _tag_fraction(tag: str) -> float:
    """Return a fraction from 0 to 1 that depends only on the tag, so that each run draws the same faults."""
    return xxhash.xxh32_intdigest(tag.encode()) / 2**32


class _GatewayConnection:
    """A connection that a gateway opened; threads write responses to it one at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._lock = threading.Lock()
        self.cancelled_tags: set[str] = set()

    def write(self, data: bytes) -> bool:
        """Write the data; return False if the connection was lost."""
        with self._lock:
            try:
                self.sock.sendall(data)
            except OSError:
                return False
        return True

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.shutdown(socket.SHUT_RD)
            self.sock.close()


class StubHost:
    """A stub host that keeps its address over restarts; ``faults`` may be changed at any time."""

    def __init__(
        self,
        name: str,
        profile: Profile,
        store: Store,
        catalog: Callable[[str], tuple[float, int]],
        log: Log,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start the host; ``catalog`` returns a function's memory in MB and concurrency per instance."""
        self.name = name
        self.profile = profile
        self.faults = Faults()
        self.connections = 0  # opened since the host was created
        self.calls_to_reset = 0  # next calls whose connection is reset after they ran
        self._store, self._catalog, self._log, self._clock = store, catalog, log, clock
        self._attempts = count()
        self._threads = IdleThreadPool("host-call", max_idle=64)
        self._not_stalled = threading.Event()
        self._not_stalled.set()
        self._lock = threading.Lock()
        self._connections: set[_GatewayConnection] = set()
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._port = 0
        self.incarnation = ""
        self.start()

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        """Start a new incarnation without loaded instances."""
        self.incarnation = uuid.uuid4().hex[:12]
        self.model = WorkerModel(self.profile, lambda: self.faults, self._store, self._clock)
        self._listener = socket.create_server(("127.0.0.1", self._port), backlog=512)
        enable_timestamps(self._listener)
        self._port = self._listener.getsockname()[1]
        start_thread(f"host-{self.name}", partial(self._accept, self._listener, self.model))

    def stop(self) -> None:
        """Stop at once, as if killed: reset all connections; calls in flight are lost."""
        with self._lock:
            listener, self._listener = self._listener, None
            connections, self._connections = self._connections, set()
        if listener is None:
            return
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        self.model.kill()
        for connection in connections:
            connection.reset()

    def set_stalled(self, is_stalled: bool) -> None:
        """Stop or resume reading and responding; connections stay open."""
        if is_stalled:
            self._not_stalled.clear()
        else:
            self._not_stalled.set()

    def set_unreachable(self, is_unreachable: bool) -> None:
        """Start or end a network partition of this host.

        While it is unreachable, its connections are silent and new connections time out, because the accept
        queue is full and nothing is accepted. Afterwards it processes what was sent meanwhile.
        """
        self.set_stalled(is_unreachable)
        with self._lock:
            listener, self._listener = self._listener, None
            fillers, self._fillers = self._fillers, []
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for filler in fillers:
            filler.close()
        new_listener = socket.socket()
        new_listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        new_listener.bind(("127.0.0.1", self._port))
        enable_timestamps(new_listener)
        new_listener.listen(0 if is_unreachable else 512)
        with self._lock:
            self._listener = new_listener
        if not is_unreachable:
            start_thread(f"host-{self.name}", partial(self._accept, new_listener, self.model))
            return
        for _ in range(MAX_FILLER_CONNECTIONS):
            filler = socket.socket()
            self._fillers.append(filler)
            filler.settimeout(FILLER_TIMEOUT_S)
            try:
                filler.connect(("127.0.0.1", self._port))
            except TimeoutError:
                return  # the accept queue is full: no further connection is established
            except OSError:
                continue

    def _accept(self, listener: socket.socket, model: WorkerModel) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            connection = _GatewayConnection(sock)
            with self._lock:
                if self._listener is not listener:
                    connection.reset()
                    return
                self._connections.add(connection)
            self.connections += 1
            self._log_event("connect", model)
            self._threads.run(partial(self._serve, connection, model))

    def _serve(self, connection: _GatewayConnection, model: WorkerModel) -> None:
        try:
            lines = TimestampedReader(connection.sock)
            while line := lines.read_line(MAX_LINE_BYTES):
                received_s = lines.received_s
                self._not_stalled.wait(MAX_CALL_S)
                message = msgspec.json.decode(line)
                if message["what"] == "CALL":
                    self._threads.run(partial(self._handle_call, connection, model, message, received_s))
                elif message["what"] == "CANCEL":
                    connection.cancelled_tags.add(message["tag"])
                elif message["what"] == "PING":
                    self._send_response(connection, message["tag"], "UP", {})
                elif message["what"] == "LOAD":
                    self._threads.run(
                        partial(self._handle_load_command, connection, model, message, received_s)
                    )
        except (OSError, ValueError, KeyError, msgspec.MsgspecError):
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            with contextlib.suppress(OSError):
                connection.sock.close()

    def _log_event(self, what: str, model: WorkerModel, **more: Any) -> None:
        self._log({"t": self._clock(), "worker": self.name, "what": what, **more})

    def _send_response(
        self,
        connection: _GatewayConnection,
        tag: str,
        answer_word: str,
        fields: dict[str, Any],
        blob: str = "",
    ) -> tuple[bool, float]:
        """Send a response unless its request was cancelled or the connection was lost.

        Returns whether it was sent, and the earliest time at which the gateway can have received it.
        """
        self._not_stalled.wait(MAX_CALL_S)
        at = self._clock()
        if tag in connection.cancelled_tags:
            return False, at
        content = {"what": answer_word, "tag": tag, "with": fields, **({"blob": blob} if blob else {})}
        return connection.write(msgspec.json.encode(content) + b"\n"), at

    def _handle_call(
        self, connection: _GatewayConnection, model: WorkerModel, message: dict[str, Any], received_s: float
    ) -> None:
        fields, tag = message["with"], str(message["tag"])
        function = str(fields["k"])
        attempt_fields = {
            "id": tag, "op": tag, "function": function, "attempt": next(self._attempts),
            "incarnation": self.incarnation,
        }  # fmt: skip
        now = self._clock()  # later than received_s: the request waited in the socket and for this thread
        self._log_event("arrive", model, t=now, cls=fields["c"], late=now - received_s, **attempt_fields)
        faults = self.faults
        if faults.errors and _tag_fraction(tag) < faults.errors:
            is_open, at = self._send_response(connection, tag, "ERR", {})
            self._log_event("answer", model, t=at, open=is_open, **attempt_fields)
            return
        memory_mb, concurrency = self._catalog(function)
        deadline_s = self._clock() + min(MAX_CALL_S, float(fields["w"]) / 1000)
        try:
            cache_status, concurrent_calls = model.call(
                function,
                memory_mb,
                concurrency,
                deadline_s,
                lambda: self._log_event("run", model, **attempt_fields),
            )
        except (QueueFullError, TimeoutError):
            is_open, at = self._send_response(connection, tag, "BUSY", {})
            self._log_event("answer", model, t=at, status=429, open=is_open, **attempt_fields)
            return
        except WorkerDiedError:
            return
        if faults.silent_after_run or _tag_fraction(tag[::-1]) < faults.lose_answers:
            self._log_event("lost", model, **attempt_fields)
            return
        with self._lock:
            reset, self.calls_to_reset = self.calls_to_reset > 0, max(0, self.calls_to_reset - 1)
        if reset:
            connection.reset()
            return
        in_flight, waiting, busy, loads = model.load_report()
        if faults.told_busy is not None:
            waiting, busy = faults.told_waiting, faults.told_busy
        fields_sent = {
            "note": NOTE_BY_CACHE_STATUS.get(cache_status, "behind"), "ahead": min(30, concurrent_calls),
            "load": f"queue:{waiting};util:{busy:.3f}",
        }  # fmt: skip
        is_open, at = self._send_response(connection, tag, "OK", fields_sent, message.get("blob", ""))
        state = {"found": cache_status, "busy": busy, "hand": in_flight, "loads": loads}
        self._log_event("answer", model, t=at, open=is_open, **state, **attempt_fields)

    def _handle_load_command(
        self, connection: _GatewayConnection, model: WorkerModel, message: dict[str, Any], received_s: float
    ) -> None:
        function, units = str(message["with"]["k"]), int(message["with"]["units"])
        now = self._clock()
        self._log_event("order", model, t=now, function=function, count=units, late=now - received_s)
        try:
            loaded = model.load_instances(
                function, *self._catalog(function), units, self._clock() + MAX_CALL_S
            )
        except (QueueFullError, TimeoutError):
            self._send_response(
                connection, message["tag"], "BUSY", {"units": model.loaded_instances(function)}
            )
            return
        except WorkerDiedError:
            return
        self._send_response(connection, message["tag"], "OK", {"units": loaded})
