"""Stand-ins for the users' platform: hosts that speak JSON lines, and a directory over DNS, on loopback.

A host is a `Model` (copies, lanes, loads, queue, slow start) behind the platform's protocol. What it sees on
its sockets goes to a log in the words of `saffronstack.audit`.
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
MAX_FILLER_CONNECTIONS = 16  # connections that fill a queue of none
FILLER_TIMEOUT_S = 0.1
MAX_LINE_BYTES = 128 * 1024
MAX_CALL_S = 10.0
NOTE_BY_CACHE_STATUS = {"warm": "up", "began-load": "fresh"}


@dataclass(frozen=True)
class HostEntry:
    """A host as the directory lists it; ``started`` is the Unix millisecond of a late start, or 0;
    ``weight`` its size beside others.
    """

    name: str
    address: str
    draining: bool = False
    started: int = 0
    zone: str = "east"
    weight: int = 1


def dns_response(query: bytes, serial: int, entries: Iterable[HostEntry]) -> bytes:
    """A whole answer, with compressed names."""
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
    """Answers with ``entries`` under ``serial``, or with what ``spoil`` makes of that; None says nothing."""

    def __init__(self, *entries: HostEntry, serial: int = 1, wait_s: float = 10.0) -> None:
        self.entries = list(entries)
        self.serial = serial
        self.edit_response: Callable[[bytes], bytes | None] = lambda answer: answer
        self.gets_previous_list: Callable[[int], bool] = lambda port: (
            False
        )  # askers that still get the list before
        self._previous_list: tuple[int, list[HostEntry]] = (serial, self.entries)
        self.responses_sent = threading.Semaphore(0)
        self.queries: list[tuple[float, tuple[str, int]]] = []  # when, and by whom
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
        """A new list under the next number; returns once a question after it has been answered."""
        self.update(*entries)
        self.wait_for_queries()

    def update(self, *entries: HostEntry) -> None:
        """A new list under the next number."""
        self._previous_list = self.serial, self.entries
        self.entries = list(entries)
        self.serial += 1

    def wait_for_queries(self) -> None:
        """Until three more queries have been answered: the first of them may be an old one, and when the
        third has come the answer to the second has been taken.
        """
        while self.responses_sent.acquire(blocking=False):
            pass
        for _ in range(3):
            assert self.responses_sent.acquire(timeout=self._wait_s)

    def close(self) -> None:
        """Answer no more."""
        self._sock.close()


def _tag_fraction(tag: str) -> float:
    """Where a request falls between 0 and 1: the same in every run."""
    return xxhash.xxh32_intdigest(tag.encode()) / 2**32


class _GatewayConnection:
    """One connection that a gateway opened; answers of many threads leave it one at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._lock = threading.Lock()
        self.cancelled_tags: set[str] = set()

    def write(self, data: bytes) -> bool:
        """Whether it left while the connection stood."""
        with self._lock:
            try:
                self.sock.sendall(data)
            except OSError:
                return False
        return True

    def reset(self) -> None:
        """End it with a reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.shutdown(socket.SHUT_RD)
            self.sock.close()


class StubHost:
    """One host; it keeps its address over its lives. ``faults`` may be changed at any time."""

    def __init__(
        self,
        name: str,
        profile: Profile,
        store: Store,
        catalog: Callable[[str], tuple[float, int]],
        log: Log,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``catalog``: a function's memory in MB and the lanes of a copy."""
        self.name = name
        self.profile = profile
        self.faults = Faults()
        self.connections = 0  # opened so far
        self.calls_to_reset = 0  # so many of the next calls have their connection reset once they have run
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
        """Where it listens, in all its lives."""
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        """Begin a life: cold, and empty."""
        self.incarnation = uuid.uuid4().hex[:12]
        self.model = WorkerModel(self.profile, lambda: self.faults, self._store, self._clock)
        self._listener = socket.create_server(("127.0.0.1", self._port), backlog=512)
        enable_timestamps(self._listener)
        self._port = self._listener.getsockname()[1]
        start_thread(f"host-{self.name}", partial(self._accept, self._listener, self.model))

    def stop(self) -> None:
        """Die: all connections are reset, nothing that is under way ends."""
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
        """Say nothing and read nothing, without a reset; or go on."""
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
                return  # the queue is full: from here on nobody gets in
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
        """Whether it left, and from when on a gateway may have it."""
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
        now = self._clock()  # it lay in the socket, and then waited for this thread
        self._log_event("arrive", model, t=now, cls=fields["c"], late=now - received_s, **attempt_fields)
        faults = self.faults
        if faults.errors and _tag_fraction(tag) < faults.errors:
            is_open, at = self._send_response(connection, tag, "ERR", {})
            self._log_event("answer", model, t=at, open=is_open, **attempt_fields)
            return
        memory_mb, lanes = self._catalog(function)
        deadline_s = self._clock() + min(MAX_CALL_S, float(fields["w"]) / 1000)
        try:
            cache_status, concurrent_calls = model.call(
                function,
                memory_mb,
                lanes,
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
            held = model.load_instances(function, *self._catalog(function), units, self._clock() + MAX_CALL_S)
        except (QueueFullError, TimeoutError):
            self._send_response(
                connection, message["tag"], "BUSY", {"units": model.loaded_instances(function)}
            )
            return
        except WorkerDiedError:
            return
        self._send_response(connection, message["tag"], "OK", {"units": held})
