"""A small HTTP server for the processes of a fleet: one thread for each connection, every wait bounded."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

import msgspec
import structlog

from saffronstack.http1 import writer
from saffronstack.http1.messages import HttpError, MessageLimits, RequestHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_until
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.fleet")
MAX_CONNECTIONS = 2048
LISTEN_BACKLOG = 512
MESSAGE_TIMEOUT_S = 5.0  # for a request, once it began, and for writing its answer
IDLE_TIMEOUT_S = 120.0
ERROR_RESPONSE_TIMEOUT_S = 1.0
ACCEPT_POLL_S = 0.5
ACCEPT_RETRY_S = 0.05
JOIN_TIMEOUT_S = 1.0
DRAIN_TIMEOUT_S = 3.0  # longer than a lease server waits for its disk
LIMITS = MessageLimits(body_bytes=4 * 1024 * 1024)
JSON_FIELDS = [("Content-Type", "application/json")]
RequestHandler = Callable[[RequestHead, bytes], tuple[int, bytes]]


class HttpServer:
    """Accepts connections, and has a handler answer each request on its connection's thread."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        handler: RequestHandler,
        clock: Callable[[], float],
        drain_timeout_s: float = DRAIN_TIMEOUT_S,
    ) -> None:
        """Listen; connections are accepted after ``start``.

        Args:
            name: For the names of threads.
            host: To listen on.
            port: To listen on; 0 for any.
            handler: Returns status and JSON body for a request; runs on the connection's thread.
            clock: Seconds.
            drain_timeout_s: How long `stop` waits for handlers.

        Raises:
            OSError: The address can't be bound.
        """
        self._name = name
        self._handler = handler
        self._clock = clock
        self._listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self._listener.settimeout(ACCEPT_POLL_S)
        self._drain_timeout_s = drain_timeout_s
        self._lock = threading.Condition()  # guards _open_streams and _stopping
        self._open_streams: set[Stream] = set()
        self._stopping = False
        self._accept_thread: threading.Thread | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that it listens on."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def connections(self) -> int:
        """The number of connections that are open."""
        return len(self._open_streams)

    def start(self) -> None:
        """Accept connections on a thread of its own."""
        self._accept_thread = start_thread(f"{self._name}-accept", self._accept_connections)

    def stop(self) -> None:
        """Accept nothing more, answer the requests that have come, and close all connections.

        A connection whose handler takes longer than the drain timeout is closed without its answer.
        """
        with self._lock:
            self._stopping = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # its port is held while a thread waits on it
        if self._accept_thread is not None:
            self._accept_thread.join(JOIN_TIMEOUT_S)
        with contextlib.suppress(OSError):
            self._listener.close()
        self._drain()

    def _drain(self) -> None:
        with self._lock:
            streams = list(self._open_streams)
        for stream in streams:
            stream.abort(socket.SHUT_RD)  # what has come is still read; an idle connection ends
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
        """Serve a connection on a thread of its own, or close it where there are too many."""
        with self._lock:
            is_admitted = len(self._open_streams) < MAX_CONNECTIONS and not self._stopping
            if is_admitted:
                self._open_streams.add(stream)
        if not is_admitted:
            stream.close()
            return
        try:
            start_thread(f"{self._name}-connection", lambda: self._serve(stream))
        except RuntimeError:  # the system has no more threads
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
            return  # the peer has left, or sends nothing more
        except Exception:
            log.exception("connection thread failed")
        finally:
            self._close(stream)

    def _serve_requests(self, stream: Stream) -> None:
        reader = MessageReader(LIMITS)
        while True:
            if not reader.pending:
                reader.feed(stream.receive(IDLE_TIMEOUT_S))
            deadline_s = self._clock() + MESSAGE_TIMEOUT_S
            head = read_until(stream, reader, reader.request, deadline_s, self._clock)
            body = read_until(stream, reader, reader.body, deadline_s, self._clock)
            status, content = self._handler(head, body)
            is_last = self._stopping or not head.keep_alive
            response = writer.response(status, JSON_FIELDS, content, close=is_last)
            is_sent = stream.send(response, self._clock() + MESSAGE_TIMEOUT_S, self._clock)
            if not is_sent or is_last:
                return

    def _send_error_response(self, stream: Stream, error: HttpError) -> None:
        response = writer.response(error.status, JSON_FIELDS, encode_error(error.text), close=True)
        with contextlib.suppress(OSError):  # the peer has left
            stream.send(response, self._clock() + ERROR_RESPONSE_TIMEOUT_S, self._clock)


def encode_error(text: str) -> bytes:
    """Encode the body of an answer that is an error."""
    return msgspec.json.encode({"message": text})
