"""Recovery of a restarted acceptor: it verifies or rebuilds its state by catching up from other servers.

After a restart, an acceptor must not vote until its state is verified or rebuilt. It first waits until all
grants of its earlier run have expired. It then sends catch-up requests to all other servers:

* The state on an *intact* disk is trusted if no other server has observed a later write of this server. The
  servers of the last majority that this server was part of detect a disk that silently lost a write or was
  rolled back.
* A *lost* state (damaged, missing or rolled back) is rebuilt from the records of other servers that form a
  majority of all servers. Each majority that this server was part of shares a member with them.
* An acceptor with a lost state may run on a new machine that replaces one that is only paused. It therefore
  takes the next *incarnation* of its name, and votes only after a majority, not counting itself, has
  persisted that incarnation. The old machine learns of it from any majority and never votes again
  (*replaced*).

The module performs no I/O, reads no clock and starts no thread.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from saffronstack.fleet.leases.lease_table import LeaseEntry, LeaseTable, recency_key
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorRecord,
    CatchUpRequest,
    CatchUpResponse,
    DiskState,
    Incarnations,
    SendMessage,
    SetTimer,
)

REQUEST_INTERVAL_S = 0.5  # between catch-up requests to a server that has not responded
RESPONSE_TIMEOUT_S = 2.0  # longest wait for all servers; then a majority with this one is enough


def latest_expiry_s(limits: LeaseLimits, disk_state: DiskState, now: float) -> float:
    """Return the latest time (local clock) at which grants of an earlier run can expire.

    A grant may have been renewed just before the earlier run ended.
    """
    return 0.0 if disk_state is DiskState.NEW else now + limits.grant_duration_s(limits.max_lease_s)


class Recovery:
    """The recovery of one acceptor; decides whether it may vote."""

    def __init__(self, table: LeaseTable, disk_state: DiskState, now: float, nonce: int) -> None:
        """Start the recovery of a table that was loaded at ``now`` (local clock, seconds).

        Args:
            table: The acceptor's state; rebuilt in place if it was lost.
            disk_state: The condition of the state on disk.
            now: The local clock's time, in seconds.
            nonce: Identifies this run; responses to requests of an earlier run are ignored.
        """
        self.table = table
        self.disk_state = disk_state
        self.nonce = nonce
        self.votes_from_s = latest_expiry_s(table.limits, disk_state, now)
        self.has_recovered = disk_state is DiskState.NEW  # whether all earlier promises are known
        self.responses: dict[str, CatchUpResponse] = {}  # the last response of each server
        self._requested_s = -REQUEST_INTERVAL_S
        self._has_own_incarnation = False  # whether this run took a new incarnation

    def can_vote(self, now: float) -> bool:
        """Return whether the acceptor may promise and grant at ``now``."""
        return self.has_recovered and now >= self.votes_from_s

    def tick(self, now: float) -> list[AcceptorAction]:
        """Complete the recovery if possible; otherwise request the missing catch-up responses."""
        completed = self.complete_if_possible(now)
        if self.has_recovered:
            return completed
        if now < self.votes_from_s:
            return [SetTimer(self.votes_from_s)]
        if now < self._requested_s + REQUEST_INTERVAL_S:
            return []
        self._requested_s = now
        request = CatchUpRequest(self.table.server, self.nonce, self.table.incarnation)
        requests = [SendMessage(server, request) for server in self._servers_to_request()]
        return [*requests, SetTimer(now + REQUEST_INTERVAL_S)]

    def _servers_to_request(self) -> list[str]:
        """Return the servers that have not sent a valid response for the current incarnation.

        They include servers that were in recovery when they responded, or that were replaced since then.
        """
        answered = {response.server for response in self._current_responses()}
        servers = self.table.limits.servers
        return [server for server in servers if server != self.table.server and server not in answered]

    def handle_request(self, request: CatchUpRequest) -> list[AcceptorAction]:
        """Respond with all records, and with what this acceptor observed of the requesting server."""
        actions: list[AcceptorAction] = []
        if self.table.observe_incarnation(request.server, request.incarnation):
            actions.append(self.table.persist())
        response = CatchUpResponse(
            self.table.server,
            request.nonce,
            is_recovered=self.has_recovered or self.disk_state in (DiskState.NEW, DiskState.INTACT),
            observed_write=self.table.observed_writes.get(request.server, 0),
            records=self.table.records(),
            observed_incarnation=self.table.incarnations.get(request.server, 0),
            incarnation=self.table.incarnation,
            incarnations=self.table.known_incarnations(),
        )
        return [*actions, SendMessage(request.server, response)]

    def handle_response(self, now: float, response: CatchUpResponse) -> list[AcceptorAction]:
        """Handle the catch-up response of another server; ignore it unless the acceptor is in recovery."""
        server = response.server
        is_expected = response.nonce == self.nonce and server != self.table.server
        if not is_expected or server not in self.table.limits.servers:
            return []
        if self.has_recovered or now < self.votes_from_s:
            return []
        self.responses[server] = response
        if response.observed_write > self.table.last_write and self.disk_state is DiskState.INTACT:
            self.disk_state = DiskState.LOST  # the disk was rolled back
        if response.observed_incarnation > self.table.incarnation and self.disk_state is DiskState.INTACT:
            self.disk_state = DiskState.REPLACED
            return []
        return [*self._begin_incarnation(), *self.complete_if_possible(now)]

    def detect_replacement(self, incarnations: Incarnations) -> None:
        """Stop voting if a candidate reports that another machine took over this server's name."""
        # During recovery, catch-up responses decide this: the incarnation on disk may be lost or rolled back.
        if self.has_recovered and dict(incarnations).get(self.table.server, 0) > self.table.incarnation:
            self.disk_state, self.has_recovered = DiskState.REPLACED, False

    def complete_if_possible(self, now: float) -> list[AcceptorAction]:
        """Complete the recovery if enough servers have responded.

        Requests are sent only after all grants of an earlier run have expired. Accept requests that were in
        flight at the restart have then arrived at the other servers, or can no longer grant a valid lease.
        """
        if self.has_recovered or now < self.votes_from_s or self.disk_state is DiskState.REPLACED:
            return []
        if not self._has_enough_responses(now):
            return []
        self.has_recovered = True
        if self.disk_state is DiskState.LOST:
            self._rebuild_table()
            self._wait_for_replaced_acceptor(now)
        return [self.table.persist()]

    def _has_enough_responses(self, now: float) -> bool:
        incarnation = self.table.incarnation
        confirmed = sum(response.observed_incarnation == incarnation for response in self._valid_responses())
        limits = self.table.limits
        if self.disk_state is DiskState.LOST:
            return confirmed >= limits.majority
        if confirmed >= len(limits.servers) - 1:
            return True
        # An acceptor without any write was just established: either together with all others, or by mistake
        # in place of an acceptor that had made promises. Any of the others may know of such promises, so all
        # must respond.
        if not self.table.last_write:
            return False
        has_timed_out = now >= self.votes_from_s + RESPONSE_TIMEOUT_S
        return has_timed_out and confirmed >= limits.majority - 1

    def _wait_for_replaced_acceptor(self, now: float) -> None:
        """Delay voting until grants of an acceptor with an earlier incarnation have expired.

        This acceptor does not know those grants. The earlier one may have granted a lease together with one
        of the other servers until now, when the last server of a majority persisted the new incarnation.
        """
        limits = self.table.limits
        self.votes_from_s = now + limits.grant_duration_s(limits.max_lease_s)

    def _begin_incarnation(self) -> list[AcceptorAction]:
        """If the state was lost, take the next incarnation once other servers that form a majority responded.

        A machine with an older incarnation needs a majority too, so it hears of the new incarnation.
        """
        is_majority = len(self._valid_responses()) >= self.table.limits.majority
        if self._has_own_incarnation or self.disk_state is not DiskState.LOST or not is_majority:
            return []
        self._has_own_incarnation = True
        observed = [response.observed_incarnation for response in self.responses.values()]
        self.table.incarnation = 1 + max(self.table.incarnation, *observed)
        self._requested_s = -math.inf  # request again at once, with the new incarnation
        return [self.table.persist()]

    def _valid_responses(self) -> list[CatchUpResponse]:
        """Return the responses of servers that know all their promises and were not replaced."""
        views = [
            IncarnationView(response.server, response.incarnation, response.incarnations)
            for response in self.responses.values()
        ]
        replaced = find_replaced_servers(views)
        return [
            response
            for response in self.responses.values()
            if response.is_recovered and response.server not in replaced
        ]

    def _current_responses(self) -> list[CatchUpResponse]:
        """Return the valid responses that confirm this acceptor's current incarnation."""
        incarnation = self.table.incarnation
        return [
            response for response in self._valid_responses() if response.observed_incarnation == incarnation
        ]

    def _rebuild_table(self) -> None:
        """Rebuild the table from the greatest ballots and the newest values that any server reported."""
        reported: dict[str, list[AcceptorRecord]] = {}
        for response in self.responses.values():
            # Adopt known incarnations. Otherwise, if the servers that know of a replacement lose their disks
            # one after the other, the next machine of the replaced name starts at incarnation 1 again.
            for server, incarnation in ((response.server, response.incarnation), *response.incarnations):
                if server != self.table.server:
                    self.table.observe_incarnation(server, incarnation)
            for record in response.records if response.is_recovered else ():
                reported.setdefault(record.lease, []).append(record)
            self.table.last_write = max(self.table.last_write, response.observed_write)
        for lease, records in reported.items():
            entry = self.table.entry(lease)
            if entry.record.promised_ballot:
                records.append(entry.record)
            _merge_records(entry, records)


