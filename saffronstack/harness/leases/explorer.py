"""Every order of a bounded number of steps of keepers and two candidates: no two hold at once, tokens grow.

A step: a candidate's requests reach some keepers, and the answers come back or stay on their way; those that
stayed come late; an old request comes again; a restart of a keeper with its disk as it is, older or lost; a
keeper's question to another; a candidate's look at its clock; a lease given back; half a lease's time. What
is never delivered is lost, so loss needs no step of its own. Faults have budgets; states that are the same
are visited once."""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from itertools import combinations
from typing import Any

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import Candidate, CandidateAction, CandidateState, LeaseAcquired
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorState,
    AcceptRequest,
    AcceptResponse,
    CatchUpRequest,
    DiskState,
    Message,
    PersistState,
    PrepareRequest,
    PrepareResponse,
    ReleaseRequest,
    SendMessage,
)

LEASE = "l"
LENGTH_S = 1.0
STEP_S = 0.5
DRIFT = 0.2  # wide, so that a slow and a fast clock differ over a few steps


@dataclass(frozen=True)
class Budget:
    """How many of each fault a run may hold."""

    portions: int = 2  # a request that reaches one keeper alone; to a majority or all is no fault
    late: int = 1
    again: int = 1
    restarts: int = 1
    lies: int = 1  # of the restarts, with an older or a lost disk
    halves: int = 4  # of the lease's time
    returns: int = 1
    ghosts: int = 0  # keepers replaced while they pause, and wake: requests reach the one or the other


class _Half(random.Random):
    """Drawn pauses are of one length: orders are what is explored."""

    def random(self) -> float:
        return 0.5


