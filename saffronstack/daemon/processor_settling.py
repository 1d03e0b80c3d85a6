"""Decides which CPU a process is pinned to at its start, and when an unpinned process is pinned again.

No I/O and no clock. A process that runs on several CPUs loses most of its throughput, so it is pinned again
once a CPU is idle. The backoff that it shares with its moves limits how often.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from saffronstack.daemon.processor_choice import IDLE_FRACTION, NS_PER_S, MoveBackoff

MIN_IDLE_TIME_S = 10.0  # time for which a CPU has to be idle in each sample before a process is pinned to it


@dataclass(frozen=True, slots=True)
class CpuIdleSample:
    """Idle times of the CPUs at one moment."""

    at_s: float  # monotonic
    idle_ns: Mapping[int, int]  # by CPU, since the start of the system; empty if not available


def choose_initial_cpu(
    cpus: Collection[int], offset: int, before: CpuIdleSample, after: CpuIdleSample
) -> int:
    """Return the CPU that a starting process is pinned to.

    On a contended CPU clients would wait until the process has moved. So the result is a CPU that was idle
    for at least half as long as the idlest one; any CPU if idle times are not available.

    Args:
        cpus: Numbers of the CPUs that the process may use.
        offset: Index into the candidates; different values spread processes that start together.
        before: Idle times shortly before.
        after: Idle times now.
    """
    idle_ns = {cpu: after.idle_ns.get(cpu, 0) - before.idle_ns.get(cpu, 0) for cpu in sorted(cpus)}
    least_ns = IDLE_FRACTION * max(idle_ns.values())
    idle = [cpu for cpu, found_ns in idle_ns.items() if found_ns >= least_ns]
    return idle[offset % len(idle)]


class CpuPinningPolicy:
    """Decides when to pin a process that may run on all CPUs."""

    def __init__(self, offset: int, backoff: MoveBackoff) -> None:
        """Create a policy without samples.

        Args:
            offset: Index into the idle CPUs; different values spread processes that are pinned together.
            backoff: Limits how often the process moves.
        """
        self._offset = offset
        self._backoff = backoff
        self._before: CpuIdleSample | None = None
        self._idle_since_s: dict[int, float] = {}

    def reset(self) -> None:
        """Forget all samples, since the process is pinned to one CPU."""
        self._before = None
        self._idle_since_s.clear()

    def choose(self, sample: CpuIdleSample) -> int | None:
        """Return the CPU to pin the process to, or None to leave it unpinned."""
        self._observe(sample)
        idle_cpus = [
            cpu
            for cpu, since_s in sorted(self._idle_since_s.items())
            if sample.at_s - since_s >= MIN_IDLE_TIME_S
        ]
        if not idle_cpus or not self._backoff.has_elapsed(sample.at_s):
            return None
        self._backoff.record_move(sample.at_s)
        self.reset()
        return idle_cpus[self._offset % len(idle_cpus)]

    def _observe(self, sample: CpuIdleSample) -> None:
        before, self._before = self._before, sample
        if before is None:
            return
        least_ns = IDLE_FRACTION * (sample.at_s - before.at_s) * NS_PER_S
        for cpu, idle_ns in sample.idle_ns.items():
            if cpu in before.idle_ns and idle_ns - before.idle_ns[cpu] >= least_ns:
                self._idle_since_s.setdefault(cpu, before.at_s)
            else:
                self._idle_since_s.pop(cpu, None)
