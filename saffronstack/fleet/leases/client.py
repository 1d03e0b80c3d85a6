"""The lease client of a process: its candidates, its links to the lease servers, and a timer thread."""

from __future__ import annotations

import heapq
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saffronstack.fleet.leases.candidate import (
    Candidate,
    CandidateAction,
    LeaseAcquired,
    LeaseLost,
    ValueStored,
)
from saffronstack.fleet.leases.errors import LeaseAlreadyRequestedError
from saffronstack.fleet.leases.limits import LeaseFleet, LeaseLimits
from saffronstack.fleet.leases.messages import CatchUpRequest, CatchUpResponse, Message, SendMessage, SetTimer
from saffronstack.fleet.leases.server_link import LeaseServerLink
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.leases")
MAX_SLEEP_S = 0.5  # longest wait of the timer thread
MIN_SLEEP_S = 0.001
FLUSH_TIMEOUT_S = 0.5  # longest wait of `close` until the release requests are sent
MIN_FLUSH_TIMEOUT_S = 0.01

CandidateFactory = Callable[[str, str, float, LeaseLimits, int], Candidate]


def holder_clock() -> float:
    """Return a time in seconds that also advances while the machine is suspended.

    A holder must find its lease expired after a suspension. Servers use CLOCK_MONOTONIC, which stops during a
    suspension: they grant the lease to another candidate later, which is safe.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _ClientLease:
    """A lease that this process acquired; implements `store.HeldLease`."""

    def __init__(self, client: LeaseClient, lease: str, token: int, value: bytes) -> None:
        self._client = client
        self.lease, self.token, self.value = lease, token, value

    def remaining_s(self) -> float:
        """See `store.HeldLease`."""
        return self._client.remaining_s(self)

    def put(self, content: bytes, timeout_s: float) -> bool:
        """See `store.HeldLease`."""
        return self._client.put(self, content, timeout_s)

    def release(self) -> None:
        """See `store.HeldLease`."""
        self._client.release(self)


class _RequestedLease:
    """A lease that this process waits for or holds."""

    def __init__(self, candidate: Candidate, on_lost: Callable[[str], None] | None) -> None:
        self.candidate = candidate
        self.on_lost = on_lost
        self.held: _ClientLease | None = None
        self.stored_version = 0  # version of the newest value that a majority has persisted
        self.has_ended = False


@dataclass(frozen=True, slots=True, order=True)
class _Timer:
    """The next time to tick a lease's candidate. Timers with the same deadline sort by serial number."""

    deadline_s: float
    serial: int
    lease: str


