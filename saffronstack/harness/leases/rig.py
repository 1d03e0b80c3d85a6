"""Harness that runs lease servers and candidates as processes under a schedule of faults, and checks the run.

A schedule is drawn from a seed. It can be stored in a file and run again in whole or in part, which is how a
failing schedule is reduced to a minimal one.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from saffronstack.fleet.leases.client import holder_clock
from saffronstack.harness.leases.judge import CheckResult
from saffronstack.harness.leases.processes import MajoritySample
from saffronstack.harness.leases.rig_faults import FaultInjector
from saffronstack.harness.leases.schedule import Fault
from saffronstack.harness.scenario.processes import ScenarioError
from saffronstack.runtime.threads import start_thread

BREACH_CHECK_INTERVAL_S = 0.2
MAJORITY_SAMPLE_INTERVAL_S = 0.05
FAULT_END_TIMEOUT_S = 10.0  # per fault, at the end of a run


@dataclass
class Report:
    """Result of a run; times in seconds."""

    check_result: CheckResult
    faults: dict[str, int] = field(default_factory=dict)  # number of faults by kind
    majority_s: float = 0.0  # time in which a majority of servers could communicate
    majority_held_s: float = 0.0  # part of ``majority_s`` in which the lease was held
    seconds: float = 0.0


class LeaseHarness(FaultInjector):
    """Runs a schedule of faults on a set of processes."""

    def run(self, faults: Sequence[Fault], seconds: float, until_breach: bool = False) -> Report:
        """Run a schedule.

        A disk is damaged only while all other servers are healthy.

        Args:
            faults: The schedule.
            seconds: Duration of the run.
            until_breach: Whether the run ends at the first breach.

        Raises:
            ScenarioError: The servers do not vote at the start or after a fault, or ending a fault failed.
        """
        if not self.wait_until_voting():
            raise ScenarioError("the lease servers do not vote")
        start_thread("rig-samples", self._sample_majority)
        started_s, started_at_s = time.monotonic(), holder_clock()
        for fault in faults:
            self._sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
            has_breach = until_breach and self._check(started_at_s, holder_clock()).breaches
            if time.monotonic() - started_s >= seconds or has_breach:
                break
            self._fault_counts[fault.kind] = self._fault_counts.get(fault.kind, 0) + 1
            self.inject(fault)
        while time.monotonic() - started_s < seconds:
            if until_breach and self._check(started_at_s, holder_clock()).breaches:
                break
            self._sleep(BREACH_CHECK_INTERVAL_S)
        return self._finish(started_at_s)

    def _finish(self, started_at_s: float) -> Report:
        """Wait for the end of all faults; return the report."""
        for thread in self._fault_end_threads:
            thread.join(FAULT_END_TIMEOUT_S)
        ended_at_s = holder_clock()
        self._is_closed = True
        if self._failure:
            raise ScenarioError(self._failure)
        report = Report(self._check(started_at_s, ended_at_s), dict(sorted(self._fault_counts.items())))
        report.seconds = ended_at_s - started_at_s
        self._measure_majority(report)
        return report

    def _measure_majority(self, report: Report) -> None:
        periods = self.checker.holding_periods()
        for sample, following in pairwise(self._majority_samples):
            if not sample.has_majority:
                continue
            report.majority_s += following.at_s - sample.at_s
            report.majority_held_s += sum(
                max(0.0, min(following.at_s, period.until_s) - max(sample.at_s, period.since_s))
                for period in periods
            )

    def _check(self, since_s: float, until_s: float) -> CheckResult:
        return self.checker.check(since_s, until_s)

    def _sample_majority(self) -> None:
        while not self._is_closed:
            with self._lock:
                healthy = sum(not faults for faults in self._active_faults.values())
            has_majority = healthy > len(self._server_names) // 2
            self._majority_samples.append(MajoritySample(holder_clock(), has_majority))
            time.sleep(MAJORITY_SAMPLE_INTERVAL_S)
