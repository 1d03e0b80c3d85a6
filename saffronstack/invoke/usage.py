"""`GET /usage/{tenant}`: the usage that a tenant is charged for, and the state of its budget."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import msgspec

from saffronstack.metering.account import Account
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.metering.usage_report import MB_S

MAX_LISTED_FUNCTIONS = 200  # with the largest charges; the others are summed up
AMOUNT_FIELDS = ("loading_mb_s", "running_mb_s", "idle_mb_s", "estimated_mb_s")
CHARGED_FIELDS = ("loading_mb_s", "running_mb_s", "estimated_mb_s", "provisional_mb_s")


def tenant_usage(account: Account, budgets: BudgetEnforcer | None, tenant: str, now: float) -> dict[str, Any]:
    """Return the usage of a tenant from the usage log of this process.

    Raises:
        RunDamagedError: The archive is damaged.
        OSError: The archive can't be read.
    """
    functions: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for (_, function, _, _, _), amounts in account.read_totals(tenant):
        for field, amount in zip(AMOUNT_FIELDS, amounts, strict=True):
            functions[function][field] += amount
    lost_calls = account.charges.lost_call_charges()
    for charge, amount in lost_calls.provisional:
        if charge.call.tenant == tenant:
            functions[charge.function]["provisional_mb_s"] += amount
    for charge, amount in lost_calls.estimated:
        if charge.call.tenant == tenant:
            functions[charge.function]["estimated_mb_s"] += amount
    report: dict[str, Any] = {
        "tenant": tenant,
        "functions": {
            name: {key: amount / MB_S for key, amount in sums.items()} for name, sums in functions.items()
        },
    }
    budget_usage = budgets.usage_of(tenant, now) if budgets is not None else None
    if budget_usage is not None:
        report["budget"] = {
            "window_s": budget_usage.budget.window_s,
            "soft_mb_s": budget_usage.budget.soft_limit / MB_S,
            "hard_mb_s": budget_usage.budget.hard_limit / MB_S,
            "used_here_mb_s": budget_usage.used / MB_S,
            "standing": budget_usage.evaluation.status.value,
            "free_in_s": round(budget_usage.evaluation.retry_after_s, 3),
        }
    return report


def merge_usage(reports: list[dict[str, Any]], unanswered: list[int]) -> dict[str, Any]:
    """Merge the usage reports of several processes.

    ``unanswered`` has the indexes of the processes that did not respond.
    """
    functions: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for report in reports:
        for name, sums in report["functions"].items():
            for key, amount in sums.items():
                functions[name][key] += amount
    charged = {name: sum(sums[key] for key in CHARGED_FIELDS) for name, sums in functions.items()}
    ordered = sorted(functions, key=lambda name: (-charged[name], name))
    merged: dict[str, Any] = {
        "tenant": reports[0]["tenant"],
        "charged_mb_s": sum(charged.values()),
        "charged_gb_h": sum(charged.values()) / 1024 / 3600,
        "functions": [
            {"function": name, "charged_mb_s": charged[name], **functions[name]}
            for name in ordered[:MAX_LISTED_FUNCTIONS]
        ],
        "other_functions_mb_s": sum(charged[name] for name in ordered[MAX_LISTED_FUNCTIONS:]),
        "processes": len(reports),
        "silent_processes": unanswered,
    }
    process_budgets = [report["budget"] for report in reports if "budget" in report]
    if process_budgets:
        # A budget over its hard limit in its process comes first; otherwise the one with the largest usage.
        most_exhausted = max(
            process_budgets, key=lambda budget: (budget["standing"] == "over hard", budget["used_here_mb_s"])
        )
        merged["budget"] = {
            **most_exhausted,
            "used_here_mb_s": sum(budget["used_here_mb_s"] for budget in process_budgets),
        }
    return merged


def collect_usage(
    own_report: dict[str, Any], count: int, index: int, request_usage: Callable[[int], bytes | None]
) -> dict[str, Any]:
    """Collect the usage of all ``count`` processes on an address, and merge it with this process's report."""
    reports, unanswered = [own_report], []
    for other in range(count):
        if other == index:
            continue
        body = request_usage(other)
        try:
            reports.append(msgspec.json.decode(body or b""))
        except msgspec.DecodeError:
            unanswered.append(other)
    return merge_usage(reports, unanswered)
