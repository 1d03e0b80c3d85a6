"""One client connection: frames in, calls to the engine, answers out. It has no thread of its own."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus
from saffronstack.engine.engine import Engine
from saffronstack.net.write_buffer import OutgoingMessage, WriteBuffer, WriteLoop
from saffronstack.platform.calls import CallBuilder
from saffronstack.platform.drain_admission import DrainAdmission
from saffronstack.platform.identifiers import OpenRequestIds, UsedTags
from saffronstack.resp import frames
from saffronstack.resp.reader import RespError, RespReader, encode

SERVED, REJECTED, FAILED, UP = b"OK", b"BUSY", b"FAILED", b"UP"
STATUS_WORDS = {FinalStatus.SERVED: SERVED, FinalStatus.REJECTED: REJECTED, FinalStatus.FAILED: FAILED}


@dataclass(frozen=True, slots=True)
class FrontendLimits:
    """Bounds of the clients' connections; times in seconds, sizes in bytes."""

    max_connections: int = 400
    max_over_limit_connections: int = 4  # connections beyond that whose calls are refused at once
    max_silent_at_limit: int = 1  # connections accepted just now that may stay silent, where there is no room
    max_open_calls: int = 32  # on one connection
    first_byte_timeout_s: float = 2.0  # until its first byte
    message_timeout_s: float = 2.0  # for the whole of a message
    idle_timeout_s: float = 4.5  # clients close theirs after 4
    over_limit_timeout_s: float = 0.5  # for all of a connection beyond the number
    write_buffer_bytes: int = 640 * 1024  # a full set of the largest answers
    write_stall_timeout_s: float = 2.0
    linger_timeout_s: float = (
        1.0  # after a half-close, until the client closes: else a reset could take its answers
    )
    max_linger_bytes: int = 1024 * 1024
    busy_retry_after_s: float = 0.1  # asked of a client that has too much open


class State(Enum):
    """What a connection does with bytes that come."""

    READING = auto()
    FINISHING = auto()  # drops them: no request can be read any more, and the open ones keep their time
    LINGERING = auto()  # drops them: everything is answered and the writing side is closed


@dataclass(frozen=True, slots=True)
class SharedServices:
    """What all connections share."""

    engine: Engine
    call_builder: CallBuilder
    writer: WriteLoop
    open_request_ids: OpenRequestIds
    clock: Callable[[], float]
    is_ready: Callable[[], bool]
    format_holdoff: Callable[[float], bytes]  # seconds to keep away, as a field
    admission: DrainAdmission


