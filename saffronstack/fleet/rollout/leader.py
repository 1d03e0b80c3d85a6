"""Leads a rollout in a process: under the lease, asking daemons, storing what is decided before it is told.

One round at a time: a look at every daemon at once, each bounded; what the controller makes of it; orders.
Whoever holds the lease goes on from the record in its value."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping, Sequence

import msgspec
import structlog

from saffronstack.fleet.control.daemon_answers import DaemonAnswer, UnavailableDaemon
from saffronstack.fleet.control.daemon_client import DaemonClient
from saffronstack.fleet.control.messages import OPERATOR_REQUEST_LEASE, GatewayCommand, GatewayStatus
from saffronstack.fleet.control.observed_gateway import ObservedGateway
from saffronstack.fleet.leases.reading import Reading
from saffronstack.fleet.leases.store import Held
from saffronstack.fleet.rollout import controller
from saffronstack.fleet.rollout.comparison import Limits
from saffronstack.fleet.rollout.controller import Controller, Record, Word
from saffronstack.fleet.rollout.judge import look
from saffronstack.fleet.rollout.plan import Gateway
from saffronstack.fleet.rollout.records import Said, encode
from saffronstack.fleet.rollout.samples import STALE_S, Sampler

log = structlog.get_logger("saffronstack.rollout")
ROUND_S = 0.5
STORE_S = 3.0
WORDS_EVERY_S = 1.0


def runs(state: GatewayStatus) -> str:
    """The release that a gateway runs: by its own word where that is fresh, whatever its daemon says."""
    figures = state.metrics
    if (
        not state.running_release
        or figures is None
        or not figures.reported_release
        or figures.age_s > STALE_S
    ):
        return state.running_release
    return figures.reported_release


class Leader:
    """One holding of the lease."""

    def __init__(
        self,
        gateways: Sequence[Gateway],
        daemon_of: dict[str, str],
        daemons: DaemonClient,
        held: Held,
        read: Callable[[], Reading],
        show: Callable[[Record, str], None] = lambda record, waits: None,
        clock: Callable[[], float] = time.monotonic,
        patience_s: float = controller.PATIENCE_S,
        round_s: float = ROUND_S,
    ) -> None:
        """``read`` asks keepers for operators' words; ``show`` hears of each round."""
        self._gateways, self._daemon_of = list(gateways), daemon_of
        self._held, self._read, self._show, self._clock = held, read, show, clock
        self._patience_s, self._round_s = patience_s, round_s
        self._daemons = daemons
        self._sampler = Sampler(self._gateways)
        self._states: dict[str, GatewayStatus] = {}
        self._looked_s = 0.0  # when the last look at the daemons began
        self._words_s = 0.0

    def lead(self, record: Record, stopping: threading.Event) -> Record:
        """Until it is over, the lease is lost or ``stopping``; the record as it stands then."""
        machine = Controller(record, self._gateways, self._daemon_of, self._clock(), self._patience_s)
        # The record may have been read from less than a majority's last word: it is stored anew first.
        self._carry_out(machine, [controller.Store(record)], adopt=True)
        while not stopping.is_set() and self._held.left_s() > 0 and not machine.record.over:
            orders: dict[str, list[GatewayCommand]] = {}
            self._looked_s = self._clock()
            for event in [*self._heard(self._daemons.poll()), *self._said(machine.record), controller.Tick()]:
                for action in self._carry_out(machine, machine.handle(self._clock(), event)):
                    orders.setdefault(action.daemon, []).append(
                        GatewayCommand(action.gateway, action.release)
                    )
            if orders and self._held.left_s() > 0:
                for name, answer in self._daemons.send(orders).items():
                    if isinstance(answer, UnavailableDaemon):
                        log.warning("order not taken", daemon=name, why=answer.reason)
                continue  # what came of them is looked at, at once
            self._show(machine.record, machine.waits_for())
            stopping.wait(self._round_s)
        self._show(machine.record, "")
        return machine.record

    def _carry_out(
        self, machine: Controller, actions: Sequence[controller.Action], adopt: bool = False
    ) -> list[controller.Order]:
        """Do what can be done here and tell the controller; the orders that are left."""
        orders: list[controller.Order] = []
        waiting = list(actions)
        while waiting:
            action = waiting.pop(0)
            if isinstance(action, controller.Order):
                orders.append(action)
                continue
            if isinstance(action, controller.Store):
                good = self._held.put(encode(action.record), STORE_S)
                if adopt or self._held.left_s() <= 0:
                    return orders
                if good and action.record.notes[-1:] != machine.record.notes[-1:]:
                    log.info("rollout", name=action.record.plan.name, note=action.record.notes[-1])
                event: controller.Event = controller.Stored(action.record, good)
            elif isinstance(action, controller.Bake):
                self._sampler.begin(self._states, self._clock())
                continue
            else:
                event = self._judge(machine.record, action)
            waiting += machine.handle(self._clock(), event)
        return orders

    def _judge(self, record: Record, asked: controller.Judge) -> controller.Judged:
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
        return controller.Judged(asked.stage, found)

    def _heard(self, answers: Mapping[str, DaemonAnswer]) -> list[controller.Event]:
        events: list[controller.Event] = []
        for daemon, answer in sorted(answers.items()):
            if isinstance(answer, UnavailableDaemon):
                for name, keeper in self._daemon_of.items():
                    if keeper == daemon:
                        self._states.pop(name, None)
                events.append(controller.Silent(daemon))
                continue
            self._states |= answer.gateways
            seen = {
                name: ObservedGateway(
                    one.desired_release,
                    runs(one),
                    one.phase,
                    one.incarnation,
                    one.restarts,
                    one.failed_release,
                    one.last_error,
                )
                for name, one in answer.gateways.items()
            }
            events.append(controller.Heard(daemon, seen))
        return events

    def _said(self, record: Record) -> list[controller.Event]:
        """Operators' words, as a majority of keepers shows them."""
        now = self._clock()
        if now < self._words_s + WORDS_EVERY_S:
            return []
        self._words_s = now
        shown = self._read().leases.get(OPERATOR_REQUEST_LEASE)
        if shown is None or not shown.value.content:
            return []
        try:
            said = msgspec.json.decode(shown.value.content, type=Said)
        except msgspec.MsgspecError:
            return []
        if said.rollout != record.plan.name or said.what not in ("pause", "resume", "abort"):
            return []
        return [Word(said.number, said.what)]  # type: ignore[arg-type]
