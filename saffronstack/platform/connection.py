"""A client connection: parses frames, submits calls to the engine and writes their answers.

It has no thread of its own.
"""

from __future__ import annotations

import contextlib
import select
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
from saffronstack.platform.identifiers import OpenRequestIds
from saffronstack.platform.read_pacing import ReadPacing
from saffronstack.platform.used_tags import TagMemory, TagUse, UsedTags
from saffronstack.resp import frames
from saffronstack.resp.reader import RespError, RespReader, encode

SERVED, REJECTED, FAILED, UP = b"OK", b"BUSY", b"FAILED", b"UP"
# Requests of one connection that are handled before the others are read again, in multiples of its limit of
# open calls. A client within the limit sends no more at once, even if it cancels its calls and starts others.
TURN_OPEN_CALLS = 2
STATUS_WORDS = {FinalStatus.SERVED: SERVED, FinalStatus.REJECTED: REJECTED, FinalStatus.FAILED: FAILED}


@dataclass(frozen=True, slots=True)
class FrontendLimits:
    """Limits of client connections; times in seconds, sizes in bytes."""

    max_connections: int = 400
    max_over_limit_connections: int = 4  # connections accepted beyond the limit; their calls are rejected
    max_silent_at_limit: int = 1  # new connections that may be silent while the limit is reached
    max_open_calls: int = 32  # per connection
    first_byte_timeout_s: float = 2.0  # from accepting a connection to its first byte
    message_timeout_s: float = 2.0  # from the first to the last byte of a request
    idle_timeout_s: float = 4.5  # clients close their idle connections after 4 s
    over_limit_timeout_s: float = 0.5  # idle timeout of an over-limit connection
    write_buffer_bytes: int = 640 * 1024  # holds the largest answers to all open calls of a connection
    write_stall_timeout_s: float = 2.0
    # Time after a half-close in which the client can close the connection. Closing it earlier could reset it,
    # and the client would lose answers that it has not read.
    linger_timeout_s: float = 1.0
    max_linger_bytes: int = 1024 * 1024  # received bytes that are discarded before the connection is closed
    busy_retry_after_s: float = 0.1  # retry delay sent with the rejection of a call that is not run


class State(Enum):
    """What a connection does with received bytes."""

    READING = auto()  # parses requests
    FINISHING = auto()  # discards bytes after a parse error, until the open calls are answered
    LINGERING = auto()  # discards bytes after the half-close, until the client closes


@dataclass(frozen=True, slots=True)
class SharedServices:
    """Objects that all client connections share."""

    engine: Engine
    call_builder: CallBuilder
    writer: WriteLoop
    open_request_ids: OpenRequestIds
    clock: Callable[[], float]
    is_ready: Callable[[], bool]
    format_holdoff: Callable[
        [float], bytes
    ]  # returns a retry delay in seconds as the holdoff field of an answer
    admission: DrainAdmission
    tag_memory: TagMemory
    warn: Callable[[str, float], None]  # logs an event at a clock time, at a limited rate


