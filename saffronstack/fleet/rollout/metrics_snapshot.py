"""Decoded metrics of one gateway at one moment, and the difference of two. No I/O."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, replace

from hdrh.histogram import HdrHistogram

from saffronstack.fleet.control.messages import GatewayMetrics, GatewayStatus

MAX_METRICS_AGE_S = 3.0  # older metrics count as missing


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """What one incarnation of a gateway has counted.

    Attributes:
        incarnation: The number of its process.
        restarts: Unplanned ends of the gateway's processes.
        outcomes_by_class: For each class of calls, how many ended in which way.
        latencies_by_class: For each class, how many calls took how long, in tenths of milliseconds.
        memory_mb: Resident memory; nan where its growth is unknown.
        open_descriptors: Open file descriptors; nan likewise.
    """

    incarnation: int
    restarts: int
    outcomes_by_class: dict[str, dict[str, int]]
    latencies_by_class: dict[str, Counter[int]]
    memory_mb: float
    open_descriptors: float

    def since(self, start: MetricsSnapshot) -> MetricsSnapshot:
        """Return what has changed since an earlier snapshot.

        Of an incarnation that started since, all calls count, and how its memory grew is unknown.
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
    """Return whether metrics are young enough to count."""
    return metrics.age_s <= MAX_METRICS_AGE_S


def take_snapshot(status: GatewayStatus) -> MetricsSnapshot | None:
    """Decode a gateway's metrics; None where they are missing or too old."""
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
