"""State of the model that `model_checker` explores: acceptors, candidates, disks and messages."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from typing import Any

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import Candidate, CandidateAction, LeaseAcquired
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorState,
    AcceptRequest,
    AcceptResponse,
    DiskState,
    Message,
    PersistState,
    PrepareRequest,
    PrepareResponse,
    ReleaseRequest,
    SendMessage,
)

LEASE = "l"
LEASE_S = 1.0
TIME_STEP_S = 0.5
DRIFT = 0.2  # large enough that a slow and a fast clock differ after a few steps
MAX_OLD_REQUESTS = 6
MAX_STORED_STATES = 3

Factory = Callable[..., Any]  # creates an acceptor or a candidate, or a broken variant of one


@dataclass(frozen=True)
class FaultBudget:
    """Number of faults of each kind that may still occur on a path."""

    partial_deliveries: int = 2  # of requests, to fewer servers than a majority
    late_responses: int = 1
    duplicates: int = 1
    restarts: int = 1
    disk_faults: int = 1  # restarts with an older or a lost disk
    time_steps: int = 4  # steps of the clock by half a lease duration
    releases: int = 1
    replacements: int = 0  # of paused servers, which resume later: requests then reach either machine

    def subtract(self, **used: int) -> FaultBudget:
        """Return the budget that remains after the given numbers of faults."""
        return replace(self, **{name: getattr(self, name) - count for name, count in used.items()})


NO_FAULTS = FaultBudget(
    partial_deliveries=0,
    late_responses=0,
    duplicates=0,
    restarts=0,
    disk_faults=0,
    time_steps=0,
    releases=0,
    replacements=0,
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its sender and receiver, in flight or to be delivered again."""

    sender: str
    receiver: str
    message: Message


class _FixedJitter(random.Random):
    """Returns a constant, so that all backoffs are equal; the steps cover other orders of timers."""

    def random(self) -> float:
        """Return 0.5."""
        return 0.5


