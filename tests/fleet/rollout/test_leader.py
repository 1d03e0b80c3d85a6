"""Tests of a leader's rounds with a simulated daemon and a manual clock."""

from __future__ import annotations

import threading
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from saffronstack.fleet.control.daemon_answers import DaemonResponse
from saffronstack.fleet.control.daemon_client import DaemonClient
from saffronstack.fleet.control.messages import DaemonStatus, GatewayCommand, GatewayMetrics, GatewayStatus
from saffronstack.fleet.control.observed_gateway import GatewayPhase
from saffronstack.fleet.leases.quorum_read import QuorumRead
from saffronstack.fleet.rollout.leader import LeaderOptions, RolloutLeader
from saffronstack.fleet.rollout.plan import FleetGateway, Release, RolloutFleet, RolloutPlan, Stage
from saffronstack.fleet.rollout.record import RolloutPhase, RolloutRecord, create_record
from saffronstack.invoke.call_metrics import empty_histogram

ROUND_S = 0.5
CALLS_PER_S = 30
BAKE_S = 2.0
OLD, NEW = Release(version="1", digest="old"), Release(version="2", digest="new")
PLAN = RolloutPlan(
    name="plan", base_digest="old", stages=(Stage(share=1.0, bake_s=BAKE_S),), settle_s=0.0, min_calls=20
)  # fmt: skip


@dataclass
class ManualClock:
    """Clock that advances only when a test sets it."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


@dataclass
class UnlosableLease:
    """A lease that never expires."""

    lease: str = "rollout"
    token: int = 1
    value: bytes = b""

    def remaining_s(self) -> float:
        return 10.0

    def put(self, content: bytes, timeout_s: float) -> bool:
        self.value = content
        return True

    def release(self) -> None:
        raise AssertionError("the leader must not release a lease that it did not acquire")


class SimulatedDaemonClient(DaemonClient):
    """Simulates one daemon whose gateway runs each commanded release immediately.

    The gateway's metrics are polled every ``poll_interval_s`` seconds until ``last_poll_s``.
    """

    def __init__(self, clock: ManualClock, poll_interval_s: float, last_poll_s: float) -> None:
        super().__init__("fleet", {}, 1, lambda: True, clock)
        self._manual_clock, self._poll_interval_s, self._last_poll_s = clock, poll_interval_s, last_poll_s
        self._release, self._incarnation, self._started_s = "old", 1, clock()
        self._histogram = empty_histogram().encode().decode()

    def send(self, commands: Mapping[str, Sequence[GatewayCommand]]) -> dict[str, DaemonResponse]:
        for command in commands.get("d", ()):
            self._release, self._incarnation, self._started_s = (
                command.release,
                self._incarnation + 1,
                self._manual_clock(),
            )
        return {"d": DaemonStatus("d", 1, False, 1, {"g": self._status()})}

    def poll(self) -> dict[str, DaemonResponse]:
        self._manual_clock.now_s += ROUND_S
        return self.send({})

    def _status(self) -> GatewayStatus:
        latest_s = min(self._manual_clock(), self._last_poll_s)
        polled_s = max(self._started_s, latest_s - (latest_s - self._started_s) % self._poll_interval_s)
        calls = {"lookup": {"served": int((polled_s - self._started_s) * CALLS_PER_S)}}
        metrics = GatewayMetrics(
            self._manual_clock() - polled_s,
            calls,
            {"lookup": self._histogram},
            reported_release=self._release,
        )
        return GatewayStatus(
            self._release, self._release, GatewayPhase.SERVING, self._incarnation, 0, metrics=metrics
        )


def lead_rollout(poll_interval_s: float, last_poll_s: float = 1e9) -> tuple[RolloutRecord, float]:
    """Lead a rollout; return the last record and the duration in seconds of the clock."""
    clock = ManualClock()
    started_s = clock()
    stopping = threading.Event()
    gateway = FleetGateway(name="g", zone="east")

    def stop_on_hold(record: RolloutRecord, pending: str) -> None:
        if record.phase is RolloutPhase.ON_HOLD:
            stopping.set()

    leader = RolloutLeader(
        RolloutFleet((gateway,), {"g": "d"}), SimulatedDaemonClient(clock, poll_interval_s, last_poll_s),
        UnlosableLease(), lambda: QuorumRead(True, {}), stop_on_hold, clock,
        LeaderOptions(round_interval_s=0.0),
    )  # fmt: skip
    record = leader.lead(create_record(PLAN, OLD, NEW), stopping)
    return record, clock() - started_s


def test_a_bake_ends_once_metrics_cover_it() -> None:
    """Guards against a bake that ends without metrics from its own time.

    Metrics of busy gateways arrive late: a bake of 2 s got no metrics that were polled after its start.
    """
    record, elapsed_s = lead_rollout(poll_interval_s=2.9)
    assert record.phase is RolloutPhase.COMPLETED, record.history
    assert BAKE_S < elapsed_s < 2 * BAKE_S + 2.9


def test_fresh_metrics_do_not_prolong_a_bake() -> None:
    record, elapsed_s = lead_rollout(poll_interval_s=ROUND_S)
    assert record.phase is RolloutPhase.COMPLETED, record.history
    assert elapsed_s <= BAKE_S + 4 * ROUND_S


def test_a_bake_does_not_wait_for_a_gateway_without_metrics() -> None:
    record, elapsed_s = lead_rollout(poll_interval_s=ROUND_S, last_poll_s=101.0)
    assert record.phase is RolloutPhase.ON_HOLD, record.history
    assert "could not be asked" in record.history[-1], record.history
    assert elapsed_s < BAKE_S + 4.0
