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
from saffronstack.standin.model import Faults, Model, Profile, QueueFullError, Store, WorkerDiedError
from saffronstack.standin.stamps import Stamped, note_times

Log = Callable[[dict[str, Any]], None]
FILL_MOST = 16  # connections that fill a queue of none
FILL_S = 0.1
LINE_MOST = 128 * 1024
CALL_MOST_S = 10.0
NOTES = {"warm": "up", "began-load": "fresh"}


@dataclass(frozen=True)
class Entry:
    """A host as the directory lists it; ``started`` is the Unix millisecond of a late start, or 0;
    ``weight`` its size beside others.
    """

    name: str
    address: str
    draining: bool = False
    started: int = 0
    zone: str = "east"
    weight: int = 1


def dns_answer(query: bytes, serial: int, entries: Iterable[Entry]) -> bytes:
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


class Directory:
    """Answers with ``entries`` under ``serial``, or with what ``spoil`` makes of that; None says nothing."""

    def __init__(self, *entries: Entry, serial: int = 1, wait_s: float = 10.0) -> None:
        self.entries = list(entries)
        self.serial = serial
        self.spoil: Callable[[bytes], bytes | None] = lambda answer: answer
        self.behind: Callable[[int], bool] = lambda port: False  # askers that still get the list before
        self._before: tuple[int, list[Entry]] = (serial, self.entries)
        self.asked = threading.Semaphore(0)
        self.asks: list[tuple[float, tuple[str, int]]] = []  # when, and by whom
        self._wait_s = wait_s
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        start_thread("directory", self._run)

    def _run(self) -> None:
        while True:
            try:
                query, peer = self._sock.recvfrom(4096)
                self.asks.append((time.monotonic(), peer))
                now = self.serial, self.entries
                answer = self.spoil(dns_answer(query, *(self._before if self.behind(peer[1]) else now)))
                if answer is not None:
                    self._sock.sendto(answer, peer)
            except OSError:
                return
            self.asked.release()

    def tell(self, *entries: Entry) -> None:
        """A new list under the next number; returns once a question after it has been answered."""
        self.put(*entries)
        self.wait()

    def put(self, *entries: Entry) -> None:
        """A new list under the next number."""
        self._before = self.serial, self.entries
        self.entries = list(entries)
        self.serial += 1

    def wait(self) -> None:
        """Until three more queries have been answered: the first of them may be an old one, and when the
        third has come the answer to the second has been taken.
        """
        while self.asked.acquire(blocking=False):
            pass
        for _ in range(3):
            assert self.asked.acquire(timeout=self._wait_s)

    def close(self) -> None:
        """Answer no more."""
        self._sock.close()


def _part(tag: str) -> float:
    """Where a request falls between 0 and 1: the same in every run."""
    return xxhash.xxh32_intdigest(tag.encode()) / 2**32


