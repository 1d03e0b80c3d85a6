"""Plays schedules of faults among lease servers and candidates that are processes, and judges the run.

A schedule is drawn from a seed, can be written to a file and played again in whole or in part: that is how
one that fails is shrunk.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from saffronstack.fleet.leases.client import holder_clock
from saffronstack.harness.leases.judge import Judgement
from saffronstack.harness.leases.processes import MajoritySample
from saffronstack.harness.leases.rig_faults import RigFaults
from saffronstack.harness.leases.schedule import Fault
from saffronstack.harness.scenario.processes import ScenarioError
from saffronstack.runtime.threads import start_thread

BREACH_CHECK_S = 0.2
SAMPLE_S = 0.05
FAULT_END_S = 10.0  # how long to wait for the end of faults


@dataclass
class Report:
    """The result of a run; times in seconds."""

    judgement: Judgement
    faults: dict[str, int] = field(default_factory=dict)  # how many of each kind
    majority_s: float = 0.0  # in which a majority of servers could communicate
    majority_held_s: float = 0.0  # of that, with a holder
    seconds: float = 0.0


class LeaseRig(RigFaults):
    """Plays schedules of faults on one run's processes."""

    def play(self, faults: Sequence[Fault], seconds: float, until_breach: bool = False) -> Report:
        """Play a schedule; the disk of one server at a time is damaged, the others being well.

        Args:
            faults: The schedule.
            seconds: For how long to play it.
            until_breach: Stop at the first breach.

        Raises:
            ScenarioError: The servers do not vote at the start or after a fault.
        """
        if not self.wait_until_voting():
            raise ScenarioError("the lease servers do not vote")
        start_thread("rig-samples", self._sample_majority)
        began_s, began_at_s = time.monotonic(), holder_clock()
        for fault in faults:
            self._sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            has_breach = until_breach and self._judge(began_at_s, holder_clock()).breaches
            if time.monotonic() - began_s >= seconds or has_breach:
                break
            self._fault_counts[fault.kind] = self._fault_counts.get(fault.kind, 0) + 1
            self.cause(fault)
        while time.monotonic() - began_s < seconds:
            if until_breach and self._judge(began_at_s, holder_clock()).breaches:
                break
            self._sleep(BREACH_CHECK_S)
        return self._end(began_at_s)

    def _end(self, began_at_s: float) -> Report:
        """Wait for the end of all faults, and report."""
        for thread in self._recoveries:
            thread.join(FAULT_END_S)
        ended_at_s = holder_clock()
        self._is_closed = True
        if self._failure:
            raise ScenarioError(self._failure)
        report = Report(self._judge(began_at_s, ended_at_s), dict(sorted(self._fault_counts.items())))
        report.seconds = ended_at_s - began_at_s
        self._measure_majority(report)
        return report

    def _measure_majority(self, report: Report) -> None:
        periods = self.judge.holding_periods()
        for sample, following in pairwise(self._majority_samples):
            if not sample.has_majority:
                continue
            report.majority_s += following.at_s - sample.at_s
            report.majority_held_s += sum(
                max(0.0, min(following.at_s, period.until_s) - max(sample.at_s, period.since_s))
                for period in periods
            )

    def _judge(self, since_s: float, until_s: float) -> Judgement:
        return self.judge.judge(since_s, until_s)

    def _sample_majority(self) -> None:
        while not self._is_closed:
            with self._lock:
                well = sum(not faults for faults in self._active_faults.values())
            has_majority = well > len(self._server_names) // 2
            self._majority_samples.append(MajoritySample(holder_clock(), has_majority))
            time.sleep(SAMPLE_S)