@dataclass(eq=False)
class ModelState:
    """One state of the model.

    States share acceptors and candidates. A step that changes one replaces it by a copy first.
    """

    limits: LeaseLimits
    acceptors: dict[str, Acceptor]
    disks: dict[str, tuple[AcceptorState, ...]]  # persisted states, oldest first
    candidates: dict[str, Candidate]
    requests: dict[tuple[str, str], Message]  # undelivered; the latest per candidate and server
    late_responses: tuple[Envelope, ...]
    old_requests: tuple[Envelope, ...]  # delivered or superseded; may be delivered again
    budget: FaultBudget
    time_steps: int
    token: int  # highest that was acquired
    path: tuple[str, ...]  # labels of the steps to this state
    replaced: dict[str, Acceptor]  # by server, the resumed machine that was replaced while paused

    def copy(self) -> ModelState:
        """Return a copy for a step to change."""
        return ModelState(
            self.limits,
            dict(self.acceptors),
            dict(self.disks),
            dict(self.candidates),
            dict(self.requests),
            self.late_responses,
            self.old_requests,
            self.budget,
            self.time_steps,
            self.token,
            self.path,
            dict(self.replaced),
        )

    def writable_acceptor(self, server: str, is_replaced: bool = False) -> Acceptor:
        """Replace an acceptor by a copy that no other state shares, and return it."""
        acceptors = self.replaced if is_replaced else self.acceptors
        acceptor = acceptors[server] = copy.copy(acceptors[server])
        table = acceptor.table = copy.copy(acceptor.table)
        table.leases = {lease: replace(entry, waiters={}) for lease, entry in table.leases.items()}
        table.observed_writes, table.incarnations = dict(table.observed_writes), dict(table.incarnations)
        recovery = acceptor.recovery = copy.copy(acceptor.recovery)
        recovery.table, recovery.responses = table, dict(recovery.responses)
        return acceptor

    def writable_candidate(self, name: str) -> Candidate:
        """Replace a candidate by a copy that no other state shares, and return it."""
        candidate = self.candidates[name] = copy.copy(self.candidates[name])
        candidate._approvals, candidate._rejections = dict(candidate._approvals), dict(candidate._rejections)
        candidate._incarnations = dict(candidate._incarnations)
        return candidate

    # Clocks of servers run fast and those of candidates slow; their drift is below the limit.

    def server_now(self) -> float:
        """Return the time of the servers' clocks."""
        return self.time_steps * TIME_STEP_S * (1 + DRIFT / 2.1)

    def candidate_now(self) -> float:
        """Return the time of the candidates' clocks."""
        return self.time_steps * TIME_STEP_S * (1 - DRIFT / 2.1)

    # ---- effects of steps

    def apply(self, name: str, actions: list[CandidateAction]) -> str:
        """Execute the actions of a candidate; return the breach of the lease rules, or an empty string."""
        for action in actions:
            if isinstance(action, SendMessage):
                key = name, action.receiver
                if key in self.requests and self.budget.duplicates:
                    self.keep_old_request(Envelope(*key, self.requests[key]))
                self.requests[key] = action.message
            elif isinstance(action, LeaseAcquired):
                if action.token <= self.token:
                    return f"{name} acquired token {action.token} after {self.token}"
                self.token = action.token
        return self.find_breach()

    def keep_old_request(self, envelope: Envelope) -> None:
        """Store a request for a second delivery; the oldest one beyond the limit is dropped."""
        self.old_requests = (*self.old_requests, envelope)[-MAX_OLD_REQUESTS:]

    def find_breach(self) -> str:
        """Return the breach if two candidates hold the lease, or one holds it under an old token."""
        now = self.candidate_now()
        holders = [name for name, candidate in self.candidates.items() if candidate.is_holder(now)]
        if len(holders) > 1:
            return f"{' and '.join(holders)} hold at once"
        for name in holders:
            if self.candidates[name].token < self.token:
                return f"{name} holds under token {self.candidates[name].token} after {self.token}"
        return ""

    def deliver(self, envelope: Envelope, is_replaced: bool = False) -> list[AcceptorAction]:
        """Deliver a message to a server, or to the machine that it replaced; return the actions."""
        acceptor = self.writable_acceptor(envelope.receiver, is_replaced)
        actions = acceptor.handle(self.server_now(), envelope.sender, envelope.message)
        if not is_replaced:
            self.store(envelope.receiver, actions)
        return actions

    def store(self, server: str, actions: list[AcceptorAction]) -> None:
        """Store the states that a server persists."""
        for action in actions:
            if isinstance(action, PersistState):
                self.disks[server] = (*self.disks[server], action.state)[-MAX_STORED_STATES:]

    # ---- equivalence of states

    def key(self) -> int:
        """Return a hash that ignores the path and is invariant under a permutation of the servers."""
        server_keys = {server: self._server_key(server) for server in self.acceptors}
        order = sorted(server_keys, key=lambda server: hash(server_keys[server]))
        index_of = {server: number for number, server in enumerate(order)}
        references = repr([self._server_references(server, index_of) for server in order])
        candidates = tuple(
            (
                candidate.state,
                candidate.token,
                candidate.expires_s,
                candidate._ballot,
                candidate._highest_ballot,
                candidate._sequence,
                candidate._backoff_s,
                candidate._round_started_s,
                candidate._deadline_s,
            )
            for candidate in self.candidates.values()
        )
        ordered = tuple(server_keys[server] for server in order)
        return hash((ordered, references, candidates, self.budget, self.time_steps, self.token))

    def _server_references(self, server: str, index_of: dict[str, int]) -> Hashable:
        """Return what a server and its messages contain about other servers, by the servers' indexes."""
        acceptor = self.acceptors[server]
        observed = sorted((index_of[other], write) for other, write in acceptor.table.observed_writes.items())
        responses = sorted(
            (index_of[other], response.observed_write, response.is_recovered, response.observed_incarnation)
            for other, response in acceptor.recovery.responses.items()
        )
        requests = [self.requests.get((name, server)) for name in self.candidates]
        reported = [
            sorted((index_of[other], write) for other, write in request.observed_writes)
            if isinstance(request, AcceptRequest)
            else []
            for request in requests
        ]
        incarnations = [
            sorted((index_of[other], number) for other, number in acceptor.table.incarnations.items())
        ]
        for candidate in self.candidates.values():
            response = candidate._approvals.get(server) or candidate._rejections.get(server)
            known = response.incarnations if response else ()
            incarnations.append(sorted((index_of[other], number) for other, number in known))
            incarnations.append([(index_of[server], candidate._incarnations.get(server, 0))])
        return tuple(map(repr, (observed, responses, reported, incarnations)))

    def _server_key(self, server: str) -> Hashable:
        """Return the state of one server and of its messages, without names of servers."""
        table, recovery = self.acceptors[server].table, self.acceptors[server].recovery
        links = tuple(
            (
                _without_server_names(self.requests.get((name, server))),
                _without_server_names(candidate._approvals.get(server)),
                _without_server_names(candidate._rejections.get(server)),
                _messages_between(self.late_responses, server, name),
                _messages_between(self.old_requests, name, server),
            )
            for name, candidate in self.candidates.items()
        )
        return (
            (recovery.disk_state, recovery.has_recovered, recovery.votes_from_s),
            (table.last_write, table.incarnation),
            tuple((entry.record, entry.expires_s) for entry in table.leases.values()),
            tuple((state.last_write, state.records) for state in self.disks[server]),
            links,
            self._replaced_server_key(server),
        )

    def _replaced_server_key(self, server: str) -> Hashable:
        acceptor = self.replaced.get(server)
        if acceptor is None:
            return ()
        entries = ((entry.record, entry.expires_s) for entry in acceptor.table.leases.values())
        return acceptor.recovery.disk_state, acceptor.recovery.has_recovered, *entries


