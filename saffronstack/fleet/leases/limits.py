"""The lease servers of a fleet, their addresses, and the limits that servers and candidates share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseLimits:
    """Limits that all lease servers and candidates of a fleet share."""

    servers: tuple[str, ...]
    max_lease_s: float = 30.0
    max_clock_drift: float = 0.01  # upper bound of the relative rate difference of two monotonic clocks
    max_leases: int = 10_000
    max_value_bytes: int = 4096
    max_waiters: int = 64  # queued candidates per lease and server

    @property
    def majority(self) -> int:
        """Return the number of servers in a quorum."""
        return len(self.servers) // 2 + 1

    def grant_duration_s(self, lease_s: float) -> float:
        """Return how long an acceptor keeps a grant valid.

        It exceeds ``lease_s`` to allow for clock drift: even if the acceptor's clock runs fast and the
        holder's clock runs slow, the lease expires at the holder before the acceptor grants it again.
        """
        return lease_s * (1 + self.max_clock_drift) / (1 - self.max_clock_drift)


@dataclass(frozen=True, slots=True)
class LeaseFleet:
    """The lease servers of one fleet, as configured.

    ``timeout_s`` limits a connection attempt to a server and each exchange with it.
    """

    name: str
    addresses: Mapping[str, str]
    limits: LeaseLimits
    timeout_s: float
