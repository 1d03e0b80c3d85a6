"""When a task's holder runs it, and when it must stop. No I/O; times in seconds of one clock.

A lease is kept between runs, so that one process runs a task again and again; another one that gains it runs
at once, since it does not know how long ago the last run was: every task may run once too often."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

AGAIN_FIRST_S = 1.0  # after a failed run, doubled for each in a row, up to the period
END_S = 5.0  # how long a run that was told to stop may take


class Phase(Enum):
    """Where a task stands in this process."""

    OUT = "out"  # another process may hold it
    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Begin:
    """Start a run; ``turn`` tells it from earlier ones."""

    turn: int
    token: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Tell the run to stop: nothing that it does from now on counts."""

    turn: int
    why: str


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Give the lease back: a run does not end. Its token guards what it still does."""


Action = Begin | Stop | GiveBack


class TaskSchedule:
    """One task in one process."""

    def __init__(self, period_s: float, budget_s: float) -> None:
        self.period_s, self.budget_s = period_s, budget_s
        self.phase = Phase.OUT
        self.turn = 0
        self.token = 0
        self.failures = 0
        self.due_s = 0.0
        self._until_s = 0.0

    def gained(self, now: float, token: int) -> list[Action]:
        """The lease is held; of no use while a run of an earlier holding has not ended."""
        if self.phase is not Phase.OUT:
            return [GiveBack()]
        self.token, self.phase, self.due_s = token, Phase.WAITING, now
        return self.tick(now)

    def lost(self, now: float, why: str) -> list[Action]:
        """The lease is held no more."""
        self.token = 0
        if self.phase is Phase.RUNNING:
            return self._stop(now, why)
        if self.phase is Phase.WAITING:
            self.phase = Phase.OUT
        return []

    def ended(self, now: float, turn: int, good: bool) -> list[Action]:
        """A run ended by itself or as it was told; one of another turn changes nothing."""
        if turn != self.turn or self.phase not in (Phase.RUNNING, Phase.STOPPING):
            return []
        self.failures = 0 if good else self.failures + 1
        again_s = AGAIN_FIRST_S * 2.0 ** min(self.failures - 1, 16) if self.failures else self.period_s
        self.due_s = now + min(self.period_s, again_s)
        self.phase = Phase.WAITING if self.token else Phase.OUT
        return []

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        if self.phase is Phase.WAITING and self.token and now >= self.due_s:
            self.turn += 1
            self.phase, self._until_s = Phase.RUNNING, now + self.budget_s
            return [Begin(self.turn, self.token)]
        if self.phase is Phase.RUNNING and now >= self._until_s:
            return self._stop(now, f"it took longer than its {self.budget_s:g} s")
        if self.phase is Phase.STOPPING and now >= self._until_s and self.token:
            self.token = 0  # the run goes on without a lease; nothing new begins here before it ends
            return [GiveBack()]
        return []

    def _stop(self, now: float, why: str) -> list[Action]:
        self.phase, self._until_s = Phase.STOPPING, now + END_S
        return [Stop(self.turn, why)]
