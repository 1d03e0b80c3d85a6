"""Leads a rollout in a process: under the lease, asking daemons, storing what is decided before it is told.

One round at a time: a look at every daemon at once, each bounded; what the controller makes of it; orders.
Whoever holds the lease goes on from the record in its value."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping, Sequence

import msgspec
import structlog

from saffronstack.core.threads import Crew
from saffronstack.daemon.members import NoAnswer, NotSent, exchange
from saffronstack.fleet.control.slots import Seen
from saffronstack.fleet.control.words import TARGET, WORDS, Control, DaemonState, GatewayState, Order
from saffronstack.fleet.leases.reading import Reading
from saffronstack.fleet.leases.store import Held
from saffronstack.fleet.rollout import controller as words
from saffronstack.fleet.rollout.controller import Controller, Record, Word
from saffronstack.fleet.rollout.judge import Limits, look
from saffronstack.fleet.rollout.plan import Gateway
from saffronstack.fleet.rollout.samples import STALE_S, Sampler
from saffronstack.http1 import writer

log = structlog.get_logger("saffronstack.rollout")
ASK_S = 2.5  # a look or an order; a daemon answers within 2 s
ROUND_S = 0.5
STORE_S = 3.0
WORDS_EVERY_S = 1.0


class Said(msgspec.Struct, frozen=True):
    """The value of the lease in which operators leave words; ``number`` is their token."""

    rollout: str
    what: str
    number: int


def encode(record: Record) -> bytes:
    """For the lease's value."""
    return msgspec.json.encode(record)


def decode(content: bytes) -> Record | None:
    """None where there is none. ValueError where this program does not know its version."""
    if not content:
        return None
    try:
        version = msgspec.json.decode(content, type=_Version).version
        if version != words.VERSION:
            raise ValueError(f"the record is of version {version}, this program knows {words.VERSION}")
        return msgspec.json.decode(content, type=Record)
    except msgspec.MsgspecError as error:
        raise ValueError(f"the record can't be read: {error}") from error


class _Version(msgspec.Struct):
    version: int


