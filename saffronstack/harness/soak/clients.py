"""All clients of a run, on one thread: they send on persistent connections until the gateway ends."""

from __future__ import annotations

import contextlib
import errno
import heapq
import itertools
import random
import selectors
import socket
import threading
import time

from saffronstack.harness.soak.kernel_times import read_tcp_times
from saffronstack.harness.soak.schedule import ClientKind
from saffronstack.harness.soak.traffic import ReceivedResponse, SentRequest
from saffronstack.resp.reader import RespError, RespLimits, RespReader, encode
from saffronstack.runtime.threads import start_thread

POLL_INTERVAL_S = 0.005
FINAL_READ_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTS_PER_ITERATION = 8  # more would delay the reading of responses on open connections
PIPELINE_DEPTH = 4
OPEN_LOOP_INTERVAL_S = (0.02, 0.12)
PAUSE_BETWEEN_PARTS_S = (0.005, 0.2)
IDLE_RECONNECT_DELAY_S = (0.05, 0.3)  # of an idle client whose connection has ended
FUNCTIONS = 12
TIMED_KINDS = (
    ClientKind.OPEN_LOOP,
    ClientKind.IN_PARTS,
)  # kinds that write at certain times, not after a response
RECEIVE_BYTES = 65536
RESPONSE_LIMITS = RespLimits(body_bytes=1 << 20)
TENANT = "acme"


class ClientConnection:
    """One persistent connection, and the requests that were sent on it."""

    def __init__(self, kind: ClientKind, sock: socket.socket, rng: random.Random, timeout_s: float) -> None:
        self.kind = kind
        self.sock = sock
        self.sent: list[SentRequest] = []
        self._by_tag: dict[int, SentRequest] = {}
        self._in_flight: dict[int, SentRequest] = {}  # by tag, without a response
        self._rng = rng
        self._timeout_s = timeout_s
        self._reader = RespReader(RESPONSE_LIMITS)
        self._tag = 0
        self._unsent_part: tuple[float, bytes, int, SentRequest] | None = (
            None  # when it is due; the bytes left; tag; request
        )
        self._next_send_s = 0.0  # of an open-loop client
        self._was_reset = False
        self._has_received_fin = False  # and no reset before the FIN

    def send_due(self, now: float) -> None:
        """Send the requests that are due.

        Raises:
            OSError: The connection has ended.
        """
        match self.kind:
            case ClientKind.OPEN_LOOP:
                if now >= self._next_send_s and len(self._in_flight) < PIPELINE_DEPTH:
                    self._next_send_s = now + self._rng.uniform(*OPEN_LOOP_INTERVAL_S)
                    self._send(1)
            case ClientKind.PIPELINED if not self._in_flight:
                self._send(PIPELINE_DEPTH)
            case ClientKind.CLOSED_LOOP if not self._in_flight:
                self._send(1)
            case ClientKind.IDLE if not self.sent:
                self._send(1)
            case ClientKind.IN_PARTS:
                self._send_part(now)

    def receive(self) -> bool:
        """Read received bytes; return False if the gateway has closed the connection."""
        try:
            received = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            self._was_reset = True
            return False
        if not received:
            self._has_received_fin = not self._was_reset
            return False
        now = time.monotonic()
        self._reader.feed(received)
        while (words := self._reader.next()) is not None:
            self._record_response(words, now)
        return True

    def end(self, now: float) -> None:
        """Record that the gateway closed the connection; ``now`` is a time after the client noticed."""
        ended_s = read_tcp_times(self.sock).latest_end_s(now) if self._has_received_fin else now
        for request in self._in_flight.values():
            if not request.responses:
                request.connection_ended_s = ended_s
        self.sock.close()

    def _record_response(self, words: tuple[bytes, ...], now: float) -> None:
        tag = int(words[0])
        self._in_flight.pop(tag, None)
        body = words[3] if len(words) > 3 else b""
        self._by_tag[tag].responses.append(ReceivedResponse(now, words[1].decode(), body))

    def _send(self, requests: int) -> None:
        created = [self._create_request() for _ in range(requests)]
        sent_s = self._write(b"".join(frame for _, _, frame in created))
        for tag, request, _ in created:
            self._record_sent(tag, request, sent_s)

    def _send_part(self, now: float) -> None:
        if self._unsent_part is not None:
            due_s, unsent, tag, request = self._unsent_part
            if now >= due_s:
                self._unsent_part = None
                self._record_sent(tag, request, self._write(unsent))
        elif not self._in_flight:
            tag, request, frame = self._create_request()
            cut = self._rng.randrange(1, len(frame))
            self._write(frame[:cut])
            due_s = now + self._rng.uniform(*PAUSE_BETWEEN_PARTS_S)
            self._unsent_part = (due_s, frame[cut:], tag, request)

    def _write(self, data: bytes) -> float:
        """Write without reading responses first; return the earliest time at which the data can have left."""
        before_s = time.monotonic()
        try:
            self.sock.sendall(data)
        except ConnectionError:
            self._was_reset = True  # the socket reports a reset once; later reads look as after a FIN
            raise
        return read_tcp_times(self.sock).earliest_send_s(before_s)

    def _create_request(self) -> tuple[int, SentRequest, bytes]:
        """Return the tag of a new request, the request and its encoded frame."""
        self._tag += 1
        request_id = f"{self._rng.getrandbits(64):016x}"
        is_unsafe = self._rng.random() < 0.3
        body = self._rng.randbytes(self._rng.randrange(1, 200))
        fields = (
            f"req={request_id},timeout={round(self._timeout_s * 1000)},owner={TENANT},"
            f"subject={self._rng.randrange(1, FUNCTIONS):016x},facts=memory_mb:100;lanes:32"
        )
        name = b"sell" if is_unsafe else b"look"
        frame = encode((b"CALL", b"%d" % self._tag, name, fields.encode(), body))
        request = SentRequest(request_id, is_unsafe, body, 0.0, self._timeout_s, not self._in_flight)
        request.is_from_busy_client = self.kind is not ClientKind.IDLE
        return self._tag, request, frame

    def _record_sent(self, tag: int, request: SentRequest, sent_s: float) -> None:
        request.sent_s = sent_s
        self._in_flight[tag] = self._by_tag[tag] = request
        self.sent.append(request)