@dataclass(eq=False)
class _World:
    """One state. Machines are shared between states and cloned by whoever changes one."""

    bounds: LeaseLimits
    keepers: dict[str, Acceptor]
    disks: dict[str, tuple[AcceptorState, ...]]
    candidates: dict[str, Candidate]
    asked: dict[tuple[str, str], Message]  # the newest request of a candidate to a keeper, not yet delivered
    flying: tuple[tuple[str, str, Message], ...]  # answers on their way: keeper, candidate, message
    old: tuple[tuple[str, str, Message], ...]  # requests that were delivered or passed, and may come yet
    budget: Budget
    half: int
    token: int
    trail: tuple[str, ...]
    ghosts: dict[str, Acceptor]  # replaced, and awake again

    def copy(self) -> _World:
        return _World(
            self.bounds, dict(self.keepers), dict(self.disks), dict(self.candidates), dict(self.asked),
            self.flying, self.old, self.budget, self.half, self.token, self.trail, dict(self.ghosts),
        )  # fmt: skip

    def keeper(self, name: str, ghost: bool = False) -> Acceptor:
        """One of this state's own, to be changed."""
        place = self.ghosts if ghost else self.keepers
        keeper = place[name] = copy.copy(place[name])
        table = keeper.table = copy.copy(keeper.table)
        table.leases = {lease: replace(entry, waiters={}) for lease, entry in table.leases.items()}
        table.observed_writes, table.incarnations = dict(table.observed_writes), dict(table.incarnations)
        recovery = keeper.recovery = copy.copy(keeper.recovery)
        recovery.table, recovery.responses = table, dict(recovery.responses)
        return keeper

    def candidate(self, name: str) -> Candidate:
        """One of this state's own, to be changed."""
        candidate = copy.copy(self.candidates[name])
        candidate._approvals, candidate._rejections = dict(candidate._approvals), dict(candidate._rejections)
        candidate._incarnations = dict(candidate._incarnations)
        self.candidates[name] = candidate
        return candidate

    def key(self) -> int:
        """What tells this state from others; how it came about does not, nor which keeper is which."""
        own = {name: self._own(name) for name in self.keepers}
        order = sorted(own, key=lambda name: hash(own[name]))
        place = {name: number for number, name in enumerate(order)}
        crossing = []
        for name in order:
            keeper = self.keepers[name]
            seen = sorted((place[other], write) for other, write in keeper.table.observed_writes.items())
            heard = sorted(
                (place[other], told.observed_write, told.is_recovered, told.observed_incarnation)
                for other, told in keeper.recovery.responses.items()
            )
            takes = [self.asked.get((who, name)) for who in self.candidates]
            witness = [
                sorted((place[other], write) for other, write in take.observed_writes)
                if isinstance(take, AcceptRequest)
                else []
                for take in takes
            ]
            lives = [sorted((place[other], life) for other, life in keeper.table.incarnations.items())]
            for who in self.candidates.values():
                word = who._approvals.get(name) or who._rejections.get(name)
                lives.append(
                    sorted((place[other], life) for other, life in word.incarnations) if word else []
                )
                lives.append([(place[name], who._incarnations.get(name, 0))])
            crossing.append((seen, heard, witness, lives))
        crossing_marks = repr(crossing)
        candidates = tuple(
            (
                one.state,
                one.token,
                one.expires_s,
                one._ballot,
                one._highest_ballot,
                one._sequence,
                one._backoff_s,
            )
            for one in self.candidates.values()
        )
        clocks = tuple((one._round_started_s, one._deadline_s) for one in self.candidates.values())
        owned = tuple(own[name] for name in order)
        return hash((owned, crossing_marks, candidates, clocks, self.budget, self.half, self.token))

    def _own(self, name: str) -> tuple[object, ...]:
        """What concerns one keeper, without any keeper's name."""
        table, recovery = self.keepers[name].table, self.keepers[name].recovery
        links = []
        for who, one in self.candidates.items():
            links.append(
                (
                    _bare(self.asked.get((who, name))),
                    _bare(one._approvals.get(name)),
                    _bare(one._rejections.get(name)),
                    tuple(_bare(word) for sender, to, word in self.flying if (sender, to) == (name, who)),
                    tuple(_bare(word) for sender, to, word in self.old if (sender, to) == (who, name)),
                )
            )
        return (
            (recovery.disk_state, recovery.has_recovered, recovery.votes_from_s),
            (table.last_write, table.incarnation),
            tuple((entry.record, entry.expires_s) for entry in table.leases.values()),
            tuple((saved.last_write, saved.records) for saved in self.disks[name]),
            tuple(links),
            self._ghost(name),
        )

    def _ghost(self, name: str) -> tuple[object, ...]:
        ghost = self.ghosts.get(name)
        if ghost is None:
            return ()
        entries = ((entry.record, entry.expires_s) for entry in ghost.table.leases.values())
        return ghost.recovery.disk_state, ghost.recovery.has_recovered, *entries

    # Clocks: keepers run fast, candidates slow; by less than the bound between any two.
    def keeper_now(self) -> float:
        return self.half * STEP_S * (1 + DRIFT / 2.1)

    def candidate_now(self) -> float:
        return self.half * STEP_S * (1 - DRIFT / 2.1)

    # ---- what a step does

    def heard(self, name: str, actions: list[CandidateAction]) -> str:
        """Carry out what a candidate wants; a breach, or nothing."""
        for action in actions:
            if isinstance(action, SendMessage):
                passed = self.asked.get((name, action.receiver))
                if passed is not None and self.budget.again:
                    self.old = (*self.old, (name, action.receiver, passed))[-6:]
                self.asked[name, action.receiver] = action.message
            elif isinstance(action, LeaseAcquired):
                if action.token <= self.token:
                    return f"{name} gained token {action.token} after {self.token}"
                self.token = action.token
        return self.both()

    def both(self) -> str:
        """The breach where two believe to hold."""
        now = self.candidate_now()
        holding = [who for who, one in self.candidates.items() if one.is_holder(now)]
        if len(holding) > 1:
            return f"{' and '.join(holding)} hold at once"
        for who in holding:
            if self.candidates[who].token < self.token:
                return f"{who} holds under token {self.candidates[who].token} after {self.token}"
        return ""

    def asks(self, name: str, sender: str, message: Message, ghost: bool = False) -> list[AcceptorAction]:
        """Have a keeper decide, or the one that it replaced; what it saves is on its disk."""
        actions = self.keeper(name, ghost).handle(self.keeper_now(), sender, message)
        for action in actions:
            if isinstance(action, PersistState) and not ghost:
                self.disks[name] = (*self.disks[name], action.state)[-3:]
        return actions


def _bare(message: object) -> object:
    """A message without the names of keepers, which its place tells."""
    if isinstance(message, PrepareResponse):
        held = message.remaining_s, message.value, message.last_write
        return message.ballot, message.is_promised, message.highest_ballot, message.incarnation, *held
    if isinstance(message, AcceptResponse):
        return (
            message.ballot,
            message.sequence,
            message.is_accepted,
            message.highest_ballot,
            message.remaining_s,
            message.incarnation,
        )
    if isinstance(message, AcceptRequest):
        return message.ballot, message.sequence, message.value
    if isinstance(message, PrepareRequest | ReleaseRequest):
        return type(message).__name__, message.ballot
    return None


Maker = Callable[..., Any]


