"""A stand-in worker on a socket: docs/worker-protocol.md, faults, and a log of what it saw."""

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
    Model,
    Observed,
    Profile,
    QueueFullError,
    Store,
    WorkerDiedError,
)
from saffronstack.standin.usage import Outbox

USAGE_IN_ANSWER = 8  # records in an answer's header
IDLE_S = 120.0
LONGEST_S = 60.0
Entry = dict[str, object]


class _Payload(msgspec.Struct):
    op: str = ""


def _op(body: bytes) -> str:
    """What the client calls its operation, where its payload says so."""
    try:
        return msgspec.json.decode(body, type=_Payload).op
    except msgspec.MsgspecError:
        return ""


def _identity(head: RequestHead, body: bytes) -> Entry:
    """Which call and attempt this is, as every note about it says."""
    get = head.headers.get
    return {
        "id": get("x-amzn-requestid"),
        "attempt": int(get("x-saffron-attempt", "0")),
        "key": get("idempotency-key"),
        "function": get("x-saffron-function"),
        "tenant": get("x-saffron-tenant"),
        "op": _op(body),
    }


def hold_port(host: str, port: int = 0) -> socket.socket:
    """A bound socket that never listens; a listener with SO_REUSEADDR may take the port beside it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


class StandIn:
    """One worker. It can stop, and return cold at the same address as another incarnation."""

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
        log: Callable[[Entry], None] | None = None,
    ) -> None:
        self.name = name
        self.profile = profile
        self.faults = Faults()
        self.log: list[Entry] = []
        self.incarnation = ""
        self.model: Model
        self.outbox: Outbox
        self.observed: list[Observed] | None = None  # a list here is given all changes from the next start on
        self._store = store
        self._clock = clock
        self._write = log or self.log.append
        self._random = random.Random(seed)
        # Bound and never listening, it keeps the port for the worker's next life: the system would give a
        # port without a listener to the next outgoing connection, and meanwhile it refuses connections.
        self._placeholder = hold_port(host, port)
        self._host, self._port = self._placeholder.getsockname()[:2]
        self._listener: socket.socket | None = None
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self.start()

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"{self._host}:{self._port}"

    def start(self) -> None:
        """Begin an incarnation: nothing is loaded."""
        if self._listener is not None:
            return
        self.incarnation = uuid.uuid4().hex[:12]
        self.outbox = Outbox(self.name, self.incarnation)
        observe = self.observed.append if self.observed is not None else None
        self.model = Model(self.profile, lambda: self.faults, self._store, self._clock, self.outbox, observe)
        listener = self._listener = socket.create_server((self._host, self._port), backlog=512)
        listener.settimeout(0.2)
        self._note("start")
        accept = partial(self._accept, listener, self.model, self.incarnation)  # those of this incarnation
        start_thread(f"standin-{self.name}", accept)

    def stop(self) -> None:
        """Die at once: the listener and every connection close, every call under way is lost."""
        with self._lock:
            listener, self._listener = self._listener, None
            connections, self._connections = self._connections, set()
        if listener is None:
            return
        self._note("stop")
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)  # wakes the thread in accept, which keeps the port open
        listener.close()
        self.model.die()
        for sock in connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def runs(self, function: str = "") -> list[Entry]:
        """Log entries of runs."""
        return [e for e in list(self.log) if e["what"] == "run" and function in ("", e["function"])]

    def _note(self, what: str, **more: object) -> None:
        self._write(
            {"t": self._clock(), "worker": self.name, "incarnation": self.incarnation, "what": what, **more}
        )

    def _accept(self, listener: socket.socket, model: Model, incarnation: str) -> None:
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

    def _serve(self, sock: socket.socket, model: Model, incarnation: str) -> None:
        stream = Stream(sock)
        reader = MessageReader(MessageLimits(body_bytes=16 * 1024 * 1024))
        try:
            late_s = self.faults.handshake_s
            if late_s:
                time.sleep(late_s)
            while True:
                if not reader.pending:
                    reader.feed(stream.receive(IDLE_S))
                until = self._clock() + 30.0
                head = read_until(stream, reader, reader.request, until, self._clock)
                body = read_until(stream, reader, reader.body, until, self._clock)
                if not self._one(stream, model, incarnation, head, body, late_s):
                    return
                late_s = 0.0
        except (OSError, PeerClosed, HttpError, WorkerDiedError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            stream.close()

    def _one(
        self,
        stream: Stream,
        model: Model,
        incarnation: str,
        head: RequestHead,
        body: bytes,
        late_s: float,
    ) -> bool:
        path = urlsplit(head.target).path
        if path.startswith("/saffron/v1/copies/"):
            return self._order(stream, model, incarnation, head, unquote(path.rpartition("/")[2]))
        if path == "/saffron/v1/usage":
            return self._usage(stream, model, incarnation, body)
        if path == "/saffron/v1/report":
            return self._answer(stream, model, incarnation, 200, (), b"{}")
        return self._call(stream, model, incarnation, head, body, late_s)

    def _answer(
        self,
        stream: Stream,
        model: Model,
        incarnation: str,
        status: int,
        extra: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> bool:
        in_hand, waiting, busy, loads = model.report()
        data = writer.response(
            status,
            (
                ("Content-Type", "application/json"),
                ("X-Saffron-Incarnation", incarnation),
                ("X-Saffron-Uptime-Ms", str(int((self._clock() - model.started_s) * 1000))),
                ("X-Saffron-In-Hand", str(in_hand)),
                ("X-Saffron-Waiting", str(waiting)),
                ("X-Saffron-Busy", f"{busy:.3f}"),
                ("X-Saffron-Loads", str(loads)),
                *extra,
            ),
            body,
        )
        faults = self.faults
        until = self._clock() + 10.0
        if faults.half_header:
            stream.send(data[:20], until, self._clock)
            return False
        if faults.garbage:
            stream.send(b"\x00\xffnot http at all\r\n\r\n", until, self._clock)
            return False
        if faults.reset_mid_answer:
            stream.send(data[: len(data) - max(1, len(body) // 2)], until, self._clock)
            stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        return stream.send(data, until, self._clock)

    def _call(
        self,
        stream: Stream,
        model: Model,
        incarnation: str,
        head: RequestHead,
        body: bytes,
        late_s: float,
    ) -> bool:
        get = head.headers.get
        who = _identity(head, body)
        self._note("arrive", late=late_s, **who)  # ``late``: how long it may have lain in the socket
        faults = self.faults
        if faults.silent:
            self._hang(stream, model, who)
            return False
        if self._random.random() < faults.errors:
            self._note("answer", status=500, **who)
            return self._answer(stream, model, incarnation, 500, (), b'{"errorType":"Standin.Broken"}')
        run_id = uuid.uuid4().hex
        deadline_s = self._clock() + min(LONGEST_S, float(get("x-saffron-left-ms", "3000")) / 1000)
        try:
            found, crowd = model.call(
                str(who["function"]),
                float(get("x-saffron-memory-mb", "128")),
                int(get("x-saffron-lanes", "1")),
                deadline_s,
                lambda: self._note("run", run=run_id, **who),
                CallReference(str(who["id"]), str(who["tenant"]), get("x-saffron-class")),
            )
        except (QueueFullError, TimeoutError):
            self._note("answer", status=429, **who)
            return self._answer(stream, model, incarnation, 429, (("X-Saffron-Ran", "no"),), b"{}")
        except WorkerDiedError:
            self._note("died", **who)
            if (
                self._listener is not None
                and model is self.model
                and faults.die_mid_call | faults.die_mid_load
            ):
                self.stop()
            return False
        if faults.silent_after_run:
            self._hang(stream, model, who)
            return False
        if self._random.random() < faults.lose_answers:
            self._note("lost", **who)
            return False
        fields = self._fields(head, who, run_id, found, crowd)
        open_ = stream.is_peer_open()
        self._note("answer", status=200, open=open_, run=run_id, **who)
        return self._answer(stream, model, incarnation, 200, fields, self._payload(who, run_id, body))

    def _payload(self, who: Entry, run_id: str, body: bytes) -> bytes:
        """What the function answers: what it was given, and which run of it this was."""
        content = {
            "input": msgspec.Raw(body or b"null"),
            "run": run_id,
            "function": who["function"],
            "worker": self.name,
        }
        return msgspec.json.encode(content)

    def _fields(
        self, head: RequestHead, who: Entry, run_id: str, found: str, crowd: int
    ) -> tuple[tuple[str, str], ...]:
        """The header fields of a good answer: instance, waiting calls, usage, and the log where it is asked
        for.
        """
        get = head.headers.get
        fields = [
            ("X-Saffron-Found", found),
            ("X-Saffron-Crowd", str(min(30, crowd))),
            ("X-Saffron-Held", str(self.outbox.held(str(who["id"])))),
        ]
        if get("x-amz-log-type") == "Tail":
            text = f"START RequestId: {who['id']}\nrun {run_id}\nEND RequestId: {who['id']}\n"
            fields.append(("X-Amz-Log-Result", base64.b64encode(text.encode()).decode()))
        if get("x-saffron-gateway"):
            asked = UsageRequest(get("x-saffron-gateway"), max_records=USAGE_IN_ANSWER)
            offered = msgspec.msgpack.encode(self.outbox.answer(asked, self._clock()))
            fields.append(("X-Saffron-Usage", base64.b64encode(offered).decode()))
        return tuple(fields)

    def _usage(self, stream: Stream, model: Model, incarnation: str, body: bytes) -> bool:
        try:
            asked = msgspec.msgpack.decode(body, type=UsageRequest)
        except (msgspec.MsgspecError, ValueError):
            return self._answer(stream, model, incarnation, 400, (), b"")
        model.settle()
        offered = self.outbox.answer(asked, self._clock())
        return self._answer(stream, model, incarnation, 200, (), msgspec.msgpack.encode(offered))

    def _hang(self, stream: Stream, model: Model, who: Entry) -> None:
        """Hold the connection without an answer until the peer gives up."""
        end_s = self._clock() + LONGEST_S
        while self._clock() < end_s and stream.is_peer_open() and model is self.model and self._listener:
            time.sleep(0.02)
        self._note("abandoned", **who)

    def _order(
        self, stream: Stream, model: Model, incarnation: str, head: RequestHead, function: str
    ) -> bool:
        get = head.headers.get
        if head.method == "DELETE":
            model.drop(function)
            return self._answer(stream, model, incarnation, 204, (), b"")
        if head.method == "GET":
            return self._answer(stream, model, incarnation, 200, (), str(model.standing(function)).encode())
        count = int(urlsplit(head.target).query.rpartition("=")[2] or 1)
        self._note("order", function=function, count=count)
        try:
            held = model.hold(
                function,
                float(get("x-saffron-memory-mb", "128")),
                int(get("x-saffron-lanes", "1")),
                count,
                self._clock() + 8.0,
            )
        except (QueueFullError, TimeoutError):
            return self._answer(stream, model, incarnation, 429, (), str(model.standing(function)).encode())
        return self._answer(stream, model, incarnation, 200, (), str(held).encode())
