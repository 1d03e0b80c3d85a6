"""The steps that lead from one state of the model to the next.

A candidate's requests reach some servers, and the responses arrive or are late; late responses arrive; an old
request is delivered again; a server restarts with its disk as it is, older or lost, or is replaced while
paused; a server catches up from another; a candidate's timer fires; a lease is released; half a lease passes.
What is never delivered is lost, so loss needs no step of its own.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

from saffronstack.fleet.leases.candidate import CandidateState
from saffronstack.fleet.leases.messages import AcceptorState, CatchUpRequest, DiskState, SendMessage
from saffronstack.harness.leases.model_state import Factory, Letter, ModelState


@dataclass(frozen=True, slots=True)
class Step:
    """The state after a step, and the breach of the lease's rules that it is, if any."""

    state: ModelState
    breach: str = ""


@dataclass(frozen=True, slots=True)
class _Delivery:
    """A candidate's requests reach some servers, or for ``replaced`` ones the machines that they replaced."""

    candidate: str
    servers: tuple[str, ...]
    is_late: bool
    is_partial: bool
    replaced: frozenset[str]


def steps_from(state: ModelState, make_acceptor: Factory) -> Iterator[Step]:
    """Return each step that can be taken."""
    for name in state.candidates:
        for delivery in _deliveries(state, name):
            step = _deliver(state, delivery)
            if step is not None:
                yield step
        yield from _late_arrivals(state, name)
        yield from _candidate_steps(state, name)
    yield from _duplicates(state)
    for server in state.acceptors:
        yield from _catch_up_steps(state, server)
        yield from _replacements(state, server, make_acceptor)
        yield from _restarts(state, server, make_acceptor)
    if state.budget.time_steps:
        after = _after(state, "half a lease passes", time_steps=1)
        after.time_steps += 1
        yield Step(after, after.find_breach())


def _after(state: ModelState, label: str, **used: int) -> ModelState:
    """Return a copy of a state with a step in its trail, and its faults taken from the budget."""
    after = state.copy()
    after.trail += (label,)
    if used:
        after.budget = state.budget.less(**used)
    return after


# ---- candidates


def _deliveries(state: ModelState, name: str) -> Iterator[_Delivery]:
    budget = state.budget
    waiting = sorted(server for candidate, server in state.requests if candidate == name)
    for count in range(1, len(waiting) + 1):
        is_partial = count < state.limits.majority
        if is_partial and not budget.partial_deliveries:
            continue
        for servers in combinations(waiting, count):
            awake = frozenset(servers) & state.replaced.keys()
            for is_late in (False, True) if budget.late_responses else (False,):
                for replaced in (frozenset[str](), awake) if awake else (frozenset[str](),):
                    yield _Delivery(name, servers, is_late, is_partial, replaced)


def _deliver(state: ModelState, delivery: _Delivery) -> Step | None:
    name = delivery.candidate
    kinds = sorted({type(state.requests[name, server]).__name__ for server in delivery.servers})
    places = (f"old {server}" if server in delivery.replaced else server for server in delivery.servers)
    label = f"{name} to {', '.join(places)}: {', '.join(kinds)}"
    after = _after(
        state,
        f"{label}, responses late" if delivery.is_late else label,
        late_responses=int(delivery.is_late),
        partial_deliveries=int(delivery.is_partial),
    )
    responses: list[Letter] = []
    for server in delivery.servers:
        request = Letter(name, server, after.requests.pop((name, server)))
        if state.budget.duplicates:
            after.keep_old(request)
        # A notification of the first waiter only has it prepare sooner, which its timer may do as well.
        responses += [
            Letter(server, name, action.message)
            for action in after.deliver(request, server in delivery.replaced)
            if isinstance(action, SendMessage) and action.receiver == name
        ]
    if not delivery.is_late:
        return _receive(after, responses)
    if not responses:
        return None
    after.late_responses += tuple(responses)
    return Step(after)


