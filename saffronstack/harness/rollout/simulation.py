"""Rollouts in a world without processes: controllers, daemons and a lease's store, every order of events.

The real decisions (`RolloutController`, `CommandFence`, `GatewayReconciler`) are driven by steps that a seed
or an explorer chooses: polls that are lost, commands that arrive late, twice or never, leaders that stop
between any two actions and are followed by another, daemons that restart or lose their disk, releases that do
not start, an operator's requests. The invariants are checked after each step, and from any state a leader
that is left alone must finish the rollout."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from saffronstack.fleet.control.command_fence import CommandFence
from saffronstack.fleet.control.errors import RejectedRequestError
from saffronstack.fleet.control.gateway_actions import (
    AllowServing,
    Kill,
    ProcessAction,
    StartProcess,
    Terminate,
)
from saffronstack.fleet.control.gateway_reconciler import GatewayReconciler
from saffronstack.fleet.control.observed_gateway import GatewayPhase, ObservedGateway
from saffronstack.fleet.rollout import events
from saffronstack.fleet.rollout.canary_types import AnalysisResult, Verdict
from saffronstack.fleet.rollout.controller import RolloutController
from saffronstack.fleet.rollout.events import OperatorRequested
from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.fleet.rollout.plan import FleetGateway, Release, RolloutFleet, RolloutPlan, Stage
from saffronstack.fleet.rollout.record import RolloutPhase, RolloutRecord, create_record

OLD, NEW = Release(version="1", digest="old"), Release(version="2", digest="new")
STEP_S = 1.0
FAIR_ROUNDS = 120
SIZES = ((2, 1, 1), (2, 2, 2), (3, 2, 2), (4, 2, 2), (6, 3, 3))  # gateways, daemons, zones
BROKEN = (
    "token forgotten", "told before stored", "unseen is up", "begins anew", "late counts",
    "lives are alike", "two zones at once", "does not wait",
)  # fmt: skip


class InvariantError(Exception):
    """Something that must hold does not; the text says what."""


@dataclass(slots=True)
class Sent:
    """An order on its way; it may still arrive whatever became of its sender."""

    daemon: str
    token: int
    seq: int
    life: int
    gateway: str
    release: str


@dataclass(slots=True)
class DaemonModel:
    """A daemon's gate, what is on its disk, and its gateways."""

    gate: CommandFence
    slots: dict[str, GatewayReconciler]
    disk_token: int = 0
    disk: dict[str, str] | None = None
    lives: dict[str, dict[int, str]] = field(default_factory=dict)  # processes that are there: their phase


@dataclass(slots=True)
class LeaderModel:
    """One holding of the lease."""

    machine: RolloutController
    token: int
    seq: int = 0
    lives: dict[str, int] = field(default_factory=dict)


def break_controller(controller: RolloutController, broken: str) -> None:
    """Leave one rule of a controller out."""
    view, scheduler = controller.view, controller.scheduler
    if broken == "unseen is up":
        view.unavailable = lambda: {  # type: ignore[method-assign]
            name
            for name, seen in view.observed.items()
            if seen.phase is not GatewayPhase.SERVING
            or seen.desired_release not in (seen.running_release, seen.failed_release)
        }
    if broken == "two zones at once":
        scheduler._zone_of = dict.fromkeys(scheduler._zone_of, "")
        scheduler._batches = lambda record, names: [tuple(names)]  # type: ignore[method-assign]
    if broken == "does not wait":
        view.is_settled = lambda gateway, release: True  # type: ignore[method-assign]
        view.unavailable = set  # type: ignore[method-assign]


