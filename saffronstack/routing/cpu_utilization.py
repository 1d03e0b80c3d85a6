"""CPU utilization that workers report with their responses."""

from __future__ import annotations

import math

from saffronstack.routing.state import Worker

REPORT_WEIGHT = 0.3  # weight of one report in a worker's moving average
# Time constant in seconds with which a worker's difference from the fleet mean decays after its last report.
# Persistent differences between workers outlast it, momentary ones do not. A worker that gets no requests
# sends no reports; the decay makes it count as average again, so that it gets requests.
REPORT_WINDOW_S = 20.0
FLEET_REPORT_WEIGHT = 0.02  # weight of one report in the mean over all responding workers
# Lower bound of a worker's idle fraction; keeps ratios finite at full utilization.
MIN_IDLE_FRACTION = 0.05


class CpuUtilization:
    """Keeps moving averages of reported CPU utilization, for each worker and for the fleet.

    Attributes:
        fleet_mean: Recent mean over responding workers; 0 before the first report.
    """

    __slots__ = ("fleet_mean",)

    def __init__(self) -> None:
        self.fleet_mean = 0.0

    def observe(self, now: float, worker: Worker, utilization: float) -> None:
        """Update the averages with one report; ``utilization`` is the fraction of cores in use."""
        is_recent = worker.cpu_reported_s > now - REPORT_WINDOW_S
        weight = REPORT_WEIGHT if is_recent else 1.0
        worker.cpu_utilization += weight * (utilization - worker.cpu_utilization)
        worker.cpu_reported_s = now
        self.fleet_mean += FLEET_REPORT_WEIGHT * (utilization - self.fleet_mean)

    def relative_idle(self, now: float, worker: Worker) -> float:
        """Return the idle fraction of a worker's cores as a multiple of the fleet's; 1 without any report.

        The ratio reveals workers that stay busier than others although no single gateway sees it: rendezvous
        ranks, capacities and chance load workers unevenly for as long as functions stay loaded. Old reports
        decay to the fleet mean. Wrong reports make placement worse.
        """
        if worker.cpu_reported_s == -math.inf:
            return 1.0
        difference = worker.cpu_utilization - self.fleet_mean
        difference = difference * math.exp((worker.cpu_reported_s - now) / REPORT_WINDOW_S)
        idle = max(MIN_IDLE_FRACTION, 1 - self.fleet_mean - difference)
        return idle / max(MIN_IDLE_FRACTION, 1 - self.fleet_mean)
