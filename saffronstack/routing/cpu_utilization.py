"""CPU utilization of workers, as reported with their responses."""

from __future__ import annotations

import math

from saffronstack.routing.state import Worker

REPORT_WEIGHT = 0.3  # of one report in a worker's moving average
# Seconds over which a worker's difference from the mean fades: what differs between workers lasts, what one
# of them does next does not. A worker that nobody sends to is taken for average again and gets requests.
REPORT_WINDOW_S = 20.0
FLEET_REPORT_WEIGHT = 0.02  # of one report in the mean over all workers that respond
# Least idle fraction that a worker is taken to have; keeps the ratio of two workers finite at full use.
MIN_IDLE_FRACTION = 0.05


class CpuUtilization:
    """Moving averages of reported CPU utilization, by worker and over the fleet.

    Attributes:
        fleet_mean: Recent mean over responding workers; 0 until a report arrives.
    """

    __slots__ = ("fleet_mean",)

    def __init__(self) -> None:
        self.fleet_mean = 0.0

    def observe(self, now: float, worker: Worker, utilization: float) -> None:
        """Take in one report; ``utilization`` is a fraction of the worker's cores."""
        is_recent = worker.cpu_reported_s > now - REPORT_WINDOW_S
        weight = REPORT_WEIGHT if is_recent else 1.0
        worker.cpu_utilization += weight * (utilization - worker.cpu_utilization)
        worker.cpu_reported_s = now
        self.fleet_mean += FLEET_REPORT_WEIGHT * (utilization - self.fleet_mean)

    def relative_idle(self, now: float, worker: Worker) -> float:
        """Return the idle fraction of a worker's cores as a multiple of the fleet's; 1 where none is known.

        Guards against workers that stay busier than others though no gateway sees it: rendezvous ranks,
        capacities and chance load them unevenly for as long as the functions live. Old reports decay to the
        fleet's mean. It could hurt where utilization is reported wrongly.
        """
        if worker.cpu_reported_s == -math.inf:
            return 1.0
        difference = worker.cpu_utilization - self.fleet_mean
        difference = difference * math.exp((worker.cpu_reported_s - now) / REPORT_WINDOW_S)
        idle = max(MIN_IDLE_FRACTION, 1 - self.fleet_mean - difference)
        return idle / max(MIN_IDLE_FRACTION, 1 - self.fleet_mean)
