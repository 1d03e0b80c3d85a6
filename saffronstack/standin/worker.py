"""A stub worker that serves docs/worker-protocol.md, shows injected faults and logs its traffic."""

from __future__ import annotations

import base64
import contextlib
import random
import socket
import struct
import threading
import time
import uuid
from collections.abc import Callable
from functools import partial
from urllib.parse import unquote, urlsplit

import msgspec

from saffronstack.http1 import writer
from saffronstack.http1.messages import HttpError, MessageLimits, RequestHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_until
from saffronstack.metering.worker_messages import CallReference, UsageRequest
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.model import (
    Faults,
    InstanceChange,
    Profile,
    QueueFullError,
    Store,
    WorkerDiedError,
    WorkerModel,
)
from saffronstack.standin.usage import Outbox

MAX_USAGE_RECORDS_IN_HEADER = 8
IDLE_TIMEOUT_S = 120.0
MAX_CALL_S = 60.0
LogEntry = dict[str, object]


class _Payload(msgspec.Struct):
    op: str = ""


def _read_operation(body: bytes) -> str:
    """Return the operation that the payload names, or an empty string."""
    try:
        return msgspec.json.decode(body, type=_Payload).op
    except msgspec.MsgspecError:
        return ""


def _attempt_fields(head: RequestHead, body: bytes) -> LogEntry:
    """Return the fields that identify the attempt in each log entry about it."""
    get = head.headers.get
    return {
        "id": get("x-amzn-requestid"),
        "attempt": int(get("x-saffron-attempt", "0")),
        "key": get("idempotency-key"),
        "function": get("x-saffron-function"),
        "tenant": get("x-saffron-tenant"),
        "op": _read_operation(body),
    }


