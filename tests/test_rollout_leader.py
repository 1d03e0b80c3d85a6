"""A leader's rounds with daemons that are told in the test, on a clock that is passed in."""

from __future__ import annotations

import threading
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from saffronstack.fleet.control.daemon_answers import DaemonAnswer
from saffronstack.fleet.control.daemon_client import DaemonClient
from saffronstack.fleet.control.messages import DaemonStatus, GatewayCommand, GatewayMetrics, GatewayStatus
from saffronstack.fleet.control.observed_gateway import GatewayPhase
from saffronstack.fleet.leases.quorum_read import QuorumRead
from saffronstack.fleet.rollout.leader import LeaderOptions, RolloutLeader
from saffronstack.fleet.rollout.plan import FleetGateway, Release, RolloutFleet, RolloutPlan, Stage
from saffronstack.fleet.rollout.record import RolloutPhase, RolloutRecord, create_record
from saffronstack.invoke.figures import times

ROUND_S = 0.5
CALLS_PER_S = 30
BAKE_S = 2.0
OLD, NEW = Release(version="1", digest="old"), Release(version="2", digest="new")
PLAN = RolloutPlan(
    name="plan", base_digest="old", stages=(Stage(share=1.0, bake_s=BAKE_S),), settle_s=0.0, min_calls=20
)  # fmt: skip


@dataclass
class Clock:
    """Moves when it is told to."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


@dataclass
class Lease:
    """A lease that is never lost."""

    lease: str = "rollout"
    token: int = 1
    value: bytes = b""

    def remaining_s(self) -> float:
        return 10.0

    def put(self, content: bytes, wait_s: float) -> bool:
        self.value = content
        return True

    def release(self) -> None:
        raise AssertionError("the leader does not own it")


class ToldDaemons(DaemonClient):
    """One daemon with one gateway that runs what it is ordered at once. Its figures are read anew
    ``every_s`` seconds; ``until_s``: not after this moment."""

    def __init__(self, clock: Clock, every_s: float, until_s: float) -> None:
        super().__init__("fleet", {}, 1, lambda: True, clock)
        self._now, self._every_s, self._until_s = clock, every_s, until_s
        self._runs, self._life, self._began_s = "old", 1, clock()
        self._histogram = times().encode().decode()

    def send(self, commands: Mapping[str, Sequence[GatewayCommand]]) -> dict[str, DaemonAnswer]:
        for command in commands.get("d", ()):
            self._runs, self._life, self._began_s = command.release, self._life + 1, self._now()
        return {"d": DaemonStatus("d", 1, False, 1, {"g": self._state()})}

    def poll(self) -> dict[str, DaemonAnswer]:
        self._now.now_s += ROUND_S
        return self.send({})

    def _state(self) -> GatewayStatus:
        now = min(self._now(), self._until_s)
        read_s = max(self._began_s, now - (now - self._began_s) % self._every_s)
        calls = {"lookup": {"served": int((read_s - self._began_s) * CALLS_PER_S)}}
        figures = GatewayMetrics(
            self._now() - read_s, calls, {"lookup": self._histogram}, reported_release=self._runs
        )
        return GatewayStatus(self._runs, self._runs, GatewayPhase.SERVING, self._life, 0, metrics=figures)


def led(every_s: float, until_s: float = 1e9) -> tuple[RolloutRecord, float]:
    """The record at the end of a rollout, and how long it took on the clock."""
    clock = Clock()
    began_s = clock()
    stopping = threading.Event()
    gateway = FleetGateway(name="g", zone="east")

    def stop_when_held(record: RolloutRecord, waits: str) -> None:
        if record.phase is RolloutPhase.ON_HOLD:
            stopping.set()

    leader = RolloutLeader(
        RolloutFleet((gateway,), {"g": "d"}), ToldDaemons(clock, every_s, until_s), Lease(),
        lambda: QuorumRead(True, {}), stop_when_held, clock, LeaderOptions(round_interval_s=0.0),
    )  # fmt: skip
    record = leader.lead(create_record(PLAN, OLD, NEW), stopping)
    return record, clock() - began_s


def test_a_bake_ends_by_figures_of_its_end_not_by_older_ones() -> None:
    """Metrics come late from busy gateways: a bake of two seconds saw none that were younger than itself."""
    record, took_s = led(every_s=2.9)
    assert record.phase is RolloutPhase.COMPLETED, record.history
    assert BAKE_S < took_s < 2 * BAKE_S + 2.9


def test_figures_that_are_fresh_make_no_bake_longer() -> None:
    record, took_s = led(every_s=ROUND_S)
    assert record.phase is RolloutPhase.COMPLETED, record.history
    assert took_s <= BAKE_S + 4 * ROUND_S


def test_a_gateway_that_tells_no_figures_any_more_is_not_waited_for() -> None:
    record, took_s = led(every_s=ROUND_S, until_s=101.0)
    assert record.phase is RolloutPhase.ON_HOLD and "could not be asked" in record.history[-1], record.history
    assert took_s < BAKE_S + 4.0
