"""All clients of a play, on one thread: they send on kept connections until the gateway ends or is killed."""

from __future__ import annotations

import contextlib
import random
import selectors
import socket
import threading
import time

from saffronstack.harness.soak.schedule import ClientKind
from saffronstack.harness.soak.traffic import ReceivedAnswer, SentRequest
from saffronstack.resp.reader import RespError, RespLimits, RespReader, encode
from saffronstack.runtime.threads import start_thread

POLL_S = 0.005
READ_TO_END_S = 5.0
CONNECT_TIMEOUT_S = 2.0
PIPELINE_DEPTH = 4
OPEN_LOOP_INTERVAL_S = (0.02, 0.12)
PAUSE_BETWEEN_PIECES_S = (0.005, 0.2)
FUNCTIONS = 12
ANSWER_LIMITS = RespLimits(body_bytes=1 << 20)
TENANT = "acme"


class ClientConnection:
    """One kept connection, and what is open on it."""

    def __init__(
        self, kind: ClientKind, sock: socket.socket, chance: random.Random, timeout_s: float
    ) -> None:
        self.kind = kind
        self.sock = sock
        self.sent: list[SentRequest] = []
        self._by_tag: dict[int, SentRequest] = {}
        self._open: dict[int, SentRequest] = {}  # by tag
        self._chance = chance
        self._timeout_s = timeout_s
        self._reader = RespReader(ANSWER_LIMITS)
        self._tag = 0
        self._rest: tuple[float, bytes, int, SentRequest] | None = None  # of a request in pieces, and when
        self._next_s = 0.0  # of an open loop

    def send_due(self, now: float) -> None:
        """Write what is due; OSError where the connection has ended."""
        match self.kind:
            case ClientKind.OPEN_LOOP:
                if now >= self._next_s and len(self._open) < PIPELINE_DEPTH:
                    self._next_s = now + self._chance.uniform(*OPEN_LOOP_INTERVAL_S)
                    self._send(1)
            case ClientKind.PIPELINED if not self._open:
                self._send(PIPELINE_DEPTH)
            case ClientKind.CLOSED_LOOP if not self._open:
                self._send(1)
            case ClientKind.CROWD if not self.sent:
                self._send(1)
            case ClientKind.IN_PIECES:
                self._send_piece(now)

    def receive(self, now: float) -> bool:
        """Read what has come; False where the gateway has ended the connection."""
        try:
            received = self.sock.recv(65536)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not received:
            return False
        self._reader.feed(received)
        while (words := self._reader.next()) is not None:
            self._take_answer(words, now)
        return True

    def end(self, now: float) -> None:
        """Note that the gateway has ended it."""
        for request in self._open.values():
            if not request.answers:
                request.connection_ended_s = now
        self.sock.close()

    def _take_answer(self, words: tuple[bytes, ...], now: float) -> None:
        tag = int(words[0])
        self._open.pop(tag, None)
        body = words[3] if len(words) > 3 else b""
        self._by_tag[tag].answers.append(ReceivedAnswer(now, words[1].decode(), body))

    def _send(self, requests: int) -> None:
        made = [self._make() for _ in range(requests)]
        self.sock.sendall(b"".join(frame for _, _, frame in made))
        now = time.monotonic()
        for tag, request, _ in made:
            self._note(tag, request, now)

    def _send_piece(self, now: float) -> None:
        if self._rest is not None:
            due_s, rest, tag, request = self._rest
            if now >= due_s:
                self._rest = None
                self.sock.sendall(rest)
                self._note(tag, request, time.monotonic())
        elif not self._open:
            tag, request, frame = self._make()
            cut = self._chance.randrange(1, len(frame))
            self.sock.sendall(frame[:cut])
            due_s = now + self._chance.uniform(*PAUSE_BETWEEN_PIECES_S)
            self._rest = (due_s, frame[cut:], tag, request)

    def _make(self) -> tuple[int, SentRequest, bytes]:
        """A new request, its tag and its frame."""
        self._tag += 1
        request_id = f"{self._chance.getrandbits(64):016x}"
        is_unsafe = self._chance.random() < 0.3
        body = self._chance.randbytes(self._chance.randrange(1, 200))
        fields = (
            f"req={request_id},timeout={round(self._timeout_s * 1000)},owner={TENANT},"
            f"subject={self._chance.randrange(1, FUNCTIONS):016x},facts=memory_mb:100;lanes:32"
        )
        name = b"sell" if is_unsafe else b"look"
        frame = encode((b"CALL", b"%d" % self._tag, name, fields.encode(), body))
        request = SentRequest(request_id, is_unsafe, body, 0.0, self._timeout_s, not self._open)
        return self._tag, request, frame

    def _note(self, tag: int, request: SentRequest, now: float) -> None:
        request.sent_s = now
        self._open[tag] = self._by_tag[tag] = request
        self.sent.append(request)


class SoakClients:
    """Connects all clients and plays them until `stop`."""

    def __init__(
        self, address: tuple[str, int], kinds: tuple[ClientKind, ...], seed: int, timeout_s: float
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._chance = random.Random(seed)
        self._selector = selectors.DefaultSelector()
        self._connections: set[ClientConnection] = set()
        self._requests: list[list[SentRequest]] = []
        self._stopping = threading.Event()
        self._terminated = threading.Event()
        for kind in kinds:
            self._connect(kind)
        self._thread = start_thread("soak-clients", self._run)

    def gateway_terminated(self) -> None:
        """From now on a client whose connection ends does not connect again."""
        self._terminated.set()

    def stop(self) -> list[SentRequest]:
        """Once the gateway has gone, read what it wrote to the end; the requests that were written."""
        self._stopping.set()
        self._thread.join()
        return [request for sent in self._requests for request in sent]

    def _connect(self, kind: ClientKind) -> None:
        """OSError where it is not let in."""
        sock = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        connection = ClientConnection(kind, sock, self._chance, self._timeout_s)
        self._connections.add(connection)
        self._requests.append(connection.sent)
        self._selector.register(sock, selectors.EVENT_READ, connection)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for key, _ in self._selector.select(POLL_S):
                self._on_readable(key.data)
            now = time.monotonic()
            for connection in list(self._connections):
                with contextlib.suppress(BlockingIOError):
                    try:
                        connection.send_due(now)
                    except (BrokenPipeError, ConnectionError):
                        self._end(connection, now)
        self._read_to_end()
        for connection in self._connections:
            connection.sock.close()
        self._selector.close()

    def _read_to_end(self) -> None:
        """Read until each connection has ended: an answer may wait unread where this thread was late."""
        deadline_s = time.monotonic() + READ_TO_END_S
        while self._connections and time.monotonic() < deadline_s:
            for key, _ in self._selector.select(POLL_S):
                self._on_readable(key.data)

    def _on_readable(self, connection: ClientConnection) -> None:
        now = time.monotonic()
        try:
            is_open = connection.receive(now)
        except RespError:
            is_open = False
        if not is_open:
            self._end(connection, now)

    def _end(self, connection: ClientConnection, now: float) -> None:
        if connection in self._connections:
            self._connections.discard(connection)
            self._selector.unregister(connection.sock)
            connection.end(now)
            if connection.kind is not ClientKind.CROWD and not self._terminated.is_set():
                with contextlib.suppress(OSError):
                    self._connect(connection.kind)
