"""What an acceptor knows of its leases and of the other servers: its persisted state, held in memory."""

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
    """One lease: its persisted record, and what is kept in memory alone."""

    record: AcceptorRecord
    expires_s: float = 0.0  # local clock; a grant runs until then
    last_write: int = 0  # the write that persists the record as it is
    waiters: dict[str, float] = field(default_factory=dict)  # in order, and when each was seen last

    def add_waiter(self, candidate: str, now: float, limits: LeaseLimits) -> None:
        """Queue a candidate that was rejected because of a running grant.

        A waiter prepares again at least once in the longest lease; one that does not has left the queue.
        """
        expired = [waiter for waiter, seen_s in self.waiters.items() if now - seen_s > limits.max_lease_s]
        for waiter in expired:
            del self.waiters[waiter]
        if candidate in self.waiters or len(self.waiters) < limits.max_waiters:
            self.waiters[candidate] = now

    def pop_waiter(self, now: float, limits: LeaseLimits) -> str | None:
        """Remove and return the first candidate that still waits, or None."""
        for waiter, seen_s in self.waiters.items():
            if now - seen_s <= limits.max_lease_s:
                del self.waiters[waiter]
                return waiter
        return None


class LeaseTable:
    """The records of an acceptor, numbered writes of them, and what it observed of other servers."""

    def __init__(self, server: str, limits: LeaseLimits, state: AcceptorState, expires_s: float) -> None:
        """Load a persisted state.

        Args:
            server: The name of this server.
            limits: The limits of the fleet.
            state: What was read from the disk.
            expires_s: Until when (local clock) grants of an earlier incarnation of the process may run.
        """
        self.server = server
        self.limits = limits
        self.last_write = state.last_write
        self.observed_writes = dict(state.observed_writes)
        self.incarnation = state.incarnation
        self.incarnations = dict(state.incarnations)
        self.leases = {record.lease: LeaseEntry(record, expires_s) for record in state.records}

    def has_capacity_for(self, lease: str) -> bool:
        """Return whether the lease is known or may be added."""
        return lease in self.leases or len(self.leases) < self.limits.max_leases

    def entry(self, lease: str) -> LeaseEntry:
        """Return the entry of a lease, new where there is none."""
        return self.leases.setdefault(lease, LeaseEntry(AcceptorRecord(lease)))

    def records(self) -> tuple[AcceptorRecord, ...]:
        """Return the records of all leases."""
        return tuple(entry.record for entry in self.leases.values())

    def remaining_s(self, now: float, lease: str) -> float:
        """Return for how many seconds a grant of the lease still runs here; 0 without one."""
        entry = self.leases.get(lease)
        return max(0.0, entry.expires_s - now) if entry is not None and entry.record.holder else 0.0

    def required_write(self, lease: str) -> int:
        """Return the number of the write that the record of a lease rests on; 0 for an unknown lease."""
        entry = self.leases.get(lease)
        return entry.last_write if entry is not None else 0

    def merged_observed_writes(self, observed: ObservedWrites) -> dict[str, int]:
        """Return the greatest write known of each other server, with those of a request merged in."""
        merged = dict(self.observed_writes)
        for server, write in observed:
            if server in self.limits.servers and server != self.server:
                merged[server] = max(write, merged.get(server, 0))
        return merged

    def observe_incarnation(self, server: str, incarnation: int) -> bool:
        """Remember the greatest incarnation of a server of the fleet; return whether this one is greater."""
        if server not in self.limits.servers or incarnation <= self.incarnations.get(server, 0):
            return False
        self.incarnations[server] = incarnation
        return True

    def known_incarnations(self) -> Incarnations:
        """Return the greatest incarnation known of each other server, sorted by name."""
        return tuple(sorted(self.incarnations.items()))

    def persist(self, changed: LeaseEntry | None = None) -> PersistState:
        """Number a new write of the whole state; ``changed`` is the one entry that differs, None for all."""
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
    """Return the key by which the newer of two values is the greater."""
    return value.token, value.version
