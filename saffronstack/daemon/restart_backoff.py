"""Decides when to restart a process that exited by itself. Free of I/O and clocks."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 10.0
MAX_DOUBLINGS = 16  # limits the exponent of the backoff
STABLE_AFTER_S = 30.0  # run time after which the next exit starts the backoff anew


@dataclass(slots=True)
class RestartBackoff:
    """Exponential restart backoff of one process.

    Attributes:
        exits: Number of consecutive exits before the process was stable.
    """

    exits: int = 0

    def process_exited(self, started_s: float, now_s: float) -> float:
        """Record an exit.

        Args:
            started_s: Start time of the process, in seconds of one clock.
            now_s: Time of the exit.

        Returns:
            The time at which to restart the process.
        """
        self.exits = 1 if now_s - started_s >= STABLE_AFTER_S else self.exits + 1
        doublings = min(self.exits - 1, MAX_DOUBLINGS)
        return now_s + min(MAX_DELAY_S, FIRST_DELAY_S * 2.0**doublings)
