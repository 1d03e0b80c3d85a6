"""Polls the discovery server over UDP and applies complete and valid responses to the endpoint list."""

from __future__ import annotations

import enum
import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from saffronstack.discovery.background_thread import BackgroundThread
from saffronstack.discovery.dns.endpoint_list import EndpointList, WorkerChanges
from saffronstack.discovery.dns.messages import DnsMessageError, decode_response, encode_query
from saffronstack.discovery.dns.serial_numbers import is_newer
from saffronstack.discovery.dns.server_socket import ServerSocket
from saffronstack.discovery.dns.service_records import parse_snapshot
from saffronstack.runtime.logs import Logger

MESSAGE_ID_BITS = 16
MESSAGE_ID_BYTES = 2
NO_RESPONSE_WARNING_S = 3.0  # time without a valid response after which one warning is logged
POLL_JITTER = 0.1  # fraction of the interval, so that gateways do not poll at the same time
MAX_DATAGRAMS_PER_POLL = 1024  # more than the receive buffer of the socket holds
MAX_REJECTION_REASONS = 32  # limit on the reasons that are counted
MAX_REASON_LENGTH = 60  # characters


class Rejection(enum.StrEnum):
    """Reasons for which a well-formed response is not applied."""

    UNKNOWN_QUERY = "response to no recent query"
    FORMER_SERVER = "response of a server that is no longer asked"
    STALE_LIST = "list is older than the present one"
    CONFLICTING_LIST = "another list under the serial of the present one"


@dataclass(frozen=True, slots=True)
class ResolverOptions:
    """Settings of polling. The defaults detect a drain before it ends, even if some responses are lost.

    Attributes:
        interval_s: Seconds between two queries, before jitter.
        seed: Seed of message identifiers and jitter; None for a random seed.
    """

    interval_s: float = 0.25
    seed: int | None = None


@dataclass(slots=True)
class ResolverCounts:
    """Counters of the resolver, written by its thread."""

    queries: int = 0
    accepted: int = 0
    unanswered: int = 0
    rejected: dict[str, int] = field(default_factory=dict)  # by reason


