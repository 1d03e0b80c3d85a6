"""The decisions of the rollout controller, without I/O."""

from __future__ import annotations

from collections.abc import Sequence

import pytest
from msgspec.structs import replace

from saffronstack.cli.rollout import summarize
from saffronstack.fleet.control.messages import GatewayMetrics, GatewayStatus
from saffronstack.fleet.control.observed_gateway import GatewayPhase, ObservedGateway
from saffronstack.fleet.rollout import events
from saffronstack.fleet.rollout.canary_types import AnalysisResult, Verdict
from saffronstack.fleet.rollout.controller import RolloutController
from saffronstack.fleet.rollout.leader import running_release
from saffronstack.fleet.rollout.operator_requests import OperatorAction
from saffronstack.fleet.rollout.plan import (
    FleetGateway,
    InconclusivePolicy,
    Release,
    RolloutFleet,
    RolloutPlan,
    Stage,
)
from saffronstack.fleet.rollout.record import (
    RolloutPhase,
    RolloutRecord,
    create_record,
    decode_record,
    encode_record,
)

OLD, NEW = Release(version="1", digest="old"), Release(version="2", digest="new")
GATEWAYS = tuple(FleetGateway(name=f"g{number}", zone=f"z{number % 2}") for number in range(4))
DAEMON_OF = {f"g{number}": f"d{number % 2}" for number in range(4)}
STAGES = Stage(count=1, bake_s=10.0), Stage(share=1.0, bake_s=10.0)
PLAN = RolloutPlan(name="p", base_digest="old", stages=STAGES, settle_s=0.0)
STALL_TIMEOUT_S = 20.0


def create_controller(plan: RolloutPlan = PLAN, record: RolloutRecord | None = None) -> RolloutController:
    fleet = RolloutFleet(GATEWAYS, DAEMON_OF)
    return RolloutController(record or create_record(plan, OLD, NEW), fleet, 0.0, STALL_TIMEOUT_S)


def observed(
    desired: str = "old",
    running: str | None = None,
    phase: GatewayPhase = GatewayPhase.SERVING,
    failed: str = "",
) -> ObservedGateway:
    running = desired if running is None else running
    return ObservedGateway(desired, running, phase, 1, 0, failed, "made up")


def report(
    controller: RolloutController, now_s: float, **changed: ObservedGateway
) -> Sequence[events.Action]:
    """Report both daemons; gateways that are not named run the old release."""
    actions: list[events.Action] = []
    for daemon in ("d0", "d1"):
        gateways = {
            name: changed.get(name, observed()) for name, owner in DAEMON_OF.items() if owner == daemon
        }
        actions += controller.handle(now_s, events.DaemonReported(daemon, gateways))
    return actions


def first_command(controller: RolloutController) -> events.SetRelease:
    """Return the command that follows the first report."""
    command = report(controller, 1.0)[-1]
    assert isinstance(command, events.SetRelease)
    return command


def only_record(actions: Sequence[events.Action]) -> RolloutRecord:
    """Return the record that the only action stores."""
    (store,) = actions
    assert isinstance(store, events.StoreRecord), actions
    return store.record


def confirm(
    controller: RolloutController, now_s: float, actions: Sequence[events.Action]
) -> Sequence[events.Action]:
    """Confirm that the record is stored."""
    return controller.handle(now_s, events.RecordStored(only_record(actions), True))


def request(number: int, action: OperatorAction) -> events.OperatorRequested:
    return events.OperatorRequested(number, action)


def analyzed(verdict: Verdict, *reasons: str) -> events.AnalysisCompleted:
    return events.AnalysisCompleted(0, AnalysisResult(verdict, 0.01, reasons))


def test_commands_start_after_all_gateways_were_observed_and_go_to_one_at_a_time() -> None:
    controller = create_controller()
    assert controller.handle(1.0, events.DaemonReported("d0", {"g0": observed(), "g2": observed()})) == []
    (command,) = controller.handle(1.1, events.DaemonReported("d1", {"g1": observed(), "g3": observed()}))
    assert isinstance(command, events.SetRelease)
    assert command.release == "new"
    assert report(controller, 2.0, **{command.gateway: observed("new", "old", GatewayPhase.CHANGING)}) == []
    (bake,) = report(controller, 3.0, **{command.gateway: observed("new")})[:1]
    assert bake == events.StartBake(0)


def test_the_bake_begins_after_the_settle_time() -> None:
    controller = create_controller(replace(PLAN, settle_s=5.0))
    changed = first_command(controller).gateway
    assert report(controller, 2.0, **{changed: observed("new")}) == []
    # The settle time starts again after a gateway was down.
    assert report(controller, 6.0, **{changed: observed("new", "", GatewayPhase.DOWN)}) == []
    assert report(controller, 7.0, **{changed: observed("new")}) == []
    assert report(controller, 11.9, **{changed: observed("new")}) == []
    assert report(controller, 12.0, **{changed: observed("new")})[:1] == [events.StartBake(0)]


