"""Decides which processor a process keeps to at its start, and when one that runs on all keeps to one again.

Free of input, output and clocks. Several processors cost a process most of its throughput, so it comes back
once the machine is quiet; a hold that it shares with its moves bounds how often.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from saffronstack.daemon.processor_choice import IDLE_SHARE, NS_PER_S, MoveHold

SETTLE_S = 10.0  # for which a processor has to be idle, look by look


@dataclass(frozen=True, slots=True)
class IdleLook:
    """The processors at one moment."""

    at_s: float  # monotonic
    idle_ns: Mapping[int, int]  # by processor, since the start of the system; empty where it does not tell


def choose_first_processor(processors: Collection[int], turn: int, before: IdleLook, after: IdleLook) -> int:
    """Return the processor that a process which starts keeps to.

    One that others have taken up would keep callers waiting until the process has left it. So it is one of
    those that were idle for at least half as long as the idlest one; of all, where the system does not tell.

    Args:
        processors: Numbers of those that the process may use.
        turn: Spreads processes that start at the same time.
        before: The processors shortly before.
        after: The processors now.
    """
    idle_ns = {
        processor: after.idle_ns.get(processor, 0) - before.idle_ns.get(processor, 0)
        for processor in sorted(processors)
    }
    least_ns = IDLE_SHARE * max(idle_ns.values())
    idle = [processor for processor, found_ns in idle_ns.items() if found_ns >= least_ns]
    return idle[turn % len(idle)]


class ProcessorSettling:
    """The looks of one process while it may run anywhere."""

    def __init__(self, turn: int, hold: MoveHold) -> None:
        """Create it without looks.

        Args:
            turn: Spreads processes that settle at the same time.
            hold: Bounds the process's moves.
        """
        self._turn = turn
        self._hold = hold
        self._before: IdleLook | None = None
        self._idle_since_s: dict[int, float] = {}

    def restart(self) -> None:
        """Forget all looks: the process keeps to one processor."""
        self._before = None
        self._idle_since_s.clear()

    def choose(self, look: IdleLook) -> int | None:
        """Return the processor to keep to from now on, or None to go on with all."""
        self._observe(look)
        settled = [
            processor
            for processor, since_s in sorted(self._idle_since_s.items())
            if look.at_s - since_s >= SETTLE_S
        ]
        if not settled or not self._hold.is_over(look.at_s):
            return None
        self._hold.moved(look.at_s)
        self.restart()
        return settled[self._turn % len(settled)]

    def _observe(self, look: IdleLook) -> None:
        before, self._before = self._before, look
        if before is None:
            return
        least_ns = IDLE_SHARE * (look.at_s - before.at_s) * NS_PER_S
        for processor, idle_ns in look.idle_ns.items():
            if processor in before.idle_ns and idle_ns - before.idle_ns[processor] >= least_ns:
                self._idle_since_s.setdefault(processor, before.at_s)
            else:
                self._idle_since_s.pop(processor, None)
