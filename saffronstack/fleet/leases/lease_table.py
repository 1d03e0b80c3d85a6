"""The in-memory form of an acceptor's state: its leases, and what it knows of the other servers."""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorRecord,
    AcceptorState,
    Incarnations,
    LeaseValue,
    ObservedWrites,
    PersistState,
)


@dataclass(slots=True)
class LeaseEntry:
    """One lease: its persisted record, and state that is kept only in memory."""

    record: AcceptorRecord
    expires_s: float = 0.0  # local clock; expiry of the current grant
    last_write: int = 0  # number of the write that persists the current record
    waiters: dict[str, float] = field(default_factory=dict)  # in queue order; last prepare time

    def add_waiter(self, candidate: str, now: float, limits: LeaseLimits) -> None:
        """Queue a candidate that was rejected because another candidate's grant is valid.

        A waiter sends a prepare request at least once per ``max_lease_s``. One that does not is removed.
        """
        expired = [waiter for waiter, seen_s in self.waiters.items() if now - seen_s > limits.max_lease_s]
        for waiter in expired:
            del self.waiters[waiter]
        if candidate in self.waiters or len(self.waiters) < limits.max_waiters:
            self.waiters[candidate] = now

    def pop_waiter(self, now: float, limits: LeaseLimits) -> str | None:
        """Remove and return the first waiter that has not expired; None if there is none."""
        for waiter, seen_s in self.waiters.items():
            if now - seen_s <= limits.max_lease_s:
                del self.waiters[waiter]
                return waiter
        return None


class LeaseTable:
    """The lease records of an acceptor, the numbers of their writes, and observations of other servers."""

    def __init__(self, server: str, limits: LeaseLimits, state: AcceptorState, expires_s: float) -> None:
        """Load a persisted state.

        Args:
            server: The name of this server.
            limits: The limits of the fleet.
            state: The state that was read from disk.
            expires_s: Latest expiry (local clock) of grants made before this start of the process.
        """
        self.server = server
        self.limits = limits
        self.last_write = state.last_write
        self.observed_writes = dict(state.observed_writes)
        self.incarnation = state.incarnation
        self.incarnations = dict(state.incarnations)
        self.leases = {record.lease: LeaseEntry(record, expires_s) for record in state.records}

    def has_capacity_for(self, lease: str) -> bool:
        """Return whether the table has an entry for the lease or can add one."""
        return lease in self.leases or len(self.leases) < self.limits.max_leases

    def entry(self, lease: str) -> LeaseEntry:
        """Return the entry of a lease; create it if there is none."""
        return self.leases.setdefault(lease, LeaseEntry(AcceptorRecord(lease)))

    def records(self) -> tuple[AcceptorRecord, ...]:
        """Return the records of all leases."""
        return tuple(entry.record for entry in self.leases.values())

    def remaining_s(self, now: float, lease: str) -> float:
        """Return the seconds until this acceptor's grant of the lease expires; 0 if there is none."""
        entry = self.leases.get(lease)
        return max(0.0, entry.expires_s - now) if entry is not None and entry.record.holder else 0.0

    def required_write(self, lease: str) -> int:
        """Return the number of the write that persists the record of a lease; 0 for an unknown lease."""
        entry = self.leases.get(lease)
        return entry.last_write if entry is not None else 0

    def merged_observed_writes(self, observed: ObservedWrites) -> dict[str, int]:
        """Return the greatest known write of each other server, including those in ``observed``."""
        merged = dict(self.observed_writes)
        for server, write in observed:
            if server in self.limits.servers and server != self.server:
                merged[server] = max(write, merged.get(server, 0))
        return merged

    def observe_incarnation(self, server: str, incarnation: int) -> bool:
        """Record an incarnation if it is greater than the known one of the server; return whether it is."""
        if server not in self.limits.servers or incarnation <= self.incarnations.get(server, 0):
            return False
        self.incarnations[server] = incarnation
        return True

    def known_incarnations(self) -> Incarnations:
        """Return the greatest known incarnation of each other server, sorted by name."""
        return tuple(sorted(self.incarnations.items()))

    def persist(self, changed: LeaseEntry | None = None) -> PersistState:
        """Return the action that writes the whole state, under the next write number.

        ``changed`` is the only entry that differs from the previous write; None if any may differ.
        """
        self.last_write += 1
        for entry in [changed] if changed is not None else self.leases.values():
            entry.last_write = self.last_write
        observed = tuple(sorted(self.observed_writes.items()))
        return PersistState(
            AcceptorState(
                self.records(), self.last_write, observed, self.incarnation, self.known_incarnations()
            )
        )


def recency_key(value: LeaseValue) -> tuple[int, int]:
    """Return a sort key; the newer of two values has the greater key."""
    return value.token, value.version