class World:
    """All of it. ``bad``: the new release does not start. ``broken``: one rule is left out."""

    def __init__(self, gateways: int, daemons: int, zones: int, bad: bool = False, broken: str = "") -> None:
        self.bad, self.broken = bad, broken
        self.now = 0.0
        self.fleet = [FleetGateway(name=f"g{n}", zone=f"z{n % daemons % zones}") for n in range(gateways)]
        self.daemon_of = {f"g{n}": f"d{n % daemons}" for n in range(gateways)}
        self.zone_of = {one.name: one.zone for one in self.fleet}
        plan = RolloutPlan(
            name="world",
            base_digest=OLD.digest,
            stages=(Stage(count=1, bake_s=3.0), Stage(share=1.0, bake_s=3.0)),
            max_unavailable=1 if gateways < 6 else 2,
            settle_s=0.0,
        )
        self.most = plan.max_unavailable
        self.record: RolloutRecord = create_record(plan, OLD, NEW)  # what the store holds
        self.granted = 0
        self.word: OperatorRequested | None = None
        self.sent: list[Sent] = []
        self.found_back: set[int] = set()  # tokens of those that took the lease of a rollout going back
        self._acknowledged: dict[str, int] = {}
        self.leader: LeaderModel | None = None
        self.daemons: dict[str, DaemonModel] = {}
        for name in sorted(set(self.daemon_of.values())):
            mine = [gateway for gateway, keeper in self.daemon_of.items() if keeper == name]
            slots: dict[str, GatewayReconciler] = {}
            lives: dict[str, dict[int, str]] = {}
            for gateway in mine:
                slot = GatewayReconciler(drain_timeout_s=5.0, desired_release=OLD.digest)
                lives[gateway] = {slot.adopt(0.0, OLD.digest): "up"}
                slots[gateway] = slot
            disk = dict.fromkeys(mine, OLD.digest)
            self.daemons[name] = DaemonModel(CommandFence(1), slots, 0, disk, lives)

    # ---- steps; each returns whether it was possible

    def follow(self) -> bool:
        """The lease passes to another leader; what the one before had sent may still come."""
        self.granted += 1
        record = self.record
        if self.broken == "begins anew" and record.phase is RolloutPhase.ROLLING_BACK:
            record = create_record(record.plan, OLD, NEW)
        fleet = RolloutFleet(tuple(self.fleet), self.daemon_of)
        machine = RolloutController(record, fleet, self.now, stall_timeout_s=30.0)
        break_controller(machine, self.broken)
        self.leader = LeaderModel(machine, self.granted)
        if self.record.is_rolling_back:
            self.found_back.add(self.granted)
        self.store(self.leader, record)
        return True

    def store(self, leader: LeaderModel, record: RolloutRecord) -> bool:
        """Compare and set by token, as the lease's store does."""
        if leader.token != self.granted:
            return False
        self.record = record
        return True

    def round(self, choose: Callable[[int], int]) -> bool:
        """A leader looks at all daemons, and what it decides goes on its way."""
        leader = self.leader
        if leader is None:
            return False
        self.now += STEP_S
        told: list[events.Event] = []
        for name, daemon in self.daemons.items():  # all looks first: an order is newer than each of them
            leader.seq += 1
            lost = choose(6) == 0  # the look is, or its answer
            if (lost and not choose(2)) or not self._admit(daemon, leader.token, leader.seq) or lost:
                told.append(events.DaemonUnreachable(name))
                continue
            leader.lives[name] = daemon.gate.incarnation
            seen = {gateway: slot.observe() for gateway, slot in daemon.slots.items()}
            told.append(events.DaemonReported(name, seen))
        for event in told:
            self._tell(leader, event, choose)
        if self.word is not None:
            self._tell(leader, self.word, choose)
        self._tell(leader, events.Tick(), choose)
        return True

    def _admit(self, daemon: DaemonModel, token: int, seq: int) -> bool:
        try:
            daemon.gate.check(token, seq, 0, has_commands=False)
        except RejectedRequestError:
            return False
        daemon.gate.accept(token, seq)
        daemon.disk_token = max(daemon.disk_token, token)
        return True

    def _tell(self, leader: LeaderModel, event: events.Event, choose: Callable[[int], int]) -> None:
        waiting = list(leader.machine.handle(self.now, event))
        while waiting:
            action = waiting.pop(0)
            if isinstance(action, events.SetRelease):
                leader.seq += 1
                life = leader.lives.get(action.daemon, 0)
                self.sent.append(
                    Sent(action.daemon, leader.token, leader.seq, life, action.gateway, action.release)
                )
            elif isinstance(action, events.StoreRecord):
                if self.broken == "told before stored":
                    waiting += leader.machine.handle(self.now, events.RecordStored(action.record, True))
                    if choose(3):
                        self.store(leader, action.record)
                    continue
                good = self.store(leader, action.record) and choose(5) != 0  # the answer may be lost
                if not good:
                    self.leader = None  # it can't know: whoever follows reads what is there
                    return
                waiting += leader.machine.handle(self.now, events.RecordStored(action.record, True))
            elif isinstance(action, events.AnalyzeStage):
                verdict = self._verdict(action.progress, choose)
                waiting += leader.machine.handle(
                    self.now,
                    events.AnalysisCompleted(
                        action.stage, AnalysisResult(verdict, action.alpha_spent + 0.001, ("made up",))
                    ),
                )

    def _verdict(self, part: float, choose: Callable[[int], int]) -> Verdict:
        if part < 1:
            return Verdict.FAILED if choose(12) == 11 else Verdict.RUNNING
        if choose(6) == 0:
            return Verdict.INCONCLUSIVE if choose(2) else Verdict.FAILED
        return Verdict.SUCCESSFUL

    def deliver(self, number: int, again: bool) -> bool:
        """An order arrives; ``again``: it will once more."""
        if number >= len(self.sent):
            return False
        order = self.sent[number] if again else self.sent.pop(number)
        daemon = self.daemons[order.daemon]
        gate = daemon.gate
        seq = gate.sequence + 1 if self.broken == "late counts" else order.seq
        life = gate.incarnation if self.broken == "lives are alike" else order.life
        try:
            gate.check(order.token, seq, life, has_commands=True)
        except RejectedRequestError:
            return True  # it has arrived, and does not count
        self._hold_order(order)
        gate.accept(order.token, seq)
        daemon.disk_token = max(daemon.disk_token, order.token)
        if daemon.disk is not None:
            daemon.disk[order.gateway] = order.release
        self._do(daemon, order.gateway, daemon.slots[order.gateway].set_desired(self.now, order.release))
        return True

    def lose(self, number: int) -> bool:
        """An order never arrives."""
        if number >= len(self.sent):
            return False
        del self.sent[number]
        return True

    def progress(self, gateway: str, fails: bool) -> bool:
        """What a gateway's processes do next: prepare, come up, end, or fail to."""
        daemon = self.daemons[self.daemon_of[gateway]]
        slot, lives = daemon.slots[gateway], daemon.lives[gateway]
        for number, phase in sorted(lives.items()):
            if phase == "preparing":
                if fails:
                    del lives[number]
                    self._do(daemon, gateway, slot.on_ended(self.now, number, "made up"))
                else:
                    lives[number] = "prepared"
                    self._do(daemon, gateway, slot.on_prepared(self.now, number))
                return True
            if phase == "going":
                release = slot.successor.release if slot.successor is not None else ""
                if fails or (self.bad and release == NEW.digest):
                    del lives[number]
                    self._do(daemon, gateway, slot.on_ended(self.now, number, "made up"))
                else:
                    lives[number] = "up"
                    self._do(daemon, gateway, slot.on_serving(self.now, number))
                return True
            if phase == "ending":
                del lives[number]
                self._do(daemon, gateway, slot.on_ended(self.now, number, "asked"))
                return True
        self.now += STEP_S
        self._do(daemon, gateway, slot.reconcile(self.now))
        return False

    def _do(self, daemon: DaemonModel, gateway: str, actions: list[ProcessAction]) -> None:
        lives = daemon.lives[gateway]
        for action in actions:
            if isinstance(action, StartProcess):
                lives[action.incarnation] = "preparing"
            elif isinstance(action, AllowServing):
                lives[action.incarnation] = "going"
            elif isinstance(action, Terminate | Kill) and action.incarnation in lives:
                lives[action.incarnation] = "ending"

    def restart(self, name: str, lost: bool) -> bool:
        """A daemon is replaced; its gateways that are up go on. ``lost``: its disk forgot everything, and it
        has learned the token from the keepers since."""
        daemon = self.daemons[name]
        token = 0 if self.broken == "token forgotten" else self.granted if lost else daemon.disk_token
        old_life = daemon.gate.incarnation
        daemon.gate = CommandFence(old_life + 1, token)
        daemon.disk_token = token
        if lost or daemon.disk is None:
            daemon.disk = {}
        for gateway in daemon.slots:
            slot = GatewayReconciler(drain_timeout_s=5.0)
            before = daemon.slots[gateway]
            kept: dict[int, str] = {}
            for number, phase in daemon.lives[gateway].items():
                # What was not up ends with the daemon's pipe; one that ends goes on to.
                running = before.current
                if phase == "up" and running is not None and running.number == number:
                    kept[slot.adopt(self.now, running.release)] = "up"
            daemon.slots[gateway] = slot
            daemon.lives[gateway] = kept
            wanted = daemon.disk.get(gateway, "")
            if wanted:
                self._do(daemon, gateway, slot.set_desired(self.now, wanted))
        return True

    def say(self, what: str) -> bool:
        """An operator leaves a word."""
        number = self.word.number + 1 if self.word is not None else 1
        self.word = OperatorRequested(number, OperatorAction(what))
        return True

    # ---- what must hold

    def _hold_order(self, order: Sent) -> None:
        if order.release == NEW.digest and order.token in self.found_back:
            raise InvariantError(
                f"{order.gateway} is told to go forward by one that found a rollout going back"
            )
        if self.record.is_finished:
            slot = self.daemons[order.daemon].slots[order.gateway]
            if slot.desired_release != order.release:
                raise InvariantError(f"{order.gateway} changes after the end")

    def check(self) -> None:
        """After each step. InvariantError with what does not hold."""
        for name, daemon in self.daemons.items():
            before = self._acknowledged.get(name, 0)
            if daemon.gate.token < before:
                raise InvariantError(f"{name} knows token {daemon.gate.token} after {before}")
            self._acknowledged[name] = daemon.gate.token
        down = {
            gateway for daemon in self.daemons.values() for gateway, slot in daemon.slots.items()
            if not slot.observe().running_release
        }  # fmt: skip
        if len(down) > self.most:
            raise InvariantError(f"{len(down)} gateways are down at once: {sorted(down)}")
        if len({self.zone_of[gateway] for gateway in down}) > 1:
            raise InvariantError(f"gateways of two zones are down at once: {sorted(down)}")

    def finish(self) -> None:
        """From here on nothing fails but what has failed, and an operator aborts: it must come to an end, and
        be as it says. Broken where it does not."""
        if not self.record.is_finished:
            self.say("abort")
        for _ in range(FAIR_ROUNDS):
            if self.leader is None or self.leader.token != self.granted:
                self.follow()
            self.round(_scripted(False))
            self.check()
            while self.sent:
                self.deliver(0, False)
                self.check()
            for gateway in self.daemon_of:
                for _ in range(6):
                    if not self.progress(gateway, False):
                        break
                    self.check()
            if self.record.is_finished:
                break
        else:
            raise InvariantError(f"it comes to no end: {self.record.phase}, {self.record.reason}")
        target = NEW.digest if self.record.phase is RolloutPhase.COMPLETED else OLD.digest
        for daemon in self.daemons.values():
            for gateway, slot in daemon.slots.items():
                if slot.observe().running_release != target:
                    raise InvariantError(
                        f"{self.record.phase}, and {gateway} runs {slot.observe().running_release!r}"
                    )


