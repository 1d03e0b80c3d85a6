"""Simulation of a rollout in virtual time: a leader, daemons and the record store of the lease.

The production classes `RolloutController`, `CommandFence` and `GatewayReconciler` run under steps that
`random_walk` or `exploration` choose: polls are lost, commands arrive late, twice or never, leaders stop
between any two actions and are succeeded by others, daemons restart or lose their disk, releases do not
start, operators send requests. `invariants` checks the state after each step.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from saffronstack.fleet.control.errors import RejectedRequestError
from saffronstack.fleet.rollout import events
from saffronstack.fleet.rollout.canary_types import AnalysisResult, Verdict
from saffronstack.fleet.rollout.controller import RolloutController
from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.fleet.rollout.plan import FleetGateway, Release, RolloutFleet, RolloutPlan, Stage
from saffronstack.fleet.rollout.record import RolloutPhase, RolloutRecord, create_record
from saffronstack.harness.rollout.defects import Defect, apply_defect
from saffronstack.harness.rollout.simulated_daemon import SimulatedDaemon

OLD, NEW = Release(version="1", digest="old"), Release(version="2", digest="new")
STEP_S = 1.0
BAKE_S = 3.0
STALL_TIMEOUT_S = 30.0
ALPHA_PER_ANALYSIS = 0.001

# Draws an integer in [0, n) for the argument n. `draw_no_fault` identifies the draw of `HARM_DRAW` by its
# argument, which differs from all others.
Draw = Callable[[int], int]
POLL_LOST_DRAW = 6  # 0: the poll or its response is lost
ANSWER_LOST_DRAW = 2  # 0: the lost message is the poll
STORE_UNCONFIRMED_DRAW = 5  # 0: the record is stored, but the leader gets no confirmation
STORE_AFTERWARDS_DRAW = 3  # 0: a record whose commands were sent is never stored
HARM_DRAW = 12  # HARM_DRAW - 1: the canary analysis fails during the bake time
UNCLEAR_DRAW = 6  # 0: the last analysis of the bake time does not succeed
INCONCLUSIVE_DRAW = 2  # 0: the result of that analysis is a failure


class InvariantError(Exception):
    """An invariant is violated; the message says which."""


@dataclass(frozen=True, slots=True)
class WorldSize:
    """Numbers of gateways, daemons and zones."""

    gateways: int
    daemons: int
    zones: int


@dataclass(frozen=True, slots=True)
class InFlightCommand:
    """A command in flight; it may arrive after its sender has lost the lease or stopped."""

    daemon: str
    token: int
    sequence: int
    incarnation: int
    gateway: str
    release: str


@dataclass(slots=True)
class SimulatedLeader:
    """A lease holder; ``incarnations`` are the last ones that it observed of the daemons."""

    controller: RolloutController
    token: int
    sequence: int = 0
    incarnations: dict[str, int] = field(default_factory=dict)


class SimulatedWorld:
    """A fleet during a rollout; each step returns whether it was possible.

    Attributes:
        now_s: Virtual time.
        record: Rollout record in the store of the lease.
        granted_token: Fencing token that was granted last.
        leader: Holder of the lease; None if it stopped because it does not know which record is stored.
        request: Last request of an operator.
        in_flight: Commands in flight.
        rollback_tokens: Tokens of leaders that acquired the lease during a rollback.
    """

    def __init__(self, size: WorldSize, is_new_unusable: bool = False, defect: Defect = Defect.NONE) -> None:
        """Create a world without a leader; with ``is_new_unusable``, the new release does not start."""
        self.defect = defect
        self._unusable_release = NEW.digest if is_new_unusable else ""
        self.now_s = 0.0
        gateway_names = [f"g{number}" for number in range(size.gateways)]
        self.daemon_of = {f"g{number}": f"d{number % size.daemons}" for number in range(size.gateways)}
        self.zone_of = {
            f"g{number}": f"z{number % size.daemons % size.zones}" for number in range(size.gateways)
        }
        gateways = tuple(FleetGateway(name=name, zone=self.zone_of[name]) for name in gateway_names)
        self._fleet = RolloutFleet(gateways, self.daemon_of)
        self.record: RolloutRecord = create_record(_create_plan(size), OLD, NEW)
        self.granted_token = 0
        self.leader: SimulatedLeader | None = None
        self.request: events.OperatorRequested | None = None
        self.in_flight: list[InFlightCommand] = []
        self.rollback_tokens: set[int] = set()
        self.daemons = {name: SimulatedDaemon() for name in sorted(set(self.daemon_of.values()))}
        for gateway, daemon in self.daemon_of.items():
            self.daemons[daemon].add_gateway(gateway, OLD.digest)

    # ---- steps

    def change_leader(self) -> bool:
        """Grant the lease to a new leader; commands of the previous one may still arrive."""
        self.granted_token += 1
        record = self.record
        if self.defect is Defect.ROLLOUT_RESTARTED and record.phase is RolloutPhase.ROLLING_BACK:
            record = create_record(record.plan, OLD, NEW)
        controller = RolloutController(record, self._fleet, self.now_s, STALL_TIMEOUT_S)
        apply_defect(controller, self.defect)
        self.leader = SimulatedLeader(controller, self.granted_token)
        if self.record.is_rolling_back:
            self.rollback_tokens.add(self.granted_token)
        self._store(self.leader, record)
        return True

    def run_round(self, draw: Draw) -> bool:
        """Let the leader poll all daemons and execute its decisions."""
        leader = self.leader
        if leader is None:
            return False
        self.now_s += STEP_S
        reports = [self._poll(leader, name, draw) for name in self.daemons]  # polls precede all commands
        for report in reports:
            self._report_event(leader, report, draw)
        if self.request is not None:
            self._report_event(leader, self.request, draw)
        self._report_event(leader, events.Tick(), draw)
        return True

    def deliver_command(self, index: int, is_repeated: bool) -> bool:
        """Deliver a command; with ``is_repeated``, it stays in flight and will arrive again."""
        if index >= len(self.in_flight):
            return False
        command = self.in_flight[index] if is_repeated else self.in_flight.pop(index)
        daemon = self.daemons[command.daemon]
        fence = daemon.fence
        is_late_accepted = self.defect is Defect.LATE_COMMAND_ACCEPTED
        sequence = fence.sequence + 1 if is_late_accepted else command.sequence
        is_incarnation_ignored = self.defect is Defect.INCARNATION_IGNORED
        incarnation = fence.incarnation if is_incarnation_ignored else command.incarnation
        try:
            fence.check(command.token, sequence, incarnation, has_commands=True)
        except RejectedRequestError:
            return True  # delivered, but rejected by the fence
        self._check_accepted(command)
        fence.accept(command.token, sequence)
        daemon.stored_token = max(daemon.stored_token, command.token)
        daemon.set_desired(self.now_s, command.gateway, command.release)
        return True

    def lose_command(self, index: int) -> bool:
        """Drop a command."""
        if index >= len(self.in_flight):
            return False
        del self.in_flight[index]
        return True

    def advance_gateway(self, gateway: str, fails: bool) -> bool:
        """Advance a process of a gateway; if there is none to advance, let time pass and return False."""
        daemon = self.daemons[self.daemon_of[gateway]]
        if daemon.advance_process(self.now_s, gateway, fails, self._unusable_release):
            return True
        self.now_s += STEP_S
        daemon.reconcile(self.now_s, gateway)
        return False

    def restart_daemon(self, name: str, is_disk_lost: bool) -> bool:
        """Restart a daemon; if its disk is lost, it recovers the token from the lease servers."""
        daemon = self.daemons[name]
        token = self.granted_token if is_disk_lost else daemon.stored_token
        if self.defect is Defect.TOKEN_FORGOTTEN:
            token = 0
        daemon.restart(self.now_s, token, is_disk_lost)
        return True

    def submit_request(self, action: OperatorAction) -> bool:
        """Store an operator's request, which the leader handles in its next round."""
        number = self.request.number + 1 if self.request is not None else 1
        self.request = events.OperatorRequested(number, action)
        return True

    # ---- a leader's round

    def _poll(self, leader: SimulatedLeader, name: str, draw: Draw) -> events.Event:
        leader.sequence += 1
        daemon = self.daemons[name]
        is_lost = draw(POLL_LOST_DRAW) == 0
        has_arrived = not is_lost or draw(ANSWER_LOST_DRAW) != 0
        if not has_arrived or not daemon.accept_poll(leader.token, leader.sequence) or is_lost:
            return events.DaemonUnreachable(name)
        leader.incarnations[name] = daemon.fence.incarnation
        return events.DaemonReported(
            name, {gateway: reconciler.observe() for gateway, reconciler in daemon.reconcilers.items()}
        )

    def _report_event(self, leader: SimulatedLeader, event: events.Event, draw: Draw) -> None:
        """Pass an event to the leader's controller, and execute its decisions."""
        pending_actions = deque(leader.controller.handle(self.now_s, event))
        while pending_actions:
            action = pending_actions.popleft()
            match action:
                case events.SetRelease():
                    self._send(leader, action)
                case events.StoreRecord(record):
                    if not self._store_with_faults(leader, record, draw):
                        self.leader = None  # it does not know the stored record; the next leader reads it
                        return
                    stored = events.RecordStored(record, is_confirmed=True)
                    pending_actions.extend(leader.controller.handle(self.now_s, stored))
                    if self.defect is Defect.COMMANDED_BEFORE_STORED and draw(STORE_AFTERWARDS_DRAW):
                        self._store(leader, record)
                case events.AnalyzeStage():
                    completed = _analyze(action, draw)
                    pending_actions.extend(leader.controller.handle(self.now_s, completed))
                case events.StartBake():
                    pass  # results of analyses are drawn, without metrics

    def _send(self, leader: SimulatedLeader, action: events.SetRelease) -> None:
        leader.sequence += 1
        self.in_flight.append(
            InFlightCommand(
                daemon=action.daemon,
                token=leader.token,
                sequence=leader.sequence,
                incarnation=leader.incarnations.get(action.daemon, 0),
                gateway=action.gateway,
                release=action.release,
            )
        )

    def _store(self, leader: SimulatedLeader, record: RolloutRecord) -> bool:
        """Store a record if the leader's token is the current one, as the store of the lease does."""
        if leader.token != self.granted_token:
            return False
        self.record = record
        return True

    def _store_with_faults(self, leader: SimulatedLeader, record: RolloutRecord, draw: Draw) -> bool:
        """Store a record; return whether the leader gets a confirmation."""
        if self.defect is Defect.COMMANDED_BEFORE_STORED:
            return True
        return self._store(leader, record) and draw(STORE_UNCONFIRMED_DRAW) != 0

    def _check_accepted(self, command: InFlightCommand) -> None:
        if command.release == NEW.digest and command.token in self.rollback_tokens:
            raise InvariantError(f"{command.gateway}: a leader of a rollback commands the new release")
        if self.record.is_finished:
            reconciler = self.daemons[command.daemon].reconcilers[command.gateway]
            if reconciler.desired_release != command.release:
                raise InvariantError(f"{command.gateway}: changes after the end of the rollout")


