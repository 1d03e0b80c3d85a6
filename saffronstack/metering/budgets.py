"""Enforces budgets of memory-seconds: whether a call is admitted and when its tenant may retry. No I/O.

A gateway knows only its own usage, and gateways carry unequal traffic. So a tenant is over a limit only if
two conditions hold, as for request rates in the router: its usage here exceeds an equal part of the limit for
one gateway, and its fraction of this gateway's usage exceeds its fraction of the sum of all tenants' limits.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from saffronstack.metering.sliding_windows import SlidingWindows

MAX_LOADED_FUNCTIONS = 10_000  # whose last time of being loaded is remembered
NEVER_S = -1e18  # time of a function that was never loaded


class BudgetStatus(Enum):
    """Status of a tenant against its budget. The usage page shows the values."""

    WITHIN = "within"
    OVER_SOFT = "over soft"  # calls have a lower priority
    OVER_HARD = "over hard"  # calls of functions that are not loaded are rejected


@dataclass(frozen=True, slots=True)
class Budget:
    """A tenant's budget for all gateways together; limits are in KiB microseconds of loading and running."""

    window_s: float
    soft_limit: int
    hard_limit: int


@dataclass(frozen=True, slots=True)
class BudgetEvaluation:
    """Result of comparing a tenant's usage with its budget.

    Attributes:
        status: The status.
        retry_after_s: Seconds until the tenant is under its hard limit without further usage; 0 if it is now.
    """

    status: BudgetStatus
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Admission:
    """Decision on whether a call is passed to the router.

    Attributes:
        is_admitted: Whether the call is passed on.
        is_over_soft_limit: Whether an admitted call gets the lower priority of a tenant over its soft limit.
        retry_after_s: Seconds until the client may retry a rejected call.
    """

    is_admitted: bool
    is_over_soft_limit: bool = False
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """A tenant's budget and its usage at this gateway, in KiB microseconds."""

    budget: Budget
    used: int
    evaluation: BudgetEvaluation


class BudgetEnforcer:
    """Compares usage with budgets. Any thread that admits calls may use it; times are monotonic seconds."""

    def __init__(
        self,
        budgets: Mapping[str, Budget],
        windows: SlidingWindows,
        gateway_count: int,
        keep_alive_s: float,
        steady_offset_s: float = 0.0,
    ) -> None:
        """Create an enforcer.

        Args:
            budgets: Budgets by tenant.
            windows: Recent usage by tenant.
            gateway_count: How many gateways share the budgets.
            keep_alive_s: Seconds for which a function counts as loaded after it was last seen loaded.
            steady_offset_s: Offset from the monotonic clock to the time of the windows, in seconds.
        """
        self._budgets = dict(budgets)
        self._windows = windows
        self._gateway_count = gateway_count
        self._keep_alive_s = keep_alive_s
        self._steady_offset_s = steady_offset_s
        self._soft_limit_sum = sum(budget.soft_limit for budget in budgets.values()) or 1
        self._hard_limit_sum = sum(budget.hard_limit for budget in budgets.values()) or 1
        self._lock = threading.Lock()  # guards the attributes below
        self._loaded_s: dict[str, float] = {}  # when each function was last seen loaded, most recent last
        self.rejected = 0
        self.deprioritized = 0  # calls admitted over the soft limit

    def mark_loaded(self, function: str, now_s: float) -> None:
        """Record that an instance of a function is loaded at some worker."""
        with self._lock:
            self._loaded_s.pop(function, None)
            self._loaded_s[function] = now_s
            if len(self._loaded_s) > MAX_LOADED_FUNCTIONS:
                del self._loaded_s[next(iter(self._loaded_s))]

    def admit(self, tenant: str, function: str, now_s: float) -> Admission:
        """Decide whether a call is admitted. Over the hard limit, only calls of loaded functions are."""
        if tenant not in self._budgets:
            return Admission(True)
        evaluation = self.evaluate(tenant, now_s)
        if evaluation.status is BudgetStatus.WITHIN:
            return Admission(True)
        with self._lock:
            if evaluation.status is BudgetStatus.OVER_HARD and not self._is_loaded(function, now_s):
                self.rejected += 1
                return Admission(False, retry_after_s=evaluation.retry_after_s)
            self.deprioritized += 1
        return Admission(True, is_over_soft_limit=True)

    def evaluate(self, tenant: str, now_s: float) -> BudgetEvaluation:
        """Compare a tenant's usage with its budget."""
        budget = self._budgets.get(tenant)
        if budget is None:
            return BudgetEvaluation(BudgetStatus.WITHIN)
        steady_s = now_s + self._steady_offset_s
        used = self._windows.total(tenant, steady_s)
        if used <= budget.soft_limit / self._gateway_count:  # within both limits, whatever other tenants use
            return BudgetEvaluation(BudgetStatus.WITHIN)
        used_by_all = self._windows.total_of_all_tenants(steady_s)
        if used > self._local_limit(budget.hard_limit, self._hard_limit_sum, used_by_all):
            retry_after_s = self._retry_after_s(tenant, budget, used, steady_s)
            return BudgetEvaluation(BudgetStatus.OVER_HARD, retry_after_s)
        if used > self._local_limit(budget.soft_limit, self._soft_limit_sum, used_by_all):
            return BudgetEvaluation(BudgetStatus.OVER_SOFT)
        return BudgetEvaluation(BudgetStatus.WITHIN)

    def usage_of(self, tenant: str, now_s: float) -> BudgetUsage | None:
        """Return a tenant's budget and usage; None if it has no budget."""
        budget = self._budgets.get(tenant)
        if budget is None:
            return None
        used = self._windows.total(tenant, now_s + self._steady_offset_s)
        return BudgetUsage(budget, used, self.evaluate(tenant, now_s))

    def _is_loaded(self, function: str, now_s: float) -> bool:
        return now_s - self._loaded_s.get(function, NEVER_S) <= self._keep_alive_s

    def _local_limit(self, limit: int, limit_sum: int, used_by_all: int) -> float:
        """Return this gateway's part of a limit: an equal part, or a part by usage if that is larger."""
        by_usage = limit / limit_sum * used_by_all if len(self._budgets) > 1 else 0.0
        return max(limit / self._gateway_count, by_usage)

    def _retry_after_s(self, tenant: str, budget: Budget, used: int, steady_s: float) -> float:
        """Return the seconds until the oldest buckets expire and the rest is within the hard limit.

        Only the equal part of the limit counts: the part by usage shrinks while usage expires.
        """
        remaining = used
        for start_s, amount in self._windows.buckets_in_window(tenant, steady_s):
            remaining -= amount
            if remaining <= budget.hard_limit / self._gateway_count:
                return max(0.0, start_s + budget.window_s - steady_s)
        return budget.window_s
