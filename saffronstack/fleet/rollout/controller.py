"""Leads one rollout from what is recorded and what daemons show. No I/O.

Everything is derived anew from the record (plan, stage, which way) and the last look at each daemon: who
leads next goes on where the last one was, and a step that was done is not done again. Three rules carry the
rest: what is decided is in the lease's store before anyone is told; an order goes only to a daemon that has
taken this leader's token, so that no older order can come after it; whoever can't be seen counts as down."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Literal

from msgspec import Struct
from msgspec.structs import replace

from saffronstack.fleet.control.observed_gateway import GatewayPhase, ObservedGateway
from saffronstack.fleet.rollout.comparison import Look, Verdict
from saffronstack.fleet.rollout.plan import Gateway, Plan, Release, batches, reach

Way = Literal["forward", "held", "back", "done", "returned"]
NOTES_MOST = 12  # lines of history in the record, whose room is small
NOTE_MOST = 120
PATIENCE_S = 60.0  # a step that does not come to its end so long is in doubt
AGAIN_S = 10.0  # between two orders for a way back that a daemon gave up
LOOK_PARTS = 10  # looks of the judge in a bake
UNSETTLED_PART = 0.99  # of a bake: its last look waits until all stand
WHY_MOST = 400
VERSION = 1


class Record(Struct, frozen=True, kw_only=True):
    """All that a next leader must know; it lies in the lease's value."""

    version: int = VERSION
    plan: Plan
    old: Release
    new: Release
    way: Way = "forward"
    stage: int = 0
    paused: bool = False
    spent: float = 0.0  # of the judge's chance of a false stop, in this stage
    word: int = 0  # the last operator's word that was taken
    why: str = ""  # of what it waits for, or of why it went back
    notes: tuple[str, ...] = ()

    @property
    def over(self) -> bool:
        """Nothing is left to do."""
        return self.way in ("done", "returned")


@dataclass(frozen=True, slots=True)
class Word:
    """What an operator says; ``number`` grows with each."""

    number: int
    what: Literal["pause", "resume", "abort"]


@dataclass(frozen=True, slots=True)
class Heard:
    """A daemon answered a look that carried this leader's token; orders of older ones count nothing there."""

    daemon: str
    gateways: dict[str, ObservedGateway]


@dataclass(frozen=True, slots=True)
class Silent:
    """A daemon did not answer."""

    daemon: str


@dataclass(frozen=True, slots=True)
class Stored:
    """The record that was to be stored is, or may not be."""

    record: Record
    good: bool


@dataclass(frozen=True, slots=True)
class Judged:
    """What the judge made of the bake's figures that ``Judge`` asked for."""

    stage: int
    look: Look


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Word | Heard | Silent | Stored | Judged | Tick


@dataclass(frozen=True, slots=True)
class Store:
    """Have this in the lease's store, and say what came of it."""

    record: Record


@dataclass(frozen=True, slots=True)
class Order:
    """Have a daemon make a gateway run a release."""

    daemon: str
    gateway: str
    release: str


@dataclass(frozen=True, slots=True)
class Bake:
    """Old and new are to be compared from now on: remember the figures as they are."""

    stage: int


@dataclass(frozen=True, slots=True)
class Judge:
    """Compare them at this part of the bake."""

    stage: int
    part: float
    spent: float


Action = Store | Order | Bake | Judge


