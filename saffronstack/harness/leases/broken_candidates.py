"""Candidates that violate the lease protocol, to show that the checker of the harness detects it."""

from __future__ import annotations

from msgspec.structs import replace

from saffronstack.fleet.leases.candidate import Candidate
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import AcceptRequest, ObservedWrites


class OverrunningCandidate(Candidate):
    """Considers itself the holder for twice the duration that it requests from the servers."""

    def _accept_request(self, observed_writes: ObservedWrites = ()) -> AcceptRequest:
        return replace(super()._accept_request(observed_writes), duration_s=self.lease_s / 2)


class _QuorumOfOne(LeaseLimits):
    """Lease limits under which one server counts as a majority."""

    __slots__ = ()

    @property
    def majority(self) -> int:
        """Return one, which lets two candidates hold the lease at once."""
        return 1


class MinorityCandidate(Candidate):
    """Acquires the lease with the approval of a single server."""

    def __init__(self, name: str, lease: str, lease_s: float, limits: LeaseLimits, seed: int) -> None:
        """Create a candidate whose limits count one server as a majority."""
        quorum_of_one = _QuorumOfOne(limits.servers, limits.max_lease_s, limits.max_clock_drift)
        super().__init__(name, lease, lease_s, quorum_of_one, seed)


BROKEN_CANDIDATES: dict[str, type[Candidate]] = {"late": OverrunningCandidate, "few": MinorityCandidate}