def wander(seed: int, steps: int, broken: str = "") -> int:
    """A walk through a world by chance, and its end; how many steps counted. InvariantError."""
    chance = random.Random(seed)
    world = World(*chance.choice(SIZES), bad=chance.random() < 0.15, broken=broken)
    world.follow()
    world.check()
    gateways, daemons = list(world.daemon_of), list(world.daemons)
    counted = 0
    restarts = 0
    for _ in range(steps):
        step = chance.choices(range(7), (30, 20, 3, 40, 2, 1.0, 0.3))[0]
        if step == 0:
            counted += world.round(lambda most: chance.randrange(most))
        elif step == 1:
            counted += world.deliver(chance.randrange(max(1, len(world.sent))), chance.random() < 0.15)
        elif step == 2:
            counted += world.lose(chance.randrange(max(1, len(world.sent))))
        elif step == 3:
            counted += world.progress(chance.choice(gateways), chance.random() < 0.05)
        elif step == 4:
            counted += world.follow()
        elif step == 5 and restarts < 3:
            restarts += 1
            _calm(world)
            counted += world.restart(chance.choice(daemons), chance.random() < 0.3)
        elif step == 6:
            counted += world.say(chance.choice(("pause", "resume", "abort")))
        world.check()
    world.finish()
    return counted


