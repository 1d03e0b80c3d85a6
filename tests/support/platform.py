"""Scripted stand-ins for the platform, on loopback: host, directory, client; and a gateway among them."""

from __future__ import annotations

import base64
import io
import json
import queue
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from saffronstack.core.logs import PlainLog
from saffronstack.platform.config import parse
from saffronstack.platform.service import Service
from saffronstack.resp.reader import RespLimits, RespReader, encode

WAIT_S = 10.0  # a bound, never waited out where things go right
SETTINGS: dict[str, Any] = {
    "Areas": ["east", "west"],
    "Kinds": ["std"],
    "Instances": 1,
    "FamilyInfo": {"MemoryMbByKind": [64000.0], "IdleLifeS": 10.0, "SaysWarm": True, "MayLoad": True},
    "Permissions": {
        "MaxAttempts": 4, "Cancelling": True, "RetryAfter": True, "MaxRetryAfterS": 0.5,
        "ConnectTimeoutS": 1.0, "IdleCloseS": 30.0, "StreamsPerConn": 32,
    },
    "RequestClasses": [
        {"Name": "look", "Idempotency": "safe", "DeadlineS": 8.0, "PromiseS": 4.0},
        {"Name": "sell", "Idempotency": "unsafe", "DeadlineS": 8.0, "PromiseS": 4.0},
    ],
    "Tenants": [{"Name": "acme", "Share": 1.0, "QuotaRps": 1000.0}],
    "Rules": {"DrainGraceS": 2.0},
}  # fmt: skip


class HostConnection:
    """One connection that the gateway opened to a scripted host."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def send(self, data: bytes) -> None:
        """Raw bytes."""
        self.sock.sendall(data)

    def answer(self, message: dict[str, Any], word: str = "OK", body: bytes = b"", **fields: Any) -> None:
        """A well-formed answer."""
        content = {"what": word, "tag": message["tag"], "with": {"note": "up", **fields}}
        if body:
            content["blob"] = base64.b64encode(body).decode()
        self.send(json.dumps(content).encode() + b"\n")

    def reset(self) -> None:
        """End it with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.shutdown(socket.SHUT_RD)
        self.sock.close()


Behave = Callable[[HostConnection, dict[str, Any]], None]


def echo(connection: HostConnection, message: dict[str, Any]) -> None:
    """A sound host: every call gets its own body back."""
    if message["what"] == "CALL":
        connection.answer(message, body=base64.b64decode(message["blob"]))
    elif message["what"] == "LOAD":
        connection.answer(message, units=message["with"]["units"])


