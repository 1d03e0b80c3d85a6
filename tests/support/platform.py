"""Stubs for tests of the platform on loopback: a scripted host, a client and a gateway in this process."""

from __future__ import annotations

import base64
import io
import itertools
import json
import queue
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from saffronstack.platform.config import parse_config
from saffronstack.platform.service import Service
from saffronstack.resp.reader import RespLimits, RespReader, encode
from saffronstack.runtime.logs import KeyValueLogger
from saffronstack.standin.platform import HostEntry, StubDnsServer

WAIT_S = 10.0  # reached only if a test fails
REQUEST_IDS = itertools.count(1 << 40)  # new with every request, as the platform requires
DEADLINE_S = 8.0  # of each request class
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
        {"Name": "look", "Idempotency": "safe", "DeadlineS": DEADLINE_S, "PromiseS": 4.0},
        {"Name": "sell", "Idempotency": "unsafe", "DeadlineS": DEADLINE_S, "PromiseS": 4.0},
    ],
    "Tenants": [{"Name": "acme", "Share": 1.0, "QuotaRps": 1000.0}],
    "Rules": {"DrainGraceS": 2.0},
}  # fmt: skip


class HostConnection:
    """A connection that the gateway opened to a scripted host."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.sock.sendall(data)

    def respond(
        self, message: dict[str, Any], status_word: str = "OK", body: bytes = b"", **fields: Any
    ) -> None:
        """Send a well-formed response to a message."""
        content = {"what": status_word, "tag": message["tag"], "with": {"note": "up", **fields}}
        if body:
            content["blob"] = base64.b64encode(body).decode()
        self.send(json.dumps(content).encode() + b"\n")

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.shutdown(socket.SHUT_RD)
        self.sock.close()


MessageHandler = Callable[[HostConnection, dict[str, Any]], None]


def echo_calls(connection: HostConnection, message: dict[str, Any]) -> None:
    """Respond to each call with its own body, and to each load command with success."""
    if message["what"] == "CALL":
        connection.respond(message, body=base64.b64decode(message["blob"]))
    elif message["what"] == "LOAD":
        connection.respond(message, units=message["with"]["units"])


class ScriptedHost:
    """Queues each message in ``messages`` and passes it to ``handler`` on the connection's thread."""

    def __init__(self, behave: MessageHandler = echo_calls) -> None:
        self.handler = behave
        self.messages: queue.Queue[dict[str, Any]] = queue.Queue()
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
                    self.messages.put(message)
                    self.handler(connection, message)
        except (OSError, ValueError):
            return

    def next_message(self) -> dict[str, Any]:
        """Return the next message, and wait for it if necessary."""
        return self.messages.get(timeout=WAIT_S)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


class BlockedHost(ScriptedHost):
    """A host that answers calls only after ``release`` is set."""

    def __init__(self) -> None:
        self.release = threading.Event()
        super().__init__(self._behave)

    def _behave(self, connection: HostConnection, message: dict[str, Any]) -> None:
        self.release.wait(WAIT_S)
        echo_calls(connection, message)


class Client:
    """A client of the gateway that reads one response at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=WAIT_S)
        self._reader = RespReader(RespLimits(body_bytes=1 << 20))
        self._tags = 0

    def send(self, *words: bytes) -> None:
        """Send one frame of these words."""
        self.sock.sendall(encode(words))

    def call(
        self,
        subject: int | str | None = 1,
        body: bytes = b"x",
        class_name: bytes = b"look",
        request: int | None = None,
        **fields: Any,
    ) -> int:
        """Send a call and return its tag."""
        self._tags += 1
        all_fields: dict[str, Any] = {
            "req": f"{request if request is not None else next(REQUEST_IDS):016x}",
            "timeout": 8000, "owner": "acme",
            "subject": f"{subject:016x}" if isinstance(subject, int) else subject,
            "facts": "memory_mb:100;lanes:1",
        } | fields  # fmt: skip
        text = ",".join(f"{name}={value}" for name, value in all_fields.items() if value is not None)
        self.send(b"CALL", b"%d" % self._tags, class_name, text.encode(), body)
        return self._tags

    def read(self) -> tuple[int, str, bytes, bytes]:
        """Read a response; return its tag, status word, fields and body.

        Raises:
            EOFError: The connection has ended.
        """
        while (words := self._reader.next()) is None:
            data = self.sock.recv(65536)
            if not data:
                raise EOFError
            self._reader.feed(data)
        padded = (*words, b"", b"")
        return int(words[0]), words[1].decode(), padded[2], padded[3]

    def call_and_read(self, **more: Any) -> tuple[str, bytes]:
        """Send a call, and return the status word and body of its response."""
        tag = self.call(**more)
        answered, status_word, _, body = self.read()
        assert answered == tag
        return status_word, body


def config_text(
    directory: str,
    entries: list[HostEntry],
    sockets: int = 384,
    listen: str = "127.0.0.1:0",
    deadline_s: float = DEADLINE_S,
) -> bytes:
    """Return the configuration that the platform passes to a gateway."""
    classes = [{**request_class, "DeadlineS": deadline_s} for request_class in SETTINGS["RequestClasses"]]
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
            "settings": {**SETTINGS, "RequestClasses": classes},
        }
    ).encode()  # fmt: skip


@contextmanager
def gateway(
    directory: StubDnsServer, sockets: int = 384, deadline_s: float = DEADLINE_S
) -> Iterator[Service]:
    """Run a gateway in this process with the hosts that the DNS server lists."""
    text = config_text(directory.address, directory.entries, sockets, deadline_s=deadline_s)
    config = parse_config(text)
    service = Service(config, log=KeyValueLogger("test", io.StringIO()))
    service.start()
    try:
        yield service
    finally:
        service.stop(min_drain_s=0.0, quiet_s=0.0)
        directory.close()