class ClientConnection:
    """Owned by the front's thread; answers are written by whichever thread settles a call."""

    def __init__(
        self,
        sock: socket.socket,
        services: SharedServices,
        limits: FrontendLimits,
        now: float,
        over_limit: bool = False,
    ) -> None:
        """``overflow``: it is beyond the number of connections, and its calls are refused."""
        self.rejects_calls = over_limit
        self.is_over_limit = over_limit
        self.accepted_s = now
        self.active_s = now  # when it was accepted, read from, or last seen with something open
        self._last_answer_s = now  # when the last call was answered
        self.has_sent_data = False
        self.queued_since_s: float | None = (
            None  # when what is read first had come, where that was long before
        )
        self.state = State.READING
        self._sock = sock
        self._services = services
        self._limits = limits
        self._write_buffer = WriteBuffer(
            sock, services.writer, limits.write_buffer_bytes, limits.write_stall_timeout_s, services.clock
        )
        self._reader = RespReader()
        self._tags = UsedTags()
        self._lock = threading.Lock()
        self._open_calls: dict[int, Call] = {}  # by tag
        self._tags_by_call: dict[int, int] = {}  # by call number
        self._answers_in_progress = 0  # answers on their way to the write buffer
        self._received_s = now  # when what is parsed now was there to be read
        self._message_started_s = now
        self._linger_until_s = 0.0
        self._linger_bytes_left = limits.max_linger_bytes

    def fileno(self) -> int:
        """The socket's descriptor."""
        return self._sock.fileno()

    @property
    def unanswered(self) -> bool:
        """Whether a call was read whose answer has not gone to the kernel. Looked at in the order in which an
        answer passes, so that none is missed between two of these places.
        """
        return bool(self._open_calls) or self._answers_in_progress > 0 or self._write_buffer.has_pending

    @property
    def idle(self) -> bool:
        """Whether nothing is open, half read or half written."""
        return not self._reader.pending and not self.unanswered

    def idle_since(self, now: float) -> float:
        """When it became idle: a client is owed time after its answer as well; ``now`` where it is not."""
        return max(self.active_s, self._last_answer_s) if self.idle else now

    def promote_within_limit(self) -> None:
        """It was beyond the number of connections and is not any more: its calls are run from here on."""
        self.is_over_limit = False
        self.rejects_calls = False

    def has_unread(self) -> bool:
        """Whether bytes wait in its socket; neither waits nor takes any."""
        return bool(self._peek())

    def is_evictable(self) -> bool:
        """Whether it can be closed at no client's cost: nothing is open, half read or unread, or its client
        has ended it. Looked at right before it is closed.
        """
        if self.unanswered:
            return False
        waiting = self._peek()
        return waiting == b"" or (waiting is None and not self._reader.pending)

    def is_closed_by_client(self) -> bool:
        """Whether its client has closed or reset it, all that came before has been read, and no call is open;
        neither waits nor takes bytes.
        """
        return not self.unanswered and self._peek() == b""

    def _peek(self) -> bytes | None:
        """The first byte that waits, empty at the end, None where nothing has come."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""  # reset

    def close(self) -> None:
        """Close it; calls that are still open have no client any more."""
        with self._lock:
            calls = list(self._open_calls.values())
        for call in calls:
            self._services.engine.disconnect(call)
        self._write_buffer.discard()
        with contextlib.suppress(OSError):
            self._sock.close()

    # ---- the front's thread

    def on_readable(self, buffer: bytearray, view: memoryview, now: float) -> bool:
        """Read once, without waiting; False where it is over and is to be closed.

        ``now`` is when the socket was found readable: the time of what came counts from then.
        """
        try:
            received = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False  # reset by the client
        if not received:
            return False  # closed by the client, which has gone with that
        self.active_s = now
        if self.state is not State.READING:
            return self._discard_received(received)
        self.has_sent_data = True
        self._received_s = now if self.queued_since_s is None else min(now, self.queued_since_s)
        self.queued_since_s = None
        try:
            self._parse(view[:received], now)
        except (RespError, frames.FrameError) as error:
            self._stop_reading(error, now)
        return True

    def on_tick(self, now: float) -> bool:
        """Look at its time-outs; False where it is over and is to be closed."""
        if self.state is State.LINGERING:
            return now < self._linger_until_s
        if self.unanswered:
            self.active_s = now
            return True
        if self.state is State.FINISHING:
            self._half_close(now)
            return True
        if self._reader.pending:
            if now - self._message_started_s > self._limits.message_timeout_s:
                self._stop_reading(RespError("a request that does not end"), now)
            return True
        return now - self.active_s <= self._idle_limit_s() or self.has_unread()

    def _idle_limit_s(self) -> float:
        if self.is_over_limit:
            return self._limits.over_limit_timeout_s
        return self._limits.idle_timeout_s if self.has_sent_data else self._limits.first_byte_timeout_s

    def _half_close(self, now: float) -> None:
        """The client reads the end after its last answer, and closes."""
        self.state = State.LINGERING
        self._linger_until_s = now + self._limits.linger_timeout_s
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _discard_received(self, received: int) -> bool:
        """Bytes that nobody reads: while a call is open they cost their sender alone."""
        if self.unanswered:
            return True
        self._linger_bytes_left -= received
        return self._linger_bytes_left > 0

    def _parse(self, data: memoryview, now: float) -> None:
        reader = self._reader
        if not reader.pending:
            self._message_started_s = now
        reader.feed(data)
        while (words := reader.next()) is not None:
            self._message_started_s = now
            self._handle_request(words, now)

    def _handle_request(self, words: tuple[bytes, ...], now: float) -> None:
        """One whole request; FrameError where it can't be answered under a tag of its own."""
        try:
            frame = frames.parse_frame(words)
        except frames.FrameError as error:
            if error.tag is None or not self._tags.use(error.tag):
                raise
            self._send_response(error.tag, FAILED)  # those behind it can be read all the same
            return
        if isinstance(frame, frames.CancelFrame):
            self._cancel(frame.tag)
            return
        if not self._tags.use(frame.tag):
            raise frames.FrameError("a tag that was used before")
        if isinstance(frame, frames.CheckFrame):
            self._send_response(frame.tag, UP if self._services.is_ready() else FAILED)
        else:
            self._start_call(frame, now)

    def _cancel(self, tag: int) -> None:
        with self._lock:
            call = self._open_calls.get(tag)
        if call is not None:
            self._services.engine.disconnect(call)

    def _start_call(self, frame: frames.CallFrame, now: float) -> None:
        services, limits = self._services, self._limits
        if (
            self.rejects_calls
            or len(self._open_calls) >= limits.max_open_calls
            or self._is_refused_in_drain(frame, now)
        ):
            self._send_response(frame.tag, REJECTED, services.format_holdoff(limits.busy_retry_after_s))
            return
        try:
            call = services.call_builder.build(frame, self._received_s)
        except frames.FieldError:
            self._send_response(frame.tag, FAILED)
            return
        if call.deadline_s <= now:  # it lay in the listener's queue until then
            self._send_response(frame.tag, REJECTED, services.format_holdoff(limits.busy_retry_after_s))
            return
        if services.admission.active and not services.admission.admit(call, now):
            self._send_response(frame.tag, REJECTED, services.format_holdoff(limits.busy_retry_after_s))
            return
        if not services.open_request_ids.add(call.request_id):
            self._send_response(frame.tag, FAILED)
            return
        call.on_final_answer = self._on_final_answer
        with self._lock:
            self._open_calls[frame.tag] = call
            self._tags_by_call[call.number] = frame.tag
        if not services.engine.submit(call):
            call.finish(FinalAnswer(FinalStatus.REJECTED, retry_after_s=limits.busy_retry_after_s))

    def _is_refused_in_drain(self, frame: frames.CallFrame, now: float) -> bool:
        services = self._services
        if not services.admission.active:
            return False
        class_index = services.call_builder.class_index(frame.class_name)
        return class_index is not None and services.admission.rejects_class(class_index, now)

    def _stop_reading(self, error: RespError | frames.FrameError, now: float) -> None:
        """No further request can be read: an error where there is a tag; what is open keeps its time."""
        if isinstance(error, RespError):
            tag = frames.parse_tag(error.words)
            if tag is not None and self._tags.use(tag):
                self._send_response(tag, FAILED)
        self.state = State.FINISHING
        if not self.unanswered:
            self._half_close(now)

    # ---- any thread

    def _on_final_answer(self, call: Call, final: FinalAnswer) -> None:
        """Write the one final answer, on whatever thread settled the call."""
        with self._lock:
            tag = self._tags_by_call.pop(call.number, None)
            if tag is not None:
                self._open_calls.pop(tag, None)
                self._answers_in_progress += 1
        self._services.open_request_ids.remove(call.request_id)
        if self._services.admission.active:
            self._services.admission.record_final_answer(call, final.status, self._services.clock())
        if tag is None:
            return
        try:
            if final.status is not FinalStatus.CLIENT_DISCONNECTED:
                self._write_answer(tag, final)
        finally:
            with self._lock:
                self._last_answer_s = self._services.clock()
                self._answers_in_progress -= 1

    def _write_answer(self, tag: int, final: FinalAnswer) -> None:
        fields = b""
        if final.status is FinalStatus.REJECTED and final.retry_after_s > 0:
            fields = self._services.format_holdoff(final.retry_after_s)
        self._send_response(tag, STATUS_WORDS[final.status], fields, final.payload)

    def _send_response(self, tag: int, word: bytes, fields: bytes = b"", body: bytes = b"") -> None:
        self._write_buffer.send(OutgoingMessage(encode((b"%d" % tag, word, fields, body))))
