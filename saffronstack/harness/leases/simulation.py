"""Leases in virtual time: keepers, candidates and a resource under faults drawn from a seed, and the judge.

Everything that happens follows from the seed. The judge knows no keeper: it sees who believed to hold when,
by the world's own time, and what the resource took under which token."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import Candidate, CandidateAction, LeaseAcquired, LeaseLost
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorState,
    DiskState,
    Message,
    PersistState,
    SendMessage,
    SetTimer,
)

LEASE = "task/usage"
AcceptorMaker = Callable[[str, LeaseLimits, DiskState, AcceptorState, float, int], Acceptor]
CandidateMaker = Callable[[str, str, float, LeaseLimits, int], Candidate]


@dataclass(frozen=True)
class Faults:
    """What goes wrong, as chances; times in seconds of the world."""

    loss: float = 0.1
    twice: float = 0.05
    late: float = 0.05  # a message takes up to ``late_s``
    late_s: float = 8.0
    usual_s: float = 0.01
    every_s: float = 1.5  # a fault of a process comes this often
    down_s: float = 2.0
    old_disk: float = 0.15  # of the restarts find a disk that went back in time
    lost_disk: float = 0.15
    paused_s: float = 4.0  # a candidate is stopped for up to this long
    cut_s: float = 3.0  # a keeper is cut off, one way or both
    ghosts: float = 0.1  # of the restarts: another machine comes in the place of one that only paused
    ghost_s: float = 30.0  # which is awake for up to this long, and heard by half of the others
    one_disk: bool = True  # no second disk lies while a first one has not been made good


@dataclass
class Outcome:
    """What the judge found."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    gained: int = 0
    held_s: float = 0.0
    acts: int = 0
    refused: int = 0  # acts under an older token, which the resource turned away


