"""A candidate's decisions: to ask, to take, to renew in time, and when it holds no more. Free of I/O.

It counts its lease from before it asked the keepers, which count from after they heard: by its own clock it
stops first. No check holds over a pause between it and the act: the resource compares the token."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from saffronstack.fleet.leases.messages import (
    Ask,
    Bounds,
    Freed,
    Lives,
    Message,
    Promise,
    Release,
    Say,
    Take,
    Taken,
    WakeAt,
    Written,
)

ROUND_S = 1.0  # a round without a majority's answer is over after this, or a third of the lease's time
RENEW_PART = 1 / 3  # of the lease's time after which it is renewed
PAUSE_S = 0.05  # before asking again, doubled and drawn, up to a third of the lease's time


class State(Enum):
    """Where a candidate stands."""

    IDLE = "idle"
    ASKING = "asking"
    TAKING = "taking"
    HOLDING = "holding"
    PAUSED = "paused"


@dataclass(frozen=True, slots=True)
class Gained:
    """It holds the lease, under this token, until then by its own clock unless renewed."""

    token: int
    until_s: float
    value: Written


@dataclass(frozen=True, slots=True)
class Kept:
    """Renewed."""

    token: int
    until_s: float


@dataclass(frozen=True, slots=True)
class Lost:
    """It holds the lease no more; ``why`` for a person."""

    token: int
    why: str


@dataclass(frozen=True, slots=True)
class Stored:
    """A value that was put is held by a majority."""

    value: Written


CandidateAction = Say | WakeAt | Gained | Kept | Lost | Stored


class Candidate:
    """One that wants a lease. ``want``, ``put``, ``give_back``, ``handle`` and ``tick`` are the entries."""

    def __init__(self, name: str, lease: str, length_s: float, bounds: Bounds, seed: int) -> None:
        """``name`` is new with every life of its process. ValueError for a length that no keeper grants."""
        if not 0 < length_s <= bounds.longest_s:
            raise ValueError(f"a lease runs for at most {bounds.longest_s:g} s, and not for {length_s:g} s")
        self.name, self.lease, self.length_s, self.bounds = name, lease, length_s, bounds
        self.state = State.IDLE
        self.token = 0
        self.until_s = 0.0
        self.value = Written()
        self.holder = ""  # another that holds it, by the last word heard
        self._wanted = False
        self._random = random.Random(seed)
        self._number = 0
        self._highest = 0
        self._round = 0
        self._began_s = 0.0
        self._due_s = 0.0
        self._pause_s = PAUSE_S
        self._yes: dict[str, Promise | Taken] = {}
        self._no: dict[str, Promise | Taken] = {}
        self._lives: dict[str, int] = {}  # the greatest that any keeper told of each
        self._putting: Written | None = None

    @property
    def waits(self) -> bool:
        """Whether it waits in line."""
        return self.state is State.PAUSED

    # ---- what its owner asks

    def want(self, now: float) -> list[CandidateAction]:
        """Get the lease and keep it."""
        self._wanted = True
        return self._ask(now) if self.state is State.IDLE else []

    def holds(self, now: float) -> bool:
        """Whether it holds the lease now."""
        return self.state is State.HOLDING and now < self.until_s

    def put(self, now: float, content: bytes) -> list[CandidateAction]:
        """Write the value; ``Stored`` tells when a majority has it. ValueError where it does not hold."""
        if not self.holds(now):
            raise ValueError("only a holder writes a lease's value")
        self._putting = self.value = Written(self.token, self.value.count + 1, content)
        return self._renew(now)

    def give_back(self, now: float) -> list[CandidateAction]:
        """Hold it no more, and want it no more; the next one need not wait."""
        held, number = self.holds(now), self._number
        self._wanted, self.state, self.until_s = False, State.IDLE, 0.0
        said: list[CandidateAction] = [*self._say(Release(self.lease, self.name, number))]
        return [*said, Lost(self.token, "given back")] if held else said

    # ---- events

    def tick(self, now: float) -> list[CandidateAction]:
        """Time has passed."""
        if self.state is State.HOLDING:
            if now >= self.until_s:
                return self._end(now, "no majority renewed it in time")
            return self._renew(now) if now >= self._due_s else []
        if self.state is State.IDLE or now < self._due_s:
            return []
        if self.state is State.PAUSED:
            return self._ask(now)
        return self._pause(now)

    def handle(self, now: float, sender: str, message: Message) -> list[CandidateAction]:
        """A keeper's answer; what is late, of another round or of nobody's changes nothing."""
        if self.state is State.HOLDING and now >= self.until_s:
            return self._end(now, "no majority renewed it in time")
        if not isinstance(message, Promise | Taken | Freed) or message.keeper != sender:
            return []
        if message.keeper not in self.bounds.keepers or message.lease != self.lease:
            return []
        if message.candidate != self.name:
            return []
        if isinstance(message, Freed):
            return self._ask(now) if self.state is State.PAUSED else []
        self._highest = max(self._highest, message.highest)
        for keeper, life in ((message.keeper, message.life), *message.lives):
            if keeper in self.bounds.keepers and life > self._lives.get(keeper, 0):
                self._lives[keeper] = life
        if isinstance(message, Promise):
            return self._promised(now, message)
        return self._taken(now, message)

    # ---- inside

    def _ask(self, now: float) -> list[CandidateAction]:
        self.state = State.ASKING
        self._number = self._highest = self._highest + 1
        self._begin(now)
        ask = Ask(self.lease, self.name, self._number, self._known_lives())
        return [*self._say(ask), WakeAt(self._due_s)]

    def _promised(self, now: float, promise: Promise) -> list[CandidateAction]:
        if self.state is not State.ASKING or promise.number != self._number:
            return []
        (self._yes if promise.promised else self._no)[promise.keeper] = promise
        self.holder = promise.holder or self.holder
        if len(self._no) > len(self.bounds.keepers) - self.bounds.majority:
            return self._pause(now)
        promises = [word for word in self._counted() if isinstance(word, Promise)]
        if len(promises) < self.bounds.majority:
            return []
        self.value = max((word.value for word in promises), key=lambda value: (value.token, value.count))
        self.state = State.TAKING
        self._begin(now)
        witness = tuple((word.keeper, word.write) for word in promises)
        return [*self._say(self._take(witness)), WakeAt(self._due_s)]

    def _counted(self) -> list[Promise | Taken]:
        """Those that said yes and are not known to have been replaced: of two keepers of one name, the one
        that was taken for dead may wake, and whoever still has its address would count it."""
        return [word for word in self._yes.values() if word.life >= self._lives.get(word.keeper, 0)]

    def _known_lives(self) -> Lives:
        return tuple(sorted(self._lives.items()))

    def _take(self, witness: tuple[tuple[str, int], ...] = ()) -> Take:
        return Take(
            self.lease, self.name, self._number, self._round, self.length_s, self.value, witness,
            self._known_lives(),
        )  # fmt: skip

    def _taken(self, now: float, taken: Taken) -> list[CandidateAction]:
        if taken.number != self._number or taken.round != self._round:
            return []
        if self.state not in (State.TAKING, State.HOLDING):
            return []
        (self._yes if taken.granted else self._no)[taken.keeper] = taken
        if self.state is State.TAKING and len(self._no) > len(self.bounds.keepers) - self.bounds.majority:
            return self._pause(now)
        if len(self._counted()) != self.bounds.majority or not taken.granted:
            return []
        until_s = self._began_s + self.length_s * (1 - self.bounds.drift)
        if now >= until_s:  # the answers took longer than the lease
            return self._end(now, "granted too late") if self.state is State.HOLDING else self._pause(now)
        gained = self.state is State.TAKING
        self.state, self.token = State.HOLDING, self._number
        self.until_s = max(self.until_s, until_s) if not gained else until_s
        self._due_s = self._began_s + RENEW_PART * self.length_s
        self._pause_s = PAUSE_S
        told: list[CandidateAction] = [
            Gained(self.token, self.until_s, self.value) if gained else Kept(self.token, self.until_s)
        ]
        if self._putting is not None:
            told.append(Stored(self._putting))
            self._putting = None
        return [*told, WakeAt(min(self._due_s, self.until_s))]

    def _renew(self, now: float) -> list[CandidateAction]:
        self._begin(now)
        return [*self._say(self._take()), WakeAt(min(self._due_s, self.until_s))]

    def _begin(self, now: float) -> None:
        """A new round: only answers to it count, and it is counted from now."""
        self._round += 1
        self._yes, self._no = {}, {}
        self._began_s = now
        self._due_s = now + min(ROUND_S, self.length_s * RENEW_PART)

    def _pause(self, now: float) -> list[CandidateAction]:
        """Wait until the other's grant may be over, or a drawn time, so that two do not ask in step."""
        left_s = [word.left_s for word in self._no.values() if word.left_s > 0]
        drawn_s = self._pause_s * (0.5 + self._random.random())
        self._pause_s = min(2 * self._pause_s, max(PAUSE_S, self.length_s * RENEW_PART))
        said: list[CandidateAction] = []
        if self.state is State.TAKING:  # those that granted need not wait for it
            said = [*self._say(Release(self.lease, self.name, self._number))]
        self.state = State.PAUSED
        # Waiting in line it asks now and then, so that keepers know that it still waits.
        self._due_s = now + min(min(left_s, default=0.0), self.length_s * RENEW_PART) + drawn_s
        return [*said, WakeAt(self._due_s)]

    def _end(self, now: float, why: str) -> list[CandidateAction]:
        token, self.until_s = self.token, 0.0
        self._putting = None
        self.state = State.IDLE
        told: list[CandidateAction] = [Lost(token, why)]
        return [*told, *self._ask(now)] if self._wanted else told

    def _say(self, message: Ask | Take | Release) -> list[Say]:
        return [Say(keeper, message) for keeper in self.bounds.keepers]