class SoakClients:
    """Connects all clients and lets them send until `stop`."""

    def __init__(
        self, address: tuple[str, int], kinds: tuple[ClientKind, ...], seed: int, timeout_s: float
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._rng = random.Random(seed)
        self._selector = selectors.DefaultSelector()
        self.failed_connects = 0  # before SIGTERM
        self._sequence_numbers = itertools.count()
        self._pending_connects = [
            (0.0, next(self._sequence_numbers), kind) for kind in kinds
        ]  # heap of (time to connect, sequence number, kind)
        self._connecting: dict[ClientConnection, float] = {}  # with the time at which the attempt expires
        self._connections: set[ClientConnection] = set()
        self._timed: set[ClientConnection] = set()  # connections of `TIMED_KINDS`
        self._requests: list[list[SentRequest]] = []
        self._stopping = threading.Event()
        self._terminated = threading.Event()
        self._thread = start_thread("soak-clients", self._run)

    def stop_reconnecting(self) -> None:
        """Stop clients from connecting: called right before SIGTERM."""
        self._terminated.set()

    def stop(self) -> list[SentRequest]:
        """Read what the gateway wrote before it ended; return all requests that were sent in full."""
        self._stopping.set()
        self._thread.join()
        return [request for sent in self._requests for request in sent]

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._connect_due(time.monotonic())
            self._poll_sockets()
            now = time.monotonic()
            for connection in list(self._timed):
                self._send_due(connection, now)
            self._give_up_connecting(now)
        self._pending_connects.clear()
        self._read_to_end()
        for connection in (*self._connections, *self._connecting):
            connection.sock.close()
        self._selector.close()

    def _poll_sockets(self) -> None:
        for key, _ in self._selector.select(
            0.0 if self._is_connect_due(time.monotonic()) else POLL_INTERVAL_S
        ):
            connection: ClientConnection = key.data
            if connection in self._connecting:
                self._continue_connecting(connection)
            elif connection in self._connections:
                self._on_readable(connection)

    def _read_to_end(self) -> None:
        """Read until each connection has ended: responses can be unread if this thread was delayed."""
        deadline_s = time.monotonic() + FINAL_READ_TIMEOUT_S
        while self._connections and time.monotonic() < deadline_s:
            self._poll_sockets()

    # ---- non-blocking connects

    def _is_connect_due(self, now: float) -> bool:
        return bool(self._pending_connects) and self._pending_connects[0][0] <= now

    def _connect_due(self, now: float) -> None:
        if self._terminated.is_set():
            self._pending_connects.clear()
        for _ in range(MAX_CONNECTS_PER_ITERATION):
            if self._is_connect_due(now):
                _, _, kind = heapq.heappop(self._pending_connects)
                self._connect(kind)

    def _connect_again(self, kind: ClientKind, now: float) -> None:
        wait_s = self._rng.uniform(*IDLE_RECONNECT_DELAY_S) if kind is ClientKind.IDLE else 0.0
        heapq.heappush(self._pending_connects, (now + wait_s, next(self._sequence_numbers), kind))

    def _connect(self, kind: ClientKind) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        connection = ClientConnection(kind, sock, self._rng, self._timeout_s)
        self._requests.append(connection.sent)
        self._connecting[connection] = time.monotonic() + CONNECT_TIMEOUT_S
        self._selector.register(sock, selectors.EVENT_WRITE, connection)
        self._continue_connecting(connection)
        if connection in self._connecting:  # on loopback it is established by now
            self._continue_connecting(connection)

    def _continue_connecting(self, connection: ClientConnection) -> None:
        error = connection.sock.connect_ex(self._address)
        if error in (errno.EINPROGRESS, errno.EALREADY):
            return
        if error not in (0, errno.EISCONN):
            self._fail_connecting(connection)
            return
        del self._connecting[connection]
        self._selector.modify(connection.sock, selectors.EVENT_READ, connection)
        self._connections.add(connection)
        if connection.kind in TIMED_KINDS:
            self._timed.add(connection)
        self._send_due(connection, time.monotonic())

    def _give_up_connecting(self, now: float) -> None:
        for connection, until_s in list(self._connecting.items()):
            if now >= until_s:
                self._fail_connecting(connection)

    def _fail_connecting(self, connection: ClientConnection) -> None:
        del self._connecting[connection]
        self._selector.unregister(connection.sock)
        connection.sock.close()
        self.failed_connects += not self._terminated.is_set()

    # ---- established connections

    def _send_due(self, connection: ClientConnection, now: float) -> None:
        if self._stopping.is_set():
            return
        with contextlib.suppress(OSError):  # responses received before the close are still read
            connection.send_due(now)

    def _on_readable(self, connection: ClientConnection) -> None:
        try:
            is_open = connection.receive()
        except RespError:
            is_open = False
        if not is_open:
            self._end(connection)
        elif connection.kind not in TIMED_KINDS:
            self._send_due(connection, time.monotonic())

    def _end(self, connection: ClientConnection) -> None:
        self._connections.discard(connection)
        self._timed.discard(connection)
        self._selector.unregister(connection.sock)
        now = time.monotonic()
        connection.end(now)
        if not self._terminated.is_set():
            self._connect_again(connection.kind, now)