class LeaseClient:
    """Acquires and holds leases of the fleet's lease servers for one process; implements `store.LeaseStore`.

    The lock guards the candidates and all fields. It is never held during I/O.
    """

    def __init__(
        self,
        fleet: LeaseFleet,
        process: str,
        lease_s: float,
        seed: int,
        clock: Callable[[], float] = holder_clock,
        make_candidate: CandidateFactory = Candidate,
    ) -> None:
        """Start the links to the servers and the timer thread.

        Args:
            fleet: The lease servers, their limits and the timeout of an exchange.
            process: The name of this process. No earlier process may have used it.
            lease_s: Duration of each grant, in seconds.
            seed: Seeds the jitter of backoffs.
            clock: The clock that times held leases, in seconds.
            make_candidate: Creates the candidate of each lease.
        """
        self._make_candidate = make_candidate
        self._process, self._limits, self._lease_s, self._seed = process, fleet.limits, lease_s, seed
        self._clock = clock
        self._lock = threading.Condition()
        self._requested_leases: dict[str, _RequestedLease] = {}
        self._timers: list[_Timer] = []  # a heap
        self._serial = 0
        self._lost_callbacks: list[tuple[Callable[[str], None], str]] = []
        self._rejects_acquires = False
        self._is_stopping = False
        self._links = {
            server: LeaseServerLink(
                server, fleet, process, self._handle_messages, time.monotonic, seed * 31 + number
            )
            for number, server in enumerate(sorted(fleet.addresses))
        }
        for link in self._links.values():
            link.start()
        start_thread("lease-timer", self._run_timers)

    # ---- requests of the owner

    def acquire(
        self, lease: str, timeout_s: float, on_lost: Callable[[str], None] | None = None
    ) -> _ClientLease | None:
        """See `store.LeaseStore`.

        Raises:
            LeaseAlreadyRequestedError: This process already waits for the lease or holds it.
        """
        with self._lock:
            if self._rejects_acquires:
                return None
            if lease in self._requested_leases:
                raise LeaseAlreadyRequestedError(f"lease {lease!r} is wanted by this process already")
            requested = self._requested_leases[lease] = _RequestedLease(self._new_candidate(lease), on_lost)
            self._apply(lease, requested.candidate.acquire(self._clock()))
            self._lock.wait_for(lambda: requested.held is not None or self._rejects_acquires, timeout_s)
            if requested.held is None:
                self._remove_and_release(lease)
            return requested.held

    def _new_candidate(self, lease: str) -> Candidate:
        """Create a candidate with a unique name, because a ballot is promised to a candidate by name."""
        self._serial += 1
        name = f"{self._process}.{self._serial}"
        return self._make_candidate(name, lease, self._lease_s, self._limits, self._seed + self._serial)

    def remaining_s(self, held: _ClientLease) -> float:
        """Return the seconds until a lease expires; 0 if it is not held."""
        with self._lock:
            requested = self._requested_leases.get(held.lease)
            if requested is None or requested.held is not held:
                return 0.0
            now = self._clock()
            return requested.candidate.expires_s - now if requested.candidate.is_holder(now) else 0.0

    def put(self, held: _ClientLease, content: bytes, timeout_s: float) -> bool:
        """Store the value of a lease; see `store.HeldLease.put`."""
        with self._lock:
            requested = self._requested_leases.get(held.lease)
            now = self._clock()
            if requested is None or requested.held is not held or not requested.candidate.is_holder(now):
                return False
            self._apply(held.lease, requested.candidate.store_value(now, content))
            version = requested.candidate.value.version
            self._lock.wait_for(
                lambda: requested.stored_version >= version or requested.has_ended or self._is_stopping,
                timeout_s,
            )
            if requested.stored_version < version:
                return False
            held.value = content
            return True

    def release(self, held: _ClientLease) -> None:
        """Release a lease; see `store.HeldLease.release`."""
        with self._lock:
            requested = self._requested_leases.get(held.lease)
            if requested is not None and requested.held is held:
                self._remove_and_release(held.lease)

    def cancel_acquires(self) -> None:
        """See `store.LeaseStore`."""
        with self._lock:
            self._rejects_acquires = True
            self._lock.notify_all()

    def close(self) -> None:
        """Release all leases; wait at most `FLUSH_TIMEOUT_S` until the release requests are sent."""
        with self._lock:
            for lease in list(self._requested_leases):
                self._remove_and_release(lease)
        deadline_s = time.monotonic() + FLUSH_TIMEOUT_S
        for link in self._links.values():
            link.stop(max(MIN_FLUSH_TIMEOUT_S, deadline_s - time.monotonic()))
        with self._lock:
            self._is_stopping = self._rejects_acquires = True
            self._lock.notify_all()

    def link_errors(self) -> dict[str, str]:
        """Return the error of the last exchange with each server; empty if the exchange succeeded."""
        return {server: link.last_error for server, link in self._links.items()}

    def holder_of(self, lease: str) -> str:
        """Return the holder of a lease that this process waits for, according to the last response.

        Empty if it is unknown or this process does not wait for the lease.
        """
        with self._lock:
            requested = self._requested_leases.get(lease)
            return requested.candidate.holder if requested is not None else ""

    # ---- actions of candidates; callers hold the lock

    def _remove_and_release(self, lease: str) -> None:
        requested = self._requested_leases.pop(lease)
        requested.has_ended = True
        self._apply(lease, requested.candidate.release(self._clock()))
        self._lock.notify_all()

    def _apply(self, lease: str, actions: list[CandidateAction]) -> None:
        requested = self._requested_leases.get(lease)
        for action in actions:
            match action:
                case SendMessage(receiver=server, message=message):
                    self._links[server].send(message)
                case SetTimer(deadline_s=deadline_s):
                    self._serial += 1
                    heapq.heappush(self._timers, _Timer(deadline_s, self._serial, lease))
                    self._lock.notify_all()
                case _:
                    if requested is not None:
                        self._handle_candidate_report(lease, requested, action)

    def _handle_candidate_report(
        self, lease: str, requested: _RequestedLease, action: CandidateAction
    ) -> None:
        """Record a candidate's report and wake the threads that wait for it."""
        match action:
            case LeaseAcquired(token=token, value=value):
                if requested.held is None:
                    requested.held = _ClientLease(self, lease, token, value.content)
                    self._lock.notify_all()
            case ValueStored(value=value):
                requested.stored_version = max(requested.stored_version, value.version)
                self._lock.notify_all()
            case LeaseLost():
                self._handle_lease_lost(lease, requested, action)

    def _handle_lease_lost(self, lease: str, requested: _RequestedLease, lost: LeaseLost) -> None:
        """End a lost lease for its owner, which must acquire it again, with a new token."""
        if requested.held is None or requested.has_ended:
            return
        log.warning("lease lost", lease=lease, token=lost.token, reason=lost.reason)
        if self._requested_leases.get(lease) is requested:
            self._remove_and_release(lease)
        if requested.on_lost is not None:
            self._lost_callbacks.append((requested.on_lost, lost.reason))

    def _update_polling(self) -> None:
        """Poll the servers while a candidate waits; they notify the first waiter of a release."""
        is_waiting = any(requested.candidate.is_waiting for requested in self._requested_leases.values())
        for link in self._links.values():
            link.set_polling(is_waiting)

    # ---- threads

    def _handle_messages(self, server: str, messages: tuple[Message, ...]) -> None:
        """Handle a server's messages; runs on the threads of the server's link."""
        with self._lock:
            now = self._clock()
            for message in messages:
                if isinstance(message, CatchUpRequest | CatchUpResponse):
                    continue  # sent only between servers
                requested = self._requested_leases.get(message.lease)
                if requested is not None:
                    self._apply(message.lease, requested.candidate.handle(now, server, message))
            self._update_polling()
            self._lock.notify_all()

    def _run_timers(self) -> None:
        while True:
            with self._lock:
                if self._is_stopping and not self._lost_callbacks:
                    return
                now = self._clock()
                self._tick(now)
                self._update_polling()
                callbacks, self._lost_callbacks = self._lost_callbacks, []
                if not callbacks:
                    self._lock.wait(self._sleep_s(now))
            for on_lost, reason in callbacks:
                try:
                    on_lost(reason)
                except Exception:
                    log.exception("lease lost callback failed")

    def _tick(self, now: float) -> None:
        while self._timers and self._timers[0].deadline_s <= now:
            lease = heapq.heappop(self._timers).lease
            requested = self._requested_leases.get(lease)
            if requested is not None:
                self._apply(lease, requested.candidate.tick(now))

    def _sleep_s(self, now: float) -> float:
        if not self._timers:
            return MAX_SLEEP_S
        return min(MAX_SLEEP_S, max(MIN_SLEEP_S, self._timers[0].deadline_s - now))
