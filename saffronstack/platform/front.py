"""The frontend: one thread accepts, reads and closes all client connections; see `ClientConnection`.

With a single thread, accepting, reading and closing can't race: every accepted connection is read, and none
is closed while its socket holds an unread request.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import replace

from saffronstack.engine.engine import Engine
from saffronstack.net.write_buffer import WriteLoop
from saffronstack.platform.calls import CallBuilder
from saffronstack.platform.client_admission import AdmissionOutcome, ClientAdmission
from saffronstack.platform.client_listener import BACKLOG, ClientListener
from saffronstack.platform.connection import ClientConnection, FrontendLimits, SharedServices, State
from saffronstack.platform.drain_admission import DrainAdmission
from saffronstack.platform.identifiers import OpenRequestIds
from saffronstack.platform.idle_order import ClientConnectionView
from saffronstack.platform.queue_wait import read_queue_wait_s
from saffronstack.platform.read_pacing import PausedConnections
from saffronstack.platform.readiness import ended_by_clients
from saffronstack.platform.shutdown import Activity, GracefulShutdown, Phase, ShutdownLimits
from saffronstack.platform.used_tags import TagMemory
from saffronstack.runtime.logs import Logger
from saffronstack.runtime.threads import start_thread

CLIENTS_THREAD = "clients"  # name of the thread that reads all client connections
MAX_ACCEPTS_PER_PASS = 64  # accepted connections per event loop pass, so that others are read in between
MAX_AT_LIMIT_ACCEPTS_PER_PASS = 16  # accepted per pass while the connection limit is reached
READ_BYTES = 16 * 1024
TICK_S = 0.25  # interval of timeout checks
NO_DESCRIPTOR_PAUSE_S = 0.05  # pause of accepting after it failed for want of a file descriptor
SHUTDOWN_TICK_S = 0.01  # interval of timeout and phase checks during a shutdown
MAX_FINAL_READS = 64  # reads per connection before a shutdown flushes the answers
EPOLL_CLIENT_LEFT = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
EPOLL_READABLE = select.EPOLLIN | EPOLL_CLIENT_LEFT
MAX_EVENT_AGE_S = 0.02  # after this time a connection is checked again for whether its client has left
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
WARNING_INTERVAL_S = 10.0  # minimum time between two warnings
RUNNING_PHASES = (Phase.ACCEPTING, Phase.DRAINING)  # phases in which calls are run
ACCEPTING_PHASES = (Phase.ACCEPTING, Phase.DRAINING, Phase.REJECTING)


class Frontend:
    """Serves client connections and enforces the connection limit.

    At the limit, an idle connection is evicted for a new one. If none is idle, new clients wait briefly in
    the accept queue. After that a few over-limit connections are accepted, and their calls are rejected at
    once. See `ClientAdmission`.
    """

    def __init__(
        self,
        address: tuple[str, int],
        engine: Engine,
        call_builder: CallBuilder,
        writer: WriteLoop,
        limits: FrontendLimits,
        clock: Callable[[], float],
        log: Logger,
        is_ready: Callable[[], bool],
        max_retry_after_s: float,
        admission: DrainAdmission,
        tag_memory: TagMemory,
        cpu_clock: Callable[[], float] = time.thread_time,
    ) -> None:
        """Bind the listener; OSError if the address is not available.

        ``max_retry_after_s`` caps the retry delay sent to clients; with 0 none is sent. ``tag_memory`` limits
        the used tags that are stored for all connections. ``cpu_clock`` returns the processor time of the
        calling thread.
        """
        self.limits = limits
        self.clock = clock
        self.open_request_ids = OpenRequestIds()
        self.peak_connections = 0  # maximum of connections open at one time
        self.evicted = 0  # connections closed to accept others
        self.over_limit_accepted = 0  # over-limit connections accepted
        self._services = SharedServices(
            engine,
            call_builder,
            writer,
            self.open_request_ids,
            clock,
            is_ready,
            self._format_holdoff,
            admission,
            tag_memory,
            self._warn,
        )
        self._log = log
        self._last_warning_s = -WARNING_INTERVAL_S
        self._max_retry_after_s = max_retry_after_s
        self._connections: dict[int, ClientConnection] = {}  # by descriptor
        self._cpu_clock = cpu_clock
        self._paused = PausedConnections()
        self._polled_s = clock()  # when the events that are being handled were received
        self._client_admission = ClientAdmission(
            limits.max_silent_at_limit, limits.max_over_limit_connections, ended_by_clients
        )
        self._shutdown = GracefulShutdown()
        self._shutdown_limits: ShutdownLimits | None = None  # set by the thread that requests the shutdown
        self._shutdown_asked_s = 0.0
        self._calls_finished = False
        self._last_received_s = clock()
        self._drained = threading.Event()
        self._closed = threading.Event()
        self._poll = select.epoll()
        self._listener = ClientListener(address, self._poll)
        self._wake_event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._buffer = bytearray(READ_BYTES)
        self._view = memoryview(self._buffer)

    @property
    def address(self) -> tuple[str, int]:
        """The address of the listener."""
        return self._listener.address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def open_calls(self) -> int:
        """Number of calls without a final answer."""
        return len(self.open_request_ids)

    @property
    def phase(self) -> Phase:
        """The phase of the shutdown."""
        return self._shutdown.phase

    def _format_holdoff(self, retry_after_s: float) -> bytes:
        """Return a retry delay as the holdoff field of an answer; empty if no delay is sent to clients."""
        retry_after_s = min(retry_after_s, self._max_retry_after_s)
        return b"holdoff=%d" % max(1, round(retry_after_s * 1000)) if retry_after_s > 0 else b""

    # ---- called by any thread

    def start(self) -> None:
        """Start the thread that serves client connections."""
        start_thread(CLIENTS_THREAD, self._run)

    def begin_shutdown(self, limits: ShutdownLimits) -> None:
        """Start draining: new requests are accepted until clients are quiet. Later calls have no effect."""
        if self._shutdown_limits is None:
            self._shutdown_asked_s = self.clock()
            self._services.admission.begin(self._shutdown_asked_s + limits.run_until_s)
            self._shutdown_limits = limits
            self._wake_up()

    def wait_drained(self, timeout_s: float) -> bool:
        """Wait until no new call is accepted; return False on a timeout."""
        return self._drained.wait(timeout_s)

    def notify_calls_finished(self) -> None:
        """Tell the frontend that every call has its final answer and the engine accepts no more."""
        self._calls_finished = True
        self._wake_up()

    def wait_closed(self, timeout_s: float) -> bool:
        """Wait until the answers are written and all connections are closed; return False on a timeout."""
        return self._closed.wait(timeout_s)

    def _wake_up(self) -> None:
        with contextlib.suppress(OSError, ValueError):  # the thread has ended
            os.eventfd_write(self._wake_event, 1)

    # ---- the frontend's thread

    def _run(self) -> None:
        self._poll.register(self._wake_event, select.EPOLLIN)
        self._listener.enable()
        ticked_s = self.clock()
        try:
            while True:
                now = self.clock()
                tick_s = self._tick_interval_s()
                # The listener comes last, so that requests are read before a connection is evicted.
                # Clients that left come first, so that nothing more is sent for them.
                listener = self._listener.fileno()
                events = self._poll.poll(self._poll_timeout_s(now, tick_s))
                self._polled_s = self.clock()
                order = [(d == listener, not mask & EPOLL_CLIENT_LEFT, d, mask) for d, mask in events]
                for _, _, descriptor, mask in sorted(order):
                    self._on_event(descriptor, mask)
                now = self.clock()
                self._resume_reading(now)
                if self._shutdown.phase in ACCEPTING_PHASES:
                    self._listener.resume_if_due(now)
                if now - ticked_s >= tick_s:
                    ticked_s = now
                    self._tick(now)
                if self._shutdown_limits is not None and self._step_shutdown(now) is Phase.CLOSED:
                    return
        finally:
            self._close_all()

    def _tick_interval_s(self) -> float:
        if self._shutdown.phase is not Phase.ACCEPTING:
            return SHUTDOWN_TICK_S
        return TICK_S

    def _poll_timeout_s(self, now: float, tick_s: float) -> float:
        """Return how long the event loop may wait for events."""
        tick_s = self._paused.remaining_s(now, tick_s)
        if self._listener.is_polled or self._shutdown.phase not in ACCEPTING_PHASES:
            return tick_s
        return min(tick_s, self._listener.remaining_pause_s(now))

    def _on_event(self, descriptor: int, mask: int = select.EPOLLIN) -> None:
        """Handle one ready descriptor. An exception closes only its connection."""
        now = self.clock()
        try:
            connection = self._connections.get(descriptor)
            if connection is not None:
                self._last_received_s = now
                if mask & EPOLL_CLIENT_LEFT or self._has_left_since_poll(connection, now):
                    self._close(connection)
                else:
                    self._read(connection, now)
            elif descriptor == self._wake_event:
                with contextlib.suppress(BlockingIOError):
                    os.eventfd_read(self._wake_event)
            elif self._listener.is_polled and descriptor == self._listener.fileno():
                self._accept(now, MAX_ACCEPTS_PER_PASS)
        except Exception:  # noqa: BLE001 - an exception closes only its own connection
            self._log.exception("client event handler failed")
            self._discard(descriptor)

    def _has_left_since_poll(self, connection: ClientConnection, now: float) -> bool:
        return now - self._polled_s > MAX_EVENT_AGE_S and connection.has_client_left()

    def _read(self, connection: ClientConnection, now: float) -> None:
        """Read from a connection once, or handle requests that were read before; pause it if necessary."""
        is_running = self._shutdown.phase in RUNNING_PHASES
        if connection.is_over_limit and is_running:
            self._try_to_promote(connection, now)
        started_cpu_s = self._cpu_clock()
        if connection.has_backlog:
            connection.handle_backlog(now)
        elif not connection.on_readable(self._buffer, self._view, now):
            self._close(connection)
            return
        self._client_admission.touch(connection)
        if not is_running:  # calls are rejected, and no later turn is certain
            while connection.has_backlog:
                connection.handle_backlog(now)
            return
        pause_s = connection.pacing.record(now, self._cpu_clock() - started_cpu_s)
        if pause_s or connection.has_backlog:
            self._pause_reading(connection, self.clock() + pause_s)

    def _pause_reading(self, connection: ClientConnection, until_s: float) -> None:
        """Read nothing from a connection until a time, but notice if its client leaves."""
        connection.reject_backlog()
        self._poll.modify(connection.fileno(), EPOLL_CLIENT_LEFT)
        self._paused.pause(connection.fileno(), until_s)

    def _resume_reading(self, now: float) -> None:
        """Read connections again whose pauses are over."""
        for descriptor in self._paused.pop_due(now):
            connection = self._connections.get(descriptor)
            if connection is None:
                continue
            try:
                self._poll.modify(descriptor, EPOLL_READABLE)
            except OSError as error:
                self._warn("client connection could not be read again", now, error=str(error))
                self._close(connection)
                continue
            if connection.has_backlog:
                self._on_event(descriptor)

    def _discard(self, descriptor: int) -> None:
        """Close the connection of a descriptor, if there is one."""
        connection = self._connections.get(descriptor)
        if connection is not None:
            self._close(connection)

    def _tick(self, now: float) -> None:
        """Check the timeouts of all connections."""
        for descriptor, connection in list(self._connections.items()):
            try:
                if not connection.on_tick(now):
                    self._close(connection)
            except Exception:  # noqa: BLE001 - an exception closes only its own connection
                self._log.exception("client event handler failed")
                self._discard(descriptor)

    def _accept(self, now: float, max_accepted: int) -> int:
        """Accept up to ``max_accepted`` connections; return how many were handled."""
        at_limit_accepts = 0
        for accepted in range(max_accepted):
            over_limit = False
            is_at_limit = self._client_admission.is_at_limit(self.limits.max_connections)
            if is_at_limit:
                if self._accept_queue_is_empty() or at_limit_accepts >= self._max_at_limit_accepts():
                    return accepted  # no client waits, or the accepted connections are to be read first
                outcome = self._admit_next_client(now)
                if outcome is AdmissionOutcome.WAIT:
                    return accepted
                over_limit = outcome is AdmissionOutcome.ACCEPT_OVER_LIMIT
                at_limit_accepts += 1
            may_have_waited = is_at_limit or self._client_admission.has_waiting_client()
            try:
                sock, _ = self._listener.sock.accept()
            except BlockingIOError:
                self._client_admission.note_accept_queue_empty()
                return accepted
            except OSError as error:
                if error.errno not in RESOURCE_ERRNOS:
                    continue  # the client has already disconnected
                if self._accept_queue_is_empty():
                    return accepted  # accept fails for want of a descriptor even if no client waits
                self._warn("client connection could not be accepted", now, error=str(error))
                self._free_descriptor(now)
                return accepted
            self._add(sock, now, over_limit)
            if may_have_waited:
                self._note_queue_wait(sock)
            if over_limit:
                self._accept_queue_is_empty()
                return accepted + 1  # its call is rejected before another client can evict it
        self._accept_queue_is_empty()
        return max_accepted

    def _max_at_limit_accepts(self) -> int:
        """Return how many connections may be accepted per pass while the connection limit is reached.

        Accepted connections that are not read yet count as silent, so `max_silent_at_limit` bounds them too.
        """
        return min(MAX_AT_LIMIT_ACCEPTS_PER_PASS, self.limits.max_silent_at_limit)

    def _note_queue_wait(self, sock: socket.socket) -> None:
        """Make the deadline of a request in the accept queue count from its arrival."""
        wait_s = read_queue_wait_s(sock)
        self._client_admission.record_queue_wait(wait_s)
        connection = self._connections.get(sock.fileno())
        if connection is not None and connection.has_unread():
            connection.queued_since_s = self.clock() - wait_s

    def _accept_queue_is_empty(self) -> bool:
        """Return whether no client waits to be accepted; if so, reset the recorded waiting time."""
        if self._listener.has_waiting_client():
            return False
        self._client_admission.note_accept_queue_empty()
        return True

    def _try_to_promote(self, connection: ClientConnection, now: float) -> None:
        """Count an over-limit connection within the limit if its client sends again and there is capacity."""
        if connection.state is not State.READING or not connection.has_unread():
            return  # requests are no longer parsed, or the client closed the connection
        decision = self._client_admission.decide_for_over_limit(now, self.limits.max_connections)
        if decision.outcome is not AdmissionOutcome.ACCEPT:
            return
        if decision.victim is not None:
            self._evict(decision.victim)
        self._client_admission.remove(connection)
        connection.promote_within_limit()
        self._client_admission.add(connection)

    def _admit_next_client(self, now: float) -> AdmissionOutcome:
        """Decide on the client that waits to be accepted: evict a connection or pause accepting if needed."""
        decision = self._client_admission.decide(
            now, self.limits.max_connections, self.limits.max_over_limit_connections
        )
        if decision.victim is not None:
            self._evict(decision.victim)
        if decision.outcome is AdmissionOutcome.WAIT:
            self._listener.pause(decision.recheck_s)
        return decision.outcome

    def _free_descriptor(self, now: float) -> None:
        """Evict a connection, if possible, to free a file descriptor for a client that waits."""
        victim = self._client_admission.next_victim_for_descriptor(now)
        if victim is not None:
            self._evict(victim)
        self._listener.pause(now + NO_DESCRIPTOR_PAUSE_S)

    def _add(self, sock: socket.socket, now: float, over_limit: bool) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_received_s = now
        self.over_limit_accepted += over_limit
        connection = ClientConnection(sock, self._services, self.limits, now, over_limit)
        connection.rejects_calls = over_limit or self._shutdown.phase.value >= Phase.REJECTING.value
        try:
            self._poll.register(sock, EPOLL_READABLE)
        except OSError as error:
            self._warn("client connection could not be accepted", now, error=str(error))
            connection.close()
            return
        self._connections[sock.fileno()] = connection
        self._client_admission.add(connection)
        self.peak_connections = max(self.peak_connections, len(self._connections))

    def _evict(self, connection: ClientConnectionView) -> None:
        self.evicted += 1
        self._close(self._connections[connection.fileno()])

    def _close(self, connection: ClientConnection) -> None:
        descriptor = connection.fileno()
        self._connections.pop(descriptor, None)
        self._paused.remove(descriptor)
        self._client_admission.remove(connection)
        self._listener.end_pause()  # there may be capacity now
        with contextlib.suppress(OSError, ValueError):
            self._poll.unregister(descriptor)
        connection.close()

    def _warn(self, event: str, now: float, **fields: object) -> None:
        if now - self._last_warning_s >= WARNING_INTERVAL_S:
            self._last_warning_s = now
            self._log.warning(event, **fields)

    # ---- shutdown

    def _step_shutdown(self, now: float) -> Phase:
        shutdown = self._shutdown
        assert self._shutdown_limits is not None
        shutdown.begin(self._shutdown_limits, self._shutdown_asked_s)
        before = shutdown.phase
        phase = shutdown.step(now, self._activity())
        if before is Phase.DRAINING and phase is Phase.REJECTING:
            self._reject_calls()
            self._drained.set()
        elif before is Phase.REJECTING and phase is Phase.FLUSHING:
            self._read_final_requests(now)
        return phase

    def _activity(self) -> Activity:
        unanswered = any(not connection.idle for connection in self._connections.values())
        return Activity(self._last_received_s, unanswered, self._calls_finished)

    def _reject_calls(self) -> None:
        """Reject calls that are read from now on: the engine could stop before they end."""
        for connection in self._connections.values():
            connection.rejects_calls = True

    def _read_final_requests(self, now: float) -> None:
        """Accept and read everything that has arrived, so that it is rejected; then close the listener."""
        self.limits = replace(self.limits, max_connections=len(self._connections) + BACKLOG + 1)
        while self._accept(now, MAX_ACCEPTS_PER_PASS) == MAX_ACCEPTS_PER_PASS:
            pass
        self._listener.disable()
        self._listener.close()
        self._read_all_pending()

    def _read_all_pending(self) -> None:
        for descriptor, connection in list(self._connections.items()):
            for _ in range(MAX_FINAL_READS):
                if descriptor not in self._connections or not connection.has_input():
                    break
                self._on_event(descriptor)

    def _close_all(self) -> None:
        for descriptor, connection in list(self._connections.items()):
            if connection.has_input():
                self._on_event(descriptor)
            self._discard(descriptor)
        self._listener.close()
        self._poll.close()
        wake, self._wake_event = self._wake_event, -1
        os.close(wake)
        self._drained.set()
        self._closed.set()
