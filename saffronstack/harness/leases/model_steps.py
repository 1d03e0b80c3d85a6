"""Steps from one state of the model to the next.

- A candidate's requests reach some servers; the responses arrive or are delayed.
- Delayed responses arrive.
- An old request is delivered again.
- A server restarts with its disk intact, rolled back or lost, or is replaced while it is paused.
- A server catches up from another one.
- A candidate's timer fires, or it releases the lease.
- Half a lease duration passes.

Message loss needs no step: a lost message is one that is never delivered.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

from saffronstack.fleet.leases.candidate import CandidateState
from saffronstack.fleet.leases.messages import AcceptorState, CatchUpRequest, DiskState, SendMessage
from saffronstack.harness.leases.model_state import Envelope, Factory, ModelState


@dataclass(frozen=True, slots=True)
class Step:
    """The state after a step, and the breach of the lease rules in it; empty if there is none."""

    state: ModelState
    breach: str = ""


@dataclass(frozen=True, slots=True)
class _Delivery:
    """Delivery of a candidate's requests to servers; for ``replaced`` ones, to the machine before."""

    candidate: str
    servers: tuple[str, ...]
    is_late: bool
    is_partial: bool
    replaced: frozenset[str]


def steps_from(state: ModelState, make_acceptor: Factory) -> Iterator[Step]:
    """Yield each possible step."""
    for name in state.candidates:
        for delivery in _deliveries(state, name):
            step = _deliver(state, delivery)
            if step is not None:
                yield step
        yield from _late_response_steps(state, name)
        yield from _candidate_steps(state, name)
    yield from _duplicate_steps(state)
    for server in state.acceptors:
        yield from _catch_up_steps(state, server)
        yield from _replacement_steps(state, server, make_acceptor)
        yield from _restart_steps(state, server, make_acceptor)
    if state.budget.time_steps:
        next_state = _next_state(state, "half a lease passes", time_steps=1)
        next_state.time_steps += 1
        yield Step(next_state, next_state.find_breach())


def _next_state(state: ModelState, label: str, **used: int) -> ModelState:
    """Return a copy of a state with a step added to its path and its faults subtracted from the budget."""
    next_state = state.copy()
    next_state.path += (label,)
    if used:
        next_state.budget = state.budget.subtract(**used)
    return next_state


# ---- candidates


def _deliveries(state: ModelState, name: str) -> Iterator[_Delivery]:
    budget = state.budget
    pending = sorted(server for candidate, server in state.requests if candidate == name)
    for count in range(1, len(pending) + 1):
        is_partial = count < state.limits.majority
        if is_partial and not budget.partial_deliveries:
            continue
        for servers in combinations(pending, count):
            resumed = frozenset(servers) & state.replaced.keys()
            for is_late in (False, True) if budget.late_responses else (False,):
                for replaced in (frozenset[str](), resumed) if resumed else (frozenset[str](),):
                    yield _Delivery(name, servers, is_late, is_partial, replaced)


def _deliver(state: ModelState, delivery: _Delivery) -> Step | None:
    name = delivery.candidate
    kinds = sorted({type(state.requests[name, server]).__name__ for server in delivery.servers})
    receivers = (f"old {server}" if server in delivery.replaced else server for server in delivery.servers)
    label = f"{name} to {', '.join(receivers)}: {', '.join(kinds)}"
    next_state = _next_state(
        state,
        f"{label}, responses late" if delivery.is_late else label,
        late_responses=int(delivery.is_late),
        partial_deliveries=int(delivery.is_partial),
    )
    responses: list[Envelope] = []
    for server in delivery.servers:
        request = Envelope(name, server, next_state.requests.pop((name, server)))
        if state.budget.duplicates:
            next_state.keep_old_request(request)
        # Messages to other candidates are ignored: a notification only makes a waiting candidate prepare
        # earlier, which its timer covers.
        responses += [
            Envelope(server, name, action.message)
            for action in next_state.deliver(request, server in delivery.replaced)
            if isinstance(action, SendMessage) and action.receiver == name
        ]
    if not delivery.is_late:
        return _receive(next_state, responses)
    if not responses:
        return None
    next_state.late_responses += tuple(responses)
    return Step(next_state)


def _receive(next_state: ModelState, responses: list[Envelope]) -> Step:
    """Deliver responses to their candidates until the first breach."""
    for response in responses:
        candidate = next_state.writable_candidate(response.receiver)
        actions = candidate.handle(next_state.candidate_now(), response.sender, response.message)
        breach = next_state.apply(response.receiver, actions)
        if breach:
            return Step(next_state, breach)
    return Step(next_state)


