"""The link of a process to one lease server: persistent connections, threads and a bounded outbox.

Each server has its own link, so that a slow server does not delay messages to the others.
"""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Callable

from saffronstack.fleet.leases import codec
from saffronstack.fleet.leases.codec import MESSAGES_TARGET, Envelope
from saffronstack.fleet.leases.errors import ServerResponseError
from saffronstack.fleet.leases.limits import LeaseFleet
from saffronstack.fleet.leases.messages import CatchUpRequest, CatchUpResponse, Message
from saffronstack.http1 import writer
from saffronstack.http1.messages import HttpError, MessageLimits
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import PeerClosed, Stream, read_until
from saffronstack.runtime.threads import start_thread

HTTP_LIMITS = MessageLimits(body_bytes=4 * 1024 * 1024)
MAX_BATCH = 256  # messages per envelope
MAX_OUTBOX_MESSAGES = 10_000
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
MAX_SLEEP_S = 1.0  # longest wait of the sending thread
POLL_DURATION_S = 2.0
EXCHANGE_ERRORS = (OSError, HttpError, PeerClosed, ValueError)  # caused by a server or the network

MessageHandler = Callable[[str, tuple[Message, ...]], None]


class _Connection:
    """One persistent connection to a lease server. Used by one thread at a time."""

    def __init__(self, server: str, fleet: LeaseFleet, sender: str, clock: Callable[[], float]) -> None:
        self._address = fleet.addresses[server]
        self._fleet, self._sender = fleet, sender
        self._clock = clock
        self._stream: Stream | None = None
        self._reader = MessageReader(HTTP_LIMITS)

    def exchange(self, messages: tuple[Message, ...], poll_s: float = 0.0) -> tuple[Message, ...]:
        """Send messages, or a poll if there are none, and return the messages in the response.

        Raises:
            OSError, HttpError, PeerClosed, ValueError: The exchange failed; the connection is closed.
        """
        try:
            return self._exchange(Envelope(self._fleet.name, self._sender, messages, poll_s), poll_s)
        except BaseException:
            self.close()
            raise

    def _exchange(self, envelope: Envelope, poll_s: float) -> tuple[Message, ...]:
        deadline_s = self._clock() + self._fleet.timeout_s + poll_s
        stream, reader = self._connect_if_needed(), self._reader
        fields = [("Host", self._address), ("Content-Type", "application/json")]
        data = writer.request("POST", MESSAGES_TARGET, fields, codec.encode(envelope))
        if not stream.send(data, deadline_s, self._clock):
            raise ConnectionResetError("lease server accepted no bytes of the request")
        head = read_until(stream, reader, reader.response, deadline_s, self._clock)
        body = read_until(stream, reader, reader.body, deadline_s, self._clock)
        if head.status != 200:
            raise ServerResponseError(f"status {head.status}: {body[:200].decode('utf-8', 'replace')}")
        if not head.keep_alive:
            self.close()
        return codec.decode(body).messages

    def _connect_if_needed(self) -> Stream:
        if self._stream is not None and not self._stream.is_idle():
            self.close()  # the server closed it while it was idle; no request was in flight
        if self._stream is None:
            host, _, port = self._address.rpartition(":")
            sock = socket.create_connection((host, int(port)), timeout=self._fleet.timeout_s)
            self._stream, self._reader = Stream(sock), MessageReader(HTTP_LIMITS)
        return self._stream

    def abort(self) -> None:
        """Shut the connection down to end a wait of the thread that uses it; called on another thread."""
        stream = self._stream
        if stream is not None:
            stream.abort()

    def close(self) -> None:
        """Close the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()


class LeaseServerLink:
    """Sends the messages of one process to one lease server and passes its responses to a handler.

    The lock guards the outbox and all flags.
    """

    def __init__(
        self,
        server: str,
        fleet: LeaseFleet,
        sender: str,
        on_messages: MessageHandler,
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        """Create a link that is not started.

        Args:
            server: The name of the server.
            fleet: The lease servers' addresses and the timeout of an exchange.
            sender: The name of this process.
            on_messages: Receives the server's name and its messages on the link's threads; must not block.
            clock: The monotonic clock, in seconds.
            seed: Seeds the jitter of the backoff.
        """
        self.server = server
        self._connection = _Connection(server, fleet, sender, clock)
        self._poll_connection = _Connection(server, fleet, sender, clock)
        self._on_messages = on_messages
        self._random = random.Random(seed)
        self._lock = threading.Condition()
        # Keyed by (lease, candidate): a newer message replaces an unsent older one.
        self._outbox: dict[tuple[str, str], Message] = {}
        self._is_stopping = False
        self._is_sending = False
        self._is_poll_enabled = False
        self._is_polling = False
        self._backoff_s = 0.0
        self.last_error = "no exchange yet"  # error of the last exchange; empty if it succeeded

    def start(self) -> None:
        """Start the sending thread."""
        start_thread(f"lease-link-{self.server}", self._run_sender)

    def stop(self, flush_s: float = 0.0) -> None:
        """Stop the threads after waiting up to ``flush_s`` seconds for the outbox to be sent."""
        with self._lock:
            if flush_s:
                self._lock.wait_for(lambda: not self._outbox and not self._is_sending, flush_s)
            self._is_stopping = True
            self._lock.notify_all()
        if not flush_s:
            self._connection.abort()
        self._poll_connection.abort()

    def send(self, message: Message) -> None:
        """Put a message into the outbox, or drop it if the outbox is full; does not block."""
        key = _outbox_key(message)
        with self._lock:
            if key in self._outbox or len(self._outbox) < MAX_OUTBOX_MESSAGES:
                self._outbox.pop(key, None)
                self._outbox[key] = message
                self._lock.notify_all()

    def set_polling(self, enabled: bool) -> None:
        """Enable or disable polling the server for notifications of released leases."""
        with self._lock:
            if enabled == self._is_poll_enabled:
                return
            self._is_poll_enabled = enabled
            if not enabled or self._is_polling or self._is_stopping:
                return
            self._is_polling = True
        try:
            start_thread(f"lease-poll-{self.server}", self._run_poller)
        except RuntimeError:  # no thread: without polls, a waiting candidate still retries periodically
            with self._lock:
                self._is_polling = False

    def _run_poller(self) -> None:
        while True:
            with self._lock:
                if not self._is_poll_enabled or self._is_stopping:
                    self._is_polling = False
                    break
            try:
                messages = self._poll_connection.exchange((), POLL_DURATION_S)
            except EXCHANGE_ERRORS:  # the sending thread reports errors of the server
                self._wait_until_stopping(MAX_BACKOFF_S)
                continue
            if messages:
                self._on_messages(self.server, messages)
        self._poll_connection.close()

    def _wait_until_stopping(self, backoff_s: float) -> None:
        with self._lock:
            self._lock.wait_for(lambda: self._is_stopping, backoff_s * (0.5 + self._random.random()))

    def _run_sender(self) -> None:
        while True:
            if self._backoff_s:
                self._wait_until_stopping(self._backoff_s)
            with self._lock:
                self._lock.wait_for(lambda: bool(self._outbox) or self._is_stopping, MAX_SLEEP_S)
                if self._is_stopping:
                    break
                batch = [self._outbox.pop(key) for key in list(self._outbox)[:MAX_BATCH]]
                self._is_sending = bool(batch)
            if batch:
                self._send_batch(batch)
                with self._lock:
                    self._is_sending = False
                    self._lock.notify_all()
        self._connection.close()

    def _send_batch(self, batch: list[Message]) -> None:
        """Send messages. On failure they are dropped: senders repeat a message if they need a response."""
        try:
            responses = self._connection.exchange(tuple(batch))
        except EXCHANGE_ERRORS as error:
            self.last_error = str(error) or type(error).__name__
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s or INITIAL_BACKOFF_S)
            return
        self.last_error, self._backoff_s = "", 0.0
        if responses:
            self._on_messages(self.server, responses)


def _outbox_key(message: Message) -> tuple[str, str]:
    if isinstance(message, CatchUpRequest | CatchUpResponse):
        return "", ""
    return message.lease, message.candidate
