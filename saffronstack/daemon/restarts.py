"""When a process that ended by itself is started again. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_S = 0.1
MOST_S = 10.0
CALM_S = 30.0  # a life of this length wipes out the ends before it


@dataclass(slots=True)
class Restarts:
    """The ends of one process in a row; times in seconds of one clock."""

    ends: int = 0

    def ended(self, started_s: float, now: float) -> float:
        """When to start it again: after a moment, later the more often it ended soon after its start."""
        self.ends = 1 if now - started_s >= CALM_S else self.ends + 1
        return now + min(MOST_S, FIRST_S * 2.0 ** min(self.ends - 1, 16))