def _calm(world: World) -> None:
    """A daemon that is replaced in the midst of a change leaves its gateway down until it is back: that is
    not the leader's doing, so here it comes between changes; the processes' rig kills them at any moment."""
    for gateway in world.daemon_of:
        for _ in range(6):
            if not world.progress(gateway, False):
                break
            world.check()


@dataclass(slots=True)
class Explored:
    """What an exploration came to."""

    states: int
    depth: int
    broken: str = ""
    path: tuple[str, ...] = ()


def explore(
    states_most: int, depth_most: int, broken: str = "", size: tuple[int, int, int] = (3, 2, 2)
) -> Explored:
    """Every order of steps, breadth first, to a depth or a number of states; stops at the first breach."""
    start = World(*size, broken=broken)
    start.follow()
    start.check()
    seen = {_key(start)}
    layer: list[tuple[World, tuple[str, ...]]] = [(start, ())]
    depth = 0
    while layer and depth < depth_most:
        depth += 1
        after: list[tuple[World, tuple[str, ...]]] = []
        for world, path in layer:
            for name, step in _steps(world):
                other = copy.deepcopy(world)
                try:
                    step(other)
                    other.check()
                    copy.deepcopy(other).finish()
                except InvariantError as error:
                    return Explored(len(seen), depth, str(error), (*path, name))
                key = _key(other)
                if key in seen:
                    continue
                seen.add(key)
                if len(seen) >= states_most:
                    return Explored(len(seen), depth)
                after.append((other, (*path, name)))
        layer = after
    return Explored(len(seen), depth)


