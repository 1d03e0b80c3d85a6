"""Decides which processor a process keeps to at its start, and when one that runs on all keeps to one again.

Free of input, output and clocks. Several processors cost a process most of its throughput, so it comes back
once the machine is quiet; a hold that it shares with its moves bounds how often.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from saffronstack.daemon.processor_choice import IDLE_FRACTION, NS_PER_S, MoveBackoff

MIN_IDLE_TIME_S = 10.0  # for which a processor has to be idle, look by look


@dataclass(frozen=True, slots=True)
class CpuIdleSample:
    """The processors at one moment."""

    at_s: float  # monotonic
    idle_ns: Mapping[int, int]  # by processor, since the start of the system; empty where it does not tell


def choose_initial_cpu(
    cpus: Collection[int], offset: int, before: CpuIdleSample, after: CpuIdleSample
) -> int:
    """Return the processor that a process which starts keeps to.

    One that others have taken up would keep callers waiting until the process has left it. So it is one of
    those that were idle for at least half as long as the idlest one; of all, where the system does not tell.

    Args:
        cpus: Numbers of those that the process may use.
        offset: Spreads processes that start at the same time.
        before: The processors shortly before.
        after: The processors now.
    """
    idle_ns = {cpu: after.idle_ns.get(cpu, 0) - before.idle_ns.get(cpu, 0) for cpu in sorted(cpus)}
    least_ns = IDLE_FRACTION * max(idle_ns.values())
    idle = [cpu for cpu, found_ns in idle_ns.items() if found_ns >= least_ns]
    return idle[offset % len(idle)]


class CpuPinningPolicy:
    """The looks of one process while it may run anywhere."""

    def __init__(self, offset: int, backoff: MoveBackoff) -> None:
        """Create it without looks.

        Args:
            offset: Spreads processes that settle at the same time.
            backoff: Bounds the process's moves.
        """
        self._offset = offset
        self._backoff = backoff
        self._before: CpuIdleSample | None = None
        self._idle_since_s: dict[int, float] = {}

    def reset(self) -> None:
        """Forget all looks: the process keeps to one processor."""
        self._before = None
        self._idle_since_s.clear()

    def choose(self, sample: CpuIdleSample) -> int | None:
        """Return the processor to keep to from now on, or None to go on with all."""
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
