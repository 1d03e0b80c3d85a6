"""How an acceptor that restarted becomes sure of what it had promised, by catching up from other servers.

After a restart an acceptor first waits until the grants of its earlier run are over, then sends catch-up
requests to all other servers:

* An *intact* disk is believed when no other server observed a later write of this server. A disk that was
  silently rolled back is found by the servers that shared its last majority.
* A *lost* state (damaged, missing, rolled back) is rebuilt from the records of a majority of all servers, not
  counting this one: each majority that this server was part of shares a member with them.
* An acceptor with a lost state may run on a new machine in place of one that is only paused. It therefore
  takes the next *incarnation* of its name, and votes once a majority of others has persisted that. The old
  machine learns of it from any majority, and never votes again (*replaced*).

Free of I/O, clocks and threads.
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

REQUEST_INTERVAL_S = 0.5  # between two catch-up requests to a server that has not answered
RESPONSE_TIMEOUT_S = 2.0  # after it servers that have not answered are not waited for, where enough have


def latest_expiry_s(limits: LeaseLimits, disk_state: DiskState, now: float) -> float:
    """Return until when (local clock) grants of an earlier run may go on, renewed just before it ended."""
    return 0.0 if disk_state is DiskState.NEW else now + limits.grant_duration_s(limits.max_lease_s)


class Recovery:
    """The catch-up of one acceptor, and whether it may vote."""

    def __init__(self, table: LeaseTable, disk_state: DiskState, now: float, nonce: int) -> None:
        """Start the recovery of a table that was loaded at ``now`` (local clock, seconds).

        Args:
            table: The acceptor's state, rebuilt in place where it was lost.
            disk_state: What the disk showed.
            now: The local clock's time, in seconds.
            nonce: Distinguishes answers to this run from those to an earlier one.
        """
        self.table = table
        self.disk_state = disk_state
        self.nonce = nonce
        self.votes_from_s = latest_expiry_s(table.limits, disk_state, now)
        self.has_recovered = disk_state is DiskState.NEW  # whether all that it promised is known
        self.responses: dict[str, CatchUpResponse] = {}  # the last of each server
        self._requested_s = -REQUEST_INTERVAL_S
        self._has_own_incarnation = False  # whether this run took a new incarnation

    def can_vote(self, now: float) -> bool:
        """Return whether the acceptor promises and grants now."""
        return self.has_recovered and now >= self.votes_from_s

    def tick(self, now: float) -> list[AcceptorAction]:
        """Complete the recovery where possible, else ask the servers whose answers are missing."""
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
        """A server that was in recovery itself, or was replaced since it answered, is asked again."""
        answered = {response.server for response in self._current_responses()}
        servers = self.table.limits.servers
        return [server for server in servers if server != self.table.server and server not in answered]

    def handle_request(self, request: CatchUpRequest) -> list[AcceptorAction]:
        """Send another server what is known here, and what was observed of that server."""
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
        """Take the answer of another server into account while the acceptor recovers."""
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
        """Stop voting where a candidate passes on that another machine took this server's name."""
        # One in recovery asks the other servers itself: its state may be lost or rolled back.
        if self.has_recovered and dict(incarnations).get(self.table.server, 0) > self.table.incarnation:
            self.disk_state, self.has_recovered = DiskState.REPLACED, False

    def complete_if_possible(self, now: float) -> list[AcceptorAction]:
        """Complete the recovery where enough servers have answered.

        They are asked only once grants of an earlier run are over: what was on its way then has arrived, or
        serves nobody.
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
        # An acceptor that never persisted anything was established just now: with all others, or by mistake
        # in place of one that had promised, which any of the others may know. Only all of them confirm it.
        if not self.table.last_write:
            return False
        has_timed_out = now >= self.votes_from_s + RESPONSE_TIMEOUT_S
        return has_timed_out and confirmed >= limits.majority - 1

    def _wait_for_replaced_acceptor(self, now: float) -> None:
        """Wait for grants that an acceptor of an earlier incarnation may have made, unknown here.

        It can have granted together with one of the others until just now, when the last of a majority of
        them persisted this incarnation.
        """
        limits = self.table.limits
        self.votes_from_s = now + limits.grant_duration_s(limits.max_lease_s)

    def _begin_incarnation(self) -> list[AcceptorAction]:
        """Take the next incarnation as soon as a majority of others answered, where the state was lost.

        A machine of an older incarnation finds this one among any majority that it has to hear.
        """
        is_majority = len(self._valid_responses()) >= self.table.limits.majority
        if self._has_own_incarnation or self.disk_state is not DiskState.LOST or not is_majority:
            return []
        self._has_own_incarnation = True
        observed = [response.observed_incarnation for response in self.responses.values()]
        self.table.incarnation = 1 + max(self.table.incarnation, *observed)
        self._requested_s = -math.inf  # the other servers are asked again, under the new incarnation
        return [self.table.persist()]

    def _valid_responses(self) -> list[CatchUpResponse]:
        """Return the answers of servers that have all that they promised and were not replaced."""
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
        """Return the valid answers of servers that know the present incarnation."""
        incarnation = self.table.incarnation
        return [
            response for response in self._valid_responses() if response.observed_incarnation == incarnation
        ]

    def _rebuild_table(self) -> None:
        """Adopt the greatest ballots and the newest values that any server reported."""
        reported: dict[str, list[AcceptorRecord]] = {}
        for response in self.responses.values():
            # As many servers as before must know who was replaced, else its successors count from 1 again.
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

    Where all that know the greatest ballot promised it to one candidate, it is promised to that one here too,
    so that its holder can go on renewing: another candidate with a majority for the same ballot through this
    server's lost promise would have shared a server with those that answered.
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
    """What one server says of incarnations: its own, and the greatest known of each other server."""

    server: str
    incarnation: int
    incarnations: Incarnations


def find_replaced_servers(views: Iterable[IncarnationView]) -> set[str]:
    """Return the servers of which another view knows a greater incarnation.

    The views of a majority show every replacement: a server votes under a new incarnation only once a
    majority of the others has persisted it.
    """
    all_views = list(views)
    greatest: dict[str, int] = {}
    for view in all_views:
        for server, incarnation in view.incarnations:
            greatest[server] = max(incarnation, greatest.get(server, 0))
    return {view.server for view in all_views if view.incarnation < greatest.get(view.server, 0)}