def _create_plan(size: WorldSize) -> RolloutPlan:
    return RolloutPlan(
        name="world",
        base_digest=OLD.digest,
        stages=(Stage(count=1, bake_s=BAKE_S), Stage(share=1.0, bake_s=BAKE_S)),
        max_unavailable=1 if size.gateways < 6 else 2,
        settle_s=0.0,
    )


def _analyze(action: events.AnalyzeStage, draw: Draw) -> events.AnalysisCompleted:
    spent = action.alpha_spent + ALPHA_PER_ANALYSIS
    result = AnalysisResult(_draw_verdict(action.progress, draw), spent, ("simulated",))
    return events.AnalysisCompleted(action.stage, result)


def _draw_verdict(progress: float, draw: Draw) -> Verdict:
    if progress < 1:
        return Verdict.FAILED if draw(HARM_DRAW) == HARM_DRAW - 1 else Verdict.RUNNING
    if draw(UNCLEAR_DRAW) == 0:
        return Verdict.INCONCLUSIVE if draw(INCONCLUSIVE_DRAW) else Verdict.FAILED
    return Verdict.SUCCESSFUL


def draw_no_fault(count: int) -> int:
    """Draw for a round without faults in which the canary analysis succeeds."""
    return 0 if count == HARM_DRAW else count - 1


def draw_harm(count: int) -> int:
    """Draw for a round without faults in which an analysis during the bake time fails."""
    return count - 1