class Daemons:
    """Asks daemons under one token. One thread uses it; the asking goes on threads of its own."""

    def __init__(
        self, fleet: str, addresses: Mapping[str, str], token: int, still: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:  # fmt: skip
        """``still``: whether the lease is held; without it nothing is sent."""
        self._fleet, self._token, self._still = fleet, token, still
        self._addresses, self._clock = dict(addresses), clock
        self._seq = 0
        self._lives: dict[str, int] = {}  # of daemons, as last seen
        self._crew = Crew("ask-daemon")
        self._lock = threading.Condition()

    def ask(self, orders: Mapping[str, Sequence[Order]]) -> dict[str, DaemonState | str]:
        """Each daemon's state after its orders, or why there is none; bounded as one exchange is."""
        found: dict[str, DaemonState | str] = {}
        until_s = self._clock() + ASK_S
        for name, some in orders.items():
            self._seq += 1
            control = Control(self._fleet, self._token, self._seq, self._lives.get(name, 0), tuple(some))

            def run(name: str = name, control: Control = control) -> None:
                answer = self._exchange(name, control, until_s)
                with self._lock:
                    found[name] = answer
                    self._lock.notify_all()

            self._crew.run(run)
        with self._lock:
            self._lock.wait_for(lambda: len(found) == len(orders), ASK_S + 0.5)
            told = dict(found) | {name: "no answer in time" for name in orders if name not in found}
        self._lives |= {name: one.life for name, one in told.items() if isinstance(one, DaemonState)}
        return told

    def look(self) -> dict[str, DaemonState | str]:
        """All of them, without orders."""
        return self.ask({name: () for name in self._addresses})

    def _exchange(self, name: str, control: Control, until_s: float) -> DaemonState | str:
        address = self._addresses[name]
        fields = [("Host", address), ("Connection", "close"), ("Content-Type", "application/json")]
        request = writer.request("POST", TARGET, fields, msgspec.json.encode(control))
        if not self._still():
            return "the lease is lost"
        try:
            head, body = exchange(address, request, until_s, self._clock)
            if head.status != 200:
                return f"refused with {head.status}: {body[:200].decode('utf-8', 'replace')}"
            return msgspec.json.decode(body, type=DaemonState)
        except (NotSent, NoAnswer, msgspec.MsgspecError) as error:
            return str(error) or type(error).__name__


def runs(state: GatewayState) -> str:
    """The release that a gateway runs: by its own word where that is fresh, whatever its daemon says."""
    figures = state.figures
    if not state.runs or figures is None or not figures.release or figures.age_s > STALE_S:
        return state.runs
    return figures.release


class Leader:
    """One holding of the lease."""

    def __init__(
        self,
        gateways: Sequence[Gateway],
        daemon_of: dict[str, str],
        daemons: Daemons,
        held: Held,
        read: Callable[[], Reading],
        show: Callable[[Record, str], None] = lambda record, waits: None,
        clock: Callable[[], float] = time.monotonic,
        patience_s: float = words.PATIENCE_S,
        round_s: float = ROUND_S,
    ) -> None:
        """``read`` asks keepers for operators' words; ``show`` hears of each round."""
        self._gateways, self._daemon_of = list(gateways), daemon_of
        self._held, self._read, self._show, self._clock = held, read, show, clock
        self._patience_s, self._round_s = patience_s, round_s
        self._daemons = daemons
        self._sampler = Sampler(self._gateways)
        self._states: dict[str, GatewayState] = {}
        self._looked_s = 0.0  # when the last look at the daemons began
        self._words_s = 0.0

    def lead(self, record: Record, stopping: threading.Event) -> Record:
        """Until it is over, the lease is lost or ``stopping``; the record as it stands then."""
        machine = Controller(record, self._gateways, self._daemon_of, self._clock(), self._patience_s)
        # The record may have been read from less than a majority's last word: it is stored anew first.
        self._carry_out(machine, [words.Store(record)], adopt=True)
        while not stopping.is_set() and self._held.left_s() > 0 and not machine.record.over:
            orders: dict[str, list[Order]] = {}
            self._looked_s = self._clock()
            for event in [*self._heard(self._daemons.look()), *self._said(machine.record), words.Tick()]:
                for action in self._carry_out(machine, machine.handle(self._clock(), event)):
                    orders.setdefault(action.daemon, []).append(Order(action.gateway, action.release))
            if orders and self._held.left_s() > 0:
                for name, answer in self._daemons.ask(orders).items():
                    if isinstance(answer, str):
                        log.warning("order not taken", daemon=name, why=answer)
                continue  # what came of them is looked at, at once
            self._show(machine.record, machine.waits_for())
            stopping.wait(self._round_s)
        self._show(machine.record, "")
        return machine.record

    def _carry_out(
        self, machine: Controller, actions: Sequence[words.Action], adopt: bool = False
    ) -> list[words.Order]:
        """Do what can be done here and tell the controller; the orders that are left."""
        orders: list[words.Order] = []
        waiting = list(actions)
        while waiting:
            action = waiting.pop(0)
            if isinstance(action, words.Order):
                orders.append(action)
                continue
            if isinstance(action, words.Store):
                good = self._held.put(encode(action.record), STORE_S)
                if adopt or self._held.left_s() <= 0:
                    return orders
                if good and action.record.notes[-1:] != machine.record.notes[-1:]:
                    log.info("rollout", name=action.record.plan.name, note=action.record.notes[-1])
                event: words.Event = words.Stored(action.record, good)
            elif isinstance(action, words.Bake):
                self._sampler.begin(self._states, self._clock())
                continue
            else:
                event = self._judge(machine.record, action)
            waiting += machine.handle(self._clock(), event)
        return orders

    def _judge(self, record: Record, asked: words.Judge) -> words.Judged:
        plan = record.plan
        # Figures reach the leader late, most of all on a busy machine: the bake is over once they cover it.
        covered_s = self._sampler.covered_s(self._states, self._looked_s)
        part = min(asked.part, covered_s / plan.stages[asked.stage].bake_s)
        least = {"memory_mb": plan.memory_least_mb, "descriptors": plan.descriptors_least}
        limits = Limits(plan.false_stop, plan.calls_least, gross=plan.gross, least=least)
        units = self._sampler.units(self._states, record.new.digest)
        found = look(limits, units, part, asked.spent)
        log.info(
            "judged", stage=asked.stage, part=round(part, 2), verdict=found.verdict.value,
            reasons=found.reasons, worst=[one.line() for one in found.findings[:3]],
        )  # fmt: skip
        return words.Judged(asked.stage, found)

    def _heard(self, answers: Mapping[str, DaemonState | str]) -> list[words.Event]:
        events: list[words.Event] = []
        for daemon, answer in sorted(answers.items()):
            if isinstance(answer, str):
                for name, keeper in self._daemon_of.items():
                    if keeper == daemon:
                        self._states.pop(name, None)
                events.append(words.Silent(daemon))
                continue
            self._states |= answer.gateways
            seen = {
                name: Seen(one.wanted, runs(one), one.state, one.life, one.restarts, one.refused, one.why)
                for name, one in answer.gateways.items()
            }
            events.append(words.Heard(daemon, seen))
        return events

    def _said(self, record: Record) -> list[words.Event]:
        """Operators' words, as a majority of keepers shows them."""
        now = self._clock()
        if now < self._words_s + WORDS_EVERY_S:
            return []
        self._words_s = now
        shown = self._read().leases.get(WORDS)
        if shown is None or not shown.value.content:
            return []
        try:
            said = msgspec.json.decode(shown.value.content, type=Said)
        except msgspec.MsgspecError:
            return []
        if said.rollout != record.plan.name or said.what not in ("pause", "resume", "abort"):
            return []
        return [Word(said.number, said.what)]  # type: ignore[arg-type]
