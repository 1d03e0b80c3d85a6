"""The acceptor of the lease protocol: it promises ballots and grants leases.

The module performs no I/O, reads no clock and starts no thread.

For each lease, an acceptor promises a ballot to at most one candidate. It promises only ballots greater than
all that it promised before, and promises none to a candidate while the grant of another candidate is valid.
It grants a lease only to the candidate that it promised the last ballot to.

Any two majorities share an acceptor. Two simultaneous holders would need that acceptor to grant to both,
which it never does. For the same reason, the ballot of a later holder is greater than that of an earlier one.
"""

from __future__ import annotations

from msgspec.structs import replace

from saffronstack.fleet.leases.errors import UnknownServerError
from saffronstack.fleet.leases.lease_table import LeaseEntry, LeaseTable, recency_key
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorRecord,
    AcceptorState,
    AcceptRequest,
    AcceptResponse,
    CatchUpRequest,
    CatchUpResponse,
    DiskState,
    Message,
    PrepareRequest,
    PrepareResponse,
    ReleaseNotification,
    ReleaseRequest,
    SendMessage,
)
from saffronstack.fleet.leases.recovery import Recovery, latest_expiry_s


class Acceptor:
    """One acceptor of a fleet. `handle` and `tick` return the actions to apply, in order."""

    def __init__(
        self,
        name: str,
        limits: LeaseLimits,
        disk_state: DiskState,
        state: AcceptorState,
        now: float,
        nonce: int,
    ) -> None:
        """Create an acceptor from the state that was loaded from disk.

        Args:
            name: The name of this server, one of ``limits.servers``.
            limits: The limits of the fleet.
            disk_state: Whether the loaded state can be trusted.
            state: The persisted state; empty if it was lost.
            now: The local clock's time, in seconds.
            nonce: Identifies this start of the server, so that responses to catch-up requests of an earlier
                start are ignored.

        Raises:
            UnknownServerError: The fleet has no server of this name.
        """
        if name not in limits.servers:
            raise UnknownServerError(f"server {name!r} is none of {', '.join(limits.servers)}")
        self.name = name
        self.limits = limits
        self.table = LeaseTable(name, limits, state, latest_expiry_s(limits, disk_state, now))
        self.recovery = Recovery(self.table, disk_state, now, nonce)

    def tick(self, now: float) -> list[AcceptorAction]:
        """Handle a timer."""
        return self.recovery.tick(now)

    def handle(self, now: float, sender: str, message: Message) -> list[AcceptorAction]:
        """Handle a message; ignore a message that names another sender than ``sender``."""
        match message:
            case PrepareRequest(candidate=candidate) if candidate == sender:
                return self._handle_prepare(now, message)
            case AcceptRequest(candidate=candidate) if candidate == sender:
                return self._handle_accept(now, message)
            case ReleaseRequest(candidate=candidate) if candidate == sender:
                return self._handle_release(now, message)
            case CatchUpRequest(server=server) if server == sender:
                return self.recovery.handle_request(message)
            case CatchUpResponse(server=server) if server == sender:
                return self.recovery.handle_response(now, message)
            case _:
                return []

    def can_vote(self, now: float) -> bool:
        """Return whether the acceptor may promise and grant now."""
        return self.recovery.can_vote(now)

    def records(self) -> list[AcceptorRecord]:
        """Return the records of all leases."""
        return list(self.table.records())

    def remaining_s(self, now: float, lease: str) -> float:
        """Return the seconds until this acceptor's grant of the lease expires; 0 if there is none."""
        return self.table.remaining_s(now, lease)

    def required_write(self, lease: str) -> int:
        """Return the number of the write that must be on disk before a response about the lease is sent."""
        return self.table.required_write(lease)

    def _handle_prepare(self, now: float, request: PrepareRequest) -> list[AcceptorAction]:
        self.recovery.detect_replacement(request.incarnations)
        if not self.can_vote(now) or not self.table.has_capacity_for(request.lease):
            return []
        entry = self.table.entry(request.lease)
        remaining_s = self.remaining_s(now, request.lease)
        is_free = remaining_s <= 0 or entry.record.holder == request.candidate
        if not is_free:
            entry.add_waiter(request.candidate, now, self.limits)
        is_repeated = _is_promised_to(entry.record, request)
        is_promised = is_free and (request.ballot > entry.record.promised_ballot or is_repeated)
        actions: list[AcceptorAction] = []
        if is_promised and not is_repeated:
            entry.record = replace(entry.record, promised_ballot=request.ballot, candidate=request.candidate)
            actions.append(self.table.persist(entry))
        response = self._prepare_response(request, entry.record, is_promised, remaining_s)
        return [*actions, SendMessage(request.candidate, response)]

    def _prepare_response(
        self, request: PrepareRequest, record: AcceptorRecord, is_promised: bool, remaining_s: float
    ) -> PrepareResponse:
        return PrepareResponse(
            request.lease,
            self.name,
            request.candidate,
            request.ballot,
            is_promised,
            highest_ballot=record.promised_ballot,
            remaining_s=remaining_s,
            holder=record.holder if remaining_s > 0 else "",
            value=record.value,
            last_write=self.table.last_write,
            incarnation=self.table.incarnation,
            incarnations=self.table.known_incarnations(),
        )

    def _handle_accept(self, now: float, request: AcceptRequest) -> list[AcceptorAction]:
        self.recovery.detect_replacement(request.incarnations)
        if not self.can_vote(now) or not self.table.has_capacity_for(request.lease):
            return []
        if not self._is_within_limits(request):
            return []
        entry = self.table.entry(request.lease)
        remaining_s = self.remaining_s(now, request.lease)
        is_free = remaining_s <= 0 or entry.record.holder == request.candidate
        is_accepted = (
            is_free
            and _is_promised_to(entry.record, request)
            and request.ballot > entry.record.released_ballot
        )
        actions = self._grant(now, entry, request) if is_accepted else []
        response = AcceptResponse(
            request.lease,
            self.name,
            request.candidate,
            request.ballot,
            request.sequence,
            is_accepted,
            highest_ballot=entry.record.promised_ballot,
            remaining_s=0.0 if is_accepted else remaining_s,
            incarnation=self.table.incarnation,
            incarnations=self.table.known_incarnations(),
        )
        return [*actions, SendMessage(request.candidate, response)]

    def _is_within_limits(self, request: AcceptRequest) -> bool:
        has_valid_duration = 0 < request.duration_s <= self.limits.max_lease_s
        return has_valid_duration and len(request.value.content) <= self.limits.max_value_bytes

    def _grant(self, now: float, entry: LeaseEntry, request: AcceptRequest) -> list[AcceptorAction]:
        """Grant or renew the lease. A renewal without a change of the persisted state needs no write."""
        entry.expires_s = max(entry.expires_s, now + self.limits.grant_duration_s(request.duration_s))
        entry.waiters.pop(request.candidate, None)
        previous = entry.record
        is_renewal = previous.accepted_ballot == request.ballot
        record = replace(
            previous,
            accepted_ballot=request.ballot,
            holder=request.candidate,
            duration_s=max(request.duration_s, previous.duration_s if is_renewal else 0.0),
            value=max(previous.value, request.value, key=recency_key),
        )
        observed_writes = self.table.merged_observed_writes(request.observed_writes)
        if record == previous and observed_writes == self.table.observed_writes:
            return []
        entry.record, self.table.observed_writes = record, observed_writes
        return [self.table.persist(entry)]

    def _handle_release(self, now: float, request: ReleaseRequest) -> list[AcceptorAction]:
        entry = self.table.leases.get(request.lease)
        if entry is None or request.ballot <= entry.record.released_ballot:
            return []
        if not _is_promised_to(entry.record, request):
            return []
        entry.expires_s = 0.0  # a delayed accept request is rejected by the released ballot
        entry.record = replace(entry.record, holder="", released_ballot=request.ballot)
        waiter = entry.pop_waiter(now, self.limits)
        persist = self.table.persist(entry)
        if waiter is None:
            return [persist]
        notification = ReleaseNotification(request.lease, self.name, waiter)
        return [persist, SendMessage(waiter, notification)]


def _is_promised_to(record: AcceptorRecord, request: PrepareRequest | AcceptRequest | ReleaseRequest) -> bool:
    """Return whether the last promise was for the ballot and the candidate of the request."""
    return (record.promised_ballot, record.candidate) == (request.ballot, request.candidate)
