"""Budgets of memory-seconds: whether a tenant is over its marks, and when its window frees room. No I/O.

A gateway sees its own part of the usage. As the module does with rates, a tenant counts as over only where
both its amount (against its budget's part for one front end) and its part of this front end's usage (against
its budget's part of all budgets) say so: front ends carry unequal traffic.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

STEPS = 60  # parts of a window that leave it one after another
WARM_KEPT = 10_000  # functions remembered as loaded


class Standing(Enum):
    """Where a tenant stands."""

    WITHIN = "within"
    OVER_SOFT = "over soft"  # its calls are worth less
    OVER_HARD = "over hard"  # calls that would need a load are refused


@dataclass(frozen=True, slots=True)
class Budget:
    """A tenant's, over all front ends; amounts in KiB microseconds of loading and running."""

    window_s: float
    soft: int
    hard: int


@dataclass(frozen=True, slots=True)
class Verdict:
    """``wait_s``: when, without further usage, the tenant is under its hard mark again; 0 while it is."""

    standing: Standing
    wait_s: float = 0.0


@dataclass(slots=True)
class _Window:
    parts: deque[list[float]] = field(default_factory=deque)  # start, amount
    total: int = 0

    def leave(self, before: float) -> None:
        while self.parts and self.parts[0][0] <= before:
            self.total -= int(self.parts.popleft()[1])


class BudgetLimits:
    """Amounts come from the meter's thread, questions from the fronts'; times are one clock's, in seconds."""

    def __init__(self, budgets: Mapping[str, Budget], instances: int, keep_alive_s: float) -> None:
        self._budgets = dict(budgets)
        self._instances = instances
        self._keep_alive_s = keep_alive_s
        self._windows = {tenant: _Window() for tenant in self._budgets}
        self._loaded: dict[str, float] = {}
        self._lock = threading.Lock()

    def charge(self, tenant: str, amount: int, now: float) -> None:
        """An amount that counts from now; a negative one takes back."""
        budget = self._budgets.get(tenant)
        if budget is None:
            return
        step_s = budget.window_s / STEPS
        with self._lock:
            window = self._windows[tenant]
            if window.parts and window.parts[-1][0] > now - step_s:
                window.parts[-1][1] += amount
            else:
                window.parts.append([now, amount])
            window.total += amount

    def loaded(self, function: str, now: float) -> None:
        """A copy of a function stood at some worker just now."""
        with self._lock:
            self._loaded.pop(function, None)
            self._loaded[function] = now
            if len(self._loaded) > WARM_KEPT:
                del self._loaded[next(iter(self._loaded))]

    def judge(self, tenant: str, now: float) -> Verdict:
        """Where a tenant stands."""
        budget = self._budgets.get(tenant)
        if budget is None:
            return Verdict(Standing.WITHIN)
        with self._lock:
            for name, window in self._windows.items():
                window.leave(now - self._budgets[name].window_s)
            window = self._windows[tenant]
            if window.total > self._fair(budget.hard, "hard"):
                return Verdict(Standing.OVER_HARD, self._wait_s(window, budget, now))
            over = window.total > self._fair(budget.soft, "soft")
            return Verdict(Standing.OVER_SOFT if over else Standing.WITHIN)

    def may_start(self, function: str, verdict: Verdict, now: float) -> bool:
        """Whether a call of the tenant may be taken: over the hard mark only where a copy stands already."""
        if verdict.standing is not Standing.OVER_HARD:
            return True
        with self._lock:
            return now - self._loaded.get(function, -1e18) <= self._keep_alive_s

    def _fair(self, mark: int, which: str) -> float:
        """This front end's part of a mark: the larger of an equal part and its part by own usage."""
        marks = sum(getattr(budget, which) for budget in self._budgets.values()) or 1
        own = sum(window.total for window in self._windows.values())
        return max(mark / self._instances, mark / marks * own if len(self._budgets) > 1 else 0.0)

    def _wait_s(self, window: _Window, budget: Budget, now: float) -> float:
        """When so many of the oldest parts have left the window that the rest is under the mark. The mark's
        part by own usage falls with it, so the equal part, which does not, is what is waited for."""
        left: float = window.total
        for start, amount in window.parts:
            left -= amount
            if left <= budget.hard / self._instances:
                return max(0.0, start + budget.window_s - now)
        return budget.window_s
