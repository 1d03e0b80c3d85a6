"""Creates the samples of a canary analysis from the daemons' reports of gateways. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from saffronstack.fleet.control.messages import GatewayStatus
from saffronstack.fleet.rollout.canary_types import FailureRatio, GatewaySample
from saffronstack.fleet.rollout.metrics_snapshot import MetricsSnapshot, is_fresh, take_snapshot
from saffronstack.fleet.rollout.plan import FleetGateway

IN_TIME_FRACTION = 0.95  # quantile of the baseline's latencies above which a call is late
FAILURES = ("function_error", "refused", "failed", "unknown")  # names of outcomes in the gateways' metrics


@dataclass(frozen=True, slots=True)
class _MeasuredGateway:
    """A gateway whose metrics are known from the start of the bake and from now."""

    gateway: FleetGateway
    status: GatewayStatus
    since_start: MetricsSnapshot


@dataclass(slots=True)
class CanarySampler:
    """Stores each gateway's metrics at the start of a bake; times in seconds of one clock."""

    fleet: Sequence[FleetGateway]
    _snapshots_at_start: dict[str, MetricsSnapshot] = field(default_factory=dict)
    _bake_started_s: float = 0.0

    def begin(self, statuses: Mapping[str, GatewayStatus], now_s: float) -> None:
        """Start a bake."""
        self._bake_started_s = now_s
        self._snapshots_at_start = {
            name: snapshot for name, status in statuses.items()
            if (snapshot := take_snapshot(status)) is not None
        }  # fmt: skip

    def covered_s(self, statuses: Mapping[str, GatewayStatus], polled_s: float) -> float:
        """Return the part of the bake time that the oldest fresh metrics cover.

        Args:
            statuses: Reported state of each gateway.
            polled_s: A time no later than the daemons' reports.

        Returns:
            Seconds; infinity if no gateway has fresh metrics, since the analysis does not wait for them.
        """
        ages_s = [
            status.metrics.age_s for status in statuses.values()
            if status.metrics is not None and is_fresh(status.metrics)
        ]  # fmt: skip
        return max(0.0, polled_s - max(ages_s) - self._bake_started_s) if ages_s else math.inf

    def samples(self, statuses: Mapping[str, GatewayStatus], new_digest: str) -> list[GatewaySample]:
        """Return the samples to compare; canaries are gateways whose desired release is ``new_digest``."""
        unreachable: list[GatewaySample] = []
        measured: list[_MeasuredGateway] = []
        for gateway in self.fleet:
            status = statuses.get(gateway.name)
            since_start = self._since_start(gateway.name, status)
            if status is None or since_start is None:
                unreachable.append(self._unreachable_sample(gateway, status, new_digest))
            else:
                measured.append(_MeasuredGateway(gateway, status, since_start))
        baseline = (one.since_start for one in measured if one.status.desired_release != new_digest)
        lateness_thresholds = _lateness_thresholds(baseline)
        return unreachable + [self._sample(one, lateness_thresholds, new_digest) for one in measured]

    def _since_start(self, name: str, status: GatewayStatus | None) -> MetricsSnapshot | None:
        snapshot = take_snapshot(status) if status is not None else None
        if snapshot is None:
            return None
        if (
            name not in self._snapshots_at_start
        ):  # not polled when the bake began, so it is measured from now on
            self._snapshots_at_start[name] = snapshot
            return None
        return snapshot.since(self._snapshots_at_start[name])

    def _unreachable_sample(
        self, gateway: FleetGateway, status: GatewayStatus | None, new_digest: str
    ) -> GatewaySample:
        """Return the sample of a gateway without metrics; its desired release, if known, shows its side."""
        return GatewaySample(
            gateway=gateway.name,
            zone=gateway.zone,
            is_canary=status is not None and status.desired_release == new_digest,
            restarts=self._restarts(gateway.name, status),
            is_unreachable=True,
        )

    def _sample(
        self, measured: _MeasuredGateway, lateness_thresholds: Mapping[str, int], new_digest: str
    ) -> GatewaySample:
        since_start = measured.since_start
        return GatewaySample(
            gateway=measured.gateway.name,
            zone=measured.gateway.zone,
            is_canary=measured.status.desired_release == new_digest,
            ratios=_failure_ratios(since_start, lateness_thresholds),
            gauges={"memory_mb": since_start.memory_mb, "descriptors": since_start.open_descriptors},
            restarts=self._restarts(measured.gateway.name, measured.status),
        )

    def _restarts(self, name: str, status: GatewayStatus | None) -> int:
        started = self._snapshots_at_start.get(name)
        if status is None or started is None:
            return 0
        return max(0, status.restarts - started.restarts)


def _failure_ratios(
    since_start: MetricsSnapshot, lateness_thresholds: Mapping[str, int]
) -> dict[str, FailureRatio]:
    """Return the failures and late calls of each class, and the failures of all classes together.

    A small increase in each class is significant in the total first.
    """
    ratios: dict[str, FailureRatio] = {}
    all_outcomes: Counter[str] = Counter()
    for call_class, outcomes in since_start.outcomes_by_class.items():
        all_outcomes.update(outcomes)
        calls = sum(outcomes.values())
        for failure in FAILURES:
            ratios[f"{failure}/{call_class}"] = FailureRatio(outcomes.get(failure, 0), calls)
        if call_class in lateness_thresholds:
            latencies = since_start.latencies_by_class.get(call_class, Counter())
            late = sum(count for value, count in latencies.items() if value > lateness_thresholds[call_class])
            ratios[f"late/{call_class}"] = FailureRatio(late, latencies.total())
    for failure in FAILURES:
        ratios[f"{failure}/all"] = FailureRatio(all_outcomes[failure], all_outcomes.total())
    return ratios


def _lateness_thresholds(baseline: Iterable[MetricsSnapshot]) -> dict[str, int]:
    """Return for each class the latency that `IN_TIME_FRACTION` of the baseline's calls did not exceed."""
    merged: dict[str, Counter[int]] = {}
    for snapshot in baseline:
        for call_class, latencies in snapshot.latencies_by_class.items():
            merged.setdefault(call_class, Counter()).update(latencies)
    thresholds = {call_class: _latency_quantile(latencies) for call_class, latencies in merged.items()}
    return {call_class: threshold for call_class, threshold in thresholds.items() if threshold is not None}


def _latency_quantile(latencies: Counter[int]) -> int | None:
    remaining = IN_TIME_FRACTION * latencies.total()
    for value in sorted(latencies):
        remaining -= latencies[value]
        if remaining <= 0:
            return value
    return None