def _steps(world: World) -> list[tuple[str, Callable[[World], object]]]:
    """What may happen next."""
    good = _scripted(False)
    found: list[tuple[str, Callable[[World], object]]] = [
        ("round", lambda w: w.round(good)),
        ("round, bad", lambda w: w.round(_scripted(True))),
        ("another leads", lambda w: w.follow()),
        ("abort", lambda w: w.say("abort") if w.word is None else False),
    ]
    for n, _ in enumerate(world.sent[:4]):
        found.append((f"order {n} comes", lambda w, n=n: w.deliver(n, False)))  # type: ignore[misc]
        found.append((f"order {n} comes, and will again", lambda w, n=n: w.deliver(n, True)))  # type: ignore[misc]
    for gateway in world.daemon_of:
        daemon = world.daemons[world.daemon_of[gateway]]
        if any(phase != "up" for phase in daemon.lives[gateway].values()):
            found.append((f"{gateway} goes on", lambda w, g=gateway: w.progress(g, False)))  # type: ignore[misc]
            found.append((f"{gateway} fails", lambda w, g=gateway: w.progress(g, True)))  # type: ignore[misc]
    for name, daemon in world.daemons.items():
        calm = all(phase == "up" for lives in daemon.lives.values() for phase in lives.values())
        if calm and daemon.gate.incarnation < 3:
            found.append((f"{name} restarts", lambda w, d=name: w.restart(d, False)))  # type: ignore[misc]
    return found


def _scripted(bad: bool) -> Callable[[int], int]:
    """Choices of a round in which nothing is lost; the judge finds harm or none."""
    return lambda most: (11 if bad else 0) if most == 12 else most - 1


def _key(world: World) -> str:
    """What tells one state from another; times and counts that only grow are left out."""
    daemons = [
        (
            name, daemon.gate.token, daemon.gate.incarnation, tuple(sorted((daemon.disk or {}).items())),
            tuple(
                (g, _seen(slot.observe()), tuple(sorted(daemon.lives[g].values())))
                for g, slot in daemon.slots.items()
            ),
        )
        for name, daemon in world.daemons.items()
    ]  # fmt: skip
    leader = world.leader
    machine = leader.machine if leader is not None else None
    led = None if machine is None or leader is None else (
        leader.token, machine.record.phase.value, machine.record.stage, machine.record.is_paused,
        tuple(sorted(machine.view.pending.items())), machine.bake.has_started,
        tuple(sorted((name, _seen(seen)) for name, seen in machine.view.observed.items())),
    )  # fmt: skip
    sent = [(one.daemon, one.token, one.gateway, one.release, one.life) for one in world.sent]
    record, word = world.record, world.word
    kept = record.phase.value, record.stage, record.is_paused, record.last_request
    return repr((daemons, led, sent, kept, world.granted, word))


def _seen(seen: ObservedGateway) -> tuple[str, str, str, str]:
    return seen.desired_release, seen.running_release, seen.phase.value, seen.failed_release