class Controller:
    """One leader's view of one rollout."""

    def __init__(
        self,
        record: Record,
        fleet: Sequence[Gateway],
        daemon_of: dict[str, str],
        now: float,
        patience_s: float = PATIENCE_S,
    ) -> None:
        """``record`` as it was read from the lease's store under this leader's token."""
        self.record = record
        self._fleet, self._daemon_of = list(fleet), daemon_of
        self._zone_of = {one.name: one.zone for one in fleet}
        self._reach = reach(record.plan, fleet)
        self._patience_s = patience_s
        self._seen: dict[str, ObservedGateway] = {}  # of daemons that answered last
        self._heard: set[str] = set()
        self._asked: dict[str, str] = {}  # orders that no look has shown taken
        self._tried_s: dict[str, float] = {}
        self._storing: Record | None = None
        self._moved_s = now  # when something last came about
        self._stood_s: float | None = None  # since when all stand that this stage changes
        self._baking_s: float | None = None
        self._judged_s = 0.0
        self._judging = False

    # ---- what it is told

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about one event."""
        if isinstance(event, Heard):
            self._hear(now, event)
        elif isinstance(event, Silent):
            self._lose(event.daemon)
        elif isinstance(event, Stored):
            return self._stored(now, event)
        elif isinstance(event, Word):
            return self._word(now, event)
        elif isinstance(event, Judged):
            return self._judged(now, event)
        return self._step(now)

    def _hear(self, now: float, event: Heard) -> None:
        self._heard.add(event.daemon)
        for name, seen in event.gateways.items():
            if self._daemon_of.get(name) != event.daemon:
                continue
            if seen != self._seen.get(name):
                self._moved_s = now
            self._seen[name] = seen
            self._asked.pop(name, None)  # a look comes after all orders before it: taken, or never to be

    def _lose(self, daemon: str) -> None:
        self._heard.discard(daemon)
        for name, keeper in self._daemon_of.items():
            if keeper == daemon:
                self._seen.pop(name, None)

    def _stored(self, now: float, event: Stored) -> list[Action]:
        if event.record is not self._storing:
            return []
        self._storing = None
        if not event.good:
            return [self._store(event.record)]  # it may be there or not: it is to be, before anything else
        if (event.record.way, event.record.stage) != (self.record.way, self.record.stage):
            self._stood_s, self._baking_s, self._judging = None, None, False
        self.record = event.record
        self._moved_s = now
        return self._step(now)

    def _word(self, now: float, word: Word) -> list[Action]:
        record = self.record
        if word.number <= record.word or self._storing is not None:
            return []  # it is read again with the next look
        record = replace(record, word=word.number)
        if record.over:
            return []
        if word.what == "pause":
            return [self._say(replace(record, paused=True), "paused by the operator")]
        if word.what == "resume":
            way: Way = "forward" if record.way == "held" else record.way
            return [self._say(replace(record, paused=False, way=way, why=""), "resumed by the operator")]
        return [self._back(record, "aborted by the operator")]

    def _judged(self, now: float, event: Judged) -> list[Action]:
        self._judging = False
        record = self.record
        if event.stage != record.stage or record.way != "forward" or self._storing is not None:
            return []
        look = event.look
        if look.verdict is Verdict.BAD:
            return [self._back(replace(record, spent=look.spent), "worse: " + "; ".join(look.reasons))]
        if look.verdict is Verdict.DOUBT:
            return [self._doubt(replace(record, spent=look.spent), "; ".join(look.reasons))]
        if look.verdict is Verdict.WAIT:
            # What a look spent is recorded, or a next leader would spend it twice.
            return [self._store(replace(record, spent=look.spent))] if look.spent > record.spent else []
        if record.stage + 1 < len(self._reach):
            text = f"stage {record.stage + 1} of {len(self._reach)} is good"
            return [self._say(replace(record, stage=record.stage + 1, spent=0.0, why=""), text)]
        return [self._say(replace(record, way="done", why=""), "done: the whole fleet runs it")]

    # ---- what it makes of it

    def _step(self, now: float) -> list[Action]:
        record = self.record
        if self._storing is not None or record.over:
            return []
        if record.way == "forward":
            refused = [
                f"{name}: {seen.last_error}" for name, seen in sorted(self._seen.items())
                if seen.failed_release == record.new.digest
            ]  # fmt: skip
            if refused:
                return [self._back(record, "could not be run: " + "; ".join(refused))]
        if record.paused or record.way == "held":
            return []
        wanted = self.targets()
        orders = self._orders(now, wanted)
        if orders:
            return orders
        settled = all(self._settled(name, release) for name, release in wanted.items())
        if not settled and now - self._moved_s > self._patience_s:
            why = f"no step for {self._patience_s:g} s: {self.waits_for()}"
            if record.way == "forward":
                return [self._doubt(record, why)]
            return [self._say(replace(record, why=why[:WHY_MOST]), f"going back: {why}")]
        if record.way == "back":
            text = "returned: the whole fleet runs the old one"
            return [self._say(replace(record, way="returned"), text)] if settled else []
        return self._bake(now, settled)

    def targets(self) -> dict[str, str]:
        """The release that each gateway is to run by the record, in the order of change."""
        record = self.record
        if record.way in ("back", "returned"):
            order = [name for name in reversed(self._reach[-1])]
            return dict.fromkeys(order, record.old.digest)
        reached = self._reach[record.stage]
        rest = (one.name for one in self._fleet if one.name not in reached)
        return dict.fromkeys(reached, record.new.digest) | dict.fromkeys(rest, record.old.digest)

    def _settled(self, name: str, release: str) -> bool:
        seen = self._seen.get(name)
        return (
            seen is not None
            and name not in self._asked
            and seen.desired_release == release == seen.running_release
        )

    def _down(self) -> set[str]:
        """Gateways that take no calls or soon may not: not seen, not up, or with an order under way. One that
        gave a release up and runs another one is up."""
        return {
            one.name for one in self._fleet
            if one.name in self._asked or (seen := self._seen.get(one.name)) is None
            or seen.phase is not GatewayPhase.SERVING
            or seen.desired_release not in (seen.running_release, seen.failed_release)
        }  # fmt: skip

    def _orders(self, now: float, wanted: dict[str, str]) -> list[Action]:
        """The next steps that the limits leave room for: whoever is down is only helped by its order; the
        others batch by batch."""
        down = self._down()
        orders = [
            self._order(now, name, release) for name, release in wanted.items()
            if name in down and self._due(now, name, release)
        ]  # fmt: skip
        for batch in self._batches(wanted):
            due = [name for name in batch if self._due(now, name, wanted[name])]
            for name in due:
                zones = {self._zone_of[other] for other in down}
                if len(down) < self.record.plan.unavailable_most and zones <= {self._zone_of[name]}:
                    down.add(name)
                    orders.append(self._order(now, name, wanted[name]))
            if due or not all(self._settled(name, wanted[name]) for name in batch):
                break  # the next batch begins when this one stands
        return orders

    def _order(self, now: float, name: str, release: str) -> Action:
        self._asked[name], self._tried_s[name] = release, now
        return Order(self._daemon_of[name], name, release)

    def _due(self, now: float, name: str, release: str) -> bool:
        seen = self._seen.get(name)
        if seen is None or name in self._asked:
            return False
        if seen.desired_release == release == seen.failed_release and self.record.way == "back":
            return now - self._tried_s.get(name, -math.inf) >= AGAIN_S  # there is nowhere else to go
        return seen.desired_release != release

    def _batches(self, wanted: dict[str, str]) -> Iterable[tuple[str, ...]]:
        """Stage by stage, so that what an earlier stage lost is mended first."""
        most = self.record.plan.unavailable_most
        if self.record.way == "back":
            yield from batches(list(wanted), self._fleet, most)
            return
        before: tuple[str, ...] = ()
        for stage in self._reach[: self.record.stage + 1]:
            yield from batches(stage[len(before) :], self._fleet, most)
            before = stage
        rest = [name for name in wanted if name not in before]
        yield from batches(rest, self._fleet, most)

    def _bake(self, now: float, settled: bool) -> list[Action]:
        """One that falls silent or down in the midst of a bake is the judge's matter; none ends with it."""
        stage, plan = self.record.stage, self.record.plan
        if self._baking_s is None:
            if not settled:
                self._stood_s = None
                return []
            self._stood_s = now if self._stood_s is None else self._stood_s
            if now - self._stood_s < plan.settle_s:
                return []
            self._baking_s = self._judged_s = now
            return [Bake(stage)]
        bake_s = plan.stages[stage].bake_s
        part = min(1.0 if settled else UNSETTLED_PART, (now - self._baking_s) / bake_s)
        if self._judging or (now - self._judged_s < bake_s / LOOK_PARTS and part < 1):
            return []
        self._judging, self._judged_s = True, now
        return [Judge(stage, part, self.record.spent)]

    # ---- the record

    def _store(self, record: Record) -> Store:
        self._storing = record
        return Store(record)

    def _say(self, record: Record, text: str) -> Store:
        return self._store(replace(record, notes=(*record.notes, text[:NOTE_MOST])[-NOTES_MOST:]))

    def _back(self, record: Record, why: str) -> Store:
        return self._say(replace(record, way="back", paused=False, why=why[:WHY_MOST]), f"goes back: {why}")

    def _doubt(self, record: Record, why: str) -> Store:
        if record.plan.on_doubt == "back":
            return self._back(record, f"doubt: {why}")
        return self._say(replace(record, way="held", why=why[:WHY_MOST]), f"held: {why}")

    # ---- for whoever watches

    def waits_for(self) -> str:
        """What keeps the present step from its end, in words."""
        open_ = [name for name, release in self.targets().items() if not self._settled(name, release)]
        words: list[str] = []
        for name in open_[:5]:
            seen = self._seen.get(name)
            if seen is None:
                words.append(f"{name}: {self._daemon_of[name]} is silent")
            else:
                words.append(f"{name}: {seen.phase}" + (f" ({seen.last_error})" if seen.last_error else ""))
        return "; ".join(words) + (f" and {len(open_) - 5} more" if len(open_) > 5 else "")


def first(plan: Plan, old: Release, new: Release) -> Record:
    """The record of a rollout that begins."""
    return Record(plan=plan, old=old, new=new, notes=(f"started: {old.version} to {new.version}",))
