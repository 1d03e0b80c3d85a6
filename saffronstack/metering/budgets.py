"""Budgets of memory-seconds: whether a call is admitted, and when its tenant may retry. No I/O.

A gateway sees its own part of the usage. As the router does with request rates, a tenant counts as over a
limit only where both its amount (against an equal part of the limit for one gateway) and its fraction of this
gateway's usage (against its fraction of all tenants' limits) exceed it: gateways carry unequal traffic.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from saffronstack.metering.sliding_windows import SlidingWindows

MAX_LOADED_FUNCTIONS = 10_000  # remembered as loaded
NEVER_S = -1e18


class BudgetStatus(Enum):
    """Where a tenant stands with its budget; the values are those of the usage page."""

    WITHIN = "within"
    OVER_SOFT = "over soft"  # its calls have a lower priority
    OVER_HARD = "over hard"  # calls that would need a load are rejected


@dataclass(frozen=True, slots=True)
class Budget:
    """A tenant's budget over all gateways; limits in KiB microseconds of loading and running."""

    window_s: float
    soft_limit: int
    hard_limit: int


@dataclass(frozen=True, slots=True)
class BudgetEvaluation:
    """A tenant's status.

    Attributes:
        status: The status.
        retry_after_s: When the tenant is under its hard limit again without further usage; 0 while it is.
    """

    status: BudgetStatus
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a call may go to the router now.

    Attributes:
        is_admitted: Whether it may.
        is_over_soft_limit: Whether it goes as one of a tenant over its soft limit.
        retry_after_s: Where it may not, seconds until it may.
    """

    is_admitted: bool
    is_over_soft_limit: bool = False
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """What a tenant used of its budget at this gateway, in KiB microseconds."""

    budget: Budget
    used: int
    evaluation: BudgetEvaluation


class BudgetEnforcer:
    """Called on the front ends' threads; times are the gateway's monotonic clock, in seconds."""

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
            windows: What was used.
            gateway_count: How many gateways share the budgets.
            keep_alive_s: How long a function that was loaded counts as loaded.
            steady_offset_s: What added to the gateway's clock makes the windows' time.
        """
        self._budgets = dict(budgets)
        self._windows = windows
        self._gateway_count = gateway_count
        self._keep_alive_s = keep_alive_s
        self._steady_offset_s = steady_offset_s
        self._soft_limit_sum = sum(budget.soft_limit for budget in budgets.values()) or 1
        self._hard_limit_sum = sum(budget.hard_limit for budget in budgets.values()) or 1
        self._lock = threading.Lock()  # guards all below
        self._loaded_s: dict[str, float] = {}  # when functions were last seen loaded, the latest last
        self.rejected = 0
        self.deprioritized = 0  # admitted over the soft limit

    def mark_loaded(self, function: str, now_s: float) -> None:
        """Note that an instance of a function is loaded at some worker."""
        with self._lock:
            self._loaded_s.pop(function, None)
            self._loaded_s[function] = now_s
            if len(self._loaded_s) > MAX_LOADED_FUNCTIONS:
                del self._loaded_s[next(iter(self._loaded_s))]

    def admit(self, tenant: str, function: str, now_s: float) -> Admission:
        """Decide whether a call is admitted: over the hard limit only where its function is loaded."""
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
        """Return a tenant's status."""
        budget = self._budgets.get(tenant)
        if budget is None:
            return BudgetEvaluation(BudgetStatus.WITHIN)
        steady_s = now_s + self._steady_offset_s
        used = self._windows.total(tenant, steady_s)
        if used <= budget.soft_limit / self._gateway_count:  # under both limits, whatever others use
            return BudgetEvaluation(BudgetStatus.WITHIN)
        used_by_all = self._windows.total_of_all_tenants(steady_s)
        if used > self._local_limit(budget.hard_limit, self._hard_limit_sum, used_by_all):
            retry_after_s = self._retry_after_s(tenant, budget, used, steady_s)
            return BudgetEvaluation(BudgetStatus.OVER_HARD, retry_after_s)
        if used > self._local_limit(budget.soft_limit, self._soft_limit_sum, used_by_all):
            return BudgetEvaluation(BudgetStatus.OVER_SOFT)
        return BudgetEvaluation(BudgetStatus.WITHIN)

    def usage_of(self, tenant: str, now_s: float) -> BudgetUsage | None:
        """Return a tenant's budget and usage; None where it has no budget."""
        budget = self._budgets.get(tenant)
        if budget is None:
            return None
        used = self._windows.total(tenant, now_s + self._steady_offset_s)
        return BudgetUsage(budget, used, self.evaluate(tenant, now_s))

    def _is_loaded(self, function: str, now_s: float) -> bool:
        return now_s - self._loaded_s.get(function, NEVER_S) <= self._keep_alive_s

    def _local_limit(self, limit: int, limit_sum: int, used_by_all: int) -> float:
        """Return this gateway's part of a limit: an equal part, or its part by usage where that is larger."""
        by_usage = limit / limit_sum * used_by_all if len(self._budgets) > 1 else 0.0
        return max(limit / self._gateway_count, by_usage)

    def _retry_after_s(self, tenant: str, budget: Budget, used: int, steady_s: float) -> float:
        """Return when so many of the oldest parts have left the window that the rest is under the hard limit.

        The part of the limit by usage falls with the usage, so the equal part, which does not, counts.
        """
        remaining = used
        for start_s, amount in self._windows.buckets_in_window(tenant, steady_s):
            remaining -= amount
            if remaining <= budget.hard_limit / self._gateway_count:
                return max(0.0, start_s + budget.window_s - steady_s)
        return budget.window_s
