"""Tests of rollouts with real daemon, lease server, leader and gateway processes, under load with faults.

The results are checked at the sockets of clients and workers; `benchmarks/rollout.py` runs more rollouts at
full size."""

from __future__ import annotations

import pathlib
import signal
import threading
from collections.abc import Callable

import pytest

from saffronstack.fleet.rollout.record import RolloutPhase
from saffronstack.harness.links import LinkMode
from saffronstack.harness.rollout.process_rig import RolloutHarness
from saffronstack.harness.rollout.rig_layout import HarnessSizes
from saffronstack.harness.rollout.rollout_run import RolloutRun, RunOptions
from tests.support.stack import eventually

HEAVY = pytest.mark.xdist_group("rollout")  # these tests run one at a time
SIZES = HarnessSizes(gateways=8, daemons=4, workers=4, rate=60.0, clients=32)
SMALL_SIZES = HarnessSizes(gateways=2, daemons=1, workers=2, rate=30.0, clients=16)
TIMEOUT_S = 90.0
LONGER_THAN_A_POLL_S = 4.0


def has_reached_stage(rig: RolloutHarness, stage: int) -> Callable[[], bool]:
    def has_reached() -> bool:
        record = rig.record()
        return record is not None and (record.stage >= stage or record.is_finished)

    return has_reached


def disturb_leader_daemon_and_link(rig: RolloutHarness) -> None:
    eventually(has_reached_stage(rig, 1), TIMEOUT_S)
    rig.kill("rollout")  # a standby leader continues from the record
    rig.kill("d1")
    rig.start_daemon("d1")  # adopts the serving gateways
    rig.set_link_mode("leader", "d2", LinkMode.HOLD)
    threading.Event().wait(LONGER_THAN_A_POLL_S)  # the daemon counts as unreachable
    rig.set_link_mode("leader", "d2", LinkMode.PASS)


@HEAVY
def test_a_good_release_loses_no_call_though_leader_daemon_and_links_fail(tmp_path: pathlib.Path) -> None:
    with RolloutHarness(tmp_path, SIZES) as rig:
        old, new = rig.make_release("1"), rig.make_release("2")
        rig.deploy(old)
        before = {name: status.pid for name, status in rig.statuses().items()}
        options = RunOptions(
            faults=disturb_leader_daemon_and_link,
            timeout_s=150.0,
            standby_leaders=1,
            fleet_path=rig.write_relayed_fleet_file("leader"),
            waits_on_hold=True,
        )
        outcome = RolloutRun(rig, old, new, rig.write_plan(old, on_doubt="hold"), options).run()
        assert outcome.phase is RolloutPhase.COMPLETED, outcome.summary()
        assert outcome.reached == 8, outcome.summary()
        assert outcome.breaches == [], outcome.breaches[:10]
        assert outcome.unserved_share == 0.0, outcome.summary()
        assert outcome.max_unavailable <= 2, outcome.summary()
        assert not outcome.attempt_ends["broken"], outcome.summary()
        assert not outcome.attempt_ends["not_taken"], outcome.summary()
        after = rig.statuses()
        assert len({status.running_release for status in after.values()}) == 1
        assert all(status.pid != before[name] and status.restarts == 0 for name, status in after.items())


@HEAVY
def test_bad_releases_are_rolled_back_before_they_reach_many(tmp_path: pathlib.Path) -> None:
    most_reached = {"does not start": 0, "dies when it begins": 0, "dies": 2, "refuses": 4}
    with RolloutHarness(tmp_path, SIZES) as rig:
        old = rig.make_release("1")
        rig.deploy(old)
        for number, (fault, most) in enumerate(most_reached.items()):
            new = rig.make_release(f"2.{number}", fault)
            options = RunOptions(timeout_s=90.0)
            outcome = RolloutRun(rig, old, new, rig.write_plan(old), options).run()
            assert outcome.phase is RolloutPhase.ROLLED_BACK, (fault, outcome.summary())
            assert outcome.status == 1, (fault, outcome.summary())
            assert outcome.reached <= most, (fault, outcome.summary())
            assert outcome.breaches == [], (fault, outcome.breaches[:10])
            assert outcome.unserved_share < 0.01, (fault, outcome.summary())
            assert outcome.max_unavailable <= 2, (fault, outcome.summary())
        assert len({status.running_release for status in rig.statuses().values()}) == 1


@HEAVY
def test_a_release_that_dies_when_it_begins_keeps_no_caller_waiting_for_a_program_start(
    tmp_path: pathlib.Path,
) -> None:
    """Clients time out after 3 s; the old release takes longer than that to load."""
    with RolloutHarness(tmp_path, SMALL_SIZES) as rig:
        old, new = rig.make_release("1", "loads slowly"), rig.make_release("2", "dies when it begins")
        rig.deploy(old)
        stages = [{"count": 1, "bake_s": 2.0}, {"share": 1.0, "bake_s": 2.0}]
        plan = rig.write_plan(old, stages=stages, unavailable_most=1)
        outcome = RolloutRun(rig, old, new, plan, RunOptions(timeout_s=90.0)).run()
        assert outcome.phase is RolloutPhase.ROLLED_BACK, outcome.summary()
        assert outcome.breaches == [], outcome.breaches[:10]
        assert outcome.unserved_share == 0.0, outcome.summary()


@HEAVY
def test_an_abort_rolls_back_also_on_a_daemon_that_was_stopped(tmp_path: pathlib.Path) -> None:
    with RolloutHarness(tmp_path, SIZES) as rig:
        old, new = rig.make_release("1"), rig.make_release("2")
        rig.deploy(old)
        before = next(iter(rig.statuses().values())).running_release
        plan = rig.write_plan(old)

        def abort_while_a_daemon_is_stopped(rig: RolloutHarness) -> None:
            fleet = ("--fleet", str(rig.fleet_path))
            eventually(has_reached_stage(rig, 1), TIMEOUT_S)
            eventually(lambda: len(rig.observations.reached) > 2, TIMEOUT_S)
            second = rig.run(
                "rollout", "start", str(plan), *fleet, "--from", old, "--to", new, "--wait", "1"
            )  # fmt: skip
            assert second.returncode == 75, second.stderr
            assert "a rollout is being led" in second.stderr
            changed = [name for name, one in rig.statuses().items() if one.running_release != before]
            victim = rig.daemon_of[changed[0]]
            rig.signal(victim, signal.SIGSTOP)
            aborted = rig.run("rollout", "abort", *fleet)
            assert aborted.returncode == 0, aborted.stderr
            eventually(lambda: is_rolling_back(rig), TIMEOUT_S)
            rig.signal(victim, signal.SIGCONT)

        options = RunOptions(faults=abort_while_a_daemon_is_stopped, timeout_s=150.0)
        outcome = RolloutRun(rig, old, new, plan, options).run()
        assert outcome.phase is RolloutPhase.ROLLED_BACK, outcome.summary()
        assert outcome.status == 1, outcome.summary()
        assert outcome.breaches == [], outcome.breaches[:10]
        assert outcome.unserved_share == 0.0, outcome.summary()
        assert outcome.max_unavailable <= 2, outcome.summary()
        assert {status.running_release for status in rig.statuses().values()} == {before}
        reloaded = rig.run("fleet", "reload", "--fleet", str(rig.fleet_path), "--wait", "20")
        assert reloaded.returncode == 0, reloaded.stdout + reloaded.stderr


def is_rolling_back(rig: RolloutHarness) -> bool:
    record = rig.record()
    return record is not None and record.phase is RolloutPhase.ROLLING_BACK
