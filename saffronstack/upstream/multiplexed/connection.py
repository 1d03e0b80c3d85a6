"""One multiplexed connection to a worker. It connects on its own thread; the read loop reads it."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.net.read_loop import ReadLoop
from saffronstack.net.stream import Stream
from saffronstack.net.write_buffer import OutgoingMessage, SendProgress, WriteBuffer, WriteLoop
from saffronstack.routing.events import Result
from saffronstack.runtime.threads import start_detached_thread
from saffronstack.upstream.errors import LineProtocolError
from saffronstack.upstream.multiplexed import codec
from saffronstack.upstream.multiplexed.exchange import PendingExchange
from saffronstack.upstream.multiplexed.in_flight import Admission, InFlightTable
from saffronstack.upstream.multiplexed.line_reader import LineReader


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection; times in seconds, sizes in bytes.

    Attributes:
        streams: Maximum number of exchanges in flight.
        connect_timeout_s: Timeout for establishing the connection.
        idle_timeout_s: Time without received bytes after which a connection with nothing in flight closes.
        line_bytes: Maximum length of a response line.
        write_buffer_bytes: Maximum number of bytes buffered until the socket accepts them; more abort the
            connection.
        stall_timeout_s: Time without write progress, with bytes buffered, after which the connection is
            aborted.
    """

    streams: int = 32
    connect_timeout_s: float = 0.25
    idle_timeout_s: float = 24.0
    line_bytes: int = 128 * 1024
    write_buffer_bytes: int = 256 * 1024
    stall_timeout_s: float = 3.0


@dataclass(frozen=True, slots=True)
class ConnectionContext:
    """Limits and services that all connections of a dispatcher share."""

    limits: ConnectionLimits
    write_loop: WriteLoop
    read_loop: ReadLoop
    clock: Callable[[], float]


