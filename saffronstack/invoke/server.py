"""HTTP server: accepts connections and serves each on its own thread, with a timeout on every wait."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
from collections.abc import Callable

import structlog

from saffronstack.http1 import writer
from saffronstack.http1.body_memory import BodyMemory, BodyMemoryFullError, BodyReservation
from saffronstack.http1.messages import HttpError, MessageLimits, RequestHead
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_spaced, stop_handshakes
from saffronstack.invoke import errors
from saffronstack.invoke.app import App, ClientDisconnectedError, new_request_id
from saffronstack.invoke.response import Response
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.front")
ACCEPT_BACKLOG = 1024
MAX_QUEUED_CONNECTIONS = ACCEPT_BACKLOG + 1  # the kernel queues one more than the backlog
ACCEPT_POLL_TIMEOUT_S = 0.5  # the accept thread shows that it is alive at least this often
ACCEPT_RETRY_DELAY_S = 0.05  # after a failed accept, and when no thread could be started
# Limits on reading after the last response of a connection. Closing a socket with unread bytes resets the
# connection, and the client can lose the response.
LINGER_S = 0.5
RETRY_AFTER_S = 1.0  # for requests that are rejected because a limit of the server is reached
LINGER_BYTES = 1 << 20
# How long a drain serves connections from the accept queue; later ones are rejected.
ACCEPT_QUEUE_SERVE_S = 0.5
IDLE_GRACE_S = 0.5  # how long idle connections stay open for a request after a drain begins
IDLE_READ_TIMEOUT_S = 0.1  # how long a thread waits in a read before it polls, which costs more


class ServerLimits:
    """Limits of the server. Timeouts are in seconds; ``body_memory_bytes`` is for all large bodies."""

    def __init__(
        self,
        message_limits: MessageLimits,
        max_connections: int,
        head_timeout_s: float,
        body_timeout_s: float,
        write_timeout_s: float,
        idle_timeout_s: float,
        body_memory_bytes: int,
    ) -> None:
        self.message_limits = message_limits
        self.max_connections = max_connections
        self.head_timeout_s = head_timeout_s
        self.body_timeout_s = body_timeout_s
        self.write_timeout_s = write_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.body_memory_bytes = body_memory_bytes


class Server:
    """Accepts and serves client connections until it is drained."""

    def __init__(
        self,
        host: str,
        port: int,
        app: App,
        limits: ServerLimits,
        clock: Callable[[], float],
        reuse_port: bool = False,
        listener: socket.socket | None = None,
    ) -> None:
        """Bind the address, without accepting connections yet.

        Args:
            host: Address to listen on.
            port: Port to listen on; 0 for any free one.
            app: Handles the requests.
            limits: Limits of the server.
            clock: Returns monotonic seconds.
            reuse_port: Set SO_REUSEPORT, because other processes listen on the same address.
            listener: A bound socket to use instead of binding one. Its accept queue outlives this process.

        Raises:
            OSError: The address can't be bound.
        """
        self._owns_queue = listener is None
        self._app = app
        self._limits = limits
        self._clock = clock
        self.body_memory = BodyMemory(limits.body_memory_bytes, clock)
        if listener is None:
            listener = socket.create_server((host, port), backlog=ACCEPT_BACKLOG, reuse_port=reuse_port)
        else:
            listener.listen(ACCEPT_BACKLOG)
        self._listener = listener
        self._listener.setblocking(False)
        self._accept_thread: threading.Thread | None = None
        self._spare_descriptor = _open_spare_descriptor()
        self._lock = threading.Condition()
        self._drain_event = os.eventfd(0)  # readable once draining; wakes threads of idle connections
        self._idle_close_lock = threading.Lock()
        self._open_connections = 0
        self._draining = False
        self.accepted_count = 0
        self.rejected_count = 0
        self._last_accept_poll_s = clock()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the server listens on."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._open_connections

    def is_accepting(self, within_s: float) -> bool:
        """Return whether the accept thread polled within that time, or the server is draining."""
        return self._draining or self._clock() - self._last_accept_poll_s <= within_s

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self._accept_thread = start_thread("accept", self._accept)

    def drain(self, timeout_s: float) -> bool:
        """Stop accepting, close idle connections and let requests in flight finish.

        Connections from the accept queue are served for `ACCEPT_QUEUE_SERVE_S`; later ones are rejected. An
        accept queue that outlives this process is left to the next one.

        Returns whether all connections ended within ``timeout_s`` and the grace for idle ones.
        """
        with self._lock:
            self._draining = True
        os.eventfd_write(self._drain_event, 1)
        if self._accept_thread is not None:
            self._accept_thread.join(timeout_s)  # the last accepted connection is counted as open now
        rejected = self._drain_accept_queue() if self._owns_queue else []
        with contextlib.suppress(OSError):
            self._listener.close()
        with self._lock:
            all_ended = self._lock.wait_for(lambda: self._open_connections == 0, IDLE_GRACE_S + timeout_s)
        for sock in rejected:
            sock.close()
        return all_ended

    # ---- accepting

    def _accept(self) -> None:
        retry_delay = threading.Event()
        poll = select.poll()
        poll.register(self._listener, select.POLLIN)
        poll.register(self._drain_event, select.POLLIN)
        while not self._draining:
            self._last_accept_poll_s = self._clock()
            poll.poll(ACCEPT_POLL_TIMEOUT_S * 1000)
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._reject_at_descriptor_limit()
                elif error.errno not in (errno.ECONNABORTED, errno.EINTR):
                    log.error("accept failed", error=str(error))
                retry_delay.wait(ACCEPT_RETRY_DELAY_S)
                continue
            if not self._admit(sock):
                retry_delay.wait(ACCEPT_RETRY_DELAY_S)

    def _admit(self, sock: socket.socket) -> bool:
        """Start a thread for a connection, or reject it. Returns False if no thread could be started."""
        self.accepted_count += 1
        with self._lock:
            is_over_limit = self._open_connections >= self._limits.max_connections
            self._open_connections += not is_over_limit
        if is_over_limit:
            self._reject_and_close(sock)
            return True
        try:
            start_thread("client", lambda: self._serve_connection(sock))
        except RuntimeError:
            self._release_connection()
            self._reject_and_close(sock)
            return False
        return True

    def _drain_accept_queue(self) -> list[socket.socket]:
        """Accept all connections in the accept queue, because closing the listener would reset them.

        Returns:
            Rejected connections, to be closed at the end of the drain. Closing them at once, with their
            requests unread, would reset them before their clients have read the response.
        """
        rejected: list[socket.socket] = []
        stop_handshakes(self._listener)
        serve_deadline_s = self._clock() + ACCEPT_QUEUE_SERVE_S
        with contextlib.suppress(OSError):
            for _ in range(MAX_QUEUED_CONNECTIONS):
                sock, _ = self._listener.accept()
                if self._clock() < serve_deadline_s:
                    self._admit(sock)
                else:
                    self._reject(sock)
                    rejected.append(sock)
        return rejected

    def _reject_at_descriptor_limit(self) -> None:
        """Reject one connection when no file descriptor is free.

        The spare descriptor is closed for a moment, so that the connection can be accepted and answered.
        """
        log.warning("out of file descriptors")
        if self._spare_descriptor is not None:
            os.close(self._spare_descriptor)
            self._spare_descriptor = None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            pass
        else:
            self._reject_and_close(sock)
        finally:
            self._spare_descriptor = _open_spare_descriptor()

    def _reject_and_close(self, sock: socket.socket) -> None:
        """Reject a connection and close it."""
        self._reject(sock)
        with contextlib.suppress(OSError):
            sock.close()

    def _reject(self, sock: socket.socket) -> None:
        """Answer a connection with 429 before anything is read from it, so that a retry is safe.

        A short timeout bounds the write to a client that doesn't read.
        """
        self.rejected_count += 1
        response = self._app.error_response(
            new_request_id(), errors.too_many_requests("Too many connections.", RETRY_AFTER_S)
        )
        with contextlib.suppress(OSError):
            sock.settimeout(0.05)
            sock.sendall(response.encode(close=True))
            sock.shutdown(socket.SHUT_WR)

    def _release_connection(self) -> None:
        with self._lock:
            self._open_connections -= 1
            self._lock.notify_all()

    # ---- one connection

    def _serve_connection(self, sock: socket.socket) -> None:
        stream = Stream(sock)
        try:
            reader = MessageReader(self._limits.message_limits)
            while self._serve_request(stream, reader):
                pass
        except (OSError, ClientDisconnectedError):
            pass  # the client disconnected or doesn't read: no response can reach it
        except Exception:
            log.exception("connection thread failed")
        finally:
            stream.close()
            self._release_connection()

    def _serve_request(self, stream: Stream, reader: MessageReader) -> bool:
        """Serve one request. Returns whether the connection stays open for another one."""
        reservation = self.body_memory.open(lambda: stream.abort(socket.SHUT_RD))
        try:
            return self._serve_reserved(stream, reader, reservation)
        finally:
            reservation.release()

    def _serve_reserved(self, stream: Stream, reader: MessageReader, reservation: BodyReservation) -> bool:
        """Serve one request, whose body occupies the memory of a reservation."""
        try:
            head = self._read_head(stream, reader)
            if head is None:
                return False
            body = self._read_body(stream, reader, head, reservation)
        except HttpError as error:
            return self._reject_request(stream, self._app.malformed_request_response(error))
        except BodyMemoryFullError:
            self.rejected_count += 1
            error_kind = errors.too_many_requests("Too many large requests.", RETRY_AFTER_S)
            return self._reject_request(stream, self._app.error_response(new_request_id(), error_kind))
        response = self._app.handle_request(head, body, stream.is_peer_open)
        close = self._draining or not head.keep_alive
        self._write(stream, response.encode(close))
        if close:
            self._linger(stream)
        return not close

    def _write(self, stream: Stream, data: bytes) -> None:
        if not stream.send(data, self._clock() + self._limits.write_timeout_s, self._clock):
            raise ClientDisconnectedError

    def _read_head(self, stream: Stream, reader: MessageReader) -> RequestHead | None:
        """Read the next request head; None if the client closed the connection or was idle too long."""
        if not reader.pending:
            first_bytes = self._read_first_bytes(stream)
            if not first_bytes:
                return None
            reader.feed(first_bytes)
        try:
            deadline_s = self._clock() + self._limits.head_timeout_s
            return read_spaced(stream, reader, reader.request, deadline_s, self._clock)
        except TimeoutError as error:
            raise HttpError(408, f"no whole request head within {self._limits.head_timeout_s:g} s") from error
        except PeerClosed:
            return None

    def _read_first_bytes(self, stream: Stream) -> bytes:
        """Wait for the first bytes of the next request and return them.

        If none arrive before the idle timeout, or before the grace of a drain ends, the connection is closed
        and the result is empty.

        Raises:
            PeerClosed: The client closed the connection.
        """
        first_bytes = b"" if self._draining else self._wait_idle(stream)
        if not first_bytes and self._draining:
            # Requests that are already under way get a response with "Connection: close".
            first_bytes = _receive(stream, IDLE_GRACE_S)
        return first_bytes or self._close_idle(stream)

    def _wait_idle(self, stream: Stream) -> bytes:
        """Wait for bytes on an idle connection; empty after the idle timeout or when a drain begins."""
        deadline_s = self._clock() + self._limits.idle_timeout_s
        first_bytes = _receive(stream, min(IDLE_READ_TIMEOUT_S, self._limits.idle_timeout_s))
        if first_bytes or self._draining:
            return first_bytes
        poll = select.poll()
        poll.register(stream.sock, select.POLLIN)
        poll.register(self._drain_event, select.POLLIN)
        remaining_s = max(0.0, deadline_s - self._clock())
        ready = {descriptor for descriptor, _ in poll.poll(remaining_s * 1000)}
        return _receive(stream, IDLE_READ_TIMEOUT_S) if stream.sock.fileno() in ready else b""

    def _close_idle(self, stream: Stream) -> bytes:
        """Close an idle connection, unless bytes of a request have arrived: then return these.

        One thread at a time does this. A request that arrives between the last read and the close is lost,
        and with all idle connections closing at once, this gap would grow to milliseconds.
        """
        with self._idle_close_lock:
            first_bytes = stream.receive_now()
            if not first_bytes:
                stream.close()
        return first_bytes

    def _reject_request(self, stream: Stream, response: Response) -> bool:
        """Answer a request whose body was not read, and end the connection; returns False."""
        self._write(stream, response.encode(close=True))
        self._linger(stream)
        return False

    def _read_body(
        self, stream: Stream, reader: MessageReader, head: RequestHead, reservation: BodyReservation
    ) -> bytes:
        limit = self._app.body_limit(head)
        content_length = head.headers.get("content-length")
        if content_length and int(content_length) > limit:
            raise HttpError(413, f"{content_length} bytes payload is too large; the limit is {limit} bytes")
        reservation.begin(reader.announced_body_bytes)
        if head.expects_continue:
            self._write(stream, writer.CONTINUE)
        try:
            deadline_s = self._clock() + self._limits.body_timeout_s
            body = read_spaced(stream, reader, reader.body, deadline_s, self._clock, reservation.on_received)
        except TimeoutError as error:
            raise HttpError(408, f"no whole request body within {self._limits.body_timeout_s:g} s") from error
        except PeerClosed as error:
            if not reservation.is_evicted:
                raise
            raise HttpError(408, "the request body stalled while others waited for its memory") from error
        reservation.finish_reading()
        if len(body) > limit:
            raise HttpError(413, f"{len(body)} bytes payload is too large; the limit is {limit} bytes")
        return body

    def _linger(self, stream: Stream) -> None:
        """Shut down writing and read until the client closes, within the linger limits.

        Closing a socket with unread bytes would reset the connection before the client has read the response.
        """
        with contextlib.suppress(OSError):
            stream.abort(socket.SHUT_WR)
            deadline_s, left_bytes = self._clock() + LINGER_S, LINGER_BYTES
            while left_bytes > 0 and (remaining_s := deadline_s - self._clock()) > 0:
                data = stream.receive(remaining_s)
                if not data:
                    return
                left_bytes -= len(data)


def _receive(stream: Stream, timeout_s: float) -> bytes:
    """Return the bytes that arrive within a time; empty if none do.

    Raises:
        PeerClosed: The client closed the connection.
    """
    try:
        received = stream.receive(timeout_s)
    except TimeoutError:
        return b""
    if not received:
        raise PeerClosed("the client closed the connection")
    return received


def _open_spare_descriptor() -> int | None:
    try:
        return os.open(os.devnull, os.O_RDONLY)
    except OSError:
        return None