class World:
    """One run. Clocks run at rates of their own within the bound."""

    def __init__(
        self,
        seed: int,
        *,
        keepers: int = 3,
        candidates: int = 3,
        length_s: float = 3.0,
        faults: Faults | None = None,
        keeper: AcceptorMaker = Acceptor,
        candidate: CandidateMaker = Candidate,
    ) -> None:
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        names = tuple(f"k{n}" for n in range(keepers))
        self.bounds = LeaseLimits(names, max_lease_s=length_s)
        self.outcome = Outcome(seed)
        self._make_keeper, self._make_candidate = keeper, candidate
        self._length_s = length_s
        self._now = 0.0
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._rate = {name: 1 + self.bounds.max_clock_drift * (self.random.random() - 0.5) for name in names}
        # What each keeper saved, the newest last; one with nothing saved finds its disk lost at each start.
        self._disks: dict[str, list[AcceptorState]] = {name: [AcceptorState()] for name in names}
        self._keepers: dict[str, Acceptor | None] = {
            name: keeper(name, self.bounds, DiskState.NEW, AcceptorState(), 0.0, 0) for name in names
        }
        self._cut: set[tuple[str, str]] = set()
        self._ghosts: dict[str, Acceptor] = {}
        self._old_address: set[tuple[str, str]] = set()  # who still reaches a keeper that was replaced
        self._candidates: dict[str, Candidate] = {}
        self._paused: dict[str, float] = {}
        self._lives = count()
        self._token = 0  # the greatest that the resource saw
        self._owner = ""
        self._gained: dict[int, str] = {}
        for _ in range(candidates):
            self._arrive()

    # ---- the run

    def run(self, seconds: float) -> Outcome:
        """Play for so long; what the judge found."""
        self._at(self.random.expovariate(1 / self.faults.every_s), self._trouble)
        self._at(0.1, self._act)
        while self._events and self._events[0][0] < seconds:
            at, _, event = heapq.heappop(self._events)
            self._now = at
            event()
            self._judge()
        return self.outcome

    def _at(self, after_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + after_s, next(self._order), event))

    def _clock(self, name: str) -> float:
        return self._now * self._rate[name]

    def _judge(self) -> None:
        """Two believe to hold at one moment: the pair that a lease must never have."""
        holding = [
            name for name, one in self._candidates.items() if one.is_holder(self._clock(name))
        ]  # a paused one too: by its clock it would still act
        if len(holding) > 1:
            self._breach(f"{' and '.join(holding)} hold at once")
        newest = max(self._gained, default=0)
        for name in holding:
            if self._candidates[name].token < newest:
                self._breach(f"{name} holds under token {self._candidates[name].token}, after {newest}")

    def _breach(self, text: str) -> None:
        if len(self.outcome.breaches) < 10:
            self.outcome.breaches.append(f"{self._now:.3f} s: {text}")

    # ---- messages

    def _post(self, sender: str, to: str, message: Message) -> None:
        faults, chance = self.faults, self.random
        if (sender, to) in self._cut or chance.random() < faults.loss:
            return
        for _ in range(1 + (chance.random() < faults.twice)):
            takes_s = faults.usual_s * chance.expovariate(1.0)
            if chance.random() < faults.late:
                takes_s += chance.random() * faults.late_s
            self._at(takes_s, lambda: self._deliver(sender, to, message))

    def _deliver(self, sender: str, to: str, message: Message) -> None:
        if to in self._keepers:
            ghost = self._ghosts.get(to)
            if ghost is not None and self._at_old_address(sender, to):
                said = ghost.handle(self._clock(to), sender, message)
                self._did(to, [action for action in said if isinstance(action, SendMessage)])
                return
            keeper = self._keepers[to]
            if keeper is not None:
                self._did(to, keeper.handle(self._clock(to), sender, message))
        elif to in self._candidates:
            if to in self._paused:  # it finds it when it wakes
                self._at(self._paused[to] - self._now, lambda: self._deliver(sender, to, message))
            else:
                one = self._candidates[to]
                self._heard(to, one.handle(self._clock(to), sender, message))

    def _at_old_address(self, sender: str, to: str) -> bool:
        """Whether it knows nothing of the new one yet: half of them, whoever they are."""
        return (sender, to) in self._old_address

    def _did(self, name: str, actions: list[AcceptorAction]) -> None:
        for action in actions:
            if isinstance(action, PersistState):
                self._disks[name].append(action.state)
                del self._disks[name][:-20]
            elif isinstance(action, SendMessage):
                self._post(name, action.receiver, action.message)
            else:
                self._wake(name, action)

    def _heard(self, name: str, actions: list[CandidateAction]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._post(name, action.receiver, action.message)
            elif isinstance(action, SetTimer):
                self._wake(name, action)
            elif isinstance(action, LeaseAcquired):
                self.outcome.gained += 1
                owner = self._gained.setdefault(action.token, name)
                if owner != name or action.token < max(self._gained):
                    self._breach(f"{name} gained token {action.token}, after {max(self._gained)}")
            elif isinstance(action, LeaseLost) and self.random.random() < 0.1:
                self._at(0.0, lambda: self._leave(name))

    def _wake(self, name: str, wake: SetTimer) -> None:
        after_s = max(0.0, wake.deadline_s / self._rate[name] - self._now) + 1e-6
        self._at(after_s, lambda: self._tick(name))

    def _tick(self, name: str) -> None:
        keeper = self._keepers.get(name)
        if keeper is not None:
            self._did(name, keeper.tick(self._clock(name)))
        elif name in self._paused:
            self._at(self._paused[name] - self._now, lambda: self._tick(name))
        elif name in self._candidates:
            self._heard(name, self._candidates[name].tick(self._clock(name)))

    # ---- candidates and the resource

    def _arrive(self) -> None:
        life = next(self._lives)
        name = f"c{life}"
        self._rate[name] = 1 + self.bounds.max_clock_drift * (self.random.random() - 0.5)
        one = self._make_candidate(name, LEASE, self._length_s, self.bounds, self.random.randrange(2**31))
        self._candidates[name] = one
        self._heard(name, one.acquire(self._clock(name)))

    def _leave(self, name: str) -> None:
        if self._candidates.pop(name, None) is not None:
            self._paused.pop(name, None)
            self._arrive()

    def _act(self) -> None:
        """Whoever holds has the resource do something; what was decided before a pause comes after it."""
        for name, one in self._candidates.items():
            if name not in self._paused and one.is_holder(self._clock(name)):
                token = one.token
                delay_s = self.random.random() * (0.02 if self.random.random() < 0.95 else 6.0)
                self._at(delay_s, lambda token=token, name=name: self._resource(token, name))  # type: ignore[misc]
                self.outcome.held_s += 0.1
        self._at(0.1, self._act)

    def _resource(self, token: int, name: str) -> None:
        if token < self._token:
            self.outcome.refused += 1
            return
        if token == self._token and name != self._owner:
            self._breach(f"{name} and {self._owner} acted under one token, {token}")
        self._token, self._owner = token, name
        self.outcome.acts += 1

    # ---- troubles

    def _trouble(self) -> None:
        faults, chance = self.faults, self.random
        self._at(chance.expovariate(1 / faults.every_s), self._trouble)
        kind = chance.random()
        if kind < 0.4:
            name = chance.choice(list(self._keepers))
            keeper = self._keepers[name]
            if keeper is not None:
                self._keepers[name] = None
                ghost = keeper if self._may_lie(name) and chance.random() < faults.ghosts else None
                self._at(chance.random() * faults.down_s, lambda: self._return(name, ghost))
        elif kind < 0.6:
            name = chance.choice(list(self._candidates))
            if name not in self._paused:
                until_s = self._now + chance.random() * faults.paused_s
                self._paused[name] = until_s
                self._at(until_s - self._now, lambda: self._resume(name))
        elif kind < 0.7:
            self._leave(chance.choice(list(self._candidates)))
        else:
            name = chance.choice(list(self._keepers))
            peers = [*self._keepers, *self._candidates]
            cut = {(name, peer) for peer in peers} if chance.random() < 0.7 else set()
            cut |= {(peer, name) for peer in peers} if chance.random() < 0.7 else set()
            self._cut |= cut
            self._at(chance.random() * faults.cut_s, lambda: self._cut.difference_update(cut))

    def _resume(self, name: str) -> None:
        """What came meanwhile is read before or after the clock is looked at: both happen."""
        self._paused.pop(name, None)
        if name in self._candidates:
            self._at(0.001 * self.random.choice((0.0, 1.0)), lambda: self._tick(name))

    def _may_lie(self, name: str) -> bool:
        """One disk lies at a time, as promised."""
        others = [keeper for other, keeper in self._keepers.items() if other != name]
        return not self.faults.one_disk or all(
            keeper is not None and keeper.recovery.has_recovered for keeper in others
        )

    def _wakes(self, name: str, ghost: Acceptor) -> None:
        """One that was taken for dead wakes beside the one in its place; some still have its address."""
        chance = self.random
        self._ghosts[name] = ghost
        self._old_address = {pair for pair in self._old_address if pair[1] != name}
        for peer in [*self._keepers, *self._candidates]:
            if chance.random() < 0.5:
                self._old_address.add((peer, name))

        def ends() -> None:
            if self._ghosts.get(name) is ghost:
                del self._ghosts[name]

        self._at(chance.random() * self.faults.ghost_s, ends)

    def _return(self, name: str, ghost: Acceptor | None = None) -> None:
        """A keeper starts again from its disk as that is now, or another one in its place, its disk empty."""
        faults, chance = self.faults, self.random
        disk = self._disks[name]
        kind = chance.random()
        if ghost is not None and self._may_lie(name):
            disk.clear()
            self._wakes(name, ghost)
        elif self._may_lie(name):
            if kind < faults.old_disk and disk:
                older = max(1, len(disk) - chance.randrange(1, 6))
                if disk[older - 1].incarnation == disk[-1].incarnation:  # else it is one that was replaced
                    del disk[older:]
            elif kind < faults.old_disk + faults.lost_disk:
                disk.clear()
        found, saved = (DiskState.INTACT, disk[-1]) if disk else (DiskState.LOST, AcceptorState())
        keeper = self._make_keeper(
            name, self.bounds, found, saved, self._clock(name), chance.randrange(1, 2**31)
        )
        self._keepers[name] = keeper
        self._did(name, keeper.tick(self._clock(name)))