def _receive(after: ModelState, responses: list[Letter]) -> Step:
    """Let a candidate handle responses, up to the first breach."""
    for response in responses:
        candidate = after.own_candidate(response.receiver)
        actions = candidate.handle(after.candidate_now(), response.sender, response.message)
        breach = after.apply(response.receiver, actions)
        if breach:
            return Step(after, breach)
    return Step(after)


def _late_arrivals(state: ModelState, name: str) -> Iterator[Step]:
    arriving = [letter for letter in state.late_responses if letter.receiver == name]
    if arriving:
        after = _after(state, f"late responses to {name}")
        after.late_responses = tuple(letter for letter in state.late_responses if letter.receiver != name)
        yield _receive(after, arriving)


def _candidate_steps(state: ModelState, name: str) -> Iterator[Step]:
    now, candidate_state = state.candidate_now(), state.candidates[name].state
    if candidate_state is CandidateState.IDLE:
        after = _after(state, f"{name} begins")
        yield Step(after, after.apply(name, after.own_candidate(name).acquire(now)))
        return
    after = _after(state, f"{name}'s timer fires")
    actions = after.own_candidate(name).tick(now)
    if actions:
        yield Step(after, after.apply(name, actions))
    if state.budget.releases and candidate_state is CandidateState.HOLDING:
        after = _after(state, f"{name} releases", releases=1)
        yield Step(after, after.apply(name, after.own_candidate(name).release(now)))


def _duplicates(state: ModelState) -> Iterator[Step]:
    if not state.budget.duplicates:
        return
    for letter in state.old_requests:
        kind = type(letter.message).__name__
        after = _after(state, f"{letter.sender} to {letter.receiver} again: {kind}", duplicates=1)
        after.old_requests = ()
        after.deliver(letter)  # the response to it is of an older round, or lost
        yield Step(after)


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
            after = _after(state, f"{server} catches up from {'old ' if is_replaced else ''}{other}")
            request = CatchUpRequest(server, recovery.nonce, incarnation)
            for action in after.deliver(Letter(server, other, request), is_replaced):
                if isinstance(action, SendMessage):
                    after.deliver(Letter(other, server, action.message))
            yield Step(after)
    # The time to wait for responses may be over by the server's own clock.
    after = _after(state, f"{server} has recovered")
    actions = after.own_acceptor(server).recovery.complete_if_possible(now)
    if actions:
        after.store(server, actions)
        yield Step(after)


def _replacements(state: ModelState, server: str, make_acceptor: Factory) -> Iterator[Step]:
    acceptors = state.acceptors
    if state.budget.replacements and all(one.recovery.has_recovered for one in acceptors.values()):
        after = _after(state, f"{server} is replaced while paused", replacements=1)
        after.replaced[server] = acceptors[server]
        _restart(after, server, make_acceptor, DiskState.LOST, (AcceptorState(),))
        yield Step(after)


def _restarts(state: ModelState, server: str, make_acceptor: Factory) -> Iterator[Step]:
    if not state.budget.restarts:
        return
    disk = state.disks[server]
    after = _after(state, f"{server} restarts", restarts=1)
    _restart(after, server, make_acceptor, DiskState.INTACT, disk)
    yield Step(after)
    others = (acceptor for other, acceptor in state.acceptors.items() if other != server)
    if not state.budget.disk_faults or not all(other.recovery.has_recovered for other in others):
        return
    if len(disk) > 1:
        after = _after(state, f"{server} restarts, its disk rolled back", restarts=1, disk_faults=1)
        _restart(after, server, make_acceptor, DiskState.INTACT, disk[:-1])
        yield Step(after)
    after = _after(state, f"{server} restarts, its disk lost", restarts=1, disk_faults=1)
    _restart(after, server, make_acceptor, DiskState.LOST, (AcceptorState(),))
    yield Step(after)


def _restart(
    after: ModelState,
    server: str,
    make_acceptor: Factory,
    disk_state: DiskState,
    disk: tuple[AcceptorState, ...],
) -> None:
    nonce = after.acceptors[server].recovery.nonce + 1
    after.disks[server] = disk
    after.acceptors[server] = make_acceptor(
        server, after.limits, disk_state, disk[-1], after.server_now(), nonce
    )