class _Connection:
    """One link that a gateway opened; answers of many threads leave it one at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._lock = threading.Lock()
        self.given_up: set[str] = set()

    def write(self, data: bytes) -> bool:
        """Whether it left while the link stood."""
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


class LinesHost:
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
        self.reset_calls = 0  # so many of the next calls have their link reset once they have run
        self._store, self._catalog, self._log, self._clock = store, catalog, log, clock
        self._attempts = count()
        self._crew = IdleThreadPool("host-call", max_idle=64)
        self._free = threading.Event()
        self._free.set()
        self._lock = threading.Lock()
        self._links: set[_Connection] = set()
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
        self.model = Model(self.profile, lambda: self.faults, self._store, self._clock)
        self._listener = socket.create_server(("127.0.0.1", self._port), backlog=512)
        note_times(self._listener)
        self._port = self._listener.getsockname()[1]
        start_thread(f"host-{self.name}", partial(self._accept, self._listener, self.model))

    def stop(self) -> None:
        """Die: all links are reset, nothing that is under way ends."""
        with self._lock:
            listener, self._listener = self._listener, None
            links, self._links = self._links, set()
        if listener is None:
            return
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        self.model.die()
        for link in links:
            link.reset()

    def stall(self, stalled: bool) -> None:
        """Say nothing and read nothing, without a reset; or go on."""
        if stalled:
            self._free.clear()
        else:
            self._free.set()

    def cut(self, cut: bool) -> None:
        """Be cut off: links say nothing, and new connections never come up, since the listener's queue is
        full and nobody accepts; or be back, with what had waited on the links.
        """
        self.stall(cut)
        with self._lock:
            listener, self._listener = self._listener, None
            fillers, self._fillers = self._fillers, []
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for filler in fillers:
            filler.close()
        fresh = socket.socket()
        fresh.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        fresh.bind(("127.0.0.1", self._port))
        note_times(fresh)
        fresh.listen(0 if cut else 512)
        with self._lock:
            self._listener = fresh
        if not cut:
            start_thread(f"host-{self.name}", partial(self._accept, fresh, self.model))
            return
        for _ in range(FILL_MOST):
            filler = socket.socket()
            self._fillers.append(filler)
            filler.settimeout(FILL_S)
            try:
                filler.connect(("127.0.0.1", self._port))
            except TimeoutError:
                return  # the queue is full: from here on nobody gets in
            except OSError:
                continue

    def _accept(self, listener: socket.socket, model: Model) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            link = _Connection(sock)
            with self._lock:
                if self._listener is not listener:
                    link.reset()
                    return
                self._links.add(link)
            self.connections += 1
            self._note("connect", model)
            self._crew.run(partial(self._serve, link, model))

    def _serve(self, link: _Connection, model: Model) -> None:
        try:
            lines = Stamped(link.sock)
            while line := lines.line(LINE_MOST):
                came_s = lines.came_s
                self._free.wait(CALL_MOST_S)
                message = msgspec.json.decode(line)
                if message["what"] == "CALL":
                    self._crew.run(partial(self._call, link, model, message, came_s))
                elif message["what"] == "CANCEL":
                    link.given_up.add(message["tag"])
                elif message["what"] == "PING":
                    self._answer(link, message["tag"], "UP", {})
                elif message["what"] == "LOAD":
                    self._crew.run(partial(self._order, link, model, message, came_s))
        except (OSError, ValueError, KeyError, msgspec.MsgspecError):
            pass
        finally:
            with self._lock:
                self._links.discard(link)
            with contextlib.suppress(OSError):
                link.sock.close()

    def _note(self, what: str, model: Model, **more: Any) -> None:
        self._log({"t": self._clock(), "worker": self.name, "what": what, **more})

    def _answer(
        self, link: _Connection, tag: str, word: str, fields: dict[str, Any], blob: str = ""
    ) -> tuple[bool, float]:
        """Whether it left, and from when on a gateway may have it."""
        self._free.wait(CALL_MOST_S)
        at = self._clock()
        if tag in link.given_up:
            return False, at
        content = {"what": word, "tag": tag, "with": fields, **({"blob": blob} if blob else {})}
        return link.write(msgspec.json.encode(content) + b"\n"), at

    def _call(self, link: _Connection, model: Model, message: dict[str, Any], came_s: float) -> None:
        fields, tag = message["with"], str(message["tag"])
        function = str(fields["k"])
        who = {
            "id": tag, "op": tag, "function": function, "attempt": next(self._attempts),
            "incarnation": self.incarnation,
        }  # fmt: skip
        now = self._clock()  # it lay in the socket, and then waited for this thread
        self._note("arrive", model, t=now, cls=fields["c"], late=now - came_s, **who)
        faults = self.faults
        if faults.errors and _part(tag) < faults.errors:
            open_, at = self._answer(link, tag, "ERR", {})
            self._note("answer", model, t=at, open=open_, **who)
            return
        memory_mb, lanes = self._catalog(function)
        until_s = self._clock() + min(CALL_MOST_S, float(fields["w"]) / 1000)
        try:
            found, crowd = model.call(
                function, memory_mb, lanes, until_s, lambda: self._note("run", model, **who)
            )
        except (QueueFullError, TimeoutError):
            open_, at = self._answer(link, tag, "BUSY", {})
            self._note("answer", model, t=at, status=429, open=open_, **who)
            return
        except WorkerDiedError:
            return
        if faults.silent_after_run or _part(tag[::-1]) < faults.lose_answers:
            self._note("lost", model, **who)
            return
        with self._lock:
            reset, self.reset_calls = self.reset_calls > 0, max(0, self.reset_calls - 1)
        if reset:
            link.reset()
            return
        in_hand, waiting, busy, loads = model.report()
        if faults.told_busy is not None:
            waiting, busy = faults.told_waiting, faults.told_busy
        told = {
            "note": NOTES.get(found, "behind"), "ahead": min(30, crowd),
            "load": f"queue:{waiting};util:{busy:.3f}",
        }  # fmt: skip
        open_, at = self._answer(link, tag, "OK", told, message.get("blob", ""))
        state = {"found": found, "busy": busy, "hand": in_hand, "loads": loads}
        self._note("answer", model, t=at, open=open_, **state, **who)

    def _order(self, link: _Connection, model: Model, message: dict[str, Any], came_s: float) -> None:
        function, units = str(message["with"]["k"]), int(message["with"]["units"])
        now = self._clock()
        self._note("order", model, t=now, function=function, count=units, late=now - came_s)
        try:
            held = model.hold(function, *self._catalog(function), units, self._clock() + CALL_MOST_S)
        except (QueueFullError, TimeoutError):
            self._answer(link, message["tag"], "BUSY", {"units": model.standing(function)})
            return
        except WorkerDiedError:
            return
        self._answer(link, message["tag"], "OK", {"units": held})