class ClientConnection:
    """Owned by the frontend's thread. An answer is written by the thread that finishes its call."""

    def __init__(
        self,
        sock: socket.socket,
        services: SharedServices,
        limits: FrontendLimits,
        now: float,
        over_limit: bool = False,
    ) -> None:
        """``over_limit``: the connection exceeds the connection limit, and its calls are rejected."""
        self.rejects_calls = over_limit
        self.is_over_limit = over_limit
        self.accepted_s = now
        self.active_s = now  # when it was accepted, last read from, or last observed with an open call
        self._last_answer_s = now  # when the last call was answered, or when the connection was accepted
        self.has_sent_data = False
        # Clock time at which the first bytes arrived, if they waited in the accept queue; else None.
        self.queued_since_s: float | None = None
        self.state = State.READING
        self.pacing = ReadPacing(now)
        self.has_backlog = False  # complete requests may have been read but not handled
        self._is_client_ahead = False  # the last read filled the buffer, so more bytes are likely unread
        self._rejects_backlog = False  # rejects calls that waited because reading was paused
        self._sock = sock
        self._services = services
        self._limits = limits
        self._write_buffer = WriteBuffer(
            sock, services.writer, limits.write_buffer_bytes, limits.write_stall_timeout_s, services.clock
        )
        self._reader = RespReader()
        self._tags = UsedTags(services.tag_memory)
        self._is_retiring = False  # rejects calls, and closes as soon as nothing is open or unread
        self._lock = threading.Lock()
        self._open_calls: dict[int, Call] = {}  # by tag
        self._tags_by_call: dict[int, int] = {}  # by call number
        self._answers_in_progress = 0  # answers of finished calls that are not yet in the write buffer
        self._received_s = now  # when the bytes that are being parsed were available
        self._message_started_s = now
        self._linger_until_s = 0.0
        self._linger_bytes_left = limits.max_linger_bytes

    def fileno(self) -> int:
        """The socket's descriptor."""
        return self._sock.fileno()

    @property
    def unanswered(self) -> bool:
        """Whether an answer is due or not yet written to the socket.

        Another thread moves an answer from the open call to the write buffer. The checks are in that order,
        so that no answer is missed.
        """
        return bool(self._open_calls) or self._answers_in_progress > 0 or self._write_buffer.has_pending

    @property
    def idle(self) -> bool:
        """Whether no call is open, no request is partly read and no answer is partly written."""
        return not self._reader.pending and not self.unanswered

    def idle_since(self, now: float) -> float:
        """Return the time since which the connection is idle; ``now`` if it is in use.

        An answer restarts the idle time, so that its client has time to send the next request.
        """
        return max(self.active_s, self._last_answer_s) if self.idle else now

    def promote_within_limit(self) -> None:
        """Count an over-limit connection within the limit: its calls are run from now on."""
        self.is_over_limit = False
        self.rejects_calls = self._is_retiring

    def has_unread(self) -> bool:
        """Return whether the socket has unread bytes; neither blocks nor consumes them."""
        return bool(self._peek())

    def has_input(self) -> bool:
        """Return whether there are requests that were not handled, read or unread."""
        return self.has_backlog or self.has_unread()

    def has_client_left(self) -> bool:
        """Return whether the client closed its side or reset the connection, even if bytes are unread."""
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def is_evictable(self) -> bool:
        """Return whether closing the connection loses no request. Call it right before closing.

        That holds if no call is open and no request is unread or partly read, or if the client has closed it.
        """
        if self.unanswered:
            return False
        waiting = self._peek()
        return waiting == b"" or (waiting is None and not self._reader.pending)

    def is_closed_by_client(self) -> bool:
        """Return whether the client closed or reset the connection and no call or unread byte is left.

        Neither blocks nor consumes bytes.
        """
        return not self.unanswered and self._peek() == b""

    def _peek(self) -> bytes | None:
        """Return the next unread byte; empty at the end of the stream, None if nothing is unread."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""  # reset

    def close(self) -> None:
        """Close the connection, and tell the engine that the client of its open calls has disconnected."""
        with self._lock:
            calls = list(self._open_calls.values())
        for call in calls:
            self._services.engine.disconnect(call)
        self._write_buffer.discard()
        self._tags.clear()
        with contextlib.suppress(OSError):
            self._sock.close()

    # ---- called by the frontend's thread

    def on_readable(self, buffer: bytearray, view: memoryview, now: float) -> bool:
        """Read once without blocking; return False if the connection is to be closed.

        ``now`` is the time at which the socket was found readable; the deadlines of new calls count from it.
        """
        try:
            received = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False  # reset by the client
        if not received:
            return False  # closed by the client
        self.active_s = now
        if self.state is not State.READING:
            return self._discard_received(received)
        self.has_sent_data = True
        self._received_s = now if self.queued_since_s is None else min(now, self.queued_since_s)
        self.queued_since_s = None
        if not self._reader.pending:
            self._message_started_s = now
        self._reader.feed(view[:received])
        self._is_client_ahead = received == len(buffer)
        self.handle_backlog(now)
        return True

    def reject_backlog(self) -> None:
        """Reject the calls that wait while reading is paused, until the client is no longer ahead.

        Their clients may have cancelled them by the time they are read.
        """
        self._rejects_backlog = self._is_client_ahead or self.has_backlog

    def handle_backlog(self, now: float) -> None:
        """Handle the requests of one turn that were read."""
        try:
            self.has_backlog = self._handle_requests(now)
        except (RespError, frames.FrameError) as error:
            self._stop_reading(error, now)
        if not self._is_client_ahead and not self.has_backlog:
            self._rejects_backlog = False

    def on_tick(self, now: float) -> bool:
        """Check the timeouts; return False if the connection is to be closed."""
        if self.state is State.LINGERING:
            return now < self._linger_until_s
        if self.unanswered:
            self.active_s = now
            return True
        if self.state is State.FINISHING:
            self._half_close(now)
            return True
        if self._is_retiring and self.is_evictable():
            self._half_close(now)
            return True
        if self._reader.pending:
            if now - self._message_started_s > self._limits.message_timeout_s:
                self._stop_reading(RespError("the request is incomplete after its timeout"), now)
            return True
        return now - self.active_s <= self._idle_limit_s() or self.has_unread()

    def _idle_limit_s(self) -> float:
        if self.is_over_limit:
            return self._limits.over_limit_timeout_s
        return self._limits.idle_timeout_s if self.has_sent_data else self._limits.first_byte_timeout_s

    def _half_close(self, now: float) -> None:
        """Close the sending direction, so that the client reads the end of the stream and closes."""
        self.state = State.LINGERING
        self._linger_until_s = now + self._limits.linger_timeout_s
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _discard_received(self, received: int) -> bool:
        """Count received bytes that are not parsed; return False if the connection is to be closed.

        Their number is not limited while an answer is due, since they cost only their sender.
        """
        if self.unanswered:
            return True
        self._linger_bytes_left -= received
        return self._linger_bytes_left > 0

    def _handle_requests(self, now: float) -> bool:
        """Handle the requests of one turn; return whether more may be buffered."""
        for _ in range(TURN_OPEN_CALLS * self._limits.max_open_calls + 1):
            words = self._reader.next()
            if words is None:
                return False
            self._message_started_s = now
            self._handle_request(words, now)
        return True

    def _handle_request(self, words: tuple[bytes, ...], now: float) -> None:
        """Handle one complete request; FrameError if it can't be answered under its own tag."""
        try:
            frame = frames.parse_frame(words)
        except frames.FrameError as error:
            if error.tag is None or self._tags.use(error.tag) is TagUse.USED_BEFORE:
                raise
            self._send_response(error.tag, FAILED)  # the requests after it are still readable
            return
        if isinstance(frame, frames.CancelFrame):
            self._cancel(frame.tag)
            return
        tag_use = self._tags.use(frame.tag)
        if tag_use is TagUse.USED_BEFORE:
            raise frames.FrameError("the tag was used before")
        if tag_use is TagUse.NO_SPACE:
            self._retire(now)
        if isinstance(frame, frames.CheckFrame):
            self._send_response(frame.tag, UP if self._services.is_ready() else FAILED)
        else:
            self._start_call(frame, now)

    def _retire(self, now: float) -> None:
        """Reject calls from now on, and close the connection as soon as that loses none."""
        if not self._is_retiring:
            self._is_retiring = True
            self.rejects_calls = True
            self._services.warn("client connection retired: no memory for its tags", now)

    def _cancel(self, tag: int) -> None:
        with self._lock:
            call = self._open_calls.get(tag)
        if call is not None:
            self._services.engine.disconnect(call)

    def _start_call(self, frame: frames.CallFrame, now: float) -> None:
        services, limits = self._services, self._limits
        if (
            self.rejects_calls
            or self._rejects_backlog
            or len(self._open_calls) >= limits.max_open_calls
            or self._is_rejected_in_drain(frame, now)
        ):
            self._send_response(frame.tag, REJECTED, services.format_holdoff(limits.busy_retry_after_s))
            return
        try:
            call = services.call_builder.build(frame, self._received_s)
        except frames.FieldError:
            self._send_response(frame.tag, FAILED)
            return
        if call.deadline_s <= now:  # the request waited in the accept queue past its deadline
            self._send_response(frame.tag, REJECTED, services.format_holdoff(limits.busy_retry_after_s))
            return
        if services.admission.active and not services.admission.admit(call, now):
            self._send_response(frame.tag, REJECTED, services.format_holdoff(limits.busy_retry_after_s))
            return
        if not services.open_request_ids.add(call.request_id, now):
            self._send_response(frame.tag, FAILED)
            return
        call.on_final_answer = self._on_final_answer
        with self._lock:
            self._open_calls[frame.tag] = call
            self._tags_by_call[call.number] = frame.tag
        if not services.engine.submit(call):
            call.finish(FinalAnswer(FinalStatus.REJECTED, retry_after_s=limits.busy_retry_after_s))

    def _is_rejected_in_drain(self, frame: frames.CallFrame, now: float) -> bool:
        services = self._services
        if not services.admission.active:
            return False
        class_index = services.call_builder.class_index(frame.class_name)
        return class_index is not None and services.admission.rejects_class(class_index, now)

    def _stop_reading(self, error: RespError | frames.FrameError, now: float) -> None:
        """Read no more requests after a parse error; open calls keep their deadlines.

        The invalid request is answered if its tag is readable and unused.
        """
        if isinstance(error, RespError):
            tag = frames.parse_tag(error.words)
            if tag is not None and self._tags.use(tag) is not TagUse.USED_BEFORE:
                self._send_response(tag, FAILED)
        self.state = State.FINISHING
        self.has_backlog = False
        if not self.unanswered:
            self._half_close(now)

    # ---- called by any thread

    def _on_final_answer(self, call: Call, final: FinalAnswer) -> None:
        """Write the final answer of a call; runs on the thread that finishes the call."""
        with self._lock:
            tag = self._tags_by_call.pop(call.number, None)
            if tag is not None:
                self._open_calls.pop(tag, None)
                self._answers_in_progress += 1
        self._close_request_id(call, final)
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

    def _close_request_id(self, call: Call, final: FinalAnswer) -> None:
        """Free the id of a call, unless it may have run: its client may have left without the answer."""
        may_have_run = final.status is not FinalStatus.REJECTED and call.may_have_been_sent
        now = self._services.clock()
        self._services.open_request_ids.remove(call.request_id, now, call.deadline_s if may_have_run else now)

    def _write_answer(self, tag: int, final: FinalAnswer) -> None:
        fields = b""
        if final.status is FinalStatus.REJECTED and final.retry_after_s > 0:
            fields = self._services.format_holdoff(final.retry_after_s)
        self._send_response(tag, STATUS_WORDS[final.status], fields, final.payload)

    def _send_response(self, tag: int, word: bytes, fields: bytes = b"", body: bytes = b"") -> None:
        self._write_buffer.send(OutgoingMessage(encode((b"%d" % tag, word, fields, body))))