def _merge_records(entry: LeaseEntry, records: list[AcceptorRecord]) -> None:
    """Merge the records of several servers into an entry.

    If all records with the greatest ballot name the same candidate, the merged record keeps the promise to
    that candidate, so that it can continue to renew the lease. This is safe: if another candidate had a
    majority for the same ballot, including the lost promise of this server, that majority would share a
    server with those that responded.
    """
    promised_ballot = max(record.promised_ballot for record in records)
    candidates = {record.candidate for record in records if record.promised_ballot == promised_ballot}
    entry.record = AcceptorRecord(
        entry.record.lease,
        promised_ballot,
        candidate=candidates.pop() if len(candidates) == 1 else "",
        accepted_ballot=max(record.accepted_ballot for record in records),
        holder="",
        duration_s=max(record.duration_s for record in records),
        released_ballot=max(record.released_ballot for record in records),
        value=max((record.value for record in records), key=recency_key),
    )
    entry.expires_s = 0.0


@dataclass(frozen=True, slots=True)
class IncarnationView:
    """A server's own incarnation, and the greatest that it knows of each other server."""

    server: str
    incarnation: int
    incarnations: Incarnations


def find_replaced_servers(views: Iterable[IncarnationView]) -> set[str]:
    """Return the servers of which any view has a greater incarnation than their own.

    The views of a majority show every replacement, because a server votes with a new incarnation only after
    other servers that form a majority have persisted it.
    """
    all_views = list(views)
    greatest: dict[str, int] = {}
    for view in all_views:
        for server, incarnation in view.incarnations:
            greatest[server] = max(incarnation, greatest.get(server, 0))
    return {view.server for view in all_views if view.incarnation < greatest.get(view.server, 0)}
