"""Decoded metrics of one gateway at one time, and the difference between two of them. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, replace

from hdrh.histogram import HdrHistogram

from saffronstack.fleet.control.messages import GatewayMetrics, GatewayStatus

MAX_METRICS_AGE_S = 3.0  # older metrics are treated as missing


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Metrics of one incarnation of a gateway.

    Attributes:
        incarnation: The number of the gateway's process.
        restarts: Number of unplanned ends of the gateway's processes.
        outcomes_by_class: For each class of calls, the number of calls by outcome.
        latencies_by_class: For each class, the number of calls by latency in tenths of milliseconds.
        memory_mb: Resident memory in megabytes; nan if its growth is unknown.
        open_descriptors: Number of open file descriptors; nan if its growth is unknown.
    """

    incarnation: int
    restarts: int
    outcomes_by_class: dict[str, dict[str, int]]
    latencies_by_class: dict[str, Counter[int]]
    memory_mb: float
    open_descriptors: float

    def since(self, start: MetricsSnapshot) -> MetricsSnapshot:
        """Return the difference to an earlier snapshot.

        If a new incarnation has started since, all of its calls count, and the growth of its memory and
        descriptors is unknown.
        """
        if start.incarnation != self.incarnation:
            return replace(self, memory_mb=math.nan, open_descriptors=math.nan)
        outcomes = {
            name: {
                outcome: count - start.outcomes_by_class.get(name, {}).get(outcome, 0)
                for outcome, count in counts.items()
            }
            for name, counts in self.outcomes_by_class.items()
        }
        latencies = {
            name: counts - start.latencies_by_class.get(name, Counter())
            for name, counts in self.latencies_by_class.items()
        }
        return replace(
            self,
            outcomes_by_class=outcomes,
            latencies_by_class=latencies,
            memory_mb=self.memory_mb - start.memory_mb,
            open_descriptors=self.open_descriptors - start.open_descriptors,
        )


def is_fresh(metrics: GatewayMetrics) -> bool:
    """Return whether metrics are not older than `MAX_METRICS_AGE_S`."""
    return metrics.age_s <= MAX_METRICS_AGE_S


def take_snapshot(status: GatewayStatus) -> MetricsSnapshot | None:
    """Return a gateway's decoded metrics; None if they are missing or too old."""
    metrics = status.metrics
    if metrics is None or not is_fresh(metrics):
        return None
    latencies = {name: _decode_histogram(text) for name, text in metrics.latencies_by_class.items()}
    return MetricsSnapshot(
        incarnation=status.incarnation,
        restarts=status.restarts,
        outcomes_by_class=metrics.outcomes_by_class,
        latencies_by_class=latencies,
        memory_mb=metrics.memory_mb,
        open_descriptors=metrics.open_descriptors,
    )


def _decode_histogram(text: str) -> Counter[int]:
    histogram = HdrHistogram.decode(text.encode())
    return Counter({
        int(item.value_iterated_to): int(item.count_added_in_this_iter_step)
        for item in histogram.get_recorded_iterator() if item.count_added_in_this_iter_step
    })  # fmt: skip