def test_a_decision_is_stored_before_its_command_and_again_if_it_is_not_confirmed() -> None:
    controller = create_controller()
    command = first_command(controller)
    record = only_record(controller.handle(2.0, request(1, OperatorAction.ABORT)))
    assert record.phase is RolloutPhase.ROLLING_BACK
    # Nothing is commanded until the record is stored.
    assert report(controller, 3.0, **{command.gateway: observed("new")}) == []
    assert only_record(controller.handle(4.0, events.RecordStored(record, False))) == record
    (back,) = controller.handle(5.0, events.RecordStored(record, True))
    assert back == events.SetRelease(DAEMON_OF[command.gateway], command.gateway, "old")


def test_the_next_leader_continues_from_the_record_alone() -> None:
    controller = create_controller()
    changed = first_command(controller).gateway
    report(controller, 2.0, **{changed: observed("new")})
    commands = confirm(controller, 14.0, controller.handle(13.0, analyzed(Verdict.SUCCESSFUL)))
    assert controller.record.stage == 1
    assert isinstance(commands[0], events.SetRelease)
    next_leader = create_controller(record=decode_record(encode_record(controller.record)))
    actions = report(next_leader, 20.0, **{changed: observed("new")})
    assert [one.gateway for one in actions if isinstance(one, events.SetRelease)] != [changed]
    assert next_leader.record == controller.record


@pytest.mark.parametrize("policy", InconclusivePolicy)
def test_an_inconclusive_analysis_holds_or_rolls_back_by_the_plan_and_an_operator_can_resume(
    policy: InconclusivePolicy,
) -> None:
    controller = create_controller(replace(PLAN, on_inconclusive=policy))
    changed = first_command(controller).gateway
    report(controller, 2.0, **{changed: observed("new")})
    confirm(controller, 13.1, controller.handle(13.0, analyzed(Verdict.INCONCLUSIVE, "too few calls")))
    assert controller.record.phase is (
        RolloutPhase.ON_HOLD if policy is InconclusivePolicy.HOLD else RolloutPhase.ROLLING_BACK
    )
    assert "too few calls" in controller.record.reason
    if policy is InconclusivePolicy.HOLD:
        assert report(controller, 14.0, **{changed: observed("new")}) == []
        confirm(controller, 15.0, controller.handle(15.0, request(1, OperatorAction.RESUME)))
        assert summarize(controller.record).startswith("p: forward")
        assert (
            controller.handle(15.1, request(1, OperatorAction.RESUME)) == []
        )  # each request takes effect once


def test_a_release_that_a_daemon_could_not_start_is_rolled_back_at_once() -> None:
    controller = create_controller()
    changed = first_command(controller).gateway
    actions = report(controller, 2.0, **{changed: observed("new", "old", failed="new")})
    (store,) = [one for one in actions if isinstance(one, events.StoreRecord)]
    assert store.record.phase is RolloutPhase.ROLLING_BACK
    assert "could not be run" in store.record.reason


@pytest.mark.parametrize(
    ("metrics", "expected"),
    [
        (GatewayMetrics(0.4, reported_release="old"), "old"),
        (GatewayMetrics(9.0, reported_release="old"), "new"),  # too old to count
        (GatewayMetrics(0.4), "new"),  # it reports no release
    ],
)
def test_the_release_in_a_gateways_metrics_takes_precedence_over_its_daemons_report(
    metrics: GatewayMetrics, expected: str
) -> None:
    status = GatewayStatus("new", "new", GatewayPhase.SERVING, 3, 0, metrics=metrics)
    assert running_release(status) == expected


def test_a_gateway_that_keeps_running_the_old_release_holds_the_rollout() -> None:
    controller = create_controller()
    changed = first_command(controller).gateway
    assert report(controller, 2.0, **{changed: observed("new", "old")}) == []
    record = only_record(controller.handle(23.0, events.Tick()))
    assert record.phase is RolloutPhase.ON_HOLD
    assert changed in record.reason


def test_a_zone_waits_while_gateways_of_another_zone_are_down() -> None:
    controller = create_controller(replace(PLAN, max_unavailable=2, stages=(Stage(share=1.0, bake_s=10.0),)))
    commands = [one for one in report(controller, 1.0) if isinstance(one, events.SetRelease)]
    assert len({DAEMON_OF[one.gateway] for one in commands}) == 1
    assert len(commands) == 2
    # One of them serves and the other stays down: the other zone gets no command.
    up, down = (one.gateway for one in commands)
    changed = {up: observed("new"), down: observed("new", "", GatewayPhase.STARTING)}
    assert report(controller, 2.0, **changed) == []


def test_a_stalled_step_holds_the_rollout_and_a_stalled_rollback_records_what_it_waits_for() -> None:
    controller = create_controller()
    changed = first_command(controller).gateway
    report(controller, 2.0, **{changed: observed("new", "", GatewayPhase.CHANGING)})
    record = only_record(controller.handle(23.0, events.Tick()))
    assert record.phase is RolloutPhase.ON_HOLD
    assert changed in record.reason
    controller.handle(23.1, events.RecordStored(record, True))
    confirm(controller, 24.0, controller.handle(24.0, request(1, OperatorAction.ABORT)))
    report(controller, 25.0, **{changed: observed("old", "", GatewayPhase.CHANGING)})
    stalled = only_record(controller.handle(50.0, events.Tick()))
    assert "going back" in stalled.history[-1]
