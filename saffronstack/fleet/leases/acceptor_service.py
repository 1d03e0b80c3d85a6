"""Runs an acceptor with its disk and clock. Responses wait until the state they depend on is on disk."""

from __future__ import annotations

import threading
from collections.abc import Callable

import structlog

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.disk import AcceptorDisk
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.mailboxes import Mailboxes
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorState,
    CatchUpRequest,
    CatchUpResponse,
    Message,
    PersistState,
    SendMessage,
    SetTimer,
)
from saffronstack.fleet.leases.reports import AcceptorStatus, LeaseReport
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.keeper")
WRITE_RETRY_DELAY_S = 0.5
MAX_SLEEP_S = 1.0  # longest wait of an idle thread
MIN_SLEEP_S = 0.01
MAX_PENDING_REQUESTS = 1024  # requests that may wait for the disk at the same time
STOP_TIMEOUT_S = 2.0  # how long a stop waits for a write in progress


class AcceptorService:
    """Owns the acceptor, the thread that writes its state and the thread that runs its timers.

    The lock guards the acceptor and all fields. It is never held during I/O.
    """

    def __init__(
        self,
        name: str,
        limits: LeaseLimits,
        disk: AcceptorDisk,
        nonce: int,
        clock: Callable[[], float],
        send: Callable[[str, Message], None],
    ) -> None:
        """Load the state from the disk.

        Args:
            name: The name of this server.
            limits: The limits of the fleet.
            disk: The state directory.
            nonce: Identifies this start of the server.
            clock: The monotonic clock, in seconds.
            send: Sends a message to another server; must not block.

        Raises:
            ForeignStateError: The state belongs to another server or fleet.
            OSError: The directory can't be read.
        """
        self._clock = clock
        self._disk = disk
        self._send = send
        loaded = disk.load()
        for warning in loaded.warnings:
            log.warning("lease state file unreadable", error=warning)
        self._acceptor = Acceptor(name, limits, loaded.disk_state, loaded.state, clock(), nonce)
        self._lock = threading.Condition()
        self._unsaved_state: AcceptorState | None = None
        self._persisted_write = loaded.state.last_write
        self._pending_requests = 0
        self.mailboxes = Mailboxes()
        self._timer_s: float | None = None
        self._has_ended_polls = False
        self._is_stopping = False
        self._disk_error = ""  # error of the last write; empty if it succeeded
        self._writer: threading.Thread | None = None

    def start(self) -> None:
        """Start the writer and the timer thread."""
        self._writer = start_thread("acceptor-disk", self._write_states)
        start_thread("acceptor-timer", self._run_timers)

    def end_polls(self) -> None:
        """Respond at once to all current and future long polls; other requests are still served."""
        with self._lock:
            self._has_ended_polls = True
            self._lock.notify_all()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Stop responding and wait for a write in progress, so that another server can use the directory.

        If the write takes longer than ``timeout_s``, logs an error and returns without waiting further.
        """
        with self._lock:
            self._is_stopping = self._has_ended_polls = True
            self._lock.notify_all()
        if self._writer is None:
            return
        self._writer.join(timeout_s)
        if self._writer.is_alive():
            log.error("lease server stopped during a state write", timeout_s=timeout_s)

    # ---- requests

    def handle_request(self, sender: str, messages: tuple[Message, ...], timeout_s: float) -> list[Message]:
        """Handle the messages of one request and return the responses to its sender.

        Returns no response if the disk does not persist the state within ``timeout_s``: an acceptor with a
        stalled disk must not promise or grant what a restart would lose.
        """
        with self._lock:
            if self._is_stopping or self._pending_requests >= MAX_PENDING_REQUESTS:
                return []
            responses, notifications = self._decide(sender, messages)
            if not self._wait_until_persisted(messages, timeout_s):
                return []
        for notification in notifications:
            self._notify(notification)
        return responses

    def _decide(self, sender: str, messages: tuple[Message, ...]) -> tuple[list[Message], list[SendMessage]]:
        """Return the responses to the sender and the messages to others; the caller holds the lock."""
        responses: list[Message] = []
        notifications: list[SendMessage] = []
        now = self._clock()
        for message in messages:
            message_sender = _resolve_sender(sender, message)
            for action in self._acceptor.handle(now, message_sender, message):
                match action:
                    case SendMessage(receiver=receiver) if receiver == message_sender:
                        responses.append(action.message)
                    case SendMessage():
                        notifications.append(action)
                    case _:
                        self._apply(action)
        return responses, notifications

    def _wait_until_persisted(self, messages: tuple[Message, ...], timeout_s: float) -> bool:
        """Wait until the writes that the responses depend on are on disk; the caller holds the lock.

        A message that changes nothing may still depend on a pending write that an earlier request caused.
        """
        write = max((self._acceptor.required_write(_lease_of(message)) for message in messages), default=0)
        self._pending_requests += 1
        try:
            self._lock.wait_for(lambda: self._persisted_write >= write or self._is_stopping, timeout_s)
        finally:
            self._pending_requests -= 1
        return self._persisted_write >= write

    def poll(self, sender: str, timeout_s: float) -> list[Message]:
        """Return the notifications for a process; wait up to ``timeout_s`` for the first one."""
        with self._lock:
            mailbox = self.mailboxes.open(sender)
            if mailbox is None:
                return []
            try:
                self._lock.wait_for(lambda: bool(mailbox.messages) or self._has_ended_polls, timeout_s)
                return mailbox.take_messages()
            finally:
                mailbox.end_poll(self._clock())

    def _notify(self, notification: SendMessage) -> None:
        """Deliver a notification.

        A process that polls, or polled recently, gets it in its mailbox; other receivers over a server link.
        """
        with self._lock:
            if self.mailboxes.put(notification, self._clock()):
                self._lock.notify_all()
                return
        self._send(notification.receiver, notification.message)

    def handle_responses(self, server: str, messages: tuple[Message, ...]) -> None:
        """Handle the responses of another server; does not block."""
        with self._lock:
            if self._is_stopping:
                return
            now = self._clock()
            for message in messages:
                for action in self._acceptor.handle(now, server, message):
                    if isinstance(action, PersistState):
                        self._unsaved_state = action.state
            self._lock.notify_all()

    # ---- pages

    def lease_reports(self) -> list[LeaseReport]:
        """Return this acceptor's view of each lease."""
        with self._lock:
            now = self._clock()
            return [
                LeaseReport(
                    record.lease,
                    record.holder,
                    record.accepted_ballot,
                    round(self._acceptor.remaining_s(now, record.lease), 3),
                    record.value,
                )
                for record in self._acceptor.records()
            ]

    def status(self) -> AcceptorStatus:
        """Return the state of the acceptor and its disk."""
        with self._lock:
            now, acceptor = self._clock(), self._acceptor
            recovery, table = acceptor.recovery, acceptor.table
            return AcceptorStatus(
                server=acceptor.name,
                can_vote=acceptor.can_vote(now),
                disk_state=recovery.disk_state.value,
                incarnation=table.incarnation,
                has_recovered=recovery.has_recovered,
                votes_in_s=round(max(0.0, recovery.votes_from_s - now), 3),
                leases=len(table.leases),
                last_write=table.last_write,
                persisted_write=self._persisted_write,
                disk_error=self._disk_error,
            )

    # ---- threads

    def _apply(self, action: AcceptorAction) -> None:
        """Pass a state to the writer thread or a deadline to the timer thread; the caller holds the lock."""
        match action:
            case PersistState(state=state):
                self._unsaved_state = state
            case SetTimer(deadline_s=deadline_s):
                self._timer_s = deadline_s if self._timer_s is None else min(self._timer_s, deadline_s)
        self._lock.notify_all()

    def _run_timers(self) -> None:
        """Tick the acceptor; it sends catch-up requests to the other servers until it has recovered."""
        while True:
            with self._lock:
                if self._is_stopping:
                    return
                requests = self._tick()
                if not requests:
                    self._lock.wait(self._sleep_s())
            for request in requests:
                self._send(request.receiver, request.message)

    def _tick(self) -> list[SendMessage]:
        """Tick the acceptor and return the requests to send; the caller holds the lock."""
        self._timer_s = None
        # An incarnation must be on disk before other servers learn of it. Otherwise, after a crash, this
        # server would attribute it to another machine that replaced it.
        is_persisted = self._persisted_write >= self._acceptor.table.last_write
        requests: list[SendMessage] = []
        for action in self._acceptor.tick(self._clock()):
            match action:
                case SendMessage():
                    if is_persisted:
                        requests.append(action)
                case SetTimer():
                    self._apply(action)
                case PersistState():
                    pass  # the timer completed the recovery; the next change writes this state
        return requests

    def _sleep_s(self) -> float:
        if self._timer_s is None:
            return MAX_SLEEP_S
        return min(MAX_SLEEP_S, max(MIN_SLEEP_S, self._timer_s - self._clock()))

    def _write_states(self) -> None:
        """Write the newest state in a loop; skip states that a newer one replaced while the disk was busy."""
        while True:
            with self._lock:
                self._lock.wait_for(lambda: self._unsaved_state is not None or self._is_stopping, MAX_SLEEP_S)
                if self._is_stopping:
                    return
                state, self._unsaved_state = self._unsaved_state, None
            if state is not None:
                self._write(state)

    def _write(self, state: AcceptorState) -> None:
        try:
            self._disk.save(state)
        except OSError as error:
            log.error("lease state write failed", error=str(error))
            with self._lock:
                self._disk_error = str(error)
                self._unsaved_state = self._unsaved_state or state
                self._lock.wait_for(lambda: self._is_stopping, WRITE_RETRY_DELAY_S)
            return
        with self._lock:
            self._disk_error = ""
            self._persisted_write = max(self._persisted_write, state.last_write)
            self._lock.notify_all()


def _lease_of(message: Message) -> str:
    return "" if isinstance(message, CatchUpRequest | CatchUpResponse) else message.lease


def _resolve_sender(sender: str, message: Message) -> str:
    """Return the sender that a message is attributed to.

    A process sends for all its candidates. Their names begin with the name of the process and a dot.
    """
    if isinstance(message, CatchUpRequest | CatchUpResponse):
        return sender
    return message.candidate if message.candidate.startswith(f"{sender}.") else sender
