"""Budgets of memory-seconds: whether a call may be taken, and when its tenant's window frees room. No I/O.

A gateway sees its own part of the usage. As the module does with rates, a tenant counts as over only where
both its amount (against its budget's part for one front end) and its part of this front end's usage (against
its budget's part of all budgets) say so: front ends carry unequal traffic.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from saffronstack.metering.sliding_windows import SlidingWindows

WARM_KEPT = 10_000  # functions remembered as loaded


class BudgetStatus(Enum):
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
class BudgetVerdict:
    """``wait_s``: when, without further usage, the tenant is under its hard mark again; 0 while it is."""

    standing: BudgetStatus
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a call may go to the module now, and whether as one of a tenant over its soft mark."""

    taken: bool
    over: bool = False
    wait_s: float = 0.0  # where it is not taken: seconds until it would be


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """What a tenant can be told of its budget; amounts in KiB microseconds at this front end."""

    budget: Budget
    used: int
    verdict: BudgetVerdict


class BudgetEnforcer:
    """Asked from the fronts' threads; times are the gateway's clock, in seconds."""

    def __init__(
        self,
        budgets: Mapping[str, Budget],
        windows: SlidingWindows,
        instances: int,
        keep_alive_s: float,
        offset_s: float = 0.0,
    ) -> None:
        """``windows`` hold what was used; ``offset_s`` is what makes its steady time of the gateway's
        clock."""
        self._budgets = dict(budgets)
        self._windows = windows
        self._instances = instances
        self._keep_alive_s = keep_alive_s
        self._offset_s = offset_s
        self._marks = {
            "soft": sum(budget.soft for budget in budgets.values()) or 1,
            "hard": sum(budget.hard for budget in budgets.values()) or 1,
        }
        self._loaded: dict[str, float] = {}
        self._lock = threading.Lock()
        self.refused = 0  # for their budgets
        self.marked = 0  # taken as worth what lies over a share

    def note_loaded(self, function: str, now: float) -> None:
        """A copy of a function stood at some worker just now."""
        with self._lock:
            self._loaded.pop(function, None)
            self._loaded[function] = now
            if len(self._loaded) > WARM_KEPT:
                del self._loaded[next(iter(self._loaded))]

    def admit(self, tenant: str, function: str, now: float) -> Admission:
        """Whether a call may be taken: over the hard mark only where a copy stands already."""
        if tenant not in self._budgets:
            return Admission(True)
        verdict = self.judge(tenant, now)
        with self._lock:
            if verdict.standing is BudgetStatus.OVER_HARD:
                if now - self._loaded.get(function, -1e18) > self._keep_alive_s:
                    self.refused += 1
                    return Admission(False, wait_s=verdict.wait_s)
            elif verdict.standing is BudgetStatus.WITHIN:
                return Admission(True)
            self.marked += 1
        return Admission(True, over=True)

    def judge(self, tenant: str, now: float) -> BudgetVerdict:
        """Where a tenant stands."""
        budget = self._budgets.get(tenant)
        if budget is None:
            return BudgetVerdict(BudgetStatus.WITHIN)
        at = now + self._offset_s
        total = self._windows.total(tenant, at)
        if total <= budget.soft / self._instances:  # under both marks, whatever others use
            return BudgetVerdict(BudgetStatus.WITHIN)
        own = self._windows.whole(at)
        if total > self._fair(budget.hard, "hard", own):
            return BudgetVerdict(BudgetStatus.OVER_HARD, self._wait_s(tenant, budget, total, at))
        over = total > self._fair(budget.soft, "soft", own)
        return BudgetVerdict(BudgetStatus.OVER_SOFT if over else BudgetStatus.WITHIN)

    def account(self, tenant: str, now: float) -> BudgetUse | None:
        """A tenant's budget and use; None where it has no budget."""
        budget = self._budgets.get(tenant)
        if budget is None:
            return None
        used = self._windows.total(tenant, now + self._offset_s)
        return BudgetUse(budget, used, self.judge(tenant, now))

    def _fair(self, mark: int, which: str, own: int) -> float:
        """This front end's part of a mark: the larger of an equal part and its part by own usage."""
        by_usage = mark / self._marks[which] * own if len(self._budgets) > 1 else 0.0
        return max(mark / self._instances, by_usage)

    def _wait_s(self, tenant: str, budget: Budget, total: int, at: float) -> float:
        """When so many of the oldest parts have left the window that the rest is under the mark. The mark's
        part by own usage falls with it, so the equal part, which does not, is what is waited for."""
        left = total
        for start, amount in self._windows.used(tenant, at):
            left -= amount
            if left <= budget.hard / self._instances:
                return max(0.0, start + budget.window_s - at)
        return budget.window_s
