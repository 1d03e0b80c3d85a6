"""Acceptors and candidates that each break a rule of the lease protocol, for tests of the checks."""

from __future__ import annotations

from msgspec.structs import replace as replace_fields

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import Candidate, CandidateAction, CandidateState
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorState,
    AcceptRequest,
    AcceptResponse,
    DiskState,
    Incarnations,
    Message,
    PrepareRequest,
    PrepareResponse,
    SendMessage,
    SetTimer,
)
from saffronstack.fleet.leases.recovery import Recovery


class ForgetsVotes(Acceptor):
    """Forgets at a restart what it had promised and granted."""

    def __init__(
        self,
        name: str,
        limits: LeaseLimits,
        disk_state: DiskState,
        state: AcceptorState,
        now: float,
        nonce: int,
    ) -> None:
        super().__init__(
            name,
            limits,
            DiskState.NEW,
            AcceptorState() if disk_state is DiskState.INTACT else state,
            now,
            nonce,
        )


class TreatsLostAsNew(Acceptor):
    """Treats a damaged or empty disk as a new server's."""

    def __init__(
        self,
        name: str,
        limits: LeaseLimits,
        disk_state: DiskState,
        state: AcceptorState,
        now: float,
        nonce: int,
    ) -> None:
        super().__init__(
            name, limits, DiskState.NEW if disk_state is DiskState.LOST else disk_state, state, now, nonce
        )


class IgnoresEarlierGrants(Acceptor):
    """Does not wait after a restart until its earlier grants have expired."""

    def __init__(
        self,
        name: str,
        limits: LeaseLimits,
        disk_state: DiskState,
        state: AcceptorState,
        now: float,
        nonce: int,
    ) -> None:
        super().__init__(name, limits, disk_state, state, now, nonce)
        self.recovery.votes_from_s = 0.0
        for entry in self.table.leases.values():
            entry.expires_s = 0.0


class PromisesBallotTwice(Acceptor):
    """Promises a ballot to a second candidate too, so that tokens do not grow at a change of holder."""

    def handle(self, now: float, sender: str, message: Message) -> list[AcceptorAction]:
        if isinstance(message, PrepareRequest) and message.lease in self.table.leases:
            entry = self.table.leases[message.lease]
            if self.remaining_s(now, message.lease) <= 0:
                entry.record = replace_fields(
                    entry.record, promised_ballot=min(entry.record.promised_ballot, message.ballot - 1)
                )
        return super().handle(now, sender, message)


class CountsFromResponse(Candidate):
    """Counts its lease from when the responses arrived."""

    def handle(self, now: float, sender: str, message: Message) -> list[CandidateAction]:
        if isinstance(message, AcceptResponse) and message.is_accepted and message.sequence == self._sequence:
            self._round_started_s = now
        return super().handle(now, sender, message)


class NeedsOneVote(Candidate):
    """Acquires the lease with the approval of one server."""

    def __init__(self, name: str, lease: str, lease_s: float, limits: LeaseLimits, seed: int) -> None:
        super().__init__(name, lease, lease_s, limits, seed)
        self.limits = QuorumOfOne(limits.servers, limits.max_lease_s, limits.max_clock_drift)


class QuorumOfOne(LeaseLimits):
    __slots__ = ()

    @property
    def majority(self) -> int:
        return 1


class RenewsExpiredGrant(Acceptor):
    """Renews a grant that has expired, whatever was promised since."""

    def handle(self, now: float, sender: str, message: Message) -> list[AcceptorAction]:
        if isinstance(message, AcceptRequest) and message.lease in self.table.leases:
            entry = self.table.leases[message.lease]
            if self.remaining_s(now, message.lease) <= 0:
                entry.record = replace_fields(
                    entry.record, promised_ballot=message.ballot, candidate=message.candidate
                )
        return super().handle(now, sender, message)


class RenewsAfterExpiry(Candidate):
    """Keeps renewing its lease after it has expired."""

    def tick(self, now: float) -> list[CandidateAction]:
        if self.state is CandidateState.HOLDING and now >= self.expires_s:
            requests: list[CandidateAction] = [
                one for one in self._renew(now) if isinstance(one, SendMessage)
            ]
            return [*requests, SetTimer(now + 0.2)]
        return super().tick(now)

    def handle(self, now: float, sender: str, message: Message) -> list[CandidateAction]:
        if (
            self.state is CandidateState.HOLDING
            and now >= self.expires_s
            and isinstance(message, AcceptResponse)
        ):
            return self._handle_accept_response(now, message)
        return super().handle(now, sender, message)


class CountsReplacedServers(Candidate):
    """Counts the approval of any acceptor that responds under a server's name."""

    def _valid_approvals(self) -> list[PrepareResponse | AcceptResponse]:
        return list(self._approvals.values())


class IgnoresReplacement(Recovery):
    def detect_replacement(self, incarnations: Incarnations) -> None:
        return


class VotesAfterReplacement(Acceptor):
    """Keeps voting after it has learned that another machine has its name."""

    def __init__(
        self,
        name: str,
        limits: LeaseLimits,
        disk_state: DiskState,
        state: AcceptorState,
        now: float,
        nonce: int,
    ) -> None:
        super().__init__(name, limits, disk_state, state, now, nonce)
        self.recovery = IgnoresReplacement(self.table, disk_state, now, nonce)


class RecoveryWithoutWait(Recovery):
    def _wait_for_replaced_acceptor(self, now: float) -> None:
        return


class VotesImmediately(Acceptor):
    """Votes as soon as a majority of the others has persisted its incarnation."""

    def __init__(
        self,
        name: str,
        limits: LeaseLimits,
        disk_state: DiskState,
        state: AcceptorState,
        now: float,
        nonce: int,
    ) -> None:
        super().__init__(name, limits, disk_state, state, now, nonce)
        self.recovery = RecoveryWithoutWait(self.table, disk_state, now, nonce)
