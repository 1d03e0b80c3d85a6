"""Acceptors and candidates for tests, without sockets or disks."""

from __future__ import annotations

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import Candidate, CandidateAction
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorRecord,
    AcceptorState,
    AcceptRequest,
    AcceptResponse,
    DiskState,
    PrepareRequest,
    PrepareResponse,
    SendMessage,
)

LIMITS = LeaseLimits(("k0", "k1", "k2"), max_lease_s=10.0)
RECORD = AcceptorRecord("l", 8, "a", 8, "a", 5.0)


def make_acceptor(
    disk_state: DiskState = DiskState.NEW,
    state: AcceptorState | None = None,
    now: float = 0.0,
    name: str = "k0",
) -> Acceptor:
    return Acceptor(name, LIMITS, disk_state, state or AcceptorState(), now, nonce=7)


def response_of(actions: list[AcceptorAction]) -> PrepareResponse | AcceptResponse:
    sent = actions[-1]
    assert isinstance(sent, SendMessage)
    assert isinstance(sent.message, PrepareResponse | AcceptResponse)
    return sent.message


def grant(
    acceptor: Acceptor, now: float, candidate: str, ballot: int, duration_s: float = 5.0
) -> AcceptResponse:
    promise = response_of(acceptor.handle(now, candidate, PrepareRequest("l", candidate, ballot)))
    assert isinstance(promise, PrepareResponse)
    assert promise.is_promised
    request = AcceptRequest("l", candidate, ballot, 1, duration_s)
    response = response_of(acceptor.handle(now, candidate, request))
    assert isinstance(response, AcceptResponse)
    return response


class ThreeAcceptors:
    """Three acceptors whose messages are delivered unless a test cuts a connection."""

    def __init__(self) -> None:
        self.acceptors = {name: make_acceptor(name=name) for name in LIMITS.servers}
        self.cut: set[str] = set()

    def deliver(
        self, candidate: Candidate, now: float, actions: list[CandidateAction]
    ) -> list[CandidateAction]:
        """Deliver a candidate's messages and the responses, all at one time; return its other actions."""
        others: list[CandidateAction] = []
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            if not isinstance(action, SendMessage):
                others.append(action)
                continue
            if action.receiver in self.cut:
                continue
            for reply in self.acceptors[action.receiver].handle(now, candidate.name, action.message):
                if isinstance(reply, SendMessage) and reply.receiver == candidate.name:
                    queue += candidate.handle(now, action.receiver, reply.message)
        return others


def is_accepted(acceptor: Acceptor, now: float, request: AcceptRequest) -> bool:
    response = response_of(acceptor.handle(now, request.candidate, request))
    assert isinstance(response, AcceptResponse)
    return response.is_accepted


def persisted_state(acceptor: Acceptor) -> AcceptorState:
    return acceptor.table.persist().state