class Resolver:
    """Updates an endpoint list on its own thread. Any thread may call `set_server`.

    Attributes:
        last_response_s: Time of the last valid response, on the resolver's clock.
        counts: Counters since the start.
    """

    def __init__(
        self,
        endpoint_list: EndpointList,
        name: str,
        server: tuple[str, int],
        on_change: Callable[[WorkerChanges], None],
        log: Logger,
        clock: Callable[[], float] = time.monotonic,
        options: ResolverOptions = ResolverOptions(),
    ) -> None:
        """Prepare polling of a server.

        Args:
            endpoint_list: The list to update, owned by the resolver's thread after `start`.
            name: Service name to query, such as ``_work._tcp.fleet.local``.
            server: Address of the discovery server.
            on_change: Called on the resolver's thread with each change of the list.
            log: Receives warnings about an unresponsive server, and errors.
            clock: Monotonic time in seconds.
            options: Settings of polling.
        """
        self._endpoint_list = endpoint_list
        self._name = name
        self._server = server
        self._on_change = on_change
        self._log = log
        self._clock = clock
        self._options = options
        self._random = random.Random(options.seed)
        self._thread = BackgroundThread("dns-discovery", self._run)
        self._socket = ServerSocket()
        self._last_payload = b""  # last accepted response, without its message identifier
        self._last_serial: int | None = None  # of the last list from a response
        self._is_unresponsive = False
        self.last_response_s = clock()
        self.counts = ResolverCounts()

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end. It ends within an interval."""
        self._thread.request_stop()

    def set_server(self, server: tuple[str, int]) -> None:
        """Use another server from the next query on. Its serial numbers continue those of the former one."""
        self._server = server

    def _run(self) -> None:
        while not self._thread.stopping.is_set():
            interval_s = self._options.interval_s * self._random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
            next_query_s = self._clock() + interval_s
            is_answered = self._poll(next_query_s)
            self._socket.record_result(is_answered)
            self._log_responsiveness(is_answered)
            self._thread.stopping.wait(max(0.0, next_query_s - self._clock()))  # after an error
        self._socket.close()

    def _poll(self, until_s: float) -> bool:
        try:
            return self.query(until_s)
        except OSError as error:  # the server port is closed, or no file descriptor is free
            self._count_rejection(type(error).__name__)
        except Exception:  # noqa: BLE001 - an error in one poll must not stop discovery
            self._log.exception("discovery poll failed")
        return False

    def query(self, until_s: float) -> bool:
        """Send one query, and handle every response that arrives until ``until_s`` on the resolver's clock.

        Responses to earlier queries are handled too. All that have arrived are read, however late this thread
        is: a response left in the socket would delay each one after it.

        Returns:
            Whether a valid response was received.

        Raises:
            OSError: The socket can't be used, or an earlier query was refused.
        """
        udp_socket = self._socket.open(self._server)
        message_id = self._random.getrandbits(MESSAGE_ID_BITS)
        self._socket.message_ids.append(message_id)
        self.counts.queries += 1
        udp_socket.send(encode_query(message_id, self._name))
        is_answered = False
        for _ in range(MAX_DATAGRAMS_PER_POLL):
            try:
                message = self._socket.receive(max(0.0, until_s - self._clock()))
            except ConnectionRefusedError as error:  # reported before responses that have arrived
                self._count_rejection(type(error).__name__)
                continue
            if message is None:
                break
            if self._socket.server != self._server:
                self._count_rejection(Rejection.FORMER_SERVER)
                break
            is_answered = self.handle_response(message, self._socket.message_ids) or is_answered
        self.counts.unanswered += not is_answered
        return is_answered

    def handle_response(self, message: bytes, message_ids: Collection[int]) -> bool:
        """Apply a response completely or reject it.

        Args:
            message: A datagram.
            message_ids: Identifiers of the recent queries.

        Returns:
            Whether the response was accepted.
        """
        message_id = int.from_bytes(message[:MESSAGE_ID_BYTES], "big")
        if message_id not in message_ids:
            self._count_rejection(Rejection.UNKNOWN_QUERY)
            return False
        if message[MESSAGE_ID_BYTES:] == self._last_payload:
            self.counts.accepted += 1
            return True
        endpoint_list = self._endpoint_list
        try:
            snapshot = parse_snapshot(decode_response(message), message_id, self._name)
        except DnsMessageError as error:
            self._count_rejection(str(error))
            return False
        if snapshot.serial != endpoint_list.serial and not is_newer(snapshot.serial, endpoint_list.serial):
            self._count_rejection(Rejection.STALE_LIST)
            return False
        if snapshot.serial == self._last_serial and not endpoint_list.matches(snapshot.endpoints):
            self._count_rejection(Rejection.CONFLICTING_LIST)
            return False
        changes = endpoint_list.apply_snapshot(snapshot)
        self._last_payload = message[MESSAGE_ID_BYTES:]
        self._last_serial = snapshot.serial
        self.counts.accepted += 1
        if changes:
            self._on_change(changes)
        return True

    def _count_rejection(self, reason: str) -> None:
        reason = str(reason).split(":")[0][:MAX_REASON_LENGTH]  # omit the details, which the server can vary
        rejected = self.counts.rejected
        if reason in rejected or len(rejected) < MAX_REJECTION_REASONS:
            rejected[reason] = rejected.get(reason, 0) + 1

    def _log_responsiveness(self, is_answered: bool) -> None:
        now = self._clock()
        elapsed_s = now - self.last_response_s
        if is_answered:
            if self._is_unresponsive:
                self._log.info("discovery server responds again", elapsed_s=round(elapsed_s, 1))
            self._is_unresponsive = False
            self.last_response_s = now
        elif not self._is_unresponsive and elapsed_s > NO_RESPONSE_WARNING_S:
            self._is_unresponsive = True
            self._log.warning(
                "discovery server does not respond",
                elapsed_s=NO_RESPONSE_WARNING_S,
                rejected=self.counts.rejected,
            )