def _messages_between(envelopes: tuple[Envelope, ...], sender: str, receiver: str) -> Hashable:
    return tuple(
        _without_server_names(envelope.message)
        for envelope in envelopes
        if (envelope.sender, envelope.receiver) == (sender, receiver)
    )


def _without_server_names(message: Message | None) -> Hashable:
    """Return the content of a message without names of servers."""
    match message:
        case PrepareResponse():
            grant = message.remaining_s, message.value, message.last_write
            return message.ballot, message.is_promised, message.highest_ballot, message.incarnation, *grant
        case AcceptResponse():
            round_ = message.ballot, message.sequence, message.is_accepted, message.highest_ballot
            return *round_, message.remaining_s, message.incarnation
        case AcceptRequest():
            return message.ballot, message.sequence, message.value
        case PrepareRequest() | ReleaseRequest():
            return type(message).__name__, message.ballot
        case _:
            return None


def initial_state(budget: FaultBudget, make_acceptor: Factory, make_candidate: Factory) -> ModelState:
    """Return a state with three new servers and two idle candidates."""
    limits = LeaseLimits(("k0", "k1", "k2"), max_lease_s=LEASE_S, max_clock_drift=DRIFT)
    state = ModelState(
        limits,
        acceptors={
            server: make_acceptor(server, limits, DiskState.NEW, AcceptorState(), 0.0, 0)
            for server in limits.servers
        },
        disks=dict.fromkeys(limits.servers, (AcceptorState(),)),
        candidates={},
        requests={},
        late_responses=(),
        old_requests=(),
        budget=budget,
        time_steps=0,
        token=0,
        path=(),
        replaced={},
    )
    for name in ("a", "b"):
        candidate = state.candidates[name] = make_candidate(name, LEASE, LEASE_S, limits, 1)
        candidate._random = _FixedJitter()
    return state
