"""The candidate (proposer) of the lease protocol: acquires, renews and releases one lease. Performs no I/O.

A candidate counts the lease duration from before it sends the accept requests. Acceptors count it from when
they receive them, so the lease expires at the candidate first.

A process may be paused between a check of the clock and the action that the check protects. The check alone
is therefore not enough: the protected resource must compare the fencing token.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from saffronstack.fleet.leases.errors import InvalidLeaseDurationError, NotHolderError
from saffronstack.fleet.leases.lease_table import recency_key
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptRequest,
    AcceptResponse,
    Incarnations,
    LeaseValue,
    Message,
    ObservedWrites,
    PrepareRequest,
    PrepareResponse,
    ReleaseNotification,
    ReleaseRequest,
    SendMessage,
    SetTimer,
)

ROUND_TIMEOUT_S = 1.0  # for a round without a majority; at most RENEWAL_FRACTION of the lease
RENEWAL_FRACTION = 1 / 3  # a lease is renewed after this fraction of its duration
INITIAL_BACKOFF_S = 0.05  # doubles up to RENEWAL_FRACTION of the lease; jittered


class CandidateState(Enum):
    """The protocol phase of a candidate."""

    IDLE = "idle"
    PREPARING = "preparing"  # waits for a majority to promise the ballot
    ACQUIRING = "acquiring"  # waits for a majority to accept
    HOLDING = "holding"
    BACKING_OFF = "backing off"  # waits before it prepares again


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The candidate holds the lease with this token until ``expires_s`` (local clock), unless renewed."""

    token: int
    expires_s: float
    value: LeaseValue


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The lease was renewed and expires at ``expires_s`` (local clock)."""

    token: int
    expires_s: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The candidate no longer holds the lease; ``reason`` is for the log."""

    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class ValueStored:
    """A majority has persisted a value."""

    value: LeaseValue


CandidateAction = SendMessage | SetTimer | LeaseAcquired | LeaseRenewed | LeaseLost | ValueStored