def start(budget: Budget, keeper: Maker = Acceptor, candidate: Maker = Candidate, keepers: int = 3) -> _World:
    """Three new keepers, and two candidates that have not asked yet."""
    bounds = LeaseLimits(tuple(f"k{n}" for n in range(keepers)), max_lease_s=LENGTH_S, max_clock_drift=DRIFT)
    world = _World(
        bounds,
        {name: keeper(name, bounds, DiskState.NEW, AcceptorState(), 0.0, 0) for name in bounds.servers},
        dict.fromkeys(bounds.servers, (AcceptorState(),)), {}, {}, (), (), budget, 0, 0, (), {},
    )  # fmt: skip
    for name in ("a", "b"):
        one = candidate(name, LEASE, LENGTH_S, bounds, 1)
        one._random = _Half()
        world.candidates[name] = one
    return world


def steps(world: _World, keeper: Maker) -> Iterator[tuple[_World, str]]:
    """Each state that one step leads to, and the breach that it is, if any."""
    budget = world.budget
    for name in world.candidates:
        open_ = sorted(to for who, to in world.asked if who == name)
        for count in range(1, len(open_) + 1):
            portion = int(count < world.bounds.majority)
            if portion > budget.portions:
                continue
            for some in combinations(open_, count):
                ghosts = frozenset(some) & world.ghosts.keys()
                for late in (False, True) if budget.late else (False,):
                    for woken in (frozenset[str](), ghosts) if ghosts else (frozenset[str](),):
                        found = _exchange(world, name, some, late, portion, woken)
                        if found is not None:
                            yield found
        mine = [entry for entry in world.flying if entry[1] == name]
        if mine:
            after = world.copy()
            after.flying = tuple(entry for entry in world.flying if entry[1] != name)
            after.trail += (f"late answers to {name}",)
            breach = ""
            for sender, _, message in mine:
                if not breach:
                    answered = after.candidate(name).handle(after.candidate_now(), sender, message)
                    breach = after.heard(name, answered)
            yield after, breach
        yield from _of_candidate(world, name)
    if budget.again:
        for name, to, message in world.old:
            after = world.copy()
            after.budget, after.old = _less(budget, again=1), ()
            after.asks(to, name, message)  # the answer to what came again is of an older round, or lost
            after.trail += (f"{name} to {to} again: {type(message).__name__}",)
            yield after, ""
    for name in world.keepers:
        yield from _of_keeper(world, name, keeper)
    if budget.halves:
        after = world.copy()
        after.budget, after.half = _less(budget, halves=1), world.half + 1
        after.trail += ("half a lease's time",)
        yield after, after.both()


def _exchange(
    world: _World, name: str, some: tuple[str, ...], late: bool, portion: int, woken: frozenset[str]
) -> tuple[_World, str] | None:
    """A candidate's requests reach some keepers, or for ``woken`` ones those that they replaced; their
    answers come back, or stay on their way."""
    after = world.copy()
    after.budget = _less(world.budget, late=int(late), portions=portion)
    kinds = sorted({type(world.asked[name, to]).__name__ for to in some})
    answers: list[tuple[str, Message]] = []
    for to in some:
        message = after.asked.pop((name, to))
        if world.budget.again:
            after.old = (*after.old, (name, to, message))[-6:]
        # A word to the next in line only has it ask sooner, which its clock may do as well.
        answers += [
            (to, action.message)
            for action in after.asks(to, name, message, to in woken)
            if isinstance(action, SendMessage) and action.receiver == name
        ]
    places = ", ".join(f"{to} as it was" if to in woken else to for to in some)
    after.trail += (f"{name} to {places}: {', '.join(kinds)}{', answers late' if late else ''}",)
    if late:
        if not answers:
            return None
        after.flying += tuple((to, name, answer) for to, answer in answers)
        return after, ""
    breach = ""
    for to, answer in answers:
        if not breach:
            breach = after.heard(name, after.candidate(name).handle(after.candidate_now(), to, answer))
    return after, breach


def _of_candidate(world: _World, name: str) -> Iterator[tuple[_World, str]]:
    now = world.candidate_now()
    if world.candidates[name].state is CandidateState.IDLE:
        after = world.copy()
        after.trail += (f"{name} wants it",)
        yield after, after.heard(name, after.candidate(name).acquire(now))
        return
    after = world.copy()
    actions = after.candidate(name).tick(now)
    if actions:
        after.trail += (f"{name} looks at its clock",)
        yield after, after.heard(name, actions)
    if world.budget.returns and world.candidates[name].state is CandidateState.HOLDING:
        after = world.copy()
        after.budget = _less(world.budget, returns=1)
        after.trail += (f"{name} gives back",)
        yield after, after.heard(name, after.candidate(name).release(now))