class ScriptedHost:
    """Hands every message to ``behave`` on the connection's thread, and keeps it in ``seen``."""

    def __init__(self, behave: Behave = echo) -> None:
        self.behave = behave
        self.seen: queue.Queue[dict[str, Any]] = queue.Queue()
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        connection = HostConnection(sock)
        try:
            with sock, sock.makefile("rb") as lines:
                for line in lines:
                    message = json.loads(line)
                    self.seen.put(message)
                    self.behave(connection, message)
        except (OSError, ValueError):
            return

    def next(self) -> dict[str, Any]:
        """The next message that came."""
        return self.seen.get(timeout=WAIT_S)

    def close(self) -> None:
        """Refuse connections from now on."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@dataclass(frozen=True)
class Entry:
    """A host as the directory lists it."""

    name: str
    address: str
    draining: bool = False
    started: int = 0


def dns_answer(query: bytes, serial: int, entries: list[Entry]) -> bytes:
    """A whole answer, with compressed names."""
    question = query[12:]
    services, more = b"", b""
    at = 12 + len(question)
    targets: list[bytes] = []
    for entry in entries:
        host, _, port = entry.address.rpartition(":")
        labels = [entry.name.encode(), b"east", b"hosts"]
        target = b"".join(bytes([len(label)]) + label for label in labels) + b"\0"
        data = struct.pack(">HHH", 1 if entry.draining else 0, 10, int(port)) + target
        services += b"\xc0\x0c" + struct.pack(">HHIH", 33, 1, 0, len(data)) + data
        pointer = struct.pack(">H", 0xC000 | at + 12 + 6)
        targets.append(pointer)
        at += 12 + len(data)
        more += pointer + struct.pack(">HHIH", 1, 1, 0, 4) + socket.inet_aton(host)
        texts = b"".join(
            bytes([len(text)]) + text for text in (b"kind=std", b"cell=0", b"started=%d" % entry.started)
        )
        more += pointer + struct.pack(">HHIH", 16, 1, 0, len(texts)) + texts
    soa = b"\0\0" + struct.pack(">IIIII", serial, 1, 1, 1, 1)
    authority = b"\xc0\x0c" + struct.pack(">HHIH", 6, 1, 0, len(soa)) + soa
    header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(entries), 1, 2 * len(entries))
    return header + question + services + authority + more


class Directory:
    """Answers with ``entries`` under ``serial``, or with what ``spoil`` makes of that."""

    def __init__(self, *entries: Entry, serial: int = 1) -> None:
        self.entries = list(entries)
        self.serial = serial
        self.spoil: Callable[[bytes], bytes | None] = lambda answer: answer
        self.asked = threading.Semaphore(0)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                query, peer = self._sock.recvfrom(4096)
                answer = self.spoil(dns_answer(query, self.serial, self.entries))
                if answer is not None:
                    self._sock.sendto(answer, peer)
            except OSError:
                return
            self.asked.release()

    def tell(self, *entries: Entry) -> None:
        """A new list under the next number; returns once a question after it has been answered."""
        self.entries = list(entries)
        self.serial += 1
        self.wait()

    def wait(self) -> None:
        """Until two more questions have been answered: the first of them may be an old one."""
        while self.asked.acquire(blocking=False):
            pass
        for _ in range(2):
            assert self.asked.acquire(timeout=WAIT_S)

    def close(self) -> None:
        """Answer no more."""
        self._sock.close()


class Client:
    """A client of the gateway; answers are read one by one."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=WAIT_S)
        self._reader = RespReader(RespLimits(body_bytes=1 << 20))
        self._tags = 0

    def send(self, *words: bytes) -> None:
        """One frame."""
        self.sock.sendall(encode(words))

    def call(
        self,
        subject: int | str | None = 1,
        body: bytes = b"x",
        cls: bytes = b"look",
        request: int | None = None,
        **fields: Any,
    ) -> int:
        """Send a call; its tag."""
        self._tags += 1
        told: dict[str, Any] = {
            "req": f"{request if request is not None else id(self) % 2**32 * 2**20 + self._tags:016x}",
            "timeout": 8000, "owner": "acme",
            "subject": f"{subject:016x}" if isinstance(subject, int) else subject,
            "facts": "memory_mb:100;lanes:1",
        } | fields  # fmt: skip
        text = ",".join(f"{name}={value}" for name, value in told.items() if value is not None)
        self.send(b"CALL", b"%d" % self._tags, cls, text.encode(), body)
        return self._tags

    def read(self) -> tuple[int, str, bytes, bytes]:
        """The next answer: tag, word, fields, body; EOFError at the end."""
        while (words := self._reader.next()) is None:
            data = self.sock.recv(65536)
            if not data:
                raise EOFError
            self._reader.feed(data)
        padded = (*words, b"", b"")
        return int(words[0]), words[1].decode(), padded[2], padded[3]

    def ask(self, **more: Any) -> tuple[str, bytes]:
        """A call and its answer: word and body."""
        tag = self.call(**more)
        answered, word, _, body = self.read()
        assert answered == tag
        return word, body


def config_text(
    directory: str, entries: list[Entry], sockets: int = 384, listen: str = "127.0.0.1:0"
) -> bytes:
    """What the platform hands a gateway."""
    endpoints = [
        {
            "name": entry.name, "address": entry.address, "zone": "east", "type": "std", "group": 0,
            "status": "Terminating" if entry.draining else "Ready", "weight": 1, "since_ms": entry.started,
        }
        for entry in entries
    ]  # fmt: skip
    pool = {"index": 0, "snapshot": True, "endpoints": endpoints}
    known = {"rev": 1, "notices": [{"rev": 1, "pool": pool}]}
    return json.dumps(
        {
            "name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "nameserver": directory,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": sockets}, "known": known,
            "settings": SETTINGS,
        }
    ).encode()  # fmt: skip


@contextmanager
def gateway(directory: Directory, sockets: int = 384) -> Iterator[Service]:
    """A gateway that runs in this process, among the directory's hosts."""
    config = parse(config_text(directory.address, directory.entries, sockets))
    service = Service(config, log=PlainLog("test", io.StringIO()))
    service.start()
    try:
        yield service
    finally:
        service.stop(still_coming_s=0.0)
        directory.close()
