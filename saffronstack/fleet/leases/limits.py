"""The lease servers of one fleet, how to reach them, and the limits that they share with the candidates."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseLimits:
    """The limits that the lease servers and candidates of one fleet share."""

    servers: tuple[str, ...]
    max_lease_s: float = 30.0
    max_clock_drift: float = 0.01  # the rates of two monotonic clocks differ by less than this fraction
    max_leases: int = 10_000
    max_value_bytes: int = 4096
    max_waiters: int = 64  # candidates in a server's queue for one lease

    @property
    def majority(self) -> int:
        """Return how many servers form a quorum."""
        return len(self.servers) // 2 + 1

    def grant_duration_s(self, lease_s: float) -> float:
        """Return how long an acceptor keeps a grant; by then it has expired on any holder's clock."""
        return lease_s * (1 + self.max_clock_drift) / (1 - self.max_clock_drift)


@dataclass(frozen=True, slots=True)
class LeaseFleet:
    """The lease servers of one fleet as the configuration describes them.

    ``timeout_s`` bounds connecting to a server and each exchange with it.
    """

    name: str
    addresses: Mapping[str, str]
    limits: LeaseLimits
    timeout_s: float