class Candidate:
    """A candidate for one lease. Each method that handles an event returns the actions to apply, in order."""

    def __init__(self, name: str, lease: str, lease_s: float, limits: LeaseLimits, seed: int) -> None:
        """Create an idle candidate.

        Args:
            name: A name that no other candidate ever used, including candidates before a process restart.
            lease: The lease's name.
            lease_s: Duration of each grant, in seconds.
            limits: The limits of the fleet.
            seed: Seeds the jitter of the backoff.

        Raises:
            InvalidLeaseDurationError: No server grants a lease of this duration.
        """
        if not 0 < lease_s <= limits.max_lease_s:
            raise InvalidLeaseDurationError(
                f"lease duration {lease_s:g} s exceeds the limit: at most {limits.max_lease_s:g} s"
            )
        self.name, self.lease, self.lease_s, self.limits = name, lease, lease_s, limits
        self.state = CandidateState.IDLE
        self.token = 0
        self.expires_s = 0.0
        self.value = LeaseValue()
        self.holder = ""  # the candidate that holds the lease according to the last response
        self._is_requested = False
        self._random = random.Random(seed)
        self._ballot = 0
        self._highest_ballot = 0
        self._sequence = 0
        self._round_started_s = 0.0
        self._deadline_s = 0.0  # when a round times out, a renewal is due, or a backoff ends
        self._backoff_s = INITIAL_BACKOFF_S
        self._approvals: dict[str, PrepareResponse | AcceptResponse] = {}  # of this round
        self._rejections: dict[str, PrepareResponse | AcceptResponse] = {}
        self._incarnations: dict[str, int] = {}  # the greatest that any server reported, by server
        self._pending_value: LeaseValue | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether the candidate waits for another holder to release the lease, or to retry."""
        return self.state is CandidateState.BACKING_OFF

    # ---- requests of the owner

    def acquire(self, now: float) -> list[CandidateAction]:
        """Start to acquire the lease; once acquired, it is renewed until `release`."""
        self._is_requested = True
        return self._prepare(now) if self.state is CandidateState.IDLE else []

    def is_holder(self, now: float) -> bool:
        """Return whether the candidate holds the lease at ``now``."""
        return self.state is CandidateState.HOLDING and now < self.expires_s

    def store_value(self, now: float, content: bytes) -> list[CandidateAction]:
        """Store the lease's value; `ValueStored` is returned once a majority has persisted it.

        Raises:
            NotHolderError: The candidate does not hold the lease.
        """
        if not self.is_holder(now):
            raise NotHolderError("only a holder can store a lease's value")
        self._pending_value = self.value = LeaseValue(self.token, self.value.version + 1, content)
        return self._renew(now)

    def release(self, now: float) -> list[CandidateAction]:
        """Release the lease, so that the next candidate does not have to wait until it expires."""
        was_holder, ballot = self.is_holder(now), self._ballot
        self._is_requested, self.state, self.expires_s = False, CandidateState.IDLE, 0.0
        actions: list[CandidateAction] = [*self._broadcast(ReleaseRequest(self.lease, self.name, ballot))]
        return [*actions, LeaseLost(self.token, "released")] if was_holder else actions

    # ---- events

    def tick(self, now: float) -> list[CandidateAction]:
        """Handle a timer."""
        if self.state is CandidateState.HOLDING:
            if now >= self.expires_s:
                return self._lose_lease(now, "no majority renewed the lease in time")
            return self._renew(now) if now >= self._deadline_s else []
        if self.state is CandidateState.IDLE or now < self._deadline_s:
            return []
        if self.state is CandidateState.BACKING_OFF:
            return self._prepare(now)
        return self._back_off(now)

    def handle(self, now: float, sender: str, message: Message) -> list[CandidateAction]:
        """Handle a server's message; ignore late messages, and messages for another candidate or round."""
        if self.state is CandidateState.HOLDING and now >= self.expires_s:
            return self._lose_lease(now, "no majority renewed the lease in time")
        match message:
            case PrepareResponse() | AcceptResponse() | ReleaseNotification():
                if message.server != sender or not self._is_for_this_candidate(message):
                    return []
            case _:
                return []
        if isinstance(message, ReleaseNotification):
            return self._prepare(now) if self.state is CandidateState.BACKING_OFF else []
        self._highest_ballot = max(self._highest_ballot, message.highest_ballot)
        self._observe_incarnations(message)
        if isinstance(message, PrepareResponse):
            return self._handle_prepare_response(now, message)
        return self._handle_accept_response(now, message)

    def _is_for_this_candidate(self, message: PrepareResponse | AcceptResponse | ReleaseNotification) -> bool:
        is_own = (message.lease, message.candidate) == (self.lease, self.name)
        return is_own and message.server in self.limits.servers

    def _observe_incarnations(self, response: PrepareResponse | AcceptResponse) -> None:
        for server, incarnation in ((response.server, response.incarnation), *response.incarnations):
            if server in self.limits.servers and incarnation > self._incarnations.get(server, 0):
                self._incarnations[server] = incarnation

    # ---- rounds

    def _start_round(self, now: float) -> None:
        """Start a round.

        Only responses to this round count. The duration of a grant is counted from ``now``.
        """
        self._sequence += 1
        self._approvals, self._rejections = {}, {}
        self._round_started_s = now
        self._deadline_s = now + min(ROUND_TIMEOUT_S, self.lease_s * RENEWAL_FRACTION)

    def _prepare(self, now: float) -> list[CandidateAction]:
        self.state = CandidateState.PREPARING
        self._ballot = self._highest_ballot = self._highest_ballot + 1
        self._start_round(now)
        request = PrepareRequest(self.lease, self.name, self._ballot, self._known_incarnations())
        return [*self._broadcast(request), SetTimer(self._deadline_s)]

    def _handle_prepare_response(self, now: float, response: PrepareResponse) -> list[CandidateAction]:
        if self.state is not CandidateState.PREPARING or response.ballot != self._ballot:
            return []
        (self._approvals if response.is_promised else self._rejections)[response.server] = response
        self.holder = response.holder or self.holder
        if self._is_rejected():
            return self._back_off(now)
        promises = [approval for approval in self._valid_approvals() if isinstance(approval, PrepareResponse)]
        if len(promises) < self.limits.majority:
            return []
        self.value = max((promise.value for promise in promises), key=recency_key)
        self.state = CandidateState.ACQUIRING
        self._start_round(now)
        observed_writes = tuple((promise.server, promise.last_write) for promise in promises)
        return [*self._broadcast(self._accept_request(observed_writes)), SetTimer(self._deadline_s)]

    def _handle_accept_response(self, now: float, response: AcceptResponse) -> list[CandidateAction]:
        if not self._is_for_current_round(response):
            return []
        (self._approvals if response.is_accepted else self._rejections)[response.server] = response
        if self.state is CandidateState.ACQUIRING and self._is_rejected():
            return self._back_off(now)
        if len(self._valid_approvals()) != self.limits.majority or not response.is_accepted:
            return []
        expires_s = self._round_started_s + self.lease_s * (1 - self.limits.max_clock_drift)
        if now < expires_s:
            return self._extend_lease(expires_s)
        # The responses arrived after the lease would have expired.
        if self.state is CandidateState.HOLDING:
            return self._lose_lease(now, "the renewal was granted after the lease had expired")
        return self._back_off(now)

    def _is_for_current_round(self, response: AcceptResponse) -> bool:
        is_same_round = (response.ballot, response.sequence) == (self._ballot, self._sequence)
        return is_same_round and self.state in (CandidateState.ACQUIRING, CandidateState.HOLDING)

    def _extend_lease(self, expires_s: float) -> list[CandidateAction]:
        """Set the new expiry after a majority accepted, and report the lease as acquired or renewed."""
        is_acquired = self.state is CandidateState.ACQUIRING
        self.state, self.token = CandidateState.HOLDING, self._ballot
        self.expires_s = expires_s if is_acquired else max(self.expires_s, expires_s)
        self._deadline_s = self._round_started_s + RENEWAL_FRACTION * self.lease_s
        self._backoff_s = INITIAL_BACKOFF_S
        actions: list[CandidateAction] = []
        if is_acquired:
            actions.append(LeaseAcquired(self.token, self.expires_s, self.value))
        else:
            actions.append(LeaseRenewed(self.token, self.expires_s))
        if self._pending_value is not None:
            actions.append(ValueStored(self._pending_value))
            self._pending_value = None
        return [*actions, SetTimer(min(self._deadline_s, self.expires_s))]

    def _is_rejected(self) -> bool:
        """Return whether so many servers rejected the round that a majority can no longer approve it."""
        return len(self._rejections) > len(self.limits.servers) - self.limits.majority

    def _valid_approvals(self) -> list[PrepareResponse | AcceptResponse]:
        """Return the approvals of servers that are not known to have been replaced.

        A machine that was considered dead and was replaced under its name may resume. A candidate that still
        has its address would otherwise count its vote in addition to that of its successor.
        """
        return [
            response
            for response in self._approvals.values()
            if response.incarnation >= self._incarnations.get(response.server, 0)
        ]

    def _known_incarnations(self) -> Incarnations:
        return tuple(sorted(self._incarnations.items()))

    def _accept_request(self, observed_writes: ObservedWrites = ()) -> AcceptRequest:
        return AcceptRequest(
            self.lease,
            self.name,
            self._ballot,
            self._sequence,
            self.lease_s,
            self.value,
            observed_writes,
            self._known_incarnations(),
        )

    def _renew(self, now: float) -> list[CandidateAction]:
        self._start_round(now)
        timer = SetTimer(min(self._deadline_s, self.expires_s))
        return [*self._broadcast(self._accept_request()), timer]

    def _back_off(self, now: float) -> list[CandidateAction]:
        """Wait until another holder's grant may have expired, plus a jittered backoff.

        The jitter keeps two candidates from preparing at the same time again and again.
        """
        remaining_s = [
            rejection.remaining_s for rejection in self._rejections.values() if rejection.remaining_s > 0
        ]
        jittered_s = self._backoff_s * (0.5 + self._random.random())
        self._backoff_s = min(2 * self._backoff_s, max(INITIAL_BACKOFF_S, self.lease_s * RENEWAL_FRACTION))
        actions: list[CandidateAction] = []
        if self.state is CandidateState.ACQUIRING:  # frees grants before they expire
            actions = [*self._broadcast(ReleaseRequest(self.lease, self.name, self._ballot))]
        self.state = CandidateState.BACKING_OFF
        # Servers drop a waiter that sends no prepare request for the longest lease, so the wait is capped.
        wait_s = min(min(remaining_s, default=0.0), self.lease_s * RENEWAL_FRACTION)
        self._deadline_s = now + wait_s + jittered_s
        return [*actions, SetTimer(self._deadline_s)]

    def _lose_lease(self, now: float, reason: str) -> list[CandidateAction]:
        token, self.expires_s = self.token, 0.0
        self._pending_value = None
        self.state = CandidateState.IDLE
        actions: list[CandidateAction] = [LeaseLost(token, reason)]
        return [*actions, *self._prepare(now)] if self._is_requested else actions

    def _broadcast(self, message: PrepareRequest | AcceptRequest | ReleaseRequest) -> list[SendMessage]:
        return [SendMessage(server, message) for server in self.limits.servers]
