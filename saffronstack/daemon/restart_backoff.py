"""When a process that exited by itself is restarted. Free of I/O and clocks."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 10.0
MAX_DOUBLINGS = 16  # keeps the power of two small
STABLE_AFTER_S = 30.0  # a process that ran for so long starts the backoff anew


@dataclass(slots=True)
class RestartBackoff:
    """Exponential backoff of one process.

    Attributes:
        exits: How often in a row it exited before it was stable.
    """

    exits: int = 0

    def process_exited(self, started_s: float, now_s: float) -> float:
        """Count an exit.

        Args:
            started_s: When the process was started, in seconds of one clock.
            now_s: When it exited.

        Returns:
            When to restart it.
        """
        self.exits = 1 if now_s - started_s >= STABLE_AFTER_S else self.exits + 1
        doublings = min(self.exits - 1, MAX_DOUBLINGS)
        return now_s + min(MAX_DELAY_S, FIRST_DELAY_S * 2.0**doublings)
