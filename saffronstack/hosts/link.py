"""One connection to a host, carrying many requests: a thread connects it, the reader reads and ends it."""

from __future__ import annotations

import contextlib
import math
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.hosts import codec
from saffronstack.hosts.items import Item
from saffronstack.net.read_loop import ReadLoop
from saffronstack.net.stream import Stream
from saffronstack.net.write_buffer import OutgoingMessage, Sent, WriteBuffer, WriteLoop
from saffronstack.routing.events import Result
from saffronstack.runtime.threads import start_thread

MAX_ANSWERED_TAGS = 64  # tags answered last: a second answer may still come, and none is used again meanwhile
MAX_ABANDONED_TAGS = 32  # tags given up on a link that may still be answered; then it takes nothing new


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Bounds of one link; times in seconds, sizes in bytes."""

    streams: int = 32
    connect_timeout_s: float = 0.25
    idle_s: float = 24.0
    line_bytes: int = 128 * 1024
    outbox_bytes: int = 256 * 1024
    stall_s: float = 3.0


class Link:
    """Whoever takes an item out of ``_open`` under the lock ends it: so it ends once."""

    def __init__(
        self,
        address: tuple[str, int],
        limits: LinkLimits,
        writer: WriteLoop,
        reader: ReadLoop,
        clock: Callable[[], float],
        on_end: Callable[[Link], None],
    ) -> None:
        """``on_end`` hears that it is closed and everything on it ended."""
        self._address = address
        self._limits = limits
        self._writer = writer
        self._reader = reader
        self._lines = codec.LineReader(limits.line_bytes)
        self._clock = clock
        self._on_end = on_end
        self._lock = threading.Lock()
        self._open: dict[str, Item] = {}
        self._early: list[Item] = []  # until it is connected
        self._abandoned: set[str] = set()
        self._answered: dict[str, None] = {}  # in the order of their answers
        self._stream: Stream | None = None
        self._write_buffer: WriteBuffer | None = None
        self._closed = False  # takes nothing more
        self._retired = False  # takes nothing more, and closes once nothing is open
        self.reason = ""  # why it ended, where it broke
        self.last_received_s = clock()

    def start(self) -> None:
        """Connect on a thread of its own; RuntimeError where there is none."""
        start_thread("link", self._run)

    @property
    def open(self) -> int:
        """Items without an end."""
        return len(self._open)

    @property
    def oldest_sent_s(self) -> float:
        """When its oldest open item was sent (clock time); infinite without one."""
        with self._lock:
            oldest = next(iter(self._open.values()), None)
        return math.inf if oldest is None else oldest.sent_s

    def accepts(self, tag: str) -> bool:
        """Whether an item under this tag can go out on it."""
        return not (
            self._closed
            or self._retired
            or len(self._open) >= self._limits.streams
            or tag in self._open
            or tag in self._abandoned
            or tag in self._answered
            or len(self._abandoned) >= MAX_ABANDONED_TAGS
        )

    # ---- from any thread

    def submit(self, item: Item) -> bool:
        """Send it; it ends exactly once. False: nothing was taken, the link is closed."""
        with self._lock:
            if not self.accepts(item.tag):
                return False
            self._open[item.tag] = item
            item.link = self
            write_buffer = self._write_buffer
            if write_buffer is None:
                self._early.append(item)
                return True
        self._write(write_buffer, item)
        return True

    def _write(self, write_buffer: WriteBuffer, item: Item) -> None:
        if not write_buffer.send(item) and self._finish(item):
            item.on_failed(item.lost(), "the link takes nothing more")

    def post(self, data: bytes) -> bool:
        """Send bytes that are not answered; False where it takes nothing."""
        write_buffer = self._write_buffer
        return write_buffer is not None and write_buffer.send(OutgoingMessage(data))

    def give_up(self, item: Item, result: Result, reason: str) -> None:
        """Stop waiting for it. One that never left never ran; the host is told of one that did."""
        if not self._finish(item, abandon=True):
            return
        if not item.started:
            result = Result.NOT_STARTED if result is Result.CANCELLED else Result.CONNECT_FAILED
        elif item.sent is Sent.PART and not self._open:
            self.abort()  # the host takes no bytes: the rest of the line must not follow when it does
        else:
            self.post(codec.cancel_line(item.tag))
        item.on_failed(result, reason)
        self._maybe_close()

    def claim(self, item: Item) -> bool:
        """Whether its first byte may leave. From here on it counts as one that may have run: giving up and
        leaving are decided under one lock, or a call could be taken for one that never left."""
        with self._lock:
            item.started = not item.finished
            return item.started

    def unclaim(self, item: Item) -> None:
        """Not one byte of it was taken after all: it never left."""
        with self._lock:
            item.started = False

    def on_dropped(self, item: Item) -> None:
        """It no longer stood when its first byte was to leave."""
        if self._finish(item):
            item.on_failed(Result.NOT_STARTED, "no longer wanted when it was to be sent")
            self._maybe_close()

    def retire(self) -> None:
        """Take nothing more; close once nothing is open."""
        self._retired = True
        self._maybe_close()

    def abort(self) -> None:
        """Close it now; what is open ends as lost."""
        self._closed = True
        stream = self._stream
        if stream is not None:
            stream.abort()

    def _finish(self, item: Item, abandon: bool = False) -> bool:
        """Whether the caller is the one who ends the item."""
        with self._lock:
            if self._open.get(item.tag) is not item:
                return False
            del self._open[item.tag]
            item.finished = True
            if abandon and item.started:
                self._abandoned.add(item.tag)
        return True

    def _maybe_close(self) -> None:
        if (self._retired or len(self._abandoned) >= MAX_ABANDONED_TAGS) and not self._open:
            self.abort()

    # ---- its thread, until it is connected

    def _run(self) -> None:
        watched = False
        try:
            watched = self._connect() and self._reader.watch(self)
        except OSError as error:
            self.reason = str(error)
        finally:
            if not watched:
                self._end()

    def _connect(self) -> bool:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(self._limits.connect_timeout_s)
            sock.connect(self._address)
        except OSError:
            sock.close()
            raise
        stream = Stream(sock)
        write_buffer = WriteBuffer(
            sock, self._writer, self._limits.outbox_bytes, self._limits.stall_s, self._clock
        )
        self.last_received_s = self._clock()
        with self._lock:
            self._stream, self._write_buffer = stream, write_buffer
            early, self._early = self._early, []
            if self._closed:  # given up while it connected: nothing may leave on it
                return False
        for item in early:
            self._write(write_buffer, item)
        return not self._closed

    # ---- the reader's thread

    def fileno(self) -> int:
        """The socket's."""
        assert self._stream is not None
        return self._stream.sock.fileno()

    def on_readable(self, buffer: bytearray, view: memoryview) -> bool:
        """Take what has come; False where the link is over."""
        assert self._stream is not None
        try:
            came = self._stream.sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
            if not came:
                self.reason = "closed by the host"
                return False
            self.last_received_s = self._clock()
            for line in self._lines.feed(bytes(view[:came])):
                self._on_answer(codec.answer_of(line))
        except BlockingIOError:
            return True
        except codec.HostError as error:
            self.reason = f"unreadable: {error}"
            return False
        except OSError as error:
            self.reason = str(error)
            return False
        return True

    def on_tick(self, now: float) -> bool:
        """False where nothing has been open for as long as a link may be idle."""
        return now - self.last_received_s < self._limits.idle_s or not self._done()

    def on_end(self) -> None:
        """The reader has let go of it."""
        self._end()

    def _done(self) -> bool:
        """Whether nothing is open; nothing can be submitted from then on."""
        with self._lock:
            self._closed = self._closed or not self._open
            return self._closed

    def _on_answer(self, answer: codec.HostAnswer) -> None:
        with self._lock:
            item = self._open.pop(answer.tag, None)
            if item is None:  # late, or no one's: dropped
                self._abandoned.discard(answer.tag)
                return
            item.finished = True
            self._answered[answer.tag] = None
            if len(self._answered) > MAX_ANSWERED_TAGS:
                del self._answered[next(iter(self._answered))]
        item.on_answer(answer)
        self._maybe_close()

    def _end(self) -> None:
        with self._lock:
            self._closed = True
            lost, self._open = list(self._open.values()), {}
            for item in lost:  # from here on no first byte leaves: `claim` asks under the same lock
                item.finished = True
            self._early = []
            self._abandoned = set()
            self._answered = {}
        if self._write_buffer is not None:
            self._write_buffer.end()  # after a write that is under way: what has left of an item is known now
        if self._stream is not None:
            self._stream.close()
        for item in lost:
            with contextlib.suppress(Exception):  # the others must end all the same
                item.on_failed(item.lost(), self.reason or "the link ended")
        self._on_end(self)