def _late_response_steps(state: ModelState, name: str) -> Iterator[Step]:
    late = [envelope for envelope in state.late_responses if envelope.receiver == name]
    if late:
        next_state = _next_state(state, f"late responses to {name}")
        next_state.late_responses = tuple(
            envelope for envelope in state.late_responses if envelope.receiver != name
        )
        yield _receive(next_state, late)


def _candidate_steps(state: ModelState, name: str) -> Iterator[Step]:
    now, candidate_state = state.candidate_now(), state.candidates[name].state
    if candidate_state is CandidateState.IDLE:
        next_state = _next_state(state, f"{name} begins")
        yield Step(next_state, next_state.apply(name, next_state.writable_candidate(name).acquire(now)))
        return
    next_state = _next_state(state, f"{name}'s timer fires")
    actions = next_state.writable_candidate(name).tick(now)
    if actions:
        yield Step(next_state, next_state.apply(name, actions))
    if state.budget.releases and candidate_state is CandidateState.HOLDING:
        next_state = _next_state(state, f"{name} releases", releases=1)
        yield Step(next_state, next_state.apply(name, next_state.writable_candidate(name).release(now)))


def _duplicate_steps(state: ModelState) -> Iterator[Step]:
    if not state.budget.duplicates:
        return
    for envelope in state.old_requests:
        kind = type(envelope.message).__name__
        next_state = _next_state(
            state, f"{envelope.sender} to {envelope.receiver} again: {kind}", duplicates=1
        )
        next_state.old_requests = ()
        next_state.deliver(envelope)  # its response belongs to an older round or is lost
        yield Step(next_state)


# ---- servers


def _catch_up_steps(state: ModelState, server: str) -> Iterator[Step]:
    acceptor, now = state.acceptors[server], state.server_now()
    recovery, incarnation = acceptor.recovery, acceptor.table.incarnation
    if recovery.has_recovered or now < recovery.votes_from_s:
        return
    for other in state.acceptors:
        response = recovery.responses.get(other)
        is_answered = response is not None and response.observed_incarnation == incarnation
        if other == server or is_answered:
            continue
        for is_replaced in (False, True) if other in state.replaced else (False,):
            next_state = _next_state(
                state, f"{server} catches up from {'old ' if is_replaced else ''}{other}"
            )
            request = CatchUpRequest(server, recovery.nonce, incarnation)
            for action in next_state.deliver(Envelope(server, other, request), is_replaced):
                if isinstance(action, SendMessage):
                    next_state.deliver(Envelope(other, server, action.message))
            yield Step(next_state)
    # The server may have waited long enough, by its own clock, to recover without more responses.
    next_state = _next_state(state, f"{server} has recovered")
    actions = next_state.writable_acceptor(server).recovery.complete_if_possible(now)
    if actions:
        next_state.store(server, actions)
        yield Step(next_state)


def _replacement_steps(state: ModelState, server: str, make_acceptor: Factory) -> Iterator[Step]:
    acceptors = state.acceptors
    if state.budget.replacements and all(one.recovery.has_recovered for one in acceptors.values()):
        next_state = _next_state(state, f"{server} is replaced while paused", replacements=1)
        next_state.replaced[server] = acceptors[server]
        _restart(next_state, server, make_acceptor, DiskState.LOST, (AcceptorState(),))
        yield Step(next_state)


def _restart_steps(state: ModelState, server: str, make_acceptor: Factory) -> Iterator[Step]:
    if not state.budget.restarts:
        return
    disk = state.disks[server]
    next_state = _next_state(state, f"{server} restarts", restarts=1)
    _restart(next_state, server, make_acceptor, DiskState.INTACT, disk)
    yield Step(next_state)
    others = (acceptor for other, acceptor in state.acceptors.items() if other != server)
    if not state.budget.disk_faults or not all(other.recovery.has_recovered for other in others):
        return
    if len(disk) > 1:
        next_state = _next_state(state, f"{server} restarts, its disk rolled back", restarts=1, disk_faults=1)
        _restart(next_state, server, make_acceptor, DiskState.INTACT, disk[:-1])
        yield Step(next_state)
    next_state = _next_state(state, f"{server} restarts, its disk lost", restarts=1, disk_faults=1)
    _restart(next_state, server, make_acceptor, DiskState.LOST, (AcceptorState(),))
    yield Step(next_state)


def _restart(
    next_state: ModelState,
    server: str,
    make_acceptor: Factory,
    disk_state: DiskState,
    disk: tuple[AcceptorState, ...],
) -> None:
    nonce = next_state.acceptors[server].recovery.nonce + 1
    next_state.disks[server] = disk
    next_state.acceptors[server] = make_acceptor(
        server, next_state.limits, disk_state, disk[-1], next_state.server_now(), nonce
    )
