"""Rollouts with daemons, keepers, leaders and gateways as processes, under load, with faults between them.

Judged from clients' and workers' sockets; `benchmarks/rollout.py` plays more of them at full size."""

from __future__ import annotations

import pathlib
import signal
import threading
from collections.abc import Callable

import pytest

from saffronstack.fleet.rollout.record import RolloutPhase
from saffronstack.harness.links import Mode
from saffronstack.harness.rollout.processes import RolloutRig, Sizes
from tests.support.stack import eventually

HEAVY = pytest.mark.xdist_group("rollout")  # one at a time
SIZES = Sizes(gateways=8, daemons=4, workers=4, rate=60.0, clients=32)
WAIT_S = 90.0


def stage(rig: RolloutRig, wanted: int) -> Callable[[], bool]:
    def reached() -> bool:
        record = rig.record()
        return record is not None and (record.stage >= wanted or record.is_finished)

    return reached


@HEAVY
def test_a_good_change_loses_no_call_though_leader_daemon_and_links_fail(tmp_path: pathlib.Path) -> None:
    with RolloutRig(tmp_path, SIZES) as rig:
        old, new = rig.make("1"), rig.make("2")
        rig.deploy(old)
        before = {name: state.pid for name, state in rig.states().items()}

        def faults(rig: RolloutRig) -> None:
            eventually(stage(rig, 1), WAIT_S)
            rig.kill("rollout")  # another one goes on from the record
            rig.kill("d1")
            rig.start_daemon("d1")  # it takes up what its last life left serving
            rig.cut("leader", "d2", Mode.HOLD)
            threading.Event().wait(4.0)  # longer than a look at a daemon may take: it is silent
            rig.cut("leader", "d2", Mode.PASS)

        relayed = rig.behind_wires("leader")
        outcome = rig.roll(old, new, rig.plan(old, on_doubt="hold"), faults, 150.0, 1, relayed, hold=True)
        assert outcome.way == "done" and outcome.reached == 8, outcome.line()
        assert outcome.breaches == [], outcome.breaches[:10]
        assert outcome.harmed == 0.0 and outcome.down_most <= 2, outcome.line()
        assert not outcome.ends["broken"] and not outcome.ends["not_taken"], outcome.line()
        after = rig.states()
        assert len({state.running_release for state in after.values()}) == 1
        assert all(state.pid != before[name] and state.restarts == 0 for name, state in after.items())


@HEAVY
def test_bad_releases_are_stopped_before_they_reach_many(tmp_path: pathlib.Path) -> None:
    with RolloutRig(tmp_path, SIZES) as rig:
        old = rig.make("1")
        rig.deploy(old)
        for number, (harm, most) in enumerate(
            (("does not start", 0), ("dies when it begins", 0), ("dies", 2), ("refuses", 4))
        ):
            rig.reached.clear()
            outcome = rig.roll(old, rig.make(f"2.{number}", harm), rig.plan(old), most_s=90.0)
            assert outcome.way == "returned" and outcome.status == 1, (harm, outcome.line())
            assert outcome.reached <= most, (harm, outcome.line())
            assert outcome.breaches == [], (harm, outcome.breaches[:10])
            assert outcome.harmed < 0.01 and outcome.down_most <= 2, (harm, outcome.line())
        assert len({state.running_release for state in rig.states().values()}) == 1


@HEAVY
def test_an_abort_goes_back_also_on_a_daemon_that_was_away(tmp_path: pathlib.Path) -> None:
    with RolloutRig(tmp_path, SIZES) as rig:
        old, new = rig.make("1"), rig.make("2")
        rig.deploy(old)

        def faults(rig: RolloutRig) -> None:
            eventually(stage(rig, 1), WAIT_S)
            eventually(lambda: len(rig.reached) > 2, WAIT_S)
            both = ("--from", old, "--to", new, "--wait", "1")
            told = rig.run("rollout", "start", str(plan), "--fleet", str(rig.path), *both)
            assert told.returncode == 75 and "a rollout is being led" in told.stderr, told.stderr
            victim = next(
                rig.daemon_of[name] for name, state in rig.states().items() if state.running_release != before
            )
            rig.signal(victim, signal.SIGSTOP)
            told = rig.run("rollout", "abort", "--fleet", str(rig.path))
            assert told.returncode == 0, told.stderr
            eventually(
                lambda: (found := rig.record()) is not None and found.phase is RolloutPhase.ROLLING_BACK,
                WAIT_S,
            )
            rig.signal(victim, signal.SIGCONT)

        before = next(iter(rig.states().values())).running_release
        plan = rig.plan(old)
        outcome = rig.roll(old, new, plan, faults, 150.0)
        assert outcome.way == "returned" and outcome.status == 1, outcome.line()
        assert outcome.breaches == [] and outcome.harmed == 0.0, (outcome.line(), outcome.breaches[:10])
        assert outcome.down_most <= 2, outcome.line()
        assert {state.running_release for state in rig.states().values()} == {before}
        again = rig.run("fleet", "reload", "--fleet", str(rig.path), "--wait", "20")
        assert again.returncode == 0, again.stdout + again.stderr
