"""A small HTTP server for the processes of a fleet: one thread per connection, a timeout on every wait."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

import msgspec
import structlog

from saffronstack.http1 import writer
from saffronstack.http1.body_memory import BodyMemory, BodyMemoryFullError, BodyReservation
from saffronstack.http1.messages import HttpError, MessageLimits, RequestHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_spaced
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.fleet")
MAX_CONNECTIONS = 2048
LISTEN_BACKLOG = 512
MESSAGE_TIMEOUT_S = 5.0  # to receive a request after its first byte, and again to send the response
IDLE_TIMEOUT_S = 120.0
ERROR_RESPONSE_TIMEOUT_S = 1.0
ACCEPT_POLL_S = 0.5
ACCEPT_RETRY_S = 0.05
JOIN_TIMEOUT_S = 1.0
DRAIN_TIMEOUT_S = 3.0  # exceeds the time that a lease server waits for its disk before it responds
LIMITS = MessageLimits(body_bytes=4 * 1024 * 1024)
BODY_MEMORY_BYTES = 64 * 1024 * 1024  # of all large request bodies together
JSON_FIELDS = [("Content-Type", "application/json")]
RequestHandler = Callable[[RequestHead, bytes], tuple[int, bytes]]


class HttpServer:
    """Accepts connections and calls a handler for each request, on the thread of the request's connection."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        handler: RequestHandler,
        clock: Callable[[], float],
        drain_timeout_s: float = DRAIN_TIMEOUT_S,
    ) -> None:
        """Bind the listener; `start` begins to accept connections.

        Args:
            name: Prefix of the thread names.
            host: The host to listen on.
            port: The port to listen on; 0 for any free port.
            handler: Returns the status and JSON body of a response; runs on the connection's thread.
            clock: A monotonic clock, in seconds.
            drain_timeout_s: Seconds that `stop` waits for handlers that are running.

        Raises:
            OSError: The address can't be bound.
        """
        self._name = name
        self._handler = handler
        self._clock = clock
        self._body_memory = BodyMemory(BODY_MEMORY_BYTES, clock)
        self._listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self._listener.settimeout(ACCEPT_POLL_S)
        self._drain_timeout_s = drain_timeout_s
        self._lock = threading.Condition()  # guards _open_streams and _stopping
        self._open_streams: set[Stream] = set()
        self._stopping = False
        self._accept_thread: threading.Thread | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens on."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open_streams)

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self._accept_thread = start_thread(f"{self._name}-accept", self._accept_connections)

    def stop(self) -> None:
        """Stop accepting connections, respond to the requests already received, and close all connections.

        A connection whose handler takes longer than the drain timeout is closed without a response.
        """
        with self._lock:
            self._stopping = True
        with contextlib.suppress(OSError):
            # A close alone would leave the port bound while a thread waits in accept.
            self._listener.shutdown(socket.SHUT_RDWR)
        if self._accept_thread is not None:
            self._accept_thread.join(JOIN_TIMEOUT_S)
        with contextlib.suppress(OSError):
            self._listener.close()
        self._drain()

    def _drain(self) -> None:
        with self._lock:
            streams = list(self._open_streams)
        for stream in streams:
            stream.abort(socket.SHUT_RD)  # received bytes can still be read; an idle connection ends
        with self._lock:
            self._lock.wait_for(lambda: not self._open_streams, self._drain_timeout_s)
            unfinished = list(self._open_streams)
        for stream in unfinished:
            stream.abort()

    def _accept_connections(self) -> None:
        retry_delay = threading.Event()
        while not self._stopping:
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if self._stopping:
                    return
                log.error("accept failed", error=str(error))
                retry_delay.wait(ACCEPT_RETRY_S)
                continue
            self._admit(Stream(sock))

    def _admit(self, stream: Stream) -> None:
        """Serve a connection on a new thread; close it if it is over the limit or the server stops."""
        with self._lock:
            is_admitted = len(self._open_streams) < MAX_CONNECTIONS and not self._stopping
            if is_admitted:
                self._open_streams.add(stream)
        if not is_admitted:
            stream.close()
            return
        try:
            start_thread(f"{self._name}-connection", lambda: self._serve(stream))
        except RuntimeError:  # the system cannot create another thread
            self._close(stream)

    def _close(self, stream: Stream) -> None:
        with self._lock:
            self._open_streams.discard(stream)
            self._lock.notify_all()
        stream.close()

    def _serve(self, stream: Stream) -> None:
        try:
            self._serve_requests(stream)
        except HttpError as error:
            self._send_error_response(stream, error)
        except (OSError, PeerClosed):
            return  # the peer closed the connection, reset it or stopped sending
        except Exception:
            log.exception("connection thread failed")
        finally:
            self._close(stream)

    def _serve_requests(self, stream: Stream) -> None:
        reader = MessageReader(LIMITS)
        while True:
            reservation = self._body_memory.open(stream.abort)
            try:
                stays_open = self._serve_request(stream, reader, reservation)
            finally:
                reservation.release()
            if not stays_open:
                return

    def _serve_request(self, stream: Stream, reader: MessageReader, reservation: BodyReservation) -> bool:
        """Serve one request; return whether the connection stays open for another one."""
        if not reader.pending:
            reader.feed(stream.receive(IDLE_TIMEOUT_S))
        deadline_s = self._clock() + MESSAGE_TIMEOUT_S
        head = read_spaced(stream, reader, reader.request, deadline_s, self._clock)
        try:
            reservation.begin(reader.announced_body_bytes)
            body = read_spaced(stream, reader, reader.body, deadline_s, self._clock, reservation.on_received)
        except BodyMemoryFullError as error:
            raise HttpError(503, "no memory for the request body") from error
        reservation.finish_reading()
        status, content = self._handler(head, body)
        is_last = self._stopping or not head.keep_alive
        response = writer.response(status, JSON_FIELDS, content, close=is_last)
        is_sent = stream.send(response, self._clock() + MESSAGE_TIMEOUT_S, self._clock)
        return is_sent and not is_last

    def _send_error_response(self, stream: Stream, error: HttpError) -> None:
        response = writer.response(error.status, JSON_FIELDS, encode_error(error.text), close=True)
        with contextlib.suppress(OSError):  # the peer closed the connection
            stream.send(response, self._clock() + ERROR_RESPONSE_TIMEOUT_S, self._clock)


def encode_error(text: str) -> bytes:
    """Encode the JSON body of an error response."""
    return msgspec.json.encode({"message": text})
