"""The way to one keeper: a kept connection, a thread, a bounded outbox. A slow keeper delays nobody else."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Callable

from saffronstack.fleet.leases import codec
from saffronstack.fleet.leases.codec import Envelope
from saffronstack.fleet.leases.messages import Learn, Message, Told
from saffronstack.http1 import writer
from saffronstack.http1.messages import HttpError, Limits
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_until
from saffronstack.runtime.threads import start_thread

LIMITS = Limits(body=4 * 1024 * 1024)
BATCH = 256  # messages in one envelope
OUTBOX_MOST = 10_000
PAUSE_FIRST_S = 0.02
PAUSE_MOST_S = 1.0
IDLE_S = 1.0
LISTEN_S = 2.0


class _Line:
    """One kept connection to a keeper; one thread uses it at a time."""

    def __init__(
        self, keeper: str, address: str, fleet: str, sender: str, wait_s: float, clock: Callable[[], float]
    ) -> None:
        self.keeper, self.address = keeper, address
        self._fleet, self._sender, self._wait_s = fleet, sender, wait_s
        self._clock = clock
        self._stream: Stream | None = None
        self._reader = MessageReader(LIMITS)

    def exchange(self, messages: tuple[Message, ...], listen_s: float = 0.0) -> tuple[Message, ...]:
        """Send and read the answer. OSError, HttpError, ValueError; the connection is closed then."""
        try:
            return self._exchange(Envelope(self._fleet, self._sender, messages, listen_s), listen_s)
        except BaseException:
            self.close()
            raise

    def _exchange(self, envelope: Envelope, listen_s: float) -> tuple[Message, ...]:
        until_s = self._clock() + self._wait_s + listen_s
        if self._stream is not None and not self._stream.silent():
            self.close()  # ended while idle; nothing was sent on it
        stream = self._stream
        if stream is None:
            host, _, port = self.address.rpartition(":")
            stream = Stream(socket.create_connection((host, int(port)), timeout=self._wait_s))
            self._stream, self._reader = stream, MessageReader(LIMITS)
        reader = self._reader
        fields = [("Host", self.address), ("Content-Type", "application/json")]
        data = writer.request("POST", "/lease/messages", fields, codec.encode(envelope))
        if not stream.send(data, until_s, self._clock):
            raise ConnectionResetError("the keeper took no byte")
        head = read_until(stream, reader, reader.response, until_s, self._clock)
        body = read_until(stream, reader, reader.body, until_s, self._clock)
        if head.status != 200:
            raise ValueError(f"status {head.status}: {body[:200].decode('utf-8', 'replace')}")
        if not head.keep_alive:
            self.close()
        return codec.decode(body).messages

    def abort(self) -> None:
        """From another thread: a wait on it returns."""
        stream = self._stream
        if stream is not None:
            stream.abort()

    def close(self) -> None:
        """Close it."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()


class KeeperLink:
    """Carries messages of one process to one keeper and hands on what it answers."""

    def __init__(
        self,
        keeper: str,
        address: str,
        fleet: str,
        sender: str,
        wait_s: float,
        heard: Callable[[str, tuple[Message, ...]], None],
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        """``wait_s`` bounds connecting and each exchange; ``heard`` is told keeper and messages, on this
        link's threads, and must not wait."""
        self.keeper = keeper
        self._line = _Line(keeper, address, fleet, sender, wait_s, clock)
        self._ear = _Line(keeper, address, fleet, sender, wait_s, clock)
        self._heard = heard
        self._random = random.Random(seed)
        self._lock = threading.Condition()
        # One place for each (lease, candidate): a newer message makes an older one that waits void.
        self._outbox: dict[tuple[str, str], Message] = {}
        self._stopping = False
        self._busy = False
        self._listens = False
        self._listening = False
        self._pause_s = 0.0
        self.trouble = "not asked yet"

    def start(self) -> None:
        """Carry on a thread of its own."""
        start_thread(f"link-{self.keeper}", self._run)

    def stop(self, wait_s: float = 0.0) -> None:
        """Carry nothing more, after what waits has had ``wait_s`` to leave."""
        with self._lock:
            if wait_s:
                self._lock.wait_for(lambda: not self._outbox and not self._busy, wait_s)
            self._stopping = True
            self._lock.notify_all()
        if not wait_s:
            self._line.abort()
        self._ear.abort()

    def say(self, message: Message) -> None:
        """Put in a message; never waits. Past the bound it is dropped, as a link may."""
        key = ("", "") if isinstance(message, Learn | Told) else (message.lease, message.candidate)
        with self._lock:
            if key in self._outbox or len(self._outbox) < OUTBOX_MOST:
                self._outbox.pop(key, None)
                self._outbox[key] = message
                self._lock.notify_all()

    def listen(self, wanted: bool) -> None:
        """Whether to hear from the keeper unasked, while one of the process's candidates waits in line."""
        with self._lock:
            if wanted == self._listens:
                return
            self._listens = wanted
            if not wanted or self._listening or self._stopping:
                return
            self._listening = True
        try:
            start_thread(f"ear-{self.keeper}", self._hear)
        except RuntimeError:  # no more threads: it asks now and then all the same
            with self._lock:
                self._listening = False

    def _hear(self) -> None:
        while True:
            with self._lock:
                if not self._listens or self._stopping:
                    self._listening = False
                    break
            try:
                answers = self._ear.exchange((), LISTEN_S)
            except (OSError, HttpError, PeerClosed, ValueError):
                with self._lock:
                    self._lock.wait_for(lambda: self._stopping, PAUSE_MOST_S * (0.5 + self._random.random()))
                continue
            if answers:
                self._heard(self.keeper, answers)
        self._ear.close()

    def _run(self) -> None:
        while True:
            with self._lock:
                if self._pause_s:
                    self._lock.wait_for(lambda: self._stopping, self._pause_s * (0.5 + self._random.random()))
                self._lock.wait_for(lambda: bool(self._outbox) or self._stopping, IDLE_S)
                if self._stopping:
                    break
                keys = list(self._outbox)[:BATCH]
                batch = [self._outbox.pop(key) for key in keys]
                self._busy = bool(batch)
            if batch:
                self._carry(batch)
                with self._lock:
                    self._busy = False
                    self._lock.notify_all()
        self._line.close()

    def _carry(self, batch: list[Message]) -> None:
        """A batch that meets trouble is dropped: whoever needs an answer asks again."""
        try:
            answers = self._line.exchange(tuple(batch))
        except (OSError, HttpError, PeerClosed, ValueError) as error:
            self.trouble = str(error) or type(error).__name__
            self._pause_s = min(PAUSE_MOST_S, 2 * self._pause_s or PAUSE_FIRST_S)
            return
        self.trouble, self._pause_s = "", 0.0
        if answers:
            self._heard(self.keeper, answers)