def reserve_port(host: str, port: int = 0) -> socket.socket:
    """Reserve a port with a bound socket that never listens.

    A listener with SO_REUSEADDR can use the same port while the socket stays open.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


class StubWorker:
    """A stub worker; after a stop, it can start at its address as another incarnation without instances."""

    def __init__(
        self,
        name: str,
        profile: Profile,
        store: Store,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Callable[[], float] = time.monotonic,
        seed: int = 0,
        log: Callable[[LogEntry], None] | None = None,
    ) -> None:
        self.name = name
        self.profile = profile
        self.faults = Faults()
        self.log: list[LogEntry] = []
        self.incarnation = ""
        self.model: WorkerModel
        self.outbox: Outbox
        # If a test sets a list, all changes from the next start on are appended to it.
        self.instance_changes: list[InstanceChange] | None = None
        self._store = store
        self._clock = clock
        self._write_entry = log or self.log.append
        self._random = random.Random(seed)
        # Keeps the port for the next incarnation: the system could give a port without a bound socket to an
        # outgoing connection. While nothing listens, connections to the port are refused.
        self._reserved_port = reserve_port(host, port)
        self._host, self._port = self._reserved_port.getsockname()[:2]
        self._listener: socket.socket | None = None
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self.start()

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        return f"{self._host}:{self._port}"

    def start(self) -> None:
        """Start a new incarnation without loaded instances; do nothing if the worker runs."""
        if self._listener is not None:
            return
        self.incarnation = uuid.uuid4().hex[:12]
        self.outbox = Outbox(self.name, self.incarnation)
        observe = self.instance_changes.append if self.instance_changes is not None else None
        self.model = WorkerModel(
            self.profile, lambda: self.faults, self._store, self._clock, self.outbox, observe
        )
        listener = self._listener = socket.create_server((self._host, self._port), backlog=512)
        listener.settimeout(0.2)
        self._log_event("start")
        accept = partial(self._accept, listener, self.model, self.incarnation)
        start_thread(f"standin-{self.name}", accept)

    def stop(self) -> None:
        """Stop at once, as if killed: close the listener and all connections; calls in flight are lost."""
        with self._lock:
            listener, self._listener = self._listener, None
            connections, self._connections = self._connections, set()
        if listener is None:
            return
        self._log_event("stop")
        with contextlib.suppress(OSError):
            listener.shutdown(
                socket.SHUT_RDWR
            )  # wakes the thread in accept, which would keep the listener open
        listener.close()
        self.model.kill()
        for sock in connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def runs(self, function: str = "") -> list[LogEntry]:
        """Return the log entries of all runs, or of those of one function."""
        return [e for e in list(self.log) if e["what"] == "run" and function in ("", e["function"])]

    def _log_event(self, what: str, **more: object) -> None:
        self._write_entry(
            {"t": self._clock(), "worker": self.name, "incarnation": self.incarnation, "what": what, **more}
        )

    def _accept(self, listener: socket.socket, model: WorkerModel, incarnation: str) -> None:
        while self._listener is listener:
            try:
                sock, _ = listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            with self._lock:
                if self._listener is not listener:
                    sock.close()
                    return
                self._connections.add(sock)
            start_thread("standin-connection", lambda sock=sock: self._serve(sock, model, incarnation))  # type: ignore[misc]

    def _serve(self, sock: socket.socket, model: WorkerModel, incarnation: str) -> None:
        stream = Stream(sock)
        reader = MessageReader(MessageLimits(body_bytes=16 * 1024 * 1024))
        try:
            accept_delay_s = self.faults.handshake_s
            if accept_delay_s:
                time.sleep(accept_delay_s)
            while True:
                if not reader.pending:
                    reader.feed(stream.receive(IDLE_TIMEOUT_S))
                deadline_s = self._clock() + 30.0
                head = read_until(stream, reader, reader.request, deadline_s, self._clock)
                body = read_until(stream, reader, reader.body, deadline_s, self._clock)
                if not self._handle_request(stream, model, incarnation, head, body, accept_delay_s):
                    return
                accept_delay_s = 0.0
        except (OSError, PeerClosed, HttpError, WorkerDiedError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            stream.close()

    def _handle_request(
        self,
        stream: Stream,
        model: WorkerModel,
        incarnation: str,
        head: RequestHead,
        body: bytes,
        accept_delay_s: float,
    ) -> bool:
        path = urlsplit(head.target).path
        if path.startswith("/saffron/v1/copies/"):
            return self._handle_load_command(
                stream, model, incarnation, head, unquote(path.rpartition("/")[2])
            )
        if path == "/saffron/v1/usage":
            return self._handle_usage_request(stream, model, incarnation, body)
        if path == "/saffron/v1/report":
            return self._send_response(stream, model, incarnation, 200, (), b"{}")
        return self._handle_call(stream, model, incarnation, head, body, accept_delay_s)

    def _send_response(
        self,
        stream: Stream,
        model: WorkerModel,
        incarnation: str,
        status: int,
        extra: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> bool:
        in_flight, waiting, busy, loads = model.load_report()
        data = writer.response(
            status,
            (
                ("Content-Type", "application/json"),
                ("X-Saffron-Incarnation", incarnation),
                ("X-Saffron-Uptime-Ms", str(int((self._clock() - model.started_s) * 1000))),
                ("X-Saffron-In-Hand", str(in_flight)),
                ("X-Saffron-Waiting", str(waiting)),
                ("X-Saffron-Busy", f"{busy:.3f}"),
                ("X-Saffron-Loads", str(loads)),
                *extra,
            ),
            body,
        )
        faults = self.faults
        deadline_s = self._clock() + 10.0
        if faults.half_header:
            stream.send(data[:20], deadline_s, self._clock)
            return False
        if faults.garbage:
            stream.send(b"\x00\xffnot http at all\r\n\r\n", deadline_s, self._clock)
            return False
        if faults.reset_mid_answer:
            stream.send(data[: len(data) - max(1, len(body) // 2)], deadline_s, self._clock)
            stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        return stream.send(data, deadline_s, self._clock)

    def _handle_call(
        self,
        stream: Stream,
        model: WorkerModel,
        incarnation: str,
        head: RequestHead,
        body: bytes,
        accept_delay_s: float,
    ) -> bool:
        get = head.headers.get
        attempt_fields = _attempt_fields(head, body)
        # ``late`` is the longest time that the request may have waited in the socket's receive buffer.
        self._log_event("arrive", late=accept_delay_s, **attempt_fields)
        faults = self.faults
        if faults.silent:
            self._wait_without_response(stream, model, attempt_fields)
            return False
        if self._random.random() < faults.errors:
            self._log_event("answer", status=500, **attempt_fields)
            return self._send_response(stream, model, incarnation, 500, (), b'{"errorType":"Standin.Broken"}')
        run_id = uuid.uuid4().hex
        deadline_s = self._clock() + min(MAX_CALL_S, float(get("x-saffron-left-ms", "3000")) / 1000)
        try:
            cache_status, concurrent_calls = model.call(
                str(attempt_fields["function"]),
                float(get("x-saffron-memory-mb", "128")),
                int(get("x-saffron-lanes", "1")),
                deadline_s,
                lambda: self._log_event("run", run=run_id, **attempt_fields),
                CallReference(
                    str(attempt_fields["id"]), str(attempt_fields["tenant"]), get("x-saffron-class")
                ),
            )
        except (QueueFullError, TimeoutError):
            self._log_event("answer", status=429, **attempt_fields)
            return self._send_response(stream, model, incarnation, 429, (("X-Saffron-Ran", "no"),), b"{}")
        except WorkerDiedError:
            self._log_event("died", **attempt_fields)
            if (
                self._listener is not None
                and model is self.model
                and faults.die_mid_call | faults.die_mid_load
            ):
                self.stop()
            return False
        if faults.silent_after_run:
            self._wait_without_response(stream, model, attempt_fields)
            return False
        if self._random.random() < faults.lose_answers:
            self._log_event("lost", **attempt_fields)
            return False
        fields = self._response_headers(head, attempt_fields, run_id, cache_status, concurrent_calls)
        is_open = stream.is_peer_open()
        self._log_event("answer", status=200, open=is_open, run=run_id, **attempt_fields)
        return self._send_response(
            stream, model, incarnation, 200, fields, self._response_body(attempt_fields, run_id, body)
        )

    def _response_body(self, attempt_fields: LogEntry, run_id: str, body: bytes) -> bytes:
        """Return the function's output: its input, and which run of it this was."""
        content = {
            "input": msgspec.Raw(body or b"null"),
            "run": run_id,
            "function": attempt_fields["function"],
            "worker": self.name,
        }
        return msgspec.json.encode(content)

    def _response_headers(
        self,
        head: RequestHead,
        attempt_fields: LogEntry,
        run_id: str,
        cache_status: str,
        concurrent_calls: int,
    ) -> tuple[tuple[str, str], ...]:
        """Return the header fields of a successful response: cache status, concurrent calls and memory use.

        If the request asks for them, the function's log and usage records are added.
        """
        get = head.headers.get
        fields = [
            ("X-Saffron-Found", cache_status),
            ("X-Saffron-Crowd", str(min(30, concurrent_calls))),
            ("X-Saffron-Held", str(self.outbox.pop_memory_use(str(attempt_fields["id"])))),
        ]
        if get("x-amz-log-type") == "Tail":
            text = (
                f"START RequestId: {attempt_fields['id']}\nrun {run_id}\n"
                f"END RequestId: {attempt_fields['id']}\n"
            )
            fields.append(("X-Amz-Log-Result", base64.b64encode(text.encode()).decode()))
        if get("x-saffron-gateway"):
            request = UsageRequest(get("x-saffron-gateway"), max_records=MAX_USAGE_RECORDS_IN_HEADER)
            response = msgspec.msgpack.encode(self.outbox.respond(request, self._clock()))
            fields.append(("X-Saffron-Usage", base64.b64encode(response).decode()))
        return tuple(fields)

    def _handle_usage_request(
        self, stream: Stream, model: WorkerModel, incarnation: str, body: bytes
    ) -> bool:
        try:
            request = msgspec.msgpack.decode(body, type=UsageRequest)
        except (msgspec.MsgspecError, ValueError):
            return self._send_response(stream, model, incarnation, 400, (), b"")
        model.end_open_spans()
        response = self.outbox.respond(request, self._clock())
        return self._send_response(stream, model, incarnation, 200, (), msgspec.msgpack.encode(response))

    def _wait_without_response(self, stream: Stream, model: WorkerModel, attempt_fields: LogEntry) -> None:
        """Keep the connection open without a response until the gateway closes it or the worker stops."""
        end_s = self._clock() + MAX_CALL_S
        while self._clock() < end_s and stream.is_peer_open() and model is self.model and self._listener:
            time.sleep(0.02)
        self._log_event("abandoned", **attempt_fields)

    def _handle_load_command(
        self, stream: Stream, model: WorkerModel, incarnation: str, head: RequestHead, function: str
    ) -> bool:
        get = head.headers.get
        if head.method == "DELETE":
            model.unload(function)
            return self._send_response(stream, model, incarnation, 204, (), b"")
        if head.method == "GET":
            return self._send_response(
                stream, model, incarnation, 200, (), str(model.loaded_instances(function)).encode()
            )
        count = int(urlsplit(head.target).query.rpartition("=")[2] or 1)
        self._log_event("order", function=function, count=count)
        try:
            loaded = model.load_instances(
                function,
                float(get("x-saffron-memory-mb", "128")),
                int(get("x-saffron-lanes", "1")),
                count,
                self._clock() + 8.0,
            )
        except (QueueFullError, TimeoutError):
            return self._send_response(
                stream, model, incarnation, 429, (), str(model.loaded_instances(function)).encode()
            )
        return self._send_response(stream, model, incarnation, 200, (), str(loaded).encode())