def _of_keeper(world: _World, name: str, keeper: Maker) -> Iterator[tuple[_World, str]]:
    budget, now = world.budget, world.keeper_now()
    one = world.keepers[name]
    recovery, incarnation = one.recovery, one.table.incarnation
    if not recovery.has_recovered and now >= recovery.votes_from_s:
        for other in world.keepers:
            response = recovery.responses.get(other)
            if other == name or (response is not None and response.observed_incarnation == incarnation):
                continue
            for woken in (False, True) if other in world.ghosts else (False,):
                after = world.copy()
                request = CatchUpRequest(name, recovery.nonce, incarnation)
                for action in after.asks(other, name, request, woken):
                    if isinstance(action, SendMessage):
                        after.asks(name, other, action.message)
                after.trail += (f"{name} learns of {other}{' as it was' if woken else ''}",)
                yield after, ""
        after = world.copy()  # time to hear others is over, or not: that is settled by its own clock
        settled = after.keeper(name).recovery.complete_if_possible(now)
        if settled:
            for action in settled:
                if isinstance(action, PersistState):
                    after.disks[name] = (*after.disks[name], action.state)[-3:]
            after.trail += (f"{name} is sure",)
            yield after, ""
    if budget.ghosts and all(other.recovery.has_recovered for other in world.keepers.values()):
        after = world.copy()
        after.budget, after.ghosts[name] = _less(budget, ghosts=1), one
        after.disks[name] = (AcceptorState(),)
        after.keepers[name] = keeper(
            name, world.bounds, DiskState.LOST, AcceptorState(), now, recovery.nonce + 1
        )
        after.trail += (f"{name} is replaced while it pauses",)
        yield after, ""
    if not budget.restarts:
        return
    well = all(other.recovery.has_recovered for key, other in world.keepers.items() if key != name)
    disk = world.disks[name]
    found = [("as it is", DiskState.INTACT, disk)]
    if budget.lies and well:
        found += [("older", DiskState.INTACT, disk[:-1])] if len(disk) > 1 else []
        found += [("lost", DiskState.LOST, (AcceptorState(),))]
    for how, kind, left in found:
        after = world.copy()
        lies = int(kind is DiskState.LOST or left is not disk)
        after.budget = _less(budget, restarts=1, lies=lies)
        after.disks[name] = left
        after.keepers[name] = keeper(name, world.bounds, kind, left[-1], now, recovery.nonce + 1)
        after.trail += (f"{name} restarts, its disk {how}",)
        yield after, ""


def _less(budget: Budget, **by: int) -> Budget:
    values = {name: getattr(budget, name) - by.get(name, 0) for name in Budget.__dataclass_fields__}
    return Budget(**values)


@dataclass
class Explored:
    """What an exploration came to."""

    states: int = 0
    depth: int = 0  # the deepest state seen
    whole: int = 0  # to this depth every state was seen
    breach: str = ""
    trail: tuple[str, ...] = ()


def follow(world: _World, keeper: Maker, labels: Sequence[str]) -> _World:
    """The state after these steps, each told as a trail tells it. ValueError where one can't be taken."""
    for label in labels:
        for after, breach in steps(world, keeper):
            if after.trail[-1] == label and not breach:
                world = after
                break
        else:
            raise ValueError(f"no step {label!r} after {world.trail}")
    return world


def explore(
    depth: int,
    budget: Budget,
    keeper: Maker = Acceptor,
    candidate: Maker = Candidate,
    most: int = 10_000_000,
    after: Sequence[str] = (),
) -> Explored:
    """Breadth first to a depth in steps, or ``most`` states; the shortest breach found. ``after``: steps that
    every run begins with, so that what needs many can be reached."""
    first = follow(start(budget, keeper, candidate), keeper, after)
    seen = {first.key()}
    queue: deque[_World] = deque([first])
    found = Explored(1)
    while queue and found.states < most:
        world = queue.popleft()
        found.whole = len(world.trail)
        if len(world.trail) >= depth:
            continue
        for following, breach in steps(world, keeper):
            if breach:
                found.breach, found.trail, found.depth = breach, following.trail, len(following.trail)
                return found
            mark = following.key()
            if mark not in seen:
                seen.add(mark)
                found.states += 1
                found.depth = len(following.trail)
                queue.append(following)
    return found