class MultiplexedConnection:
    """Carries many exchanges at once; each response is matched to its exchange by tag."""

    def __init__(
        self,
        address: tuple[str, int],
        context: ConnectionContext,
        on_closed: Callable[[MultiplexedConnection], None],
    ) -> None:
        """Create an unconnected connection; `start` opens it.

        Args:
            address: Host and port of the worker.
            context: Limits and services shared with other connections.
            on_closed: Called once the connection is closed and every exchange on it has ended.
        """
        self._address = address
        self._context = context
        self._limits = context.limits
        self._clock = context.clock
        self._on_closed = on_closed
        self._lines = LineReader(self._limits.line_bytes)
        self._in_flight = InFlightTable(self._limits.streams)
        self._stream: Stream | None = None
        self._write_buffer: WriteBuffer | None = None
        self.close_reason = ""  # why the connection failed; empty otherwise
        self.last_received_s = self._clock()

    def start(self) -> None:
        """Connect on a new thread, without waiting until that thread is scheduled.

        Raises:
            RuntimeError: The system has no more threads.
        """
        start_detached_thread("worker-connect", self._run)

    @property
    def in_flight(self) -> int:
        """Number of exchanges in flight."""
        return len(self._in_flight)

    @property
    def oldest_submitted_s(self) -> float:
        """When the oldest exchange in flight was submitted (clock time); infinite if none is in flight."""
        return self._in_flight.oldest_submitted_s

    def can_accept(self, tag: str) -> bool:
        """Return whether an exchange with this tag can be submitted."""
        return self._in_flight.can_accept(tag)

    # ---- called from any thread

    def submit(self, exchange: PendingExchange) -> bool:
        """Send an exchange, which then ends exactly once; return False if it was not accepted."""
        admission = self._in_flight.add(exchange, self)
        if admission is Admission.SEND_NOW:
            assert self._write_buffer is not None
            self._write(self._write_buffer, exchange)
        return admission is not Admission.REJECTED

    def _write(self, write_buffer: WriteBuffer, exchange: PendingExchange) -> None:
        if not write_buffer.send(exchange) and self._in_flight.remove(exchange):
            exchange.on_failure(exchange.result_on_connection_loss(), "the connection accepts nothing more")

    def send_one_way(self, data: bytes) -> bool:
        """Send a message that has no response; return False if it was not accepted."""
        write_buffer = self._write_buffer
        return write_buffer is not None and write_buffer.send(OutgoingMessage(data))

    def abandon(self, exchange: PendingExchange, result: Result, reason: str) -> None:
        """End an exchange without its response; cancel it at the worker if bytes of it may have been sent."""
        if not self._in_flight.remove(exchange, abandon=True):
            return
        if not exchange.is_started:
            result = Result.NOT_STARTED if result is Result.CANCELLED else Result.CONNECT_FAILED
        elif exchange.progress is SendProgress.PARTIAL and self.in_flight == 0:
            self.abort()  # so that the rest of the line is not sent once the worker reads again
        else:
            self.send_one_way(codec.encode_cancel(exchange.tag))
        exchange.on_failure(result, reason)
        self._abort_if_drained()

    def claim(self, exchange: PendingExchange) -> bool:
        """Return whether the first byte of an exchange may be sent."""
        return self._in_flight.claim(exchange)

    def unclaim(self, exchange: PendingExchange) -> None:
        """Undo a claim because not a single byte was sent."""
        self._in_flight.unclaim(exchange)

    def on_dropped(self, exchange: PendingExchange) -> None:
        """End an exchange that became obsolete before its first byte was sent."""
        if self._in_flight.remove(exchange):
            exchange.on_failure(Result.NOT_STARTED, "no longer wanted when it was to be sent")
            self._abort_if_drained()

    def close_gracefully(self) -> None:
        """Accept no more exchanges; close once nothing is in flight."""
        self._in_flight.is_draining = True
        self._abort_if_drained()

    def abort(self) -> None:
        """Close the connection now; the exchanges in flight fail."""
        self._in_flight.is_closed = True
        stream = self._stream
        if stream is not None:
            stream.abort()

    def _abort_if_drained(self) -> None:
        if self._in_flight.is_drained():
            self.abort()

    # ---- on the connecting thread

    def _run(self) -> None:
        is_watched = False
        try:
            is_watched = self._connect() and self._context.read_loop.watch(self)
        except OSError as error:
            self.close_reason = str(error)
        finally:
            if not is_watched:
                self._close()

    def _connect(self) -> bool:
        """Establish the connection and send queued exchanges; return False if it was closed meanwhile."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(self._limits.connect_timeout_s)
            sock.connect(self._address)
        except OSError:
            sock.close()
            raise
        limits = self._limits
        write_buffer = WriteBuffer(
            sock, self._context.write_loop, limits.write_buffer_bytes, limits.stall_timeout_s, self._clock
        )
        self.last_received_s = self._clock()
        self._stream, self._write_buffer = Stream(sock), write_buffer
        for exchange in self._in_flight.on_connected():
            self._write(write_buffer, exchange)
        return not self._in_flight.is_closed

    # ---- on the read loop's thread

    def fileno(self) -> int:
        """Return the socket's file descriptor."""
        assert self._stream is not None
        return self._stream.sock.fileno()

    def on_readable(self, buffer: bytearray, view: memoryview) -> bool:
        """Handle received responses; return False if the connection must be closed."""
        assert self._stream is not None
        try:
            received = self._stream.sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
            if not received:
                self.close_reason = "closed by the worker"
                return False
            self.last_received_s = self._clock()
            for line in self._lines.feed(bytes(view[:received])):
                self._on_response(codec.decode_response(line))
        except BlockingIOError:  # no bytes to read
            return True
        except LineProtocolError as error:
            self.close_reason = f"invalid response: {error}"
            return False
        except OSError as error:
            self.close_reason = str(error)
            return False
        return True

    def on_tick(self, now_s: float) -> bool:
        """Return False once the idle timeout has passed; the connection accepts nothing from then on."""
        has_timed_out = now_s - self.last_received_s >= self._limits.idle_timeout_s
        return not (has_timed_out and self._in_flight.close_if_idle())

    def on_released(self) -> None:
        """Close the connection after the read loop has released it."""
        self._close()

    def _on_response(self, response: codec.ExchangeResponse) -> None:
        exchange = self._in_flight.pop_answered(response.tag)
        if exchange is not None:
            exchange.on_response(response)
            self._abort_if_drained()

    def _close(self) -> None:
        lost = self._in_flight.close()
        if self._write_buffer is not None:
            self._write_buffer.discard()  # waits for a write in progress, so that `progress` is final
        if self._stream is not None:
            self._stream.close()
        for exchange in lost:
            with contextlib.suppress(
                Exception
            ):  # a failing callback must not keep the other exchanges from ending
                exchange.on_failure(
                    exchange.result_on_connection_loss(), self.close_reason or "the connection closed"
                )
        self._on_closed(self)
